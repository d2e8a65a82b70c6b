//! The planner's duty: one instance at a time decides where copies of models should be.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use super::Node;

/// State of the planner.
#[derive(Default)]
pub struct Planner {
    held: AtomicBool,
}

impl Planner {
    /// Returns whether this node holds the duty.
    pub fn is_held(&self) -> bool {
        self.held.load(Ordering::Relaxed)
    }
}

/// Takes the duty when it is free and carries it out.
pub async fn run(_: Arc<Node>) {
    std::future::pending::<()>().await;
}
