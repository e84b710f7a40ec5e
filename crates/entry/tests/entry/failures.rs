//! Hosts that die, pause or leave, and a store that is away.

use std::time::{Duration, Instant};

use platform_standin::store::Mood;
use rustix::process::Signal;
use tokio::time;

use crate::support::{self, World};

/// A configuration must be in force everywhere within this time.
const CONFIG_BOUND: Duration = Duration::from_secs(3);

#[tokio::test]
async fn accepted_work_is_done_once_when_the_coordinator_is_killed() {
    let mut world = World::start(3, 4, false).await;
    for number in 0..8 {
        let path = support::path("batch", number);
        assert_eq!(
            world
                .submit(number as usize % 3, &path, 4, "run=900")
                .await
                .status,
            200
        );
    }
    time::sleep(Duration::from_millis(300)).await;
    let lead = world.lead();
    world.hosts[lead].signal(Signal::KILL);
    world.hosts[lead].wait();
    let other = (lead + 1) % 3;
    for number in 0..8 {
        world
            .wait_for_state(other, &support::path("batch", number), "completed")
            .await;
        assert_eq!(
            world.platform.cell.done_of(&format!("{number:016x}")),
            4,
            "job {number}"
        );
    }
    world.assert_sound();
}

#[tokio::test]
async fn a_host_that_is_told_to_stop_cuts_no_request() {
    let mut world = World::start(3, 2, false).await;
    let path = support::path("batch", 1);
    assert_eq!(world.submit(0, &path, 1, "run=100").await.status, 200);
    world.wait_for_state(0, &path, "completed").await;
    let lead = world.lead();
    let readiness = world.hosts[lead].readiness;
    world.hosts[lead].signal(Signal::TERM);
    let told = Instant::now();
    let mut answered = 0;
    // The platform sends requests here until it has seen twice that the host is not ready.
    while told.elapsed() < Duration::from_secs(2) {
        let reply = world.call(lead, "GET", &path, None).await;
        assert_eq!(reply.status, 200, "after {:?}", told.elapsed());
        answered += 1;
        time::sleep(Duration::from_millis(20)).await;
    }
    assert!(answered > 20, "{answered}");
    let reply = world
        .call_address(readiness, "GET", "/hickorychute/ready", None)
        .await;
    assert_eq!(reply.status, 503);
    world.hosts[lead].wait();
    assert!(
        told.elapsed() < Duration::from_secs(6),
        "{:?}",
        told.elapsed()
    );
    assert!(world.hosts[lead].log().contains("entry-stopped"));
}

#[tokio::test]
async fn a_paused_coordinator_is_replaced_and_harms_nothing_when_it_wakes() {
    let world = World::start(3, 4, false).await;
    for number in 0..6 {
        let path = support::path("batch", number);
        assert_eq!(world.submit(0, &path, 3, "run=700").await.status, 200);
    }
    let lead = world.lead();
    world.hosts[lead].signal(Signal::STOP);
    let other = (lead + 1) % 3;
    let began = Instant::now();
    let path = support::path("urgent", 100);
    let reply = world.submit(other, &path, 1, "run=50").await;
    // A silent host must not use up the caller's time.
    assert_eq!(reply.status, 200);
    assert!(
        began.elapsed() < Duration::from_millis(2_500),
        "{:?}",
        began.elapsed()
    );
    world.wait_for_state(other, &path, "completed").await;
    world.hosts[lead].signal(Signal::CONT);
    for number in 0..6 {
        world
            .wait_for_state(other, &support::path("batch", number), "completed")
            .await;
    }
    world.assert_sound();
}

#[tokio::test]
async fn work_goes_on_while_the_store_is_away_and_callers_are_told_to_come_back() {
    let world = World::start(3, 4, false).await;
    let before = support::path("batch", 1);
    assert_eq!(world.submit(0, &before, 4, "run=1500").await.status, 200);
    world.wait_for_state(0, &before, "running").await;
    world.platform.store.set_mood(Mood::Busy);
    time::sleep(Duration::from_millis(1_500)).await;
    let began = Instant::now();
    let reply = world
        .submit(world.follower(), &support::path("batch", 2), 1, "run=50")
        .await;
    assert_eq!(reply.status, 503);
    assert!(reply.retry_after_s.is_some());
    assert!(
        began.elapsed() < Duration::from_millis(500),
        "{:?}",
        began.elapsed()
    );
    time::sleep(Duration::from_millis(1_500)).await;
    world.platform.store.set_mood(Mood::Serving);
    world.wait_for_state(1, &before, "completed").await;
    assert_eq!(world.platform.cell.starts_of("0000000000000001"), 4);
    let again = support::path("batch", 3);
    let reply = world.submit(0, &again, 1, "run=50").await;
    assert_eq!(reply.status, 200);
    world.wait_for_state(1, &again, "completed").await;
    world.assert_sound();
}

