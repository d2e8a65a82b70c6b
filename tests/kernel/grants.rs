//! Tests of grants without a network: rates, retries, choice of endpoints, queue, orders and
//! placement.

mod allotments;
mod cache;
mod choice;
mod crashes;
mod fetch;
mod fleet;
mod order;
mod order_world;
mod orders;
mod origins;
mod pace;
mod pauses;
mod placement;
mod placement_rise;
mod play;
mod queue;
mod rate;
mod rate_limits;
mod recovery;
mod retries;
mod team_use;
