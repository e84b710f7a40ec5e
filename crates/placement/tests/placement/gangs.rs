//! Gangs whose tasks are divided among several groups.

use std::sync::Arc;

use hickorychute_placement as placement;
use indexmap::IndexMap;
use kernel::ids;
use kernel::work;
use placement::{ConfirmStep, GangCoordinator, GangPart, GangRequest, ReserveStep};
use platform::workers;

use crate::harness;

const CAPACITY: work::Resources = work::Resources::new(8_000, 16_000, 0);
const LEASE_MS: u64 = 1_000;
const MARGIN_MS: u64 = 200;

fn group_id(index: u16) -> ids::GroupId {
    ids::GroupId::new(&ids::ZoneId::new("muc-ost"), index)
}

fn gang(id: &str, tasks: u32) -> Arc<work::Work> {
    Arc::new(harness::job(id, work::WorkKind::GangJob, tasks, CAPACITY))
}

/// Returns parts with one task in each of the given groups.
fn parts(groups: &[u16]) -> Vec<GangPart> {
    let part = |(index, &group): (usize, &u16)| GangPart {
        group: group_id(group),
        runs: vec![(index as u32, ids::Attempt(1))],
    };
    groups.iter().enumerate().map(part).collect()
}

fn reserve(
    groups: &mut [harness::Harness],
    gang: &Arc<work::Work>,
    part: &GangPart,
    now_ms: u64,
) -> Option<placement::Reservation> {
    let harness = &mut groups[usize::from(part.group.index)];
    let until_ms = now_ms + LEASE_MS;
    harness
        .group
        .reserve(gang, &part.runs, None, until_ms, now_ms)
}

/// Tries once to start a gang. Returns whether it started.
fn try_start(
    groups: &mut [harness::Harness],
    gang: &Arc<work::Work>,
    wanted: &[u16],
    now_ms: u64,
) -> bool {
    let mut reserving = GangCoordinator::new(parts(wanted)).unwrap();
    let confirming = loop {
        let GangRequest::Reserve(part) = reserving.request() else {
            panic!("only reservations are asked for first");
        };
        let reply = reserve(groups, gang, &part, now_ms);
        match reserving.reply(reply, now_ms, MARGIN_MS) {
            ReserveStep::Next(next) => reserving = next,
            ReserveStep::Confirm(confirming) => break confirming,
            ReserveStep::RollBack(requests) => {
                for request in requests {
                    let GangRequest::Release { group, reservation } = request else {
                        panic!("{request:?}");
                    };
                    groups[usize::from(group.index)].group.release(reservation);
                }
                return false;
            }
        }
    };
    let mut step = ConfirmStep::Wait(confirming.clone());
    for request in confirming.requests() {
        let GangRequest::Confirm { group, reservation } = request else {
            panic!("{request:?}");
        };
        let owner = &mut groups[usize::from(group.index)].group;
        let starts = owner.confirm(reservation, now_ms);
        assert_eq!(starts.map(|starts| starts.len()), Some(1));
        assert_eq!(
            owner.confirm(reservation, now_ms),
            Some(Vec::new()),
            "again"
        );
        let ConfirmStep::Wait(waiting) = step else {
            panic!("{step:?}");
        };
        step = waiting.reply(&group, true);
    }
    matches!(step, ConfirmStep::Started)
}

fn three_groups() -> Vec<harness::Harness> {
    (0..3)
        .map(|_| harness::Harness::new(1, CAPACITY, harness::config()))
        .collect()
}

#[test]
fn gangs_with_overlapping_groups_neither_deadlock_nor_starve() {
    let mut groups = three_groups();
    let gangs: [(Arc<work::Work>, &[u16]); 4] = [
        (gang("a", 2), &[0, 1]),
        (gang("b", 2), &[1, 2]),
        (gang("c", 2), &[2, 0]),
        (gang("d", 3), &[0, 1, 2]),
    ];
    let mut started = [false; 4];
    let mut now_ms = 0;
    while started != [true; 4] {
        assert!(now_ms < 100_000, "{started:?}");
        // Gangs that started occupy their groups for the rest of the round.
        for (number, (gang, wanted)) in gangs.iter().enumerate() {
            if !started[number] {
                started[number] = try_start(&mut groups, gang, wanted, now_ms);
            }
        }
        now_ms += 100;
        complete_all_runs(&mut groups, now_ms);
    }
}