#[tokio::test]
async fn a_write_without_an_answer_is_neither_lost_nor_done_twice() {
    let world = World::start(3, 4, false).await;
    world.platform.store.set_mood(Mood::LosingAnswers);
    let path = support::path("batch", 1);
    let reply = world.submit(0, &path, 2, "run=100").await;
    // Accepted, or in doubt; never refused, since it is in the store.
    assert!([200, 504].contains(&reply.status), "{reply:?}");
    world.platform.store.set_mood(Mood::Serving);
    let reply = world.submit(1, &path, 2, "run=100").await;
    assert_eq!(reply.status, 200);
    world.wait_for_state(2, &path, "completed").await;
    assert_eq!(world.platform.cell.done_of("0000000000000001"), 2);
    world.assert_sound();
}

/// Found in a reading: while a write had no answer, a repeat of its job was told that the job would
/// never run, though the write could still take effect.
#[tokio::test]
async fn a_repeat_of_a_job_in_doubt_is_not_refused() {
    let world = World::start(3, 4, false).await;
    let lead = world.lead();
    world.platform.store.set_mood(Mood::Mute);
    let path = support::path("batch", 1);
    for attempt in 0..2 {
        let reply = world.submit(lead, &path, 2, "run=100").await;
        assert_eq!(reply.status, 504, "attempt {attempt}: {reply:?}");
    }
    world.platform.store.set_mood(Mood::Serving);
    world
        .wait_for_state(world.follower(), &path, "completed")
        .await;
    assert_eq!(world.submit(0, &path, 2, "run=100").await.status, 200);
    assert_eq!(world.platform.cell.done_of("0000000000000001"), 2);
    world.assert_sound();
}

#[tokio::test]
async fn a_silent_worker_is_replaced_only_after_its_runs_have_lapsed() {
    let world = World::start(3, 3, false).await;
    let path = support::path("batch", 1);
    assert_eq!(
        world.submit(0, &path, 30, "run=2000 cpu=1000").await.status,
        200
    );
    world.wait_for_state(1, &path, "running").await;
    world.platform.workers[1].set_silent(true);
    // The stand-in records a fault if a task starts while another run of it goes on.
    world.wait_for_state(1, &path, "completed").await;
    world.assert_sound();
}

#[tokio::test]
async fn a_configuration_is_in_force_everywhere_in_time_and_never_reverts() {
    let world = World::start(3, 2, false).await;
    let path = support::path("later", 1);
    assert_eq!(world.submit(0, &path, 1, "run=50").await.status, 404);
    world.platform.store.compact();
    world
        .platform
        .configure(5, &["urgent", "batch", "later"], false);
    let written = Instant::now();
    for host in 0..3 {
        while world.call(host, "GET", "/later/", None).await.status != 200 {
            assert!(written.elapsed() < CONFIG_BOUND, "host {host}");
            time::sleep(Duration::from_millis(20)).await;
        }
    }
    world.platform.configure(3, &["urgent"], false);
    time::sleep(Duration::from_millis(500)).await;
    for host in 0..3 {
        assert_eq!(
            world.call(host, "GET", "/later/", None).await.status,
            200,
            "host {host}"
        );
    }
}

/// Found on days on which the store's history goes: hosts watched from the revision of the
/// configuration, which was older than the history, and asked again without a pause.
#[tokio::test]
async fn a_dropped_history_costs_few_calls() {
    /// Calls of three idle hosts, far above what they need.
    const MOST_CALLS_PER_S: u64 = 60;
    let world = World::start(3, 2, false).await;
    world
        .platform
        .store
        .put("elsewhere", "moves the revision on");
    world.platform.store.compact();
    time::sleep(Duration::from_millis(1_500)).await;
    let before = world.platform.store.calls();
    time::sleep(Duration::from_secs(2)).await;
    let calls = world.platform.store.calls() - before;
    assert!(calls <= 2 * MOST_CALLS_PER_S, "{calls} calls in 2 s");
}
