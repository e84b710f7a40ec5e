//! Limits on the open connections of one host.

use std::net;

use indexmap::IndexMap;
use kernel::errors;

/// Limits on open connections, in total and per peer address.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    limit: u32,
    peer_limit: u32,
    open: u32,
    by_peer: IndexMap<net::IpAddr, u32>,
}

impl ConnectionLimits {
    /// Creates limits with no open connections.
    ///
    /// `limit` bounds the total, `peer_limit` the connections from one address.
    pub fn new(limit: u32, peer_limit: u32) -> Self {
        Self {
            limit,
            peer_limit,
            open: 0,
            by_peer: IndexMap::new(),
        }
    }

    /// Counts a new connection.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::Overloaded`] if the host or the peer is at its limit;
    /// the connection is then not counted.
    pub fn open(&mut self, peer: net::IpAddr) -> errors::Result<()> {
        let peer_open = self.by_peer.get(&peer).copied().unwrap_or(0);
        if self.open >= self.limit || peer_open >= self.peer_limit {
            let detail = format!(
                "connection limit reached: {} open, {peer_open} from {peer}",
                self.open
            );
            return Err(errors::Error::new(errors::ErrorKind::Overloaded, detail));
        }
        self.open += 1;
        self.by_peer.insert(peer, peer_open + 1);
        Ok(())
    }

    /// Releases a connection counted by [`Self::open`].
    pub fn close(&mut self, peer: net::IpAddr) {
        let Some(peer_open) = self.by_peer.get_mut(&peer) else {
            return;
        };
        *peer_open -= 1;
        self.open -= 1;
        if *peer_open == 0 {
            self.by_peer.swap_remove(&peer);
        }
    }

    /// Number of open connections from all peers.
    pub fn len(&self) -> u32 {
        self.open
    }

    /// Whether there are no open connections.
    pub fn is_empty(&self) -> bool {
        self.open == 0
    }
}
