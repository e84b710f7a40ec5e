//! The way from the coordinator to a worker: through a host near the worker.
//!
//! Which host that is says [`cell::routing`]. Hosts are probed, so that one that died, or a connection
//! that went silent, costs its workers no more than a fraction of their hold.

use std::{cell::RefCell, rc::Rc, time::Duration};

use indexmap::IndexSet;
use kernel::log_event;
use tokio::time;

use super::Lead;
use crate::{
    events,
    peers::{Body, PeerError},
};

/// Time between two probes of a host.
const PROBE_PACE: Duration = Duration::from_millis(400);
/// A host that does not answer a probe for this long is probed once more over a new connection.
/// Covers the way between regions and a busy host.
const PROBE_TIMEOUT: Duration = Duration::from_millis(600);
/// How much longer than the call to the worker itself the way over a host may take.
const WAY_OVER_HOST: Duration = Duration::from_millis(300);

/// What is known of the hosts on the way.
#[derive(Debug, Default)]
pub(super) struct Carriers {
    /// Hosts that did not answer when they were last probed or called.
    away: RefCell<IndexSet<String>>,
}

impl Carriers {
    /// Nothing is known of the hosts but that the former coordinator may have died.
    pub(super) fn after(former_lead: Option<String>) -> Self {
        Self {
            away: RefCell::new(former_lead.into_iter().collect()),
        }
    }

    /// Whether a host did not answer when it was last probed or called.
    pub(super) fn is_away(&self, host: &str) -> bool {
        self.away.borrow().contains(host)
    }
}

impl Lead {
    /// Sends a call to a worker through a host near it. `detour` counts the hosts that were tried for it
    /// before. `at_worker` is the longest that the call to the worker itself takes.
    ///
    /// # Errors
    ///
    /// [`PeerError`], if no host carried the call, or the one that may have did not answer.
    pub(super) async fn carry(
        &self,
        worker: &str,
        detour: usize,
        body: Body,
        at_worker: Duration,
    ) -> Result<Body, PeerError> {
        let own_name = self.around.settings.current().host_name.clone();
        let zone = self
            .cell
            .borrow()
            .workers()
            .get(worker)
            .map(|worker| Rc::clone(&worker.entry.zone))
            .ok_or(PeerError::NotSent)?;
        let members = &self.around.members;
        let routes = members.routes();
        let answers = |host: &str| !self.carriers.is_away(host);
        let route = routes
            .carrier(worker, &zone, detour, &own_name, answers)
            .filter(|carrier| *carrier.name != *own_name)
            .and_then(|carrier| Some((&carrier.name, members.address_of(&carrier.name)?)));
        let Some((host, address)) = route else {
            return self
                .around
                .carrier
                .carry(body)
                .await
                .ok_or(PeerError::NotSent);
        };
        let timeout = at_worker + WAY_OVER_HOST;
        self.note_sent(body.encoded_len());
        match self.around.peers.call(address, body, timeout).await {
            // The host runs another version, or nothing on it answers for this message.
            Ok(Body::NotHere(_)) => {
                self.host_away(host, "not_understood");
                Err(PeerError::NotSent)
            }
            Err(PeerError::NotSent) => {
                self.host_away(host, "not_reached");
                Err(PeerError::NotSent)
            }
            answer => answer,
        }
    }

    pub(super) fn host_away(&self, host: &str, reason: &str) {
        if self.carriers.away.borrow_mut().insert(host.to_owned()) {
            log_event!(events::CARRIER_AWAY, "host={host} reason={reason}");
        }
    }

    /// Probes a host; over a new connection if the first probe gets no answer.
    async fn probe(&self, host: &str) {
        let Some(address) = self.around.members.address_of(host) else {
            return;
        };
        for _ in 0..2 {
            let call = Body::WhoLeads(true);
            if self
                .around
                .peers
                .call(address, call, PROBE_TIMEOUT)
                .await
                .is_ok()
            {
                if self.carriers.away.borrow_mut().swap_remove(host) {
                    log_event!(events::CARRIER_BACK, "host={host}");
                }
                return;
            }
            // Whoever waits for an answer over this connection tries another way at once.
            self.around.peers.close(address);
        }
        self.host_away(host, "no_answer");
    }
}

/// Probes all hosts until the term ends.
pub(super) async fn watch(lead: Rc<Lead>) {
    loop {
        let own_name = lead.around.settings.current().host_name.clone();
        for name in lead.around.members.hosts().into_keys() {
            if name != own_name {
                let probing = Rc::clone(&lead);
                lead.spawn(async move { probing.probe(&name).await });
            }
        }
        time::sleep(PROBE_PACE).await;
    }
}
