//! Periodic events: deadline checks, gossip and credit requests.

use super::super::case;
use super::super::cell;
use super::{DispatchPoint, Event, Simulation, TICK_INTERVAL_US};
use crate::router;

impl Simulation {
    pub(super) fn tick(&mut self) {
        let now_ms = self.now_ms();
        let mut waiting = false;
        for point in 0..self.points.len() {
            let dispatcher = &mut self.points[point].dispatcher;
            let ready = dispatcher.dispatch_ready(now_ms);
            let refused = dispatcher.expire(now_ms);
            waiting |= dispatcher.load().queued_calls > 0;
            self.start_all(&ready);
            for refused in refused {
                self.send_refusal(&refused);
            }
        }
        if waiting || !self.arrivals_ended() {
            self.schedule_after(TICK_INTERVAL_US, Event::Tick);
        }
    }

    pub(super) fn gossip(&mut self) {
        if self.case.path == case::CallPath::OwnerForwarded {
            for host in 0..self.routers.len() {
                self.observe(host, 0);
            }
        }
        if !self.arrivals_ended() {
            self.schedule_after(self.case.gossip_interval_ms * 1_000, Event::Gossip);
        }
    }

    /// Updates a host's router with the current load of its own dispatchers, without gossip.
    pub(super) fn observe_own_points(&mut self, host: usize) {
        self.observe(host, host * cell::GROUP_OWNERS.len());
    }

    fn observe(&mut self, host: usize, first_point: usize) {
        for point in first_point..first_point + cell::GROUP_OWNERS.len() {
            let load = self.points[point].dispatcher.load();
            self.observe_load(host, point, load);
        }
    }

    pub(super) fn observe_answer(&mut self, attempt: usize, load: crate::DispatcherLoad) {
        if self.case.load_in_responses && self.case.path == case::CallPath::OwnerForwarded {
            let state = &self.attempts[attempt];
            let host = self.requests[state.request].host;
            self.observe_load(host, state.point, load);
        }
    }

    fn observe_load(&mut self, host: usize, point: usize, load: crate::DispatcherLoad) {
        let load = router::GroupLoad {
            instances: load.instances,
            free_slots: load.free_slots,
            queue_delay_ms: load.queue_delay_ms,
        };
        let now_ms = self.now_ms();
        let group = &self.groups[self.points[point].group];
        self.routers[host].observe(group, &self.service, load, now_ms);
    }

    pub(super) fn request_credits(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let point = &mut self.points[index];
        let request = point.credit_holder.request(&mut point.dispatcher, now_ms);
        let latency_us = owner_latency_us(point);
        self.schedule_after(
            latency_us,
            Event::GrantCredits {
                point: index,
                request,
            },
        );
        if !self.arrivals_ended() {
            let interval_us = self.case.credit_interval_ms * 1_000;
            self.schedule_after(interval_us, Event::RequestCredits { point: index });
        }
    }

    pub(super) fn grant_credits(&mut self, index: usize, request: &crate::CreditRequest) {
        let point = &self.points[index];
        let latency_us = owner_latency_us(point);
        let grant =
            self.credit_issuers[point.group].exchange(point.host, request, self.now_us / 1_000);
        self.schedule_after(
            latency_us,
            Event::ReceiveCredits {
                point: index,
                grant,
            },
        );
    }

    pub(super) fn receive_credits(&mut self, index: usize, grant: crate::CreditGrant) {
        let now_ms = self.now_ms();
        let point = &mut self.points[index];
        let ready = point
            .credit_holder
            .accept(grant, &mut point.dispatcher, now_ms);
        self.start_all(&ready);
    }
}

fn owner_latency_us(point: &DispatchPoint) -> u64 {
    let group_zone = cell::zone_of_group(point.group);
    cell::latency_us(cell::HOST_ZONES[point.host], group_zone)
}
