//! Bounds on what an entry host takes in.
//!
//! - [`HostLimits`]: requests and bytes in flight, within the host's memory;
//! - [`TeamRates`]: a share of the rate for each team, with the unused part lent;
//! - [`ConnectionLimits`]: open connections, in all and per peer.

mod connections;
mod host;
mod rates;

pub use connections::ConnectionLimits;
pub use host::{HostLimits, HostLimitsConfig};
pub use rates::{TeamRates, TeamRatesConfig};
