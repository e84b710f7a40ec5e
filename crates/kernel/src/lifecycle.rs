//! The life cycle of an entry host as types.
//!
//! Only a host that is [`Serving`] can be drained, and only one that is [`Joining`] can begin to
//! serve, so code that takes the steps in another order does not compile.

use std::marker;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids;

/// Learning the release and its peers; accepts nothing yet.
#[derive(Clone, Copy, Debug)]
pub struct Joining;
/// Accepts requests and may own racks and shards.
#[derive(Clone, Copy, Debug)]
pub struct Serving;
/// Hands over what it owns, shows itself as not ready, and finishes what is open or still arrives.
#[derive(Clone, Copy, Debug)]
pub struct Draining;

/// The name of a state, for messages and pages.
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

/// An entry host in state `S`.
#[derive(Clone, Debug)]
pub struct Host<S> {
    id: ids::HostId,
    zone: ids::ZoneId,
    state: marker::PhantomData<S>,
}

impl<S> Host<S> {
    /// The host's identifier.
    pub fn id(&self) -> &ids::HostId {
        &self.id
    }

    /// The host's availability zone.
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
    /// A host that has just started.
    pub fn new(id: ids::HostId, zone: ids::ZoneId) -> Self {
        Self {
            id,
            zone,
            state: marker::PhantomData,
        }
    }

    /// The host knows a release and its peers and starts to serve.
    pub fn serve(self) -> Host<Serving> {
        self.into_state()
    }
}

impl Host<Serving> {
    /// The host stops accepting and finishes what is open.
    pub fn drain(self) -> Host<Draining> {
        self.into_state()
    }
}
