//! Orders to endpoints, each recorded before it is sent.

use std::sync::Arc;

use crate::{
    node::Node,
    wire::{Move, Moved},
};

/// Records and sends the order for a move that the planner decided.
pub async fn carry_out(_: &Arc<Node>, _: Move) -> Moved {
    Moved { accepted: false, reason: "orders are not carried out yet".to_owned() }
}
