//! Event loop of a run and the events of a call.

mod build;
mod periodic;

use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;

use crate::attempts;
use crate::deadline;
use crate::dispatch;
use crate::retry;
use crate::router;

use super::case;
use super::cell;
use super::credit_exchange;
use super::event_queue;
use super::recorder;
use super::requests;
use super::results;

/// Interval at which the deadlines of waiting calls are checked.
const TICK_INTERVAL_US: u64 = 5_000;

#[derive(Debug)]
enum Event {
    /// A caller sends the next call.
    Send,
    /// A call has reached its entry host or is retried, and is to be routed.
    Route { request: usize },
    /// An attempt has reached its dispatch point, with the remaining time that it carries.
    Admit { attempt: usize, remaining_ms: u64 },
    /// The answer of an instance has reached the dispatch point.
    Finish { attempt: usize },
    /// The answer has reached the entry host, with the load of the dispatch point.
    Answer {
        attempt: usize,
        load: crate::DispatcherLoad,
    },
    /// A refusal has reached the entry host, with the load of the dispatch point.
    Refuse {
        attempt: usize,
        kind: errors::ErrorKind,
        load: crate::DispatcherLoad,
    },
    /// The dispatch points check the deadlines of their waiting calls.
    Tick,
    /// The owners gossip their load.
    Gossip,
    /// A credit holder requests credits.
    RequestCredits { point: usize },
    /// The owner has received a request for credits.
    GrantCredits {
        point: usize,
        request: crate::CreditRequest,
    },
    /// The credit holder has received the grant.
    ReceiveCredits {
        point: usize,
        grant: crate::CreditGrant,
    },
}

/// A dispatcher for one group, and the entry host on which it runs.
#[derive(Debug)]
struct DispatchPoint {
    host: usize,
    group: usize,
    dispatcher: dispatch::Dispatcher,
    credit_holder: credit_exchange::CreditHolder,
}

#[derive(Debug)]
struct Attempt {
    request: usize,
    point: usize,
    instance: Option<usize>,
    arrived_at_us: u64,
    started_at_us: u64,
}

/// One run of the model.
#[derive(Debug)]
pub(super) struct Simulation {
    case: case::LoadCase,
    service: ids::WorkId,
    teams: Vec<ids::TeamId>,
    arrivals: requests::Arrivals,
    events: event_queue::EventQueue<Event>,
    now_us: u64,
    requests: Vec<requests::Request>,
    attempts: Vec<Attempt>,
    open_attempts: attempts::AttemptTable<usize, usize>,
    points: Vec<DispatchPoint>,
    groups: Vec<ids::GroupId>,
    group_indices: IndexMap<ids::GroupId, usize>,
    credit_issuers: Vec<credit_exchange::CreditIssuer>,
    routers: Vec<router::Router>,
    policies: Vec<retry::RetryPolicy>,
    open_calls: Vec<u32>,
    recorder: recorder::Recorder,
}

impl Simulation {
    pub(super) fn run(mut self) -> results::LoadResults {
        self.events.push(0, Event::Gossip);
        self.events.push(0, Event::Tick);
        self.events.push(0, Event::Send);
        if self.case.path == case::CallPath::Credits {
            for point in 0..self.points.len() {
                self.events.push(0, Event::RequestCredits { point });
            }
        }
        while let Some((at_us, event)) = self.events.pop() {
            self.now_us = at_us;
            self.handle(event);
        }
        self.recorder.results()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send => self.send(),
            Event::Route { request } => self.route(request),
            Event::Admit {
                attempt,
                remaining_ms,
            } => self.admit(attempt, remaining_ms),
            Event::Finish { attempt } => self.finish(attempt),
            Event::Answer { attempt, load } => self.answer(attempt, load),
            Event::Refuse {
                attempt,
                kind,
                load,
            } => self.refuse(attempt, kind, load),
            Event::Tick => self.tick(),
            Event::Gossip => self.gossip(),
            Event::RequestCredits { point } => self.request_credits(point),
            Event::GrantCredits { point, request } => self.grant_credits(point, &request),
            Event::ReceiveCredits { point, grant } => self.receive_credits(point, grant),
        }
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn schedule_after(&mut self, delay_us: u64, event: Event) {
        self.events.push(self.now_us + delay_us, event);
    }

