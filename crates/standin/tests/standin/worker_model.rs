//! The worker state machine: orders, leases, reports and calls.

use std::sync::Arc;

use hickorychute_standin as standin;
use kernel::history::{Event, MemorySink};
use kernel::{ids, work};
use platform::upstreams::Inquiry;
use platform::workers::{
    RefusalReason, RunEnd, StartOrder, StopMode, StopOrder, SyncReply, SyncRequest, WorkerError,
    WorkerState,
};
use standin::model::{CallRefusal, FleetModel};

use crate::support;
use crate::support::LEASE_MS;

struct Fleet {
    model: FleetModel,
    worker: ids::WorkerId,
    history: MemorySink,
    sequence: u64,
}

impl Fleet {
    fn new() -> Self {
        let config = standin::Config::preset(standin::Firm::Huber);
        let history = MemorySink::default();
        let model = FleetModel::new(&config, Arc::new(history.clone()), 0);
        let worker = model.worker_ids().next().unwrap().clone();
        Self {
            model,
            worker,
            history,
            sequence: 0,
        }
    }

    fn sync(&mut self, now_ms: u64, request: &SyncRequest) -> Result<SyncReply, WorkerError> {
        self.sequence += 1;
        let request = SyncRequest {
            sequence: self.sequence,
            ..request.clone()
        };
        self.model.sync(&self.worker, &request, now_ms)
    }

    fn start(&mut self, now_ms: u64, order: StartOrder) -> SyncReply {
        self.sync(now_ms, &support::starts(1, vec![order])).unwrap()
    }

    fn stop(&mut self, now_ms: u64, run: ids::TaskAttempt, mode: StopMode) -> SyncReply {
        let request = SyncRequest {
            stops: vec![StopOrder { run, mode }],
            ..support::starts(1, Vec::new())
        };
        self.sync(now_ms, &request).unwrap()
    }

    fn renew(&mut self, now_ms: u64) -> SyncReply {
        self.sync(now_ms, &support::starts(1, Vec::new())).unwrap()
    }

    fn count(&self, wanted: fn(&Event) -> bool) -> usize {
        let records = self.history.records();
        records
            .iter()
            .filter(|record| wanted(&record.event))
            .count()
    }
}

fn ends(reply: &SyncReply) -> Vec<RunEnd> {
    reply.finished.iter().map(|finished| finished.end).collect()
}

fn running(reply: &SyncReply) -> usize {
    reply.running.as_ref().map_or(0, Vec::len)
}

#[test]
fn an_older_epoch_or_sequence_is_rejected() {
    let mut fleet = Fleet::new();
    fleet.sync(0, &support::starts(2, Vec::new())).unwrap();
    let request = support::starts(1, vec![support::batch("late", 1, 100)]);
    let stale = fleet.sync(1, &request);
    assert!(
        matches!(
            stale,
            Err(WorkerError::StaleEpoch {
                seen: ids::Epoch(2)
            })
        ),
        "{stale:?}"
    );
    let delayed = SyncRequest {
        epoch: ids::Epoch(2),
        sequence: 1,
        ..request
    };
    let delayed = fleet.model.sync(&fleet.worker, &delayed, 2);
    assert!(
        matches!(delayed, Err(WorkerError::OutOfOrder)),
        "{delayed:?}"
    );
    assert_eq!(fleet.model.running_tasks(), 0);
    assert_eq!(
        fleet.count(|event| matches!(event, Event::OrderRefused { .. })),
        1
    );
    let fresh = support::starts(3, Vec::new());
    let fresh = SyncRequest {
        sequence: 0,
        ..fresh
    };
    assert!(
        fleet.model.sync(&fleet.worker, &fresh, 3).is_ok(),
        "a new epoch counts anew"
    );
}

#[test]
fn a_worker_ends_its_tasks_when_their_lease_expires() {
    let mut fleet = Fleet::new();
    fleet.start(0, support::service("bankbuch", 1));
    fleet.renew(LEASE_MS - 1);
    fleet.model.advance(2 * LEASE_MS - 2);
    assert_eq!(fleet.model.running_tasks(), 1);
    assert_eq!(fleet.model.next_due_ms(), Some(2 * LEASE_MS - 1));
    fleet.model.advance(2 * LEASE_MS + 500);
    let last = fleet.history.records().pop().unwrap();
    assert_eq!(
        last.at_ms,
        2 * LEASE_MS - 1,
        "the end is dated when it came"
    );
    let reply = fleet.renew(3 * LEASE_MS);
    assert_eq!(ends(&reply), [RunEnd::LeaseLapsed]);
    assert_eq!(running(&reply), 0);
}

