//! Clients of endpoints: work, orders and load reports.

mod answer;
mod client;
mod order;

pub use self::{
    answer::{AnswerEvent, AnswerReader, EventSplitter},
    client::{EndpointClient, ONCE_HEADER},
    order::{Order, OrderKind, OrderReply, Report, Resident},
};
