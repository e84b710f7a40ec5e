//! Seeded runs: one seed gives one plan of jobs and faults.

use std::{env, sync::Arc, time::Duration};

use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use rustix::process::Signal;
use tokio::{task::JoinSet, time};

use crate::{
    proxy::{Flow, LinkState},
    rig::{Rig, Size},
};

/// Duration of jobs and faults, in milliseconds.
pub const PLAN_MS: u64 = 16_000;
/// Number of faults in a plan.
const FAULTS: usize = 10;
/// Mean time between two jobs, in milliseconds.
const JOB_INTERVAL_MS: u64 = 250;
/// Duration of the cut of a draining worker, in milliseconds: longer than its entry lasts.
const CUT_MS: u64 = 6_500;
/// Number of processes that only use processor time, unless the environment says otherwise.
const SPINNERS: usize = 4;
/// Time after the last fault for runs of cancelled jobs to be seen, in milliseconds.
pub const SETTLE_MS: u64 = 6_000;

/// Something that happens to the cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    Submit {
        job: u64,
        tasks: u32,
        run_ms: u64,
    },
    Cancel {
        job: u64,
    },
    SetWorker {
        worker: usize,
        state: LinkState,
    },
    SetCalls {
        worker: usize,
        state: LinkState,
    },
    SetHeartbeats {
        worker: usize,
        state: LinkState,
    },
    SetHost {
        host: usize,
        state: LinkState,
    },
    SetStore {
        host: usize,
        state: LinkState,
    },
    SetPartition {
        host: usize,
        worker: usize,
        state: LinkState,
    },
    SignalWorker {
        worker: usize,
        signal: Signal,
    },
    SignalHost {
        host: usize,
        signal: Signal,
    },
    RestartWorker {
        worker: usize,
    },
    ReplaceWorker {
        worker: usize,
    },
    RestartHost {
        host: usize,
    },
}

/// An action, when it happens, and for how long its effects last, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub at_ms: u64,
    pub lasts_ms: u64,
    pub action: Action,
}

/// A way in which a link is cut.
fn cut(rng: &mut ChaCha8Rng) -> LinkState {
    match rng.random_range(0..9) {
        0 | 1 => LinkState::REFUSED,
        5 => LinkState::RESET,
        2 => LinkState::flows(Flow::Silent, Flow::Open),
        3 => LinkState::flows(Flow::Open, Flow::Silent),
        4 => LinkState::flows(Flow::Delayed(rng.random_range(500..8_000)), Flow::Open),
        _ => LinkState::SILENT,
    }
}

/// The steps of one fault: its beginning, what it adds to, and its end.
///
/// Half of the faults meet worker 0, and half of them host 0, so that faults of one machine overlap.
fn fault(rng: &mut ChaCha8Rng, size: Size) -> Vec<Step> {
    let at_ms = rng.random_range(1_500..PLAN_MS - 4_000);
    let lasts_ms = rng.random_range(1_000..8_000);
    let worker = rng
        .random_range(0..2 * size.workers)
        .saturating_sub(size.workers);
    let host = rng
        .random_range(0..2 * size.hosts)
        .saturating_sub(size.hosts);
    let (cut, open) = (cut(rng), LinkState::OPEN);
    let (stop, resume) = (Signal::STOP, Signal::CONT);
    let term = Signal::TERM;
    let kill = Signal::KILL;
    let partition = |state| Action::SetPartition {
        host,
        worker,
        state,
    };
    let signal_worker = |signal| Action::SignalWorker { worker, signal };
    let signal_host = |signal| Action::SignalHost { host, signal };
    let set_worker = |state| Action::SetWorker { worker, state };
    let replace = Action::ReplaceWorker { worker };
    // A worker that drains leaves by itself before its successor comes.
    let drain_ms = size.linger_ms + 4_500;
    let step = |at_ms, lasts_ms, action| Step {
        at_ms,
        lasts_ms,
        action,
    };
    let mut steps = Vec::new();
    let (begin, end, lasts_ms) = match rng.random_range(0..16) {
        0 | 1 => (set_worker(cut), set_worker(open), lasts_ms),
        2 => (
            Action::SetCalls { worker, state: cut },
            Action::SetCalls {
                worker,
                state: open,
            },
            lasts_ms,
        ),
        3 => (
            Action::SetHeartbeats { worker, state: cut },
            Action::SetHeartbeats {
                worker,
                state: open,
            },
            lasts_ms,
        ),
        4 => (signal_worker(stop), signal_worker(resume), lasts_ms),
        5 => (signal_host(stop), signal_host(resume), lasts_ms),
        6 => (
            signal_worker(kill),
            Action::RestartWorker { worker },
            lasts_ms / 10,
        ),
        7 => (signal_worker(kill), replace, lasts_ms / 4),
        8..=10 => (signal_worker(term), replace, drain_ms),
        11 => {
            let signal = if rng.random_bool(0.5) { kill } else { term };
            (signal_host(signal), Action::RestartHost { host }, 7_000)
        }
        12 => (
            Action::SetStore { host, state: cut },
            Action::SetStore { host, state: open },
            lasts_ms,
        ),
        13 | 14 => {
            let drains_ms = at_ms - rng.random_range(500..1_500);
            steps.push(step(drains_ms, drain_ms, signal_worker(term)));
            steps.push(step(drains_ms + drain_ms, 0, replace));
            (set_worker(cut), set_worker(open), CUT_MS)
        }
        _ if rng.random_bool(0.5) => (
            Action::SetHost { host, state: cut },
            Action::SetHost { host, state: open },
            lasts_ms,
        ),
        _ => (partition(cut), partition(open), lasts_ms),
    };
    steps.push(step(at_ms, lasts_ms, begin));
    steps.push(step(at_ms + lasts_ms, 0, end));
    steps
}