    /// Whether arrivals and periodic events have ended. Open calls still run to completion.
    fn arrivals_ended(&self) -> bool {
        self.now_ms() >= self.case.warmup_ms + self.case.duration_ms
    }

    fn send(&mut self) {
        if self.arrivals_ended() {
            return;
        }
        let request = self.arrivals.draw(self.now_us);
        self.recorder.record_sent(&request);
        self.policies[request.host].record_request(&self.teams[request.team]);
        self.requests.push(request);
        let request = self.requests.len() - 1;
        let latency_us = self.case.workload.caller_latency_us();
        self.schedule_after(latency_us, Event::Route { request });
        let interarrival_us = self.arrivals.interarrival_us();
        self.schedule_after(interarrival_us, Event::Send);
    }

    fn route(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let host = self.requests[index].host;
        self.requests[index].attempts += 1;
        if self.requests[index].attempts > 1 {
            self.recorder.record_retry(&self.requests[index]);
        }
        if self.case.path != case::CallPath::OwnerForwarded {
            self.observe_own_points(host);
        }
        let request = &self.requests[index];
        let link_bytes = self.case.workload.classes()[request.class].link_bytes();
        let route_request = router::RouteRequest {
            service: &self.service,
            link_bytes,
            tried: &request.tried,
        };
        let route = match self.routers[host].pick(&route_request, now_ms) {
            Ok(route) => route,
            Err(error) => return self.retry_or_refuse(index, error.kind),
        };
        if route.distance == router::Distance::OtherRegion {
            self.recorder
                .record_link_bytes(&self.requests[index], link_bytes);
        }
        let deadline = deadline::Deadline::new(self.remaining_ms(index), now_ms);
        match deadline.next_hop_ms(route.distance, now_ms) {
            Ok(remaining_ms) => self.forward(index, route.group, remaining_ms),
            Err(error) => self.retry_or_refuse(index, error.kind),
        }
    }

    fn forward(&mut self, request: usize, group: ids::GroupId, remaining_ms: u64) {
        let host = self.requests[request].host;
        let point = self.point_index(host, &group);
        self.requests[request].tried.push(group);
        let attempt = self.open_attempts.open(point, request).0 as usize;
        self.attempts.push(Attempt {
            request,
            point,
            instance: None,
            arrived_at_us: 0,
            started_at_us: 0,
        });
        let hop_latency_us = self.hop_latency_us(attempt);
        self.schedule_after(
            hop_latency_us,
            Event::Admit {
                attempt,
                remaining_ms,
            },
        );
    }

    fn admit(&mut self, attempt: usize, remaining_ms: u64) {
        let now_ms = self.now_ms();
        self.attempts[attempt].arrived_at_us = self.now_us;
        let request = &self.requests[self.attempts[attempt].request];
        let class = &self.case.workload.classes()[request.class];
        let ticket = dispatch::CallTicket {
            id: dispatch::CallId(attempt as u64),
            team: self.teams[request.team].clone(),
            urgency: class.urgency,
            deadline_at_ms: deadline::Deadline::new(remaining_ms, now_ms).at_ms(),
            body_bytes: class.request_bytes,
        };
        let point = self.attempts[attempt].point;
        match self.points[point].dispatcher.admit(ticket, now_ms) {
            dispatch::Admission::Dispatch(dispatch) => self.start(&dispatch),
            dispatch::Admission::Queued => {}
            dispatch::Admission::Refused(refused) => self.send_refusal(&refused),
        }
    }

    fn start(&mut self, dispatch: &dispatch::Dispatch) {
        let attempt = dispatch.id.0 as usize;
        let instance = dispatch.instance.task.index as usize;
        self.open_calls[instance] += 1;
        self.recorder.record_open_calls(self.open_calls[instance]);
        let latency_us = self.instance_latency_us(attempt);
        let state = &mut self.attempts[attempt];
        state.instance = Some(instance);
        state.started_at_us = self.now_us + latency_us;
        let request = &self.requests[state.request];
        self.recorder.record_start(request, state.started_at_us);
        let held_us = request.service_us + 2 * latency_us;
        self.schedule_after(held_us, Event::Finish { attempt });
    }

