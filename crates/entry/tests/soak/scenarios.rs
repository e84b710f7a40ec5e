//! Directed scenarios, each after a way in which a run was or might be taken for ended.

use std::{sync::Arc, time::Duration};

use futures::future;
use rustix::process::Signal;
use tokio::time;

use crate::{
    proxy::{Flow, LinkState},
    rig::{Rig, Size},
};

/// A small cell whose workers go on serving for long after their drain.
const SIZE: Size = Size {
    hosts: 3,
    workers: 3,
    linger_ms: 9_000,
};
/// Duration of a cut, in milliseconds: longer than an entry and a hold last.
const CUT_MS: u64 = 7_000;
/// Duration of a partition, in milliseconds: longer than a coordinator's authority and a hold.
const PARTITION_MS: u64 = 12_000;

async fn sleep_ms(duration_ms: u64) {
    time::sleep(Duration::from_millis(duration_ms)).await;
}

/// Starts a cell with tasks that last longer than a hold, of which one worker begins to drain.
async fn start_draining(name: &str) -> (Rig, usize) {
    let mut rig = Rig::start(name, SIZE).await;
    rig.clients.submit(1, 9, 6_000).await;
    rig.wait_until("runs of the job", |rig| {
        let worker = &rig.workers[rig.busy_worker()];
        worker.log().contains("\"started\"")
    })
    .await;
    sleep_ms(300).await;
    let worker = rig.busy_worker();
    rig.workers[worker].signal(Signal::TERM);
    rig.wait_until("the coordinator knows that the worker drains", |rig| {
        let id = format!("worker=i-{worker} ");
        let drains = |line: &str| line.contains(&id) && line.contains("draining=true");
        rig.hosts[rig.leader()].log().lines().any(drains)
    })
    .await;
    // Just before the next heartbeat, so that the entry expires well before the hold.
    sleep_ms(1_100).await;
    (rig, worker)
}

/// What happens to a draining worker, and to its coordinator.
struct DrainingCut {
    name: &'static str,
    state: LinkState,
    kills_leader: bool,
}

async fn cut_draining_worker(case: DrainingCut) {
    let (mut rig, worker) = start_draining(case.name).await;
    rig.note_fault(CUT_MS);
    rig.workers[worker].cut(case.state);
    sleep_ms(500).await;
    if case.kills_leader {
        let leader = rig.leader();
        rig.hosts[leader].signal(Signal::KILL);
    }
    sleep_ms(CUT_MS - 500).await;
    rig.workers[worker].cut(LinkState::OPEN);
    rig.finish().await;
}

/// Guards against taking a draining worker that is cut off for one that has left.
#[tokio::test]
async fn a_draining_worker_that_is_silent_runs_no_task_twice() {
    cut_draining_worker(DrainingCut {
        name: "draining, silent",
        state: LinkState::SILENT,
        kills_leader: false,
    })
    .await;
}

/// Guards against taking a refused connection to a draining worker for the end of its process.
#[tokio::test]
async fn a_draining_worker_that_is_refused_runs_no_task_twice() {
    cut_draining_worker(DrainingCut {
        name: "draining, refused",
        state: LinkState::REFUSED,
        kills_leader: false,
    })
    .await;
}

/// Guards against taking a reset connection to a draining worker for the end of its process.
#[tokio::test]
async fn a_draining_worker_that_is_reset_runs_no_task_twice() {
    cut_draining_worker(DrainingCut {
        name: "draining, reset",
        state: LinkState::RESET,
        kills_leader: false,
    })
    .await;
}

/// Guards against a successor that takes a draining worker that is cut off for one that has left.
#[tokio::test]
async fn a_takeover_beside_a_silent_draining_worker_runs_no_task_twice() {
    cut_draining_worker(DrainingCut {
        name: "draining, silent, takeover",
        state: LinkState::SILENT,
        kills_leader: true,
    })
    .await;
}

