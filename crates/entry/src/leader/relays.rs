//! Calls from the leader to workers, relayed by a host near the worker.
//!
//! [`cell::routing`] selects the host. Hosts are probed, so that a dead host or an unresponsive
//! connection delays its workers by only a fraction of their hold.

use std::{cell::RefCell, rc::Rc, time::Duration};

use indexmap::IndexSet;
use kernel::log_event;
use tokio::time;

use super::Leader;
use crate::{
    events,
    peers::{Body, PeerError},
};

/// Interval between two probes of a host.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);
/// Probe timeout, after which the host is probed once more over a new connection. Covers the
/// latency between regions and a busy host.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time allowed for the relay beyond the call to the worker itself.
const RELAY_OVERHEAD: Duration = Duration::from_millis(300);

/// Reachability of the relaying hosts.
#[derive(Debug, Default)]
pub(super) struct Relays {
    /// Hosts that did not answer the last probe or call.
    unreachable: RefCell<IndexSet<String>>,
}

impl Relays {
    /// Assumes that all hosts are reachable except the previous leader, which may have died.
    pub(super) fn new(previous_leader: Option<String>) -> Self {
        Self {
            unreachable: RefCell::new(previous_leader.into_iter().collect()),
        }
    }

    /// Whether a host did not answer the last probe or call.
    pub(super) fn is_unreachable(&self, host: &str) -> bool {
        self.unreachable.borrow().contains(host)
    }
}

impl Leader {
    /// Sends a call to a worker through a host near it. `route_index` counts the hosts tried for
    /// the worker before. `worker_timeout` is the maximum duration of the call to the worker
    /// itself.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if no host relayed the call, or if the host that may have relayed it did not
    /// answer.
    pub(super) async fn relay(
        &self,
        worker: &str,
        route_index: usize,
        body: Body,
        worker_timeout: Duration,
    ) -> Result<Body, PeerError> {
        let own_name = self.context.settings.current().host_name.clone();
        let zone = self
            .coordinator
            .borrow()
            .workers()
            .get(worker)
            .map(|worker| Rc::clone(&worker.entry.zone))
            .ok_or(PeerError::NotSent)?;
        let members = &self.context.members;
        let routes = members.routes();
        let is_reachable = |host: &str| !self.relays.is_unreachable(host);
        let route = routes
            .select_relay(worker, &zone, route_index, &own_name, is_reachable)
            .filter(|relay| *relay.name != *own_name)
            .and_then(|relay| Some((&relay.name, members.address_of(&relay.name)?)));
        let Some((host, address)) = route else {
            return self
                .context
                .relay
                .relay(body)
                .await
                .ok_or(PeerError::NotSent);
        };
        let timeout = worker_timeout + RELAY_OVERHEAD;
        self.record_bytes_sent(body.encoded_len());
        match self.context.peers.call(address, body, timeout).await {
            // The host runs another version, or has no handler for this message.
            Ok(Body::NotHandled(_)) => {
                self.mark_unreachable(host, "not_understood");
                Err(PeerError::NotSent)
            }
            Err(PeerError::NotSent) => {
                self.mark_unreachable(host, "not_reached");
                Err(PeerError::NotSent)
            }
            answer => answer,
        }
    }

    pub(super) fn mark_unreachable(&self, host: &str, reason: &str) {
        if self.relays.unreachable.borrow_mut().insert(host.to_owned()) {
            log_event!(events::CARRIER_AWAY, "host={host} reason={reason}");
        }
    }

    /// Probes a host, and once more over a new connection if the first probe is not answered.
    async fn probe(&self, host: &str) {
        let Some(address) = self.context.members.address_of(host) else {
            return;
        };
        for _ in 0..2 {
            let call = Body::GetLeader(true);
            if self
                .context
                .peers
                .call(address, call, PROBE_TIMEOUT)
                .await
                .is_ok()
            {
                if self.relays.unreachable.borrow_mut().swap_remove(host) {
                    log_event!(events::CARRIER_BACK, "host={host}");
                }
                return;
            }
            // Fails all calls pending on this connection, so that callers try another route
            // immediately.
            self.context.peers.close(address);
        }
        self.mark_unreachable(host, "no_answer");
    }
}

/// Probes all other hosts until the term ends.
pub(super) async fn watch(leader: Rc<Leader>) {
    loop {
        let own_name = leader.context.settings.current().host_name.clone();
        for name in leader.context.members.hosts().into_keys() {
            if name != own_name {
                let probing = Rc::clone(&leader);
                leader.spawn(async move { probing.probe(&name).await });
            }
        }
        time::sleep(PROBE_INTERVAL).await;
    }
}