#[test]
fn a_finished_run_is_reported_until_it_is_acknowledged() {
    let mut fleet = Fleet::new();
    fleet.start(0, support::batch("report", 1, 100));
    for now_ms in [100, 200] {
        assert_eq!(ends(&fleet.renew(now_ms)), [RunEnd::Completed]);
    }
    let acknowledge = SyncRequest {
        acknowledged: vec![support::run("report", 1)],
        ..support::starts(1, Vec::new())
    };
    assert!(fleet.sync(300, &acknowledge).unwrap().finished.is_empty());
    let again = fleet.start(400, support::batch("report", 1, 100));
    assert_eq!(again.refused[0].reason, RefusalReason::OldAttempt);
}

struct StartCase {
    name: &'static str,
    order: fn() -> StartOrder,
    refused: Option<RefusalReason>,
    running: usize,
}

const START_CASES: [StartCase; 6] = [
    StartCase {
        name: "the same run again",
        order: || support::batch("report", 2, 1_000),
        refused: None,
        running: 1,
    },
    StartCase {
        name: "an earlier attempt",
        order: || support::batch("report", 1, 1_000),
        refused: Some(RefusalReason::OldAttempt),
        running: 1,
    },
    StartCase {
        name: "a later attempt replaces the earlier one",
        order: || support::batch("report", 3, 1_000),
        refused: None,
        running: 1,
    },
    StartCase {
        name: "another task",
        order: || support::batch("audit", 1, 1_000),
        refused: None,
        running: 2,
    },
    StartCase {
        name: "all of the worker, of which a part is taken",
        order: || StartOrder {
            demand: work::Resources::new(16_000, 1, 0),
            ..support::batch("audit", 1, 1_000)
        },
        refused: Some(RefusalReason::NoRoom),
        running: 1,
    },
    StartCase {
        name: "a run that was ordered to stop before",
        order: || support::batch("stopped", 1, 1_000),
        refused: Some(RefusalReason::OldAttempt),
        running: 1,
    },
];

#[test]
fn starts_are_executed_once_and_within_capacity() {
    for case in START_CASES {
        let mut fleet = Fleet::new();
        fleet.start(0, support::batch("report", 2, 1_000));
        fleet.stop(1, support::run("stopped", 1), StopMode::Kill);
        let reply = fleet.start(2, (case.order)());
        let reason = reply.refused.first().map(|refusal| refusal.reason);
        assert_eq!(reason, case.refused, "{}", case.name);
        assert_eq!(running(&reply), case.running, "{}", case.name);
    }
}

#[test]
fn a_checkpoint_is_resumed_by_a_later_attempt() {
    let mut fleet = Fleet::new();
    fleet.start(0, support::batch("report", 1, 1_000));
    let reply = fleet.stop(700, support::run("report", 1), StopMode::Checkpoint);
    assert_eq!(ends(&reply), [RunEnd::Checkpointed]);
    fleet.start(800, support::batch("report", 2, 1_000));
    assert_eq!(fleet.model.next_due_ms(), Some(800 + 300));
}

#[test]
fn usage_lags_and_a_throttled_task_uses_less() {
    let mut fleet = Fleet::new();
    let first = fleet.start(0, support::service("bankbuch", 1));
    assert_eq!(first.running.unwrap()[0].usage, work::Resources::default());
    let known = SyncRequest {
        known_digest: Some(first.digest),
        ..support::starts(1, Vec::new())
    };
    assert!(
        fleet.sync(10, &known).unwrap().running.is_none(),
        "nothing has changed"
    );
    let usage = |reply: SyncReply| reply.running.unwrap()[0].usage.cpu_milli;
    let unthrottled = usage(fleet.sync(5_000, &known).unwrap());
    assert!(unthrottled > 0);
    let throttled = fleet.stop(5_001, support::run("bankbuch", 1), StopMode::Throttle);
    assert!(usage(throttled) < unthrottled);
}

#[test]
fn a_draining_minion_finishes_open_calls_and_refuses_new_ones() {
    let mut fleet = Fleet::new();
    let order = support::service("bankbuch", 1);
    fleet.start(0, order.clone());
    let worker = fleet.worker.clone();
    let begin = |fleet: &mut Fleet, attempt, epoch| {
        let mut call = support::call(attempt, "/", b"");
        call.epoch = ids::Epoch(epoch);
        fleet.model.begin_call(&worker, &order.run, &call, 1)
    };
    let open = begin(&mut fleet, 1, 1).unwrap();
    let stale = begin(&mut fleet, 2, 0);
    assert!(
        matches!(stale, Err(CallRefusal::StaleEpoch { .. })),
        "{stale:?}"
    );
    let reply = fleet.stop(2, order.run.clone(), StopMode::Drain);
    assert!(reply.running.unwrap()[0].draining);
    assert_eq!(begin(&mut fleet, 3, 1), Err(CallRefusal::Leaving));
    assert!(fleet.model.finish_call(&open, 3));
    assert_eq!(ends(&fleet.renew(4)), [RunEnd::Stopped]);
    assert_eq!(begin(&mut fleet, 4, 1), Err(CallRefusal::NoInstance));
    assert_eq!(
        fleet.count(|event| matches!(event, Event::RequestRan { .. })),
        1
    );
}

