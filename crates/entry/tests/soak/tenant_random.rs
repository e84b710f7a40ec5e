//! Seeded runs with tenants: one seed gives one plan of jobs, faults, and changes of keys and limits.

use std::{env, time::Duration};

use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use rustix::process::Signal;
use tokio::{task::JoinSet, time};

use crate::{
    proxy::LinkState,
    random::{self, Action, PLAN_MS, SETTLE_MS, Step},
    rig::{Rig, Size},
    tenant_scenarios,
    tenants::{Change, TENANTS},
};

/// Number of faults of any kind in a plan.
const FAULTS: usize = 5;
/// Number of faults of single hosts besides.
const HOST_FAULTS: usize = 3;
/// Mean time between two changes of the configuration, in milliseconds.
const CHANGE_INTERVAL_MS: u64 = 700;
/// Maximum time for which a tenant is without a key, in milliseconds: less than a client goes on
/// trying to cancel a job.
const KEYLESS_MS: u64 = 6_000;
/// Bounds of limits.
const LIMITS: (u64, u64) = (2, 9);

/// Something that happens in a plan.
#[derive(Clone, Copy, Debug)]
enum Event {
    Step(Step),
    Change(Change),
}

/// A host that is cut off from the store, or stopped.
fn host_fault(rng: &mut ChaCha8Rng, size: Size) -> [Step; 2] {
    let at_ms = rng.random_range(1_500..PLAN_MS - 4_000);
    let lasts_ms = rng.random_range(1_000..8_000);
    let host = rng.random_range(0..size.hosts);
    let store = |state| Action::SetStore { host, state };
    let signal = |signal| Action::SignalHost { host, signal };
    let (begin, end) = match rng.random_range(0..3) {
        0 => (store(LinkState::SILENT), store(LinkState::OPEN)),
        1 => (store(LinkState::REFUSED), store(LinkState::OPEN)),
        _ => (signal(Signal::STOP), signal(Signal::CONT)),
    };
    let step = |at_ms, lasts_ms, action| Step {
        at_ms,
        lasts_ms,
        action,
    };
    [step(at_ms, lasts_ms, begin), step(at_ms + lasts_ms, 0, end)]
}

fn changes(rng: &mut ChaCha8Rng) -> Vec<(u64, Change)> {
    let mut changes = Vec::new();
    let mut at_ms = 0;
    while at_ms < PLAN_MS {
        at_ms += rng.random_range(0..2 * CHANGE_INTERVAL_MS);
        let tenant = rng.random_range(0..TENANTS);
        let tasks = rng.random_range(LIMITS.0..=LIMITS.1);
        let versions = rng.random_range(2..12);
        let change = match rng.random_range(0..10) {
            0 | 1 => Change::AddKey { tenant },
            2 => Change::ReplaceAll { tenant },
            3 | 4 => Change::RevokeOldest { tenant },
            5 => Change::RevokeAll { tenant },
            6 => Change::Burst { versions },
            _ => Change::SetLimit { tenant, tasks },
        };
        if [
            Change::RevokeAll { tenant },
            Change::RevokeOldest { tenant },
        ]
        .contains(&change)
        {
            let keyless_ms = rng.random_range(0..KEYLESS_MS);
            changes.push((at_ms + keyless_ms, Change::AddKey { tenant }));
        }
        changes.push((at_ms, change));
    }
    changes
}

/// Plays the plan of a seed and returns the rules that were broken.
async fn play(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let size = Size {
        hosts: 3,
        workers: 4,
        linger_ms: rng.random_range(2_000..5_000),
    };
    let mut steps = random::plan(&mut rng, size, FAULTS);
    steps.extend((0..HOST_FAULTS).flat_map(|_| host_fault(&mut rng, size)));
    let steps = steps
        .into_iter()
        .map(|step| (step.at_ms, Event::Step(step)));
    let mut events: Vec<(u64, Event)> = steps.collect();
    let changes = changes(&mut rng).into_iter();
    events.extend(changes.map(|(at_ms, change)| (at_ms, Event::Change(change))));
    events.sort_by_key(|(at_ms, _)| *at_ms);
    let mut rig = Rig::start_with_tenants(&format!("tenants, seed {seed}"), size).await;
    let spinners = env::var("HICKORY_SOAK_SPINNERS").ok();
    rig.start_spinners(spinners.and_then(|n| n.parse().ok()).unwrap_or(0));
    rig.note(&format!("{events:#?}"));
    let probes = tenant_scenarios::start_probes(&rig);
    let mut calls = JoinSet::new();
    let began = time::Instant::now();
    for (at_ms, event) in events {
        time::sleep_until(began + Duration::from_millis(at_ms)).await;
        match event {
            Event::Change(change) => tenant_scenarios::tenants_of(&rig).change(change),
            Event::Step(step) => {
                if step.lasts_ms > 0 {
                    rig.note_fault(step.lasts_ms);
                }
                random::apply(&mut rig, step.action, &mut calls);
            }
        }
    }
    tenant_scenarios::tenants_of(&rig).settle();
    rig.heal();
    calls.join_all().await;
    time::sleep(Duration::from_millis(SETTLE_MS)).await;
    drop(probes);
    rig.judge().await
}

/// Guards against success with revoked keys, refusals of valid ones, and starts above limits, under
/// faults that nobody thought of.
#[tokio::test]
async fn seeded_faults_break_no_rule_of_tenants() {
    let mut failed = Vec::new();
    for seed in random::seeds() {
        let violations = play(seed).await;
        if let Some(first) = violations.first() {
            let count = violations.len();
            failed.push(format!("seed {seed}: {count} violations, first {first}"));
            eprintln!("{}", failed[failed.len() - 1]);
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}
