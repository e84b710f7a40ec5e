//! The life cycle of an entry host as types.
//!
//! Only a [`Joining`] host can start to serve, and only a [`Serving`] host can be drained; code
//! that makes the transitions in another order does not compile.

use std::marker;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids;

/// The host loads the current release, discovers its peers and accepts no requests.
#[derive(Clone, Copy, Debug)]
pub struct Joining;
/// The host accepts requests and may own rack groups and journal shards.
#[derive(Clone, Copy, Debug)]
pub struct Serving;
/// The host transfers its rack groups and shards to other hosts, fails its readiness probe, and
/// completes the requests that are open or still arrive.
#[derive(Clone, Copy, Debug)]
pub struct Draining;

/// State of an entry host as a value, for messages and displays.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
pub enum Phase {
    /// See [`Joining`].
    #[default]
    Joining,
    /// See [`Serving`].
    Serving,
    /// See [`Draining`].
    Draining,
}

/// An entry host in the state `S`.
#[derive(Clone, Debug)]
pub struct Host<S> {
    id: ids::HostId,
    zone: ids::ZoneId,
    state: marker::PhantomData<S>,
}

impl<S> Host<S> {
    /// Identifier of the host.
    pub fn id(&self) -> &ids::HostId {
        &self.id
    }

    /// Availability zone of the host.
    pub fn zone(&self) -> &ids::ZoneId {
        &self.zone
    }

    fn into_state<T>(self) -> Host<T> {
        Host {
            id: self.id,
            zone: self.zone,
            state: marker::PhantomData,
        }
    }
}

impl Host<Joining> {
    /// Creates a host that has just started.
    pub fn new(id: ids::HostId, zone: ids::ZoneId) -> Self {
        Self {
            id,
            zone,
            state: marker::PhantomData,
        }
    }

    /// Starts to serve; the host must have loaded a release and discovered its peers.
    pub fn serve(self) -> Host<Serving> {
        self.into_state()
    }
}

impl Host<Serving> {
    /// Starts to drain; the state cannot be left again.
    pub fn drain(self) -> Host<Draining> {
        self.into_state()
    }
}
