//! Entry host processes against the stand-in platform.

mod cancellations;
mod client_limits;
mod cold_start;
mod config_check;
mod elections;
mod failures;
mod jobs;
mod keys;
mod late_orders;
mod late_writes;
mod odd_entries;
mod peers;
mod polls;
mod quotas;
mod relays;
mod reload;
mod revocations;
mod rosters;
mod routes;
mod support;
mod takeovers;
mod worker_slots;
