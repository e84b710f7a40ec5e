//! Selection of the group of racks that a call is sent to.
//!
//! Each entry host has a [`Router`], which works from gossiped and therefore delayed
//! load reports. It prefers its own zone, then its own region, and uses the link
//! between regions only within a byte budget.

mod health;
mod link;
mod pick;

pub use link::LinkBudget;
pub use pick::{Distance, GroupLoad, Route, RouteRequest, Router, RouterConfig};
