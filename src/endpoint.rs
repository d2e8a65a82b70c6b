//! Client of an endpoint, which sends requests and orders and reads responses and load reports.

mod client;
mod events;
mod order;
mod response;

pub use self::{
    client::{EndpointClient, IDEMPOTENCY_KEY_HEADER},
    events::EventSplitter,
    order::{Order, OrderKind, OrderReply, Report, Resident},
    response::{ResponsePart, ResponseReader},
};
