//! The events of a run: a call's way, and what it meets.

mod build;
mod rounds;

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
use super::figures;
use super::lending;
use super::requests;
use super::tally;
use super::timeline;

/// Time between two looks at deadlines of waiting calls.
const TICK_US: u64 = 5_000;

#[derive(Debug)]
enum Event {
    /// The next caller sends a call.
    Send,
    /// A call is at its entry host and needs a group.
    Route { request: usize },
    /// An attempt is at its point, with the time left that it carries.
    Admit { attempt: usize, left_ms: u64 },
    /// The answer of an instance is at the point.
    Finish { attempt: usize },
    /// The answer is at the entry host, with the load of the point that sent it.
    Answer {
        attempt: usize,
        load: crate::DispatcherLoad,
    },
    /// A refusal is at the entry host.
    Refuse {
        attempt: usize,
        kind: errors::ErrorKind,
        load: crate::DispatcherLoad,
    },
    /// Points look at the deadlines of their waiting calls.
    Tick,
    /// Owners tell their load.
    Gossip,
    /// A borrower asks for credits.
    Ask { point: usize },
    /// The owner has the request for credits.
    Lend {
        point: usize,
        ask: crate::CreditRequest,
    },
    /// The borrower has the grant.
    Grant {
        point: usize,
        grant: crate::CreditGrant,
    },
}

/// A dispatcher with the host on which it runs.
#[derive(Debug)]
struct Point {
    host: usize,
    group: usize,
    dispatcher: dispatch::Dispatcher,
    borrower: lending::Borrower,
}

#[derive(Debug)]
struct Attempt {
    request: usize,
    point: usize,
    instance: Option<usize>,
    at_point_us: u64,
    started_at_us: u64,
}

/// One run of the model.
#[derive(Debug)]
pub(super) struct Simulation {
    case: case::LoadCase,
    service: ids::WorkId,
    teams: Vec<ids::TeamId>,
    arrivals: requests::Arrivals,
    timeline: timeline::Timeline<Event>,
    now_us: u64,
    requests: Vec<requests::Request>,
    attempts: Vec<Attempt>,
    open_attempts: attempts::AttemptTable<usize, usize>,
    points: Vec<Point>,
    groups: Vec<ids::GroupId>,
    point_of_group: IndexMap<ids::GroupId, usize>,
    lenders: Vec<lending::Lender>,
    routers: Vec<router::Router>,
    policies: Vec<retry::RetryPolicy>,
    open_calls: Vec<u32>,
    tally: tally::Tally,
}

