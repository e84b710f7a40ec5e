//! Slot allocation, queueing and fair sharing of a dispatcher.

use hickorychute_calls as calls;
use kernel::errors::ErrorKind;
use kernel::ids;
use kernel::work::Urgency;

fn run(index: u32, attempt: u32) -> ids::TaskAttempt {
    ids::TaskAttempt {
        task: ids::TaskId::new(&ids::WorkId::new("bankbuch"), index),
        attempt: ids::Attempt(attempt),
    }
}

fn request(id: u64, team: &str, urgency: Urgency, deadline_at_ms: u64) -> calls::CallTicket {
    calls::CallTicket {
        id: calls::CallId(id),
        team: ids::TeamId::new(team),
        urgency,
        deadline_at_ms,
        body_bytes: 100,
    }
}

fn dispatcher(instances: u32, slots: u32) -> calls::Dispatcher {
    let mut dispatcher = calls::Dispatcher::new(calls::DispatcherConfig::default(), 7);
    for index in 0..instances {
        dispatcher.set_instance(&run(index, 1), "127.0.0.1:1", slots, 64, 0);
    }
    dispatcher
}

fn call_ids(ready: &[calls::Dispatch]) -> Vec<u64> {
    ready.iter().map(|dispatch| dispatch.id.0).collect()
}

#[test]
fn calls_spread_over_the_least_loaded_instances() {
    let mut dispatcher = dispatcher(4, 8);
    for id in 0..32 {
        let admission = dispatcher.admit(request(id, "a", Urgency::Normal, 1_000), 0);
        assert!(matches!(admission, calls::Admission::Dispatch(_)));
        let open: Vec<u32> = (0..4)
            .map(|index| dispatcher.open_calls_on(&run(index, 1)))
            .collect();
        let spread = open.iter().max().unwrap() - open.iter().min().unwrap();
        assert!(spread <= 1, "{open:?}");
    }
    let admission = dispatcher.admit(request(32, "a", Urgency::Normal, 1_000), 0);
    assert_eq!(admission, calls::Admission::Queued);
}

#[test]
fn urgent_calls_go_first_and_finish_frees_the_slot() {
    let mut dispatcher = dispatcher(1, 1);
    dispatcher.admit(request(0, "a", Urgency::Normal, 1_000), 0);
    dispatcher.admit(request(1, "a", Urgency::Deferrable, 1_000), 0);
    dispatcher.admit(request(2, "a", Urgency::Normal, 1_000), 0);
    dispatcher.admit(request(3, "b", Urgency::Urgent, 1_000), 0);
    let mut order = Vec::new();
    for id in [0, 3, 2] {
        order.extend(call_ids(&dispatcher.finish(calls::CallId(id), 10)));
    }
    assert_eq!(order, [3, 2, 1]);
}

#[test]
fn a_call_that_cannot_finish_in_time_is_refused_immediately() {
    let mut dispatcher = dispatcher(1, 1);
    dispatcher.admit(request(0, "a", Urgency::Normal, 1_000), 0);
    for id in 1..=10 {
        dispatcher.admit(request(id, "a", Urgency::Normal, 10_000), 0);
    }
    let admission = dispatcher.admit(request(11, "a", Urgency::Normal, 100), 0);
    let calls::Admission::Refused(refused) = admission else {
        panic!("{admission:?}");
    };
    assert_eq!(refused.kind, ErrorKind::Overloaded);
}

#[test]
fn expired_and_abandoned_calls_never_run() {
    let mut dispatcher = dispatcher(1, 1);
    dispatcher.admit(request(0, "a", Urgency::Normal, 1_000), 0);
    dispatcher.admit(request(1, "a", Urgency::Normal, 200), 0);
    dispatcher.admit(request(2, "a", Urgency::Normal, 1_000), 0);
    assert!(dispatcher.abandon(calls::CallId(2)));
    assert!(
        !dispatcher.abandon(calls::CallId(0)),
        "a running call is not waiting"
    );
    assert_eq!(dispatcher.open_calls_on(&run(0, 1)), 1);
    let refused = dispatcher.expire(200);
    assert_eq!(refused.len(), 1);
    assert_eq!(refused[0].kind, ErrorKind::DeadlineBeforeStart);
    assert!(dispatcher.finish(calls::CallId(0), 300).is_empty());
}

