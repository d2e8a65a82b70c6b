//! Grants: rate, repeats, choice, queue, orders and placement, played without a network.

mod choice;
mod fleet;
mod orders;
mod placement;
mod rate;
mod recovery;
