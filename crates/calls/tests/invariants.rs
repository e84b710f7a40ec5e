//! Properties of the dispatcher under random operations: the limits of instances hold, and
//! every call is dispatched at most once or refused.

use calls::Admission;
use hickorychute_calls as calls;
use indexmap::IndexMap;
use kernel::ids;
use kernel::work::Urgency;
use proptest::prelude::*;
use proptest::test_runner;

const INSTANCES: u32 = 5;

#[derive(Clone, Debug)]
enum Step {
    Admit {
        team: u8,
        urgency: u8,
        allowed_ms: u64,
        body_bytes: u64,
    },
    Finish {
        pick: usize,
    },
    Abandon {
        pick: u64,
    },
    Set {
        index: u32,
        slots: u32,
        connections: u32,
    },
    SetLeaving {
        index: u32,
    },
    Remove {
        index: u32,
    },
    Block {
        index: u32,
        for_ms: u64,
    },
    Advance {
        time_ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..INSTANCES;
    prop_oneof![
        12 => (0..4_u8, 0..3_u8, 1..2_000_u64, 0..400_u64).prop_map(
            |(team, urgency, allowed_ms, body_bytes)| Step::Admit {
                team, urgency, allowed_ms, body_bytes
            }
        ),
        8 => any::<usize>().prop_map(|pick| Step::Finish { pick }),
        2 => any::<u64>().prop_map(|pick| Step::Abandon { pick }),
        2 => (index.clone(), 0..5_u32, 0..6_u32).prop_map(
            |(index, slots, connections)| Step::Set { index, slots, connections }
        ),
        1 => index.clone().prop_map(|index| Step::SetLeaving { index }),
        1 => index.clone().prop_map(|index| Step::Remove { index }),
        1 => (index, 1..300_u64).prop_map(|(index, for_ms)| Step::Block { index, for_ms }),
        4 => (1..50_u64).prop_map(|time_ms| Step::Advance { time_ms }),
    ]
}

/// Expected state of an instance, tracked independently of the dispatcher.
#[derive(Clone, Copy, Debug, Default)]
struct ExpectedInstance {
    attempt: u32,
    limit: u32,
    present: bool,
    leaving: bool,
    blocked_until_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    Waiting,
    Open { index: u32, attempt: u32 },
    Ended,
}

struct Model {
    dispatcher: calls::Dispatcher,
    instances: [ExpectedInstance; INSTANCES as usize],
    call_states: IndexMap<u64, CallState>,
    now_ms: u64,
}

impl Model {
    fn new() -> Self {
        let config = calls::DispatcherConfig {
            max_queued_calls: 20,
            max_queued_bytes: 2_000,
            ..calls::DispatcherConfig::default()
        };
        Self {
            dispatcher: calls::Dispatcher::new(config, 3),
            instances: [ExpectedInstance::default(); INSTANCES as usize],
            call_states: IndexMap::new(),
            now_ms: 0,
        }
    }

    fn run(&self, index: u32) -> ids::TaskAttempt {
        ids::TaskAttempt {
            task: ids::TaskId::new(&ids::WorkId::new("s"), index),
            attempt: ids::Attempt(self.instances[index as usize].attempt),
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Admit {
                team,
                urgency,
                allowed_ms,
                body_bytes,
            } => self.admit(team, urgency, allowed_ms, body_bytes),
            Step::Finish { pick } => self.finish(pick),
            Step::Abandon { pick } => self.abandon(pick),
            Step::Set {
                index,
                slots,
                connections,
            } => self.set(index, slots, connections),
            Step::SetLeaving { index } => {
                let run = self.run(index);
                self.dispatcher
                    .set_leaving(&run, calls::LeavingSource::Signal);
                self.instances[index as usize].leaving = true;
            }
            Step::Remove { index } => {
                let run = self.run(index);
                self.dispatcher.remove_instance(&run);
                self.instances[index as usize].present = false;
            }
            Step::Block { index, for_ms } => {
                let (run, until_ms) = (self.run(index), self.now_ms + for_ms);
                self.dispatcher.block_until(&run, until_ms);
                let expected = &mut self.instances[index as usize];
                expected.blocked_until_ms = expected.blocked_until_ms.max(until_ms);
            }
            Step::Advance { time_ms } => {
                self.now_ms += time_ms;
                let ready = self.dispatcher.dispatch_ready(self.now_ms);
                self.record_dispatches(&ready);
            }
        }
        for refused in self.dispatcher.expire(self.now_ms) {
            assert_eq!(self.end(refused.id.0), CallState::Waiting);
        }
        self.check_counts();
    }