impl Simulation {
    pub(super) fn run(mut self) -> figures::LoadFigures {
        self.timeline.add(0, Event::Gossip);
        self.timeline.add(0, Event::Tick);
        self.timeline.add(0, Event::Send);
        if self.case.path == case::CallPath::Credits {
            for point in 0..self.points.len() {
                self.timeline.add(0, Event::Ask { point });
            }
        }
        while let Some((at_us, event)) = self.timeline.next() {
            self.now_us = at_us;
            self.handle(event);
        }
        self.tally.figures()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Send => self.send(),
            Event::Route { request } => self.route(request),
            Event::Admit { attempt, left_ms } => self.admit(attempt, left_ms),
            Event::Finish { attempt } => self.finish(attempt),
            Event::Answer { attempt, load } => self.answer(attempt, load),
            Event::Refuse {
                attempt,
                kind,
                load,
            } => self.refuse(attempt, kind, load),
            Event::Tick => self.tick(),
            Event::Gossip => self.gossip(),
            Event::Ask { point } => self.ask(point),
            Event::Lend { point, ask } => self.lend(point, &ask),
            Event::Grant { point, grant } => self.grant(point, grant),
        }
    }

    fn now_ms(&self) -> u64 {
        self.now_us / 1_000
    }

    fn after(&mut self, delay_us: u64, event: Event) {
        self.timeline.add(self.now_us + delay_us, event);
    }

    /// Arrivals and rounds end here; what is open then still comes to its end.
    fn is_over(&self) -> bool {
        self.now_ms() >= self.case.warmup_ms + self.case.duration_ms
    }

    fn send(&mut self) {
        if self.is_over() {
            return;
        }
        let request = self.arrivals.draw(self.now_us);
        self.tally.sent(&request);
        self.policies[request.host].record_request(&self.teams[request.team]);
        self.requests.push(request);
        let request = self.requests.len() - 1;
        let latency_us = self.case.workload.caller_latency_us();
        self.after(latency_us, Event::Route { request });
        let gap_us = self.arrivals.gap_us();
        self.after(gap_us, Event::Send);
    }

    fn route(&mut self, index: usize) {
        let now_ms = self.now_ms();
        let host = self.requests[index].host;
        self.requests[index].attempts += 1;
        if self.requests[index].attempts > 1 {
            self.tally.retried(&self.requests[index]);
        }
        if self.case.path != case::CallPath::OwnerForwarded {
            self.observe_own(host);
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
            Err(error) => return self.fail(index, error.kind),
        };
        if route.distance == router::Distance::OtherRegion {
            self.tally.link_bytes(&self.requests[index], link_bytes);
        }
        let deadline = deadline::Deadline::new(self.left_ms(index), now_ms);
        match deadline.next_hop_ms(route.distance, now_ms) {
            Ok(left_ms) => self.forward(index, route.group, left_ms),
            Err(error) => self.fail(index, error.kind),
        }
    }

    fn forward(&mut self, request: usize, group: ids::GroupId, left_ms: u64) {
        let host = self.requests[request].host;
        let point = self.point(host, &group);
        self.requests[request].tried.push(group);
        let attempt = self.open_attempts.open(point, request).0 as usize;
        self.attempts.push(Attempt {
            request,
            point,
            instance: None,
            at_point_us: 0,
            started_at_us: 0,
        });
        let hop_us = self.hop_us(attempt);
        self.after(hop_us, Event::Admit { attempt, left_ms });
    }

    fn admit(&mut self, attempt: usize, left_ms: u64) {
        let now_ms = self.now_ms();
        self.attempts[attempt].at_point_us = self.now_us;
        let request = &self.requests[self.attempts[attempt].request];
        let class = &self.case.workload.classes()[request.class];
        let ticket = dispatch::CallTicket {
            id: dispatch::CallId(attempt as u64),
            team: self.teams[request.team].clone(),
            urgency: class.urgency,
            deadline_at_ms: deadline::Deadline::new(left_ms, now_ms).at_ms(),
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
        self.tally.open_calls(self.open_calls[instance]);
        let way_us = self.instance_latency_us(attempt);
        let state = &mut self.attempts[attempt];
        state.instance = Some(instance);
        state.started_at_us = self.now_us + way_us;
        let request = &self.requests[state.request];
        self.tally.started(request, state.started_at_us);
        let held_us = request.service_us + 2 * way_us;
        self.after(held_us, Event::Finish { attempt });
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
        let hop_us = self.hop_us(attempt);
        let load = self.points[point].dispatcher.load();
        self.after(hop_us, Event::Answer { attempt, load });
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
        let way_us = self.instance_latency_us(attempt);
        let queued_us = state.started_at_us - way_us - state.at_point_us;
        self.tally.answered(request, at_caller_us, queued_us);
    }

    fn refuse(&mut self, attempt: usize, kind: errors::ErrorKind, load: crate::DispatcherLoad) {
        self.observe_answer(attempt, load);
        let id = attempts::AttemptId(attempt as u64);
        let point = self.attempts[attempt].point;
        if let Some(request) = self.open_attempts.accept(id, &point) {
            self.fail(request, kind);
        }
    }

    fn fail(&mut self, request: usize, kind: errors::ErrorKind) {
        let failed = retry::RetryRequest {
            team: &self.teams[self.requests[request].team],
            kind,
            idempotent: true,
            attempts: self.requests[request].attempts,
            time_left_ms: self.left_ms(request),
        };
        let host = self.requests[request].host;
        match self.policies[host].decide(&failed) {
            retry::RetryDecision::RetryAfter { after_ms } => {
                self.after(after_ms * 1_000, Event::Route { request });
            }
            _ => self.tally.refused(&self.requests[request]),
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
        let hop_us = self.hop_us(attempt);
        let load = self.points[self.attempts[attempt].point].dispatcher.load();
        let refuse = Event::Refuse {
            attempt,
            kind,
            load,
        };
        self.after(hop_us, refuse);
    }

    /// Time left at the entry host, less the way back to the caller.
    fn left_ms(&self, request: usize) -> u64 {
        let way_us = self.case.workload.caller_latency_us();
        let deadline_at_us = self.requests[request].deadline_at_us - way_us;
        deadline_at_us.saturating_sub(self.now_us) / 1_000
    }

    fn point(&self, host: usize, group: &ids::GroupId) -> usize {
        let group = self.point_of_group[group];
        match self.case.path {
            case::CallPath::OwnerForwarded => group,
            case::CallPath::Credits | case::CallPath::FixedShares => {
                host * cell::GROUP_OWNERS.len() + group
            }
        }
    }

    /// One-way latency between the entry host and the point of an attempt.
    fn hop_us(&self, attempt: usize) -> u64 {
        let attempt = &self.attempts[attempt];
        let host = self.requests[attempt.request].host;
        let point_host = self.points[attempt.point].host;
        if host == point_host {
            return 0;
        }
        cell::latency_us(cell::HOST_ZONES[host], cell::HOST_ZONES[point_host])
    }

    /// One-way latency between the point of an attempt and its instance.
    fn instance_latency_us(&self, attempt: usize) -> u64 {
        let point = &self.points[self.attempts[attempt].point];
        let group_zone = cell::zone_of_group(point.group);
        cell::latency_us(cell::HOST_ZONES[point.host], group_zone)
    }
}
