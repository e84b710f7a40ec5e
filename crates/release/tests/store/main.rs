//! What reaches the store and what comes from it, through faults of the store.

mod acceptance;
mod histories;
mod support;
mod watcher;