#[test]
fn a_leaving_instance_gets_no_new_calls_even_if_set_again() {
    let mut dispatcher = dispatcher(1, 1);
    dispatcher.admit(request(0, "a", Urgency::Normal, 1_000), 0);
    dispatcher.admit(request(1, "a", Urgency::Normal, 1_000), 0);
    dispatcher.set_leaving(&run(0, 1), calls::LeavingSource::Refusal);
    dispatcher.remove_instance(&run(0, 1));
    dispatcher.set_instance(&run(0, 1), "127.0.0.1:1", 8, 64, 1);
    assert!(dispatcher.finish(calls::CallId(0), 2).is_empty());
    let refused = dispatcher.expire(3);
    assert_eq!(refused[0].kind, ErrorKind::NoUpstream);
    let admission = dispatcher.admit(request(2, "a", Urgency::Normal, 1_000), 4);
    assert!(matches!(admission, calls::Admission::Refused(_)));
    dispatcher.set_instance(&run(0, 2), "127.0.0.1:1", 8, 64, 5);
    let admission = dispatcher.admit(request(3, "a", Urgency::Normal, 1_000), 6);
    assert!(matches!(admission, calls::Admission::Dispatch(_)));
}

#[test]
fn a_blocked_instance_accepts_calls_when_the_block_ends() {
    let mut dispatcher = dispatcher(0, 0);
    dispatcher.block_until(&run(0, 1), 500);
    dispatcher.set_instance(&run(0, 1), "127.0.0.1:1", 1, 64, 0);
    dispatcher.block_until(&run(0, 1), 100);
    let admission = dispatcher.admit(request(0, "a", Urgency::Normal, 1_000), 1);
    assert_eq!(admission, calls::Admission::Queued);
    assert!(dispatcher.dispatch_ready(499).is_empty());
    assert_eq!(call_ids(&dispatcher.dispatch_ready(500)), [0]);
}

#[test]
fn a_flooding_team_evicts_only_its_own_calls() {
    let config = calls::DispatcherConfig {
        max_queued_calls: 10,
        ..calls::DispatcherConfig::default()
    };
    let mut dispatcher = calls::Dispatcher::new(config, 7);
    dispatcher.set_instance(&run(0, 1), "127.0.0.1:1", 1, 64, 0);
    for id in 0..20 {
        dispatcher.admit(request(id, "flood", Urgency::Normal, 60_000), 0);
    }
    let admission = dispatcher.admit(request(100, "quiet", Urgency::Normal, 60_000), 0);
    assert_eq!(admission, calls::Admission::Queued);
    let refused = dispatcher.expire(1);
    assert_eq!(refused.len(), 1);
    assert_eq!(
        refused[0].id,
        calls::CallId(10),
        "newest call of the flooding team"
    );
    assert!(call_ids(&dispatcher.finish(calls::CallId(0), 1)).len() == 1);
}

#[test]
fn a_team_gains_no_share_by_marking_all_its_calls_urgent() {
    const SERVED: u64 = 2_000;
    let mut dispatcher = dispatcher(1, 1);
    let mut next = 0;
    let mut now_ms = 0;
    let mut open = Vec::new();
    let mut served = [0, 0];
    while served[0] + served[1] < SERVED {
        now_ms += 10;
        for (team, urgency) in [("urgent", Urgency::Urgent), ("normal", Urgency::Normal)] {
            let request = request(next, team, urgency, now_ms + 5_000);
            if let calls::Admission::Dispatch(dispatch) = dispatcher.admit(request, now_ms) {
                open.push(dispatch.id);
            }
            next += 1;
        }
        dispatcher.expire(now_ms);
        let ended: Vec<calls::CallId> = std::mem::take(&mut open);
        for id in ended {
            served[(id.0 % 2) as usize] += 1;
            let ready = dispatcher.finish(id, now_ms);
            open.extend(ready.iter().map(|dispatch| dispatch.id));
        }
    }
    // A team may once get ahead of its share by 2 s of slot time, which is 200 of these calls.
    assert!(served[0] <= SERVED / 2 + 200 + SERVED / 40, "{served:?}");
}
