//! Tests of the acceptor and the watcher against a store with faults.

mod acceptance;
mod histories;
mod support;
mod watcher;