fn complete_all_runs(groups: &mut [harness::Harness], now_ms: u64) {
    for harness in groups {
        for task in harness.group.snapshot().tasks {
            if task.worker.is_some() {
                let end = workers::RunEnd::Completed;
                harness.group.ended(&task.run, end, 100, now_ms);
            }
        }
    }
}

#[test]
fn a_split_gang_starts_while_single_tasks_keep_arriving() {
    let mut groups = three_groups();
    let gang = gang("gang", 3);
    for round in 0..100_u64 {
        let now_ms = round * 500;
        for harness in &mut groups {
            harness.now_ms = now_ms;
            let mut single = harness::job(
                &format!("single-{round}"),
                work::WorkKind::BatchRun,
                1,
                CAPACITY,
            );
            single.run_time_ms = Some(20_000);
            harness.submit(single);
            harness.decide();
        }
        // One run ends per round, so the groups become free at different times.
        let harness = &mut groups[(round % 3) as usize];
        if let Some(run) = harness.runs.keys().next().cloned() {
            harness.end(&run, workers::RunEnd::Completed);
        }
        if try_start(&mut groups, &gang, &[0, 1, 2], now_ms) {
            return;
        }
    }
    panic!("the gang starves");
}

#[test]
fn a_failed_confirmation_aborts_the_other_parts() {
    let mut groups = three_groups();
    let gang = gang("gang", 2);
    let mut reserving = GangCoordinator::new(parts(&[0, 1])).unwrap();
    for part in parts(&[0]) {
        let reply = reserve(&mut groups, &gang, &part, 0);
        let ReserveStep::Next(next) = reserving.reply(reply, 0, MARGIN_MS) else {
            panic!("a second part is missing");
        };
        reserving = next;
    }
    let reply = reserve(&mut groups, &gang, &parts(&[0, 1])[1], 0);
    let ReserveStep::Confirm(confirming) = reserving.reply(reply, 0, MARGIN_MS) else {
        panic!("both parts are reserved");
    };
    let GangRequest::Confirm { group, reservation } = confirming.requests().remove(0) else {
        panic!("confirmations come first");
    };
    let starts = groups[0].group.confirm(reservation, 0).unwrap();
    groups[0].works.insert(gang.id.clone(), Arc::clone(&gang));
    let placement::Decision::Start { order, .. } = &starts[0] else {
        panic!("{starts:?}");
    };
    let ConfirmStep::Wait(confirming) = confirming.reply(&group, true) else {
        panic!("another confirmation is missing");
    };
    let ConfirmStep::Abort(requests) = confirming.reply(&group_id(1), false) else {
        panic!("a gang is never left in part");
    };
    assert!(requests.contains(&GangRequest::Abort { group }));
    groups[0].group.abort_gang(&gang.id);
    let stops = groups[0].group.decide(0, 10);
    assert!(
        matches!(&stops[..], [placement::Decision::Stop { .. }]),
        "{stops:?}"
    );
    let effect = groups[0]
        .group
        .ended(&order.run, workers::RunEnd::Stopped, 1, 1);
    assert_eq!(
        effect,
        placement::EndEffect::Returned {
            next: ids::Attempt(2)
        }
    );
    assert!(groups[0].group.decide(2, 10).is_empty());
}

#[test]
fn an_expired_reservation_is_not_confirmed() {
    let mut groups = three_groups();
    let gang = gang("gang", 1);
    let part = &parts(&[0])[0];
    let reservation = reserve(&mut groups, &gang, part, 0).unwrap();
    let free = groups[0].group.free();
    assert_eq!(free, work::Resources::default(), "a reservation counts");
    assert_eq!(groups[0].group.confirm(reservation.id, LEASE_MS), None);
    assert_eq!(groups[0].group.free(), CAPACITY);
}

#[test]
fn a_gang_is_divided_by_free_capacity() {
    let free: IndexMap<_, _> = [(group_id(0), 1), (group_id(1), 3), (group_id(2), 2)]
        .into_iter()
        .map(|(group, count)| (group, CAPACITY.times(count)))
        .collect();
    let runs: Vec<_> = (0..5).map(|index| (index, ids::Attempt(1))).collect();
    let parts = placement::divide_gang(CAPACITY, &runs, &free).unwrap();
    let sizes: Vec<_> = parts
        .iter()
        .map(|part| (part.group.index, part.runs.len()))
        .collect();
    assert_eq!(sizes, [(1, 3), (2, 2)]);
    let runs: Vec<_> = (0..7).map(|index| (index, ids::Attempt(1))).collect();
    assert_eq!(placement::divide_gang(CAPACITY, &runs, &free), None);
}
