//! Open connections of one host.

use std::net;

use indexmap::IndexMap;
use kernel::errors;

/// Counts open connections in all and per peer address.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    limit: u32,
    peer_limit: u32,
    open: u32,
    by_peer: IndexMap<net::IpAddr, u32>,
}

impl ConnectionLimits {
    /// Makes limits with no connection open.
    pub fn new(limit: u32, peer_limit: u32) -> Self {
        Self {
            limit,
            peer_limit,
            open: 0,
            by_peer: IndexMap::new(),
        }
    }

    /// Takes in a connection.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Overloaded`] if the host or the peer has too many.
    pub fn open(&mut self, peer: net::IpAddr) -> errors::Result<()> {
        let of_peer = self.by_peer.get(&peer).copied().unwrap_or(0);
        if self.open >= self.limit || of_peer >= self.peer_limit {
            let detail = format!("{} connections are open, {of_peer} from {peer}", self.open);
            return Err(errors::Error::new(errors::ErrorKind::Overloaded, detail));
        }
        self.open += 1;
        self.by_peer.insert(peer, of_peer + 1);
        Ok(())
    }

    /// Ends a connection that [`Self::open`] took in.
    pub fn close(&mut self, peer: net::IpAddr) {
        let Some(of_peer) = self.by_peer.get_mut(&peer) else {
            return;
        };
        *of_peer -= 1;
        self.open -= 1;
        if *of_peer == 0 {
            self.by_peer.swap_remove(&peer);
        }
    }

    /// Number of open connections.
    pub fn len(&self) -> u32 {
        self.open
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.open == 0
    }
}