#[test]
fn a_drain_order_ends_a_minion_of_a_leaving_worker() {
    let mut fleet = Fleet::new();
    let order = support::service("bankbuch", 1);
    fleet.start(0, order.clone());
    let worker = fleet.worker.clone();
    let call = support::call(1, "/", b"");
    let open = fleet
        .model
        .begin_call(&worker, &order.run, &call, 1)
        .unwrap();
    fleet.model.leave(&worker, 2);
    fleet.stop(3, order.run, StopMode::Drain);
    assert!(fleet.model.finish_call(&open, 4));
    assert_eq!(ends(&fleet.renew(5)), [RunEnd::Stopped]);
    assert_eq!(
        fleet.count(|event| matches!(event, Event::UpstreamLeaving { .. })),
        1
    );
}

#[test]
fn a_key_that_was_never_seen_is_refused_after_an_inquiry() {
    let mut fleet = Fleet::new();
    let order = support::service("bankbuch", 1);
    fleet.start(0, order.clone());
    let worker = fleet.worker.clone();
    let key = ids::IdempotencyKey::new("charge-1");
    let mut call = support::call(1, "/charge", b"bay 4");
    call.key = Some(key.clone());
    let open = fleet
        .model
        .begin_call(&worker, &order.run, &call, 1)
        .unwrap();
    let inquire = |key: &ids::IdempotencyKey, fleet: &mut Fleet| {
        fleet.model.inquire(&worker, &order.run, key, 2).unwrap()
    };
    assert_eq!(inquire(&key, &mut fleet), Inquiry::Running);
    assert!(fleet.model.finish_call(&open, 3));
    assert!(matches!(inquire(&key, &mut fleet), Inquiry::Ran(_)));
    let unseen = ids::IdempotencyKey::new("charge-2");
    assert_eq!(inquire(&unseen, &mut fleet), Inquiry::NeverSeen);
    call.key = Some(unseen);
    let refused = fleet.model.begin_call(&worker, &order.run, &call, 4);
    assert_eq!(refused, Err(CallRefusal::KeyRefused));
}

#[test]
fn a_leaving_worker_refuses_starts_and_a_dead_one_is_replaced_under_a_new_id() {
    let mut fleet = Fleet::new();
    fleet.start(0, support::service("bankbuch", 1));
    let worker = fleet.worker.clone();
    assert!(fleet.model.leave(&worker, 1));
    let reply = fleet.start(2, support::batch("report", 1, 100));
    assert_eq!((reply.state, running(&reply)), (WorkerState::Leaving, 1));
    assert_eq!(reply.refused[0].reason, RefusalReason::Leaving);
    assert!(fleet.model.kill(&worker, 3));
    assert_eq!(fleet.model.running_tasks(), 0);
    let gone = fleet.sync(4, &support::starts(1, Vec::new()));
    assert!(
        matches!(gone, Err(WorkerError::Unreachable { .. })),
        "{gone:?}"
    );
    let replacement = fleet.model.revive(&worker, 5).unwrap();
    assert_ne!(replacement, worker);
    assert!(fleet.model.is_alive(&replacement));
    assert!(!fleet.model.is_alive(&worker));
}

#[test]
fn a_worker_or_a_work_item_can_be_set_to_fail() {
    let mut fleet = Fleet::new();
    let worker = fleet.worker.clone();
    fleet
        .model
        .set_work_fails(&ids::WorkId::new("broken"), true);
    fleet.start(0, support::batch("broken", 1, 1_000));
    assert_eq!(ends(&fleet.renew(100)), [RunEnd::Failed]);
    fleet.model.set_fails_all(&worker, true, 100);
    fleet.start(100, support::batch("sound", 1, 1_000));
    assert_eq!(ends(&fleet.renew(200)), [RunEnd::Failed, RunEnd::Failed]);
}

#[test]
fn list_changes_become_visible_after_the_lag() {
    let mut fleet = Fleet::new();
    let worker = fleet.worker.clone();
    let zone = ids::ZoneId::new("muc-ost");
    let listed = |fleet: &mut Fleet, now_ms| {
        let list = fleet.model.list(&zone, now_ms);
        list.into_iter()
            .find(|info| info.id == worker)
            .map(|info| info.state)
    };
    fleet.model.leave(&worker, 100);
    fleet.model.kill(&worker, 600);
    assert_eq!(listed(&mut fleet, 1_099), Some(WorkerState::Live));
    assert_eq!(listed(&mut fleet, 1_100), Some(WorkerState::Leaving));
    assert_eq!(listed(&mut fleet, 1_599), Some(WorkerState::Leaving));
    assert_eq!(listed(&mut fleet, 1_600), None);
}
