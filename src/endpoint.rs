//! Client of an endpoint, which sends requests and orders to the endpoint and reads its responses
//! and load reports.

mod answer;
mod client;
mod events;
mod order;

pub use self::{
    answer::{ResponsePart, ResponseReader},
    client::{EndpointClient, IDEMPOTENCY_KEY_HEADER},
    events::EventSplitter,
    order::{Order, OrderKind, OrderReply, Report, Resident},
};