/// The plan of a seed with this number of faults, in the order of time.
pub fn plan(rng: &mut ChaCha8Rng, size: Size, faults: usize) -> Vec<Step> {
    let mut steps: Vec<Step> = (0..faults).flat_map(|_| fault(rng, size)).collect();
    let mut at_ms = 0;
    let mut job = 0;
    let step = |at_ms, action| Step {
        at_ms,
        lasts_ms: 0,
        action,
    };
    while at_ms < PLAN_MS {
        job += 1;
        let tasks = rng.random_range(1..7);
        let run_ms = rng.random_range(300..8_000) / rng.random_range(1..4);
        steps.push(step(at_ms, Action::Submit { job, tasks, run_ms }));
        if rng.random_bool(0.2) {
            let cancel_ms = at_ms + rng.random_range(0..3_000);
            steps.push(step(cancel_ms, Action::Cancel { job }));
        }
        at_ms += rng.random_range(0..2 * JOB_INTERVAL_MS);
    }
    steps.sort_by_key(|step| step.at_ms);
    steps
}

pub fn apply(rig: &mut Rig, action: Action, calls: &mut JoinSet<()>) {
    let clients = Arc::clone(&rig.clients);
    match action {
        Action::Submit { job, tasks, run_ms } => {
            calls.spawn(async move { clients.submit(job, tasks, run_ms).await });
        }
        Action::Cancel { job } => {
            calls.spawn(async move { clients.cancel(job).await });
        }
        Action::SetWorker { worker, state } => rig.workers[worker].cut(state),
        Action::SetCalls { worker, state } => rig.workers[worker].set_calls(state),
        Action::SetHeartbeats { worker, state } => rig.workers[worker].heartbeats.set(state),
        Action::SetHost { host, state } => rig.cut_host(host, state),
        Action::SetStore { host, state } => rig.hosts[host].store.set(state),
        Action::SetPartition {
            host,
            worker,
            state,
        } => rig.cut_off(host, worker, state),
        Action::SignalWorker { worker, signal } => rig.workers[worker].signal(signal),
        Action::SignalHost { host, signal } => rig.hosts[host].signal(signal),
        Action::RestartWorker { worker } => rig.start_worker(worker),
        Action::ReplaceWorker { worker } => rig.replace_worker(worker),
        Action::RestartHost { host } => rig.start_host(host),
    }
}

/// Plays the plan of a seed and returns the rules that were broken.
async fn play(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let size = Size {
        hosts: 3,
        workers: 4,
        linger_ms: rng.random_range(2_000..9_000),
    };
    let steps = plan(&mut rng, size, FAULTS);
    let mut rig = Rig::start(&format!("seed {seed}"), size).await;
    let spinners = env::var("HICKORY_SOAK_SPINNERS").ok();
    rig.start_spinners(spinners.and_then(|n| n.parse().ok()).unwrap_or(SPINNERS));
    rig.note(&format!("{steps:#?}"));
    let mut calls = JoinSet::new();
    let began = time::Instant::now();
    for step in &steps {
        time::sleep_until(began + Duration::from_millis(step.at_ms)).await;
        if step.lasts_ms > 0 {
            rig.note_fault(step.lasts_ms);
        }
        apply(&mut rig, step.action, &mut calls);
    }
    rig.heal();
    calls.join_all().await;
    time::sleep(Duration::from_millis(SETTLE_MS)).await;
    rig.judge().await
}

/// The seeds to play: one in CI, others by hand.
pub fn seeds() -> Vec<u64> {
    let number = |name| {
        env::var(name)
            .ok()
            .and_then(|text| text.parse::<u64>().ok())
    };
    match (number("HICKORY_SOAK_SEED"), number("HICKORY_SOAK_SEEDS")) {
        (Some(seed), _) => vec![seed],
        (None, Some(count)) => (1..=count).collect(),
        (None, None) => vec![1],
    }
}

/// Guards against TWICE and UNASKED of issue 38 under faults that nobody thought of.
#[tokio::test]
async fn seeded_faults_break_no_rule() {
    let mut failed = Vec::new();
    for seed in seeds() {
        let violations = play(seed).await;
        if let Some(first) = violations.first() {
            failed.push(format!(
                "seed {seed}: {} violations, first {first}",
                violations.len()
            ));
            eprintln!("{}", failed[failed.len() - 1]);
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
