//! Crowds beside signals, restarts and outages, drawn from seeds.
//!
//! `HICKORY_FLOOD_SEED` and `HICKORY_FLOOD_SEEDS` give the first seed and their number.

use std::{
    env,
    sync::Arc,
    time::{Duration, Instant},
};

use platform_standin::{Platform, store::ResponseMode};
use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use rustix::process::Signal;
use tokio::time;

use crate::{
    ONE_AT_A_TIME,
    endurance::{self, SLOW_BODY, SLOW_CHUNKS, SLOW_HEAD, SMALLEST_MACHINE},
    jobs::Shape,
    moving::{Conduct, Crowd},
    rig::Rig,
};

/// Number of hosts.
const HOSTS: usize = 3;
/// Seeds that are played unless the environment says otherwise.
const DEFAULT_SEEDS: u64 = 3;
/// Duration of the disturbances of a seed.
const PLAN_TIME: Duration = Duration::from_secs(10);
/// Number of disturbances of a seed.
const DISTURBANCES: usize = 5;

/// What happens to the cell, and is undone some time later.
#[derive(Clone, Copy, Debug)]
enum Disturbance {
    /// A host is killed, and started again.
    Kill(usize),
    /// A host is asked to stop, and started again, whether or not it has ended by then.
    Replace(usize),
    /// A host reads its settings again.
    Reload(usize),
    /// A host stands still, and goes on.
    Freeze(usize),
    /// The store answers nothing.
    StoreAway,
    /// The store carries out writes and withholds its responses.
    WritesUnanswered,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    at_ms: u64,
    disturbance: Disturbance,
    is_end: bool,
}

#[derive(Debug)]
struct Plan {
    crowds: [(Conduct, usize); 2],
    steps: Vec<Step>,
}

fn plan(seed: u64) -> Plan {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut crowd = || match rng.random_range(0..10) {
        0 => (SLOW_BODY, rng.random_range(100..600)),
        1 => (SLOW_CHUNKS, rng.random_range(100..600)),
        2 => (SLOW_HEAD, rng.random_range(100..600)),
        3 => (Conduct::Withhold, rng.random_range(50..300)),
        4 => (Conduct::LeaveAtOnce, rng.random_range(1..30)),
        5 => (
            Conduct::KeepAlive { interval_ms: 1_000 },
            rng.random_range(100..600),
        ),
        6 | 7 => (Conduct::Submit(Shape::ManySteps), rng.random_range(1..20)),
        8 => (
            Conduct::Submit(Shape::ShortestSteps),
            rng.random_range(1..6),
        ),
        _ => (Conduct::Submit(Shape::ManyTimes), rng.random_range(1..6)),
    };
    let crowds = [crowd(), crowd()];
    let mut steps = Vec::new();
    for _ in 0..DISTURBANCES {
        let host = rng.random_range(0..HOSTS);
        let disturbance = match rng.random_range(0..8) {
            0 | 1 => Disturbance::Kill(host),
            2 | 3 => Disturbance::Replace(host),
            4 => Disturbance::Reload(host),
            5 => Disturbance::Freeze(host),
            6 => Disturbance::StoreAway,
            _ => Disturbance::WritesUnanswered,
        };
        let at_ms = rng.random_range(0..PLAN_TIME.as_millis() as u64);
        let lasts_ms = rng.random_range(200..4_000);
        for (at_ms, is_end) in [(at_ms, false), (at_ms + lasts_ms, true)] {
            steps.push(Step {
                at_ms,
                disturbance,
                is_end,
            });
        }
    }
    steps.sort_by_key(|step| step.at_ms);
    Plan { crowds, steps }
}

fn apply(rigs: &mut [Rig], platform: &Platform, number: usize, step: Step) {
    match (step.disturbance, step.is_end) {
        (Disturbance::Kill(host), false) => rigs[host].signal(Signal::KILL),
        (Disturbance::Replace(host), false) => rigs[host].signal(Signal::TERM),
        (Disturbance::Kill(host) | Disturbance::Replace(host), true) => rigs[host].restart(number),
        (Disturbance::Reload(host), _) => rigs[host].signal(Signal::HUP),
        (Disturbance::Freeze(host), false) => rigs[host].signal(Signal::STOP),
        (Disturbance::Freeze(host), true) => rigs[host].signal(Signal::CONT),
        (Disturbance::StoreAway, false) => {
            platform.store.set_response_mode(ResponseMode::Unavailable);
        }
        (Disturbance::WritesUnanswered, false) => {
            let mode = ResponseMode::WithholdWriteResponses;
            platform.store.set_response_mode(mode);
        }
        (Disturbance::StoreAway | Disturbance::WritesUnanswered, true) => {
            platform.store.set_response_mode(ResponseMode::Normal);
        }
    }
}

async fn play(seed: u64) -> Vec<String> {
    let plan = plan(seed);
    println!("seed {seed}: {plan:?}");
    let platform = Arc::new(endurance::start_platform(8).await);
    let mut rigs = Rig::start_cell(HOSTS, SMALLEST_MACHINE, &platform).await;
    let addresses: Vec<_> = rigs.iter().map(|rig| rig.clients).collect();
    let crowds = plan
        .crowds
        .map(|(conduct, connections)| Crowd::start(&addresses, conduct, connections));
    let mut faults = Vec::new();
    let began = Instant::now();
    let mut peak = Vec::new();
    for (number, step) in plan.steps.iter().enumerate() {
        let wait = Duration::from_millis(step.at_ms).saturating_sub(began.elapsed());
        let most = endurance::observe(&rigs, time::sleep(wait)).await;
        faults.extend(endurance::exceeded(
            &format!("seed {seed}, before step {number}"),
            &most,
            SMALLEST_MACHINE,
        ));
        peak = most;
        apply(&mut rigs, &platform, number, *step);
    }
    let (mut during, mut after) = (Vec::new(), Vec::new());
    let most = endurance::observe(&rigs, async {
        during = endurance::submit_through_all(&rigs, 0x10).await;
        drop(crowds);
        after = endurance::submit_through_all(&rigs, 0x20).await;
    })
    .await;
    faults.extend(endurance::exceeded(
        &format!("seed {seed}, at last"),
        &most,
        SMALLEST_MACHINE,
    ));
    println!("seed {seed}: ordinary jobs {during:?} and {after:?}, {peak:?}, {most:?}");
    for statuses in [during, after] {
        if statuses.iter().any(|&status| status != 200) {
            faults.push(format!(
                "seed {seed}: ordinary jobs were answered {statuses:?}"
            ));
        }
    }
    for (number, rig) in rigs.iter_mut().enumerate() {
        if !rig.is_alive() {
            faults.push(format!("seed {seed}: host {number} has ended"));
        }
    }
    faults
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crowds_beside_signals_restarts_and_outages_leave_hosts_within_their_machines() {
    let number = |name| {
        env::var(name)
            .ok()
            .and_then(|value: String| value.parse().ok())
    };
    let first = number("HICKORY_FLOOD_SEED").unwrap_or(1);
    let count = number("HICKORY_FLOOD_SEEDS").unwrap_or(DEFAULT_SEEDS);
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut faults = Vec::new();
    for seed in first..first + count {
        faults.extend(play(seed).await);
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}
