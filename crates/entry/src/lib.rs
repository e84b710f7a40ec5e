//! The entry host on the users' platform.
//!
//! Every host runs the same program: it serves clients, applies the operators' configuration and
//! queries the advice service on request. The host that holds the leader key in the platform's
//! store is the leader (the coordinator, in operators' terms); the other hosts forward client
//! requests to it. Hosts keep no durable state of their own: jobs are records in the store, and
//! workers report their runs.
//!
//! - [`daemon`]: startup, signals and shutdown;
//! - [`check_config`]: the command that checks a configuration before it is sent;
//! - `listing`: reads all keys under a prefix of the store, page by page;
//! - `prefix_watch`: watches all keys under a prefix of the store;
//! - [`frontend`]: client requests and the platform's readiness probe;
//! - `job_queries`: queries and cancellations of jobs;
//! - [`key_checks`]: checks of the keys that clients' calls carry;
//! - [`client_limits`]: connections and memory of the listening ports; [`ports`]: their I/O;
//! - [`leader_client`]: requests to the leader, with direct store access as the fallback;
//! - [`live`]: the current settings, reloaded when their file changes;
//! - [`peers`]: calls between hosts; [`peer_calls`]: their answers;
//! - [`advice_client`]: queries to the advice service;
//! - [`relay`]: calls to workers that a host relays for the leader;
//! - [`worker_slots`]: limits on concurrent orders to workers;
//! - [`payloads`]: job payloads, passed to each task on start;
//! - [`election`]: leader election;
//! - [`leader`]: the leader's work during its term;
//! - [`operator_config`]: the operators' configuration;
//! - [`members`]: live hosts and the current leader;
//! - [`records`]: store keys and values;
//! - [`store`]: client of the platform's store with backoff and health tracking;
//! - [`clock`]: monotonic time that includes suspensions;
//! - [`logs`], [`metrics`], [`events`]: logging and metrics.

pub mod advice_client;
pub mod check_config;
pub mod client_limits;
pub mod clock;
pub mod daemon;
pub mod election;
pub mod events;
pub mod frontend;
mod job_queries;
pub mod key_checks;
pub mod leader;
pub mod leader_client;
mod listing;
pub mod live;
pub mod logs;
pub mod members;
pub mod metrics;
pub mod operator_config;
pub mod payloads;
pub mod peer_calls;
pub mod peers;
pub mod ports;
mod prefix_watch;
pub mod records;
pub mod relay;
pub mod store;
pub mod worker_slots;
