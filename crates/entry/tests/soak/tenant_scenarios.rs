//! Directed scenarios with tenants: keys are revoked and limits change while hosts are disturbed.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use platform_standin::run_log::{RunEvent, TimedEvent};
use rustix::process::Signal;
use tokio::{task::JoinSet, time};

use crate::{
    proxy::LinkState,
    rig::{Rig, Size, Worker},
    tenants::{Change, REVOKE_MS, Tenants},
};

const SIZE: Size = Size {
    hosts: 3,
    workers: 3,
    linger_ms: 2_000,
};

async fn sleep_ms(duration_ms: u64) {
    time::sleep(Duration::from_millis(duration_ms)).await;
}

/// The tenants of a cell that was started with tenants.
pub fn tenants_of(rig: &Rig) -> &Tenants {
    rig.clients.tenants.as_ref().expect("the cell has tenants")
}

/// Sends calls with keys to each host until the set is dropped.
pub fn start_probes(rig: &Rig) -> JoinSet<()> {
    let mut probes = JoinSet::new();
    for host in 0..rig.hosts.len() {
        let clients = Arc::clone(&rig.clients);
        probes.spawn(async move { clients.probe(host).await });
    }
    probes
}

/// Tasks that have ended by themselves, according to the workers.
fn done_tasks(rig: &Rig) -> usize {
    let logs: Vec<String> = rig.workers.iter().map(Worker::log).collect();
    let lines = logs.iter().flat_map(|log| log.lines());
    let events = lines.filter_map(|line| serde_json::from_str::<TimedEvent>(line).ok());
    let done = events.filter_map(|timed| match timed.event {
        RunEvent::Ended { task, how, .. } if how == "done" => Some(task),
        _ => None,
    });
    done.collect::<BTreeSet<_>>().len()
}

/// Guards against work that is dropped or held back because its tenant lost all keys, also by a
/// successor that knows the job only from its record.
#[tokio::test]
async fn jobs_of_a_revoked_tenant_complete_under_another_coordinator() {
    const TASKS: u32 = 12;
    let mut rig = Rig::start_with_tenants("revoked, takeover", SIZE).await;
    let probes = start_probes(&rig);
    // Two waves within the limit of its tenant.
    rig.clients.submit(3, TASKS, 2_500).await;
    assert!(rig.clients.jobs().values().all(|job| job.accepted));
    tenants_of(&rig).change(Change::RevokeAll { tenant: 0 });
    sleep_ms(500).await;
    let leader = rig.leader();
    rig.note_fault(5_000);
    rig.hosts[leader].signal(Signal::KILL);
    rig.wait_until("all tasks, while their tenant has no key", |rig| {
        done_tasks(rig) == TASKS as usize
    })
    .await;
    sleep_ms(REVOKE_MS).await;
    tenants_of(&rig).settle();
    rig.heal();
    rig.finish().await;
    drop(probes);
}

/// Guards against a coordinator and another host that accept revoked keys while they reach the other
/// hosts but not the store, and against refusals of valid keys on their behalf.
#[tokio::test]
async fn a_coordinator_without_the_store_accepts_no_revoked_key() {
    const CUT_MS: u64 = 9_000;
    let mut rig = Rig::start_with_tenants("revoked, cut off", SIZE).await;
    let probes = start_probes(&rig);
    rig.clients.submit(1, 2, 500).await;
    rig.note_fault(CUT_MS);
    let leader = rig.leader();
    // The third host succeeds the coordinator, and answers the calls that the other one forwards.
    for host in [leader, (leader + 1) % SIZE.hosts] {
        rig.hosts[host].store.set(LinkState::SILENT);
    }
    tenants_of(&rig).change(Change::ReplaceAll { tenant: 1 });
    tenants_of(&rig).change(Change::RevokeAll { tenant: 2 });
    let mut calls = JoinSet::new();
    for number in 2..20 {
        let clients = Arc::clone(&rig.clients);
        calls.spawn(async move { clients.submit(number, 1, 300).await });
        sleep_ms(CUT_MS / 18).await;
    }
    rig.heal();
    sleep_ms(1_000).await;
    tenants_of(&rig).settle();
    calls.join_all().await;
    rig.finish().await;
    drop(probes);
}

/// Guards against successors that start more than a limit allows, because they do not know what their
/// predecessors have started on workers that are silent, or which limit is in force.
#[tokio::test]
async fn limits_hold_while_coordinators_are_killed_and_a_worker_is_silent() {
    const FAULT_MS: u64 = 4_000;
    let mut rig = Rig::start_with_tenants("limits, takeovers", SIZE).await;
    let mut calls = JoinSet::new();
    let clients = Arc::clone(&rig.clients);
    let mut submit = |number: u64, run_ms| {
        let clients = Arc::clone(&clients);
        calls.spawn(async move { clients.submit(number, 3, run_ms).await });
    };
    let mut numbers = 0_u64..;
    for tasks in [6, 8] {
        // Runs that outlast the takeover.
        numbers
            .by_ref()
            .take(12)
            .for_each(|number| submit(number, 3_500));
        sleep_ms(1_500).await;
        for tenant in 0..2 {
            tenants_of(&rig).change(Change::SetLimit { tenant, tasks });
        }
        let (leader, worker) = (rig.leader(), rig.busy_worker());
        rig.note_fault(FAULT_MS);
        rig.workers[worker].cut(LinkState::SILENT);
        rig.hosts[leader].signal(Signal::KILL);
        // A successor may start new jobs before it knows of all runs.
        for number in numbers.by_ref().take(20) {
            submit(number, 400);
            sleep_ms(FAULT_MS / 20).await;
        }
        rig.heal();
        rig.start_host(leader);
        sleep_ms(1_000).await;
    }
    calls.join_all().await;
    rig.finish().await;
}