    fn admit(&mut self, team: u8, urgency: u8, allowed_ms: u64, body_bytes: u64) {
        let id = self.call_states.len() as u64;
        let urgencies = [Urgency::Deferrable, Urgency::Normal, Urgency::Urgent];
        let request = calls::CallTicket {
            id: calls::CallId(id),
            team: ids::TeamId::new(team.to_string()),
            urgency: urgencies[usize::from(urgency)],
            deadline_at_ms: self.now_ms + allowed_ms,
            body_bytes,
        };
        self.call_states.insert(id, CallState::Waiting);
        match self.dispatcher.admit(request, self.now_ms) {
            Admission::Dispatch(dispatch) => self.record_dispatches(&[dispatch]),
            Admission::Queued => {}
            Admission::Refused(refused) => {
                assert_eq!(refused.id, calls::CallId(id));
                self.end(id);
            }
        }
    }

    fn finish(&mut self, pick: usize) {
        let open = self.call_states.iter();
        let open: Vec<u64> = open
            .filter(|(_, state)| matches!(state, CallState::Open { .. }))
            .map(|(id, _)| *id)
            .collect();
        if open.is_empty() {
            return;
        }
        let id = open[pick % open.len()];
        self.end(id);
        let ready = self.dispatcher.finish(calls::CallId(id), self.now_ms);
        self.record_dispatches(&ready);
    }

    fn abandon(&mut self, pick: u64) {
        if self.call_states.is_empty() {
            return;
        }
        let id = pick % self.call_states.len() as u64;
        let waiting = self.dispatcher.abandon(calls::CallId(id));
        assert_eq!(waiting, self.call_states[&id] == CallState::Waiting);
        if waiting {
            self.end(id);
        }
    }

    fn set(&mut self, index: u32, slots: u32, connections: u32) {
        let expected = &mut self.instances[index as usize];
        if expected.leaving && slots == 0 {
            // The task is restarted as its next attempt.
            *expected = ExpectedInstance {
                attempt: expected.attempt + 1,
                ..ExpectedInstance::default()
            };
        }
        expected.limit = slots.min(connections);
        expected.present = true;
        let run = self.run(index);
        let ready =
            self.dispatcher
                .set_instance(&run, "127.0.0.1:1", slots, connections, self.now_ms);
        self.record_dispatches(&ready);
    }

    fn end(&mut self, id: u64) -> CallState {
        self.call_states.insert(id, CallState::Ended).unwrap()
    }

    fn record_dispatches(&mut self, ready: &[calls::Dispatch]) {
        for dispatch in ready {
            let index = dispatch.instance.task.index;
            let attempt = dispatch.instance.attempt.0;
            let expected = self.instances[index as usize];
            assert_eq!(expected.attempt, attempt);
            assert!(expected.present && !expected.leaving, "{expected:?}");
            assert!(expected.blocked_until_ms <= self.now_ms, "{expected:?}");
            let before = self
                .call_states
                .insert(dispatch.id.0, CallState::Open { index, attempt });
            assert_eq!(
                before,
                Some(CallState::Waiting),
                "dispatched twice or after its end"
            );
            let open = self.open_calls_on(index, attempt);
            assert!(open <= expected.limit, "{open} calls on {expected:?}");
        }
    }