/// Guards against a successor that takes a refused connection for a draining worker's end.
#[tokio::test]
async fn a_takeover_beside_a_refused_draining_worker_runs_no_task_twice() {
    cut_draining_worker(DrainingCut {
        name: "draining, refused, takeover",
        state: LinkState::REFUSED,
        kills_leader: true,
    })
    .await;
}

/// Guards against taking a draining worker whose process is stopped for one that has left.
#[tokio::test]
async fn a_draining_worker_that_is_stopped_runs_no_task_twice() {
    const STOPPED_MS: u64 = 6_500;
    let (mut rig, worker) = start_draining("draining, stopped").await;
    rig.note_fault(STOPPED_MS);
    rig.workers[worker].signal(Signal::STOP);
    sleep_ms(STOPPED_MS).await;
    rig.workers[worker].signal(Signal::CONT);
    rig.finish().await;
}

/// Guards against runs of orders that arrive late: of a task that runs elsewhere, or of a cancelled
/// job.
#[tokio::test]
async fn orders_that_arrive_late_start_nothing_twice() {
    let mut rig = Rig::start("late orders", SIZE).await;
    rig.clients.submit(1, 6, 5_000).await;
    for delay_ms in [2_000, 5_000, 8_000] {
        rig.note_fault(2_500 + delay_ms);
        let late = LinkState::flows(Flow::Delayed(delay_ms), Flow::Open);
        rig.workers[0].set_calls(late);
        rig.clients.submit(delay_ms, 12, 1_500).await;
        rig.clients.submit(delay_ms + 1, 6, 1_500).await;
        sleep_ms(1_000).await;
        rig.clients.cancel(delay_ms + 1).await;
        sleep_ms(1_500).await;
        rig.workers[0].set_calls(LinkState::OPEN);
        sleep_ms(1_500).await;
    }
    sleep_ms(8_000).await;
    rig.finish().await;
}

/// How a worker's next process follows the last one.
#[derive(Clone, Copy, Debug)]
enum Successor {
    SameId,
    NewId,
}

/// A worker's process is killed while starts are on their way, which reach the next one.
async fn follow_with_starts_in_transit(name: &str, successor: Successor) {
    let mut rig = Rig::start(name, SIZE).await;
    for delay_ms in [600, 1_500, 2_500] {
        rig.note_fault(delay_ms);
        let late = LinkState::flows(Flow::Delayed(delay_ms), Flow::Open);
        rig.workers[0].set_calls(late);
        rig.clients.submit(delay_ms, 30, 4_000).await;
        sleep_ms(300).await;
        rig.workers[0].signal(Signal::KILL);
        match successor {
            Successor::SameId => rig.start_worker(0),
            Successor::NewId => rig.replace_worker(0),
        }
        sleep_ms(5_000).await;
    }
    rig.finish().await;
}

/// Guards against orders in transit that count as ended with a worker's process, and then reach
/// the next one.
#[tokio::test]
async fn a_worker_restarted_under_its_id_runs_no_task_twice() {
    follow_with_starts_in_transit("restarted worker", Successor::SameId).await;
}

/// Guards against answers of another worker that count for the last one at its address.
#[tokio::test]
async fn a_worker_at_the_address_of_another_runs_no_task_twice() {
    follow_with_starts_in_transit("address used again", Successor::NewId).await;
}

/// Guards against a coordinator that does not notice that it has been replaced.
#[tokio::test]
async fn a_coordinator_cut_off_from_the_store_runs_no_task_twice() {
    let mut rig = Rig::start("leader without store", SIZE).await;
    rig.clients.submit(1, 30, 5_000).await;
    sleep_ms(500).await;
    let leader = rig.leader();
    rig.note_fault(CUT_MS);
    rig.hosts[leader].store.set(LinkState::SILENT);
    for number in 2..8 {
        rig.clients.submit(number, 3, 1_500).await;
        sleep_ms(1_000).await;
    }
    rig.hosts[leader].store.set(LinkState::OPEN);
    rig.finish().await;
}

