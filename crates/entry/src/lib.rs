//! The entry host on the users' platform.
//!
//! All hosts run the same program. Each serves clients, keeps the operators' configuration in
//! force, and asks the advice service when told to. One of them, whichever holds the lock in the
//! platform's store, coordinates the cell; the others hand it what clients ask for. A host keeps
//! nothing that must last: jobs are records in the store, runs are known to the workers.
//!
//! - [`daemon`]: start, signals, shutdown;
//! - `follow`: following everything under a prefix of the store;
//! - [`frontend`]: clients' requests, and the readiness that the platform asks for;
//! - [`leader_client`]: the way from any host to the coordinator, and past it to the store;
//! - [`live`]: the settings in force, and how they follow their file;
//! - [`peers`]: messages between hosts;
//! - [`carrier`]: calls to workers that a host carries for the coordinator;
//! - [`payloads`]: the texts of jobs, which their tasks are handed;
//! - [`election`]: who coordinates;
//! - [`leader`]: what the coordinator does;
//! - [`operator_config`]: the operators' configuration, as it changes;
//! - [`members`]: hosts that live, and who coordinates;
//! - [`records`]: keys and values in the store;
//! - [`store`]: the platform's store, with a pause after calls that failed;
//! - [`clock`]: time that counts suspensions;
//! - [`logs`], [`metrics`], [`events`]: what an operator sees.

pub mod clock;
pub mod daemon;
pub mod election;
pub mod events;
pub mod frontend;
pub mod leader;
pub mod leader_client;
pub mod live;
pub mod logs;
pub mod members;
pub mod metrics;
pub mod operator_config;
pub mod payloads;
pub mod peers;
mod prefix_watch;
pub mod records;
pub mod relay;
pub mod store;