    fn open_calls_on(&self, index: u32, attempt: u32) -> u32 {
        let state = CallState::Open { index, attempt };
        self.call_states
            .values()
            .filter(|open| **open == state)
            .count() as u32
    }

    fn check_counts(&self) {
        let load = self.dispatcher.load();
        let count = |wanted: fn(&CallState) -> bool| {
            self.call_states
                .values()
                .filter(|state| wanted(state))
                .count()
        };
        let open = count(|state| matches!(state, CallState::Open { .. }));
        assert_eq!(load.open_calls, open as u64);
        assert_eq!(
            load.queued_calls,
            count(|state| *state == CallState::Waiting)
        );
        for index in 0..INSTANCES {
            let open = self.open_calls_on(index, self.instances[index as usize].attempt);
            assert_eq!(self.dispatcher.open_calls_on(&self.run(index)), open);
        }
    }
}

#[test]
fn limits_hold_and_no_call_is_lost_or_dispatched_twice() {
    let config = test_runner::Config {
        cases: 512,
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(1),
        ..test_runner::Config::default()
    };
    proptest!(config, |(steps in prop::collection::vec(step(), 1..200))| {
        let mut model = Model::new();
        for step in &steps {
            model.apply(step);
        }
    });
}

/// Weights of teams. All have waiting calls while 1,000 calls are served, which must be
/// divided by weight to within 5%.
struct ShareCase {
    weights: &'static [u32],
}

#[test]
fn waiting_teams_are_served_by_weight() {
    const SERVED: u32 = 1_000;
    let cases = [
        ShareCase { weights: &[1, 1] },
        ShareCase {
            weights: &[1, 2, 3, 4],
        },
        ShareCase {
            weights: &[1, 1, 1, 1, 1, 1, 1, 13],
        },
    ];
    for case in cases {
        let config = calls::DispatcherConfig {
            max_queued_calls: 20_000,
            ..calls::DispatcherConfig::default()
        };
        let mut dispatcher = calls::Dispatcher::new(config, 1);
        let run = ids::TaskAttempt {
            task: ids::TaskId::new(&ids::WorkId::new("s"), 0),
            attempt: ids::Attempt(1),
        };
        dispatcher.set_instance(&run, "127.0.0.1:1", 1, 1, 0);
        let teams = case.weights.len() as u64;
        let mut waiting = Vec::new();
        for id in 0..teams * u64::from(SERVED) {
            let team = ids::TeamId::new((id % teams).to_string());
            dispatcher.set_weight(&team, case.weights[(id % teams) as usize]);
            waiting.extend(admit_call(&mut dispatcher, id, team));
        }
        let mut served = vec![0; case.weights.len()];
        let mut open = waiting[0].id;
        for _ in 0..SERVED {
            let ready = dispatcher.finish(open, 0);
            open = ready[0].id;
            served[(open.0 % teams) as usize] += 1;
        }
        let total: u32 = case.weights.iter().sum();
        for (weight, served) in case.weights.iter().zip(&served) {
            let due = f64::from(SERVED * weight) / f64::from(total);
            let error = (f64::from(*served) - due).abs() / due;
            assert!(error <= 0.05, "weight {weight} of {total} got {served}");
        }
    }
}

fn admit_call(
    dispatcher: &mut calls::Dispatcher,
    id: u64,
    team: ids::TeamId,
) -> Option<calls::Dispatch> {
    let request = calls::CallTicket {
        id: calls::CallId(id),
        team,
        urgency: Urgency::Normal,
        deadline_at_ms: 10_000_000,
        body_bytes: 1,
    };
    match dispatcher.admit(request, 0) {
        Admission::Dispatch(dispatch) => Some(dispatch),
        Admission::Queued => None,
        Admission::Refused(refused) => panic!("{refused:?}"),
    }
}