/// A partition: the coordinator and one worker on one side, all else on the other.
async fn cut_leader_and_worker_off(name: &str, state: LinkState) {
    let mut rig = Rig::start(name, SIZE).await;
    rig.clients.submit(1, 30, 15_000).await;
    sleep_ms(1_000).await;
    let leader = rig.leader();
    let its_worker = rig.busy_worker();
    rig.note_fault(PARTITION_MS);
    rig.cut_off(leader, its_worker, state);
    sleep_ms(PARTITION_MS).await;
    rig.cut_off(leader, its_worker, LinkState::OPEN);
    rig.finish().await;
}

/// Guards against taking refused connections to a coordinator for its end: it goes on extending
/// the hold of a worker that its successor does not reach.
#[tokio::test]
async fn a_coordinator_that_is_refused_with_one_worker_runs_no_task_twice() {
    cut_leader_and_worker_off("leader refused", LinkState::REFUSED).await;
}

/// The same with a coordinator that is silent, whose authority a successor has to wait for.
#[tokio::test]
async fn a_coordinator_that_is_silent_with_one_worker_runs_no_task_twice() {
    cut_leader_and_worker_off("leader silent", LinkState::SILENT).await;
}

/// Guards against a predecessor that leaves, and extends holds after its successor believes that all
/// of them have expired: the write of its key has taken long.
#[tokio::test]
async fn a_coordinator_that_leaves_with_a_slow_store_runs_no_task_twice() {
    let mut rig = Rig::start("leader leaves", SIZE).await;
    rig.clients.submit(1, 30, 15_000).await;
    sleep_ms(1_000).await;
    let leader = rig.leader();
    let its_worker = rig.busy_worker();
    rig.note_fault(PARTITION_MS);
    for host in &rig.hosts {
        host.store
            .set(LinkState::flows(Flow::Open, Flow::Delayed(700)));
    }
    rig.hosts[leader].signal(Signal::TERM);
    sleep_ms(300).await;
    for (host, link) in rig.workers[its_worker].calls.iter().enumerate() {
        if host != leader {
            link.set(LinkState::SILENT);
        }
    }
    sleep_ms(PARTITION_MS).await;
    rig.heal();
    rig.finish().await;
}

/// A wave of cancellations while the coordinator is stopped, of more jobs than the workers have
/// room for.
async fn cancel_beside_a_stopped_leader(stopped_ms: u64) {
    const JOBS: u64 = 150;
    let mut rig = Rig::start(&format!("cancels, {stopped_ms} ms"), SIZE).await;
    for number in 0..JOBS {
        rig.clients.submit(number, 3, 1_500).await;
    }
    let leader = rig.leader();
    rig.note_fault(stopped_ms);
    rig.hosts[leader].signal(Signal::STOP);
    let clients = Arc::clone(&rig.clients);
    let cancels = tokio::spawn(async move {
        let cancels = (0..JOBS).map(|number| clients.cancel(number));
        future::join_all(cancels).await;
    });
    sleep_ms(stopped_ms).await;
    rig.hosts[leader].signal(Signal::CONT);
    cancels.await.expect("no client panics");
    // Runs that go on are seen once time bounds hold again.
    sleep_ms(9_000).await;
    rig.finish().await;
}

/// Guards against work of a cancelled job that goes on or starts after the coordinator's pause.
#[tokio::test]
async fn cancels_beside_a_coordinator_stopped_for_1_s_take_effect() {
    cancel_beside_a_stopped_leader(1_000).await;
}

/// Guards against work of a cancelled job that goes on or starts after the coordinator's pause.
#[tokio::test]
async fn cancels_beside_a_coordinator_stopped_for_4_s_take_effect() {
    cancel_beside_a_stopped_leader(4_000).await;
}

/// Guards against work of a cancelled job that goes on or starts after the coordinator's pause.
#[tokio::test]
async fn cancels_beside_a_coordinator_stopped_for_8_s_take_effect() {
    cancel_beside_a_stopped_leader(8_000).await;
}
