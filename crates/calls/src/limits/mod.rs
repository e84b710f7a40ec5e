//! Admission limits of an entry host.
//!
//! - [`HostLimits`]: requests and body bytes in flight, to bound the host's memory;
//! - [`TeamRates`]: a weighted share of the request rate for each team, with unused
//!   capacity available to all;
//! - [`ConnectionLimits`]: open connections, in total and per peer address.

mod connections;
mod host;
mod rates;

pub use connections::ConnectionLimits;
pub use host::{HostLimits, HostLimitsConfig};
pub use rates::{TeamRates, TeamRatesConfig};