    fn finish(&mut self, attempt: usize) {
        let now_ms = self.now_ms();
        if let Some(instance) = self.attempts[attempt].instance {
            self.open_calls[instance] -= 1;
        }
        let point = self.attempts[attempt].point;
        let id = dispatch::CallId(attempt as u64);
        let ready = self.points[point].dispatcher.finish(id, now_ms);
        self.start_all(&ready);
        let hop_latency_us = self.hop_latency_us(attempt);
        let load = self.points[point].dispatcher.load();
        self.schedule_after(hop_latency_us, Event::Answer { attempt, load });
    }

    fn answer(&mut self, attempt: usize, load: crate::DispatcherLoad) {
        self.observe_answer(attempt, load);
        let state = &self.attempts[attempt];
        let id = attempts::AttemptId(attempt as u64);
        let Some(request) = self.open_attempts.accept(id, &state.point) else {
            return;
        };
        let request = &self.requests[request];
        let group = &self.groups[self.points[state.point].group];
        self.routers[request.host].record_success(group, self.now_us / 1_000);
        let at_caller_us = self.now_us + self.case.workload.caller_latency_us();
        let latency_us = self.instance_latency_us(attempt);
        let queued_us = state.started_at_us - latency_us - state.arrived_at_us;
        self.recorder
            .record_answer(request, at_caller_us, queued_us);
    }

    fn refuse(&mut self, attempt: usize, kind: errors::ErrorKind, load: crate::DispatcherLoad) {
        self.observe_answer(attempt, load);
        let id = attempts::AttemptId(attempt as u64);
        let point = self.attempts[attempt].point;
        if let Some(request) = self.open_attempts.accept(id, &point) {
            self.retry_or_refuse(request, kind);
        }
    }

    fn retry_or_refuse(&mut self, request: usize, kind: errors::ErrorKind) {
        let failed = retry::RetryRequest {
            team: &self.teams[self.requests[request].team],
            kind,
            idempotent: true,
            attempts: self.requests[request].attempts,
            time_left_ms: self.remaining_ms(request),
        };
        let host = self.requests[request].host;
        match self.policies[host].decide(&failed) {
            retry::RetryDecision::RetryAfter { after_ms } => {
                self.schedule_after(after_ms * 1_000, Event::Route { request });
            }
            _ => self.recorder.record_refusal(&self.requests[request]),
        }
    }

    fn start_all(&mut self, ready: &[dispatch::Dispatch]) {
        for dispatch in ready {
            self.start(dispatch);
        }
    }

    fn send_refusal(&mut self, refused: &dispatch::Refused) {
        let attempt = refused.id.0 as usize;
        let kind = refused.kind;
        let hop_latency_us = self.hop_latency_us(attempt);
        let load = self.points[self.attempts[attempt].point].dispatcher.load();
        let refuse = Event::Refuse {
            attempt,
            kind,
            load,
        };
        self.schedule_after(hop_latency_us, refuse);
    }

    /// Remaining time at the entry host, less the latency to the caller.
    fn remaining_ms(&self, request: usize) -> u64 {
        let latency_us = self.case.workload.caller_latency_us();
        let deadline_at_us = self.requests[request].deadline_at_us - latency_us;
        deadline_at_us.saturating_sub(self.now_us) / 1_000
    }

    fn point_index(&self, host: usize, group: &ids::GroupId) -> usize {
        let group = self.group_indices[group];
        match self.case.path {
            case::CallPath::OwnerForwarded => group,
            case::CallPath::Credits | case::CallPath::FixedShares => {
                host * cell::GROUP_OWNERS.len() + group
            }
        }
    }

    /// One-way latency between the entry host and the dispatch point of an attempt.
    fn hop_latency_us(&self, attempt: usize) -> u64 {
        let attempt = &self.attempts[attempt];
        let host = self.requests[attempt.request].host;
        let point_host = self.points[attempt.point].host;
        if host == point_host {
            return 0;
        }
        cell::latency_us(cell::HOST_ZONES[host], cell::HOST_ZONES[point_host])
    }

    /// One-way latency between the dispatch point of an attempt and its instance.
    fn instance_latency_us(&self, attempt: usize) -> u64 {
        let point = &self.points[self.attempts[attempt].point];
        let group_zone = cell::zone_of_group(point.group);
        cell::latency_us(cell::HOST_ZONES[point.host], group_zone)
    }
}
