//! Picks the group of racks that a call is sent to.
//!
//! A [`Router`] belongs to an entry host and works from gossip, which lags. It
//! prefers its own zone, then its own region, and crosses the link between regions
//! only within a byte budget.

mod health;
mod link;
mod pick;

pub use link::LinkBudget;
pub use pick::{Distance, GroupLoad, Route, RouteRequest, Router, RouterConfig};
