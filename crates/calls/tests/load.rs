//! Targets under load, by the queueing model.

use calls::load_model;
use calls::load_model::CallPath;
use calls::load_model::LoadCase;
use calls::load_model::Workload;
use hickorychute_calls as calls;

/// Latest start of urgent work, at the 99.9th percentile.
const URGENT_START_MS: f64 = 1_100.0;
const SLOTS: u32 = 8;

fn case(workload: Workload, load: f64) -> LoadCase {
    LoadCase {
        workload,
        load,
        duration_ms: 4_000,
        warmup_ms: 3_000,
        ..LoadCase::default()
    }
}

struct Target {
    workload: Workload,
    urgent_class: &'static str,
}

const TARGETS: [Target; 2] = [
    Target {
        workload: Workload::Huber,
        urgent_class: "urgent_booking",
    },
    Target {
        workload: Workload::Association,
        urgent_class: "urgent_lookup",
    },
];

#[test]
fn the_cell_stays_useful_past_saturation() {
    for target in TARGETS {
        let name = target.workload;
        let full = load_model::run(&case(target.workload, 1.0));
        let over = load_model::run(&case(target.workload, 3.0));
        assert!(over.answered_per_s >= 0.9 * full.answered_per_s, "{over:?}");
        assert!(over.retry_share <= 0.1, "{over:?}");
        for figures in [&full, &over] {
            assert!(figures.open_calls_max <= SLOTS);
            let urgent = figures.class(target.urgent_class).unwrap();
            assert!(urgent.wait.p999_ms < URGENT_START_MS, "{name}: {urgent:?}");
        }
    }
}

#[test]
fn every_path_keeps_the_slots_of_the_instances() {
    for path in [CallPath::Credits, CallPath::FixedShares] {
        let case = LoadCase {
            path,
            duration_ms: 2_000,
            warmup_ms: 1_000,
            ..case(Workload::Huber, 1.5)
        };
        assert!(load_model::run(&case).open_calls_max <= SLOTS, "{path}");
    }
}

fn check_quotas(workload: Workload) {
    // A quota is about one slot of each group: a short run would hang on a few calls.
    let case = LoadCase {
        duration_ms: 20_000,
        warmup_ms: 5_000,
        ..case(workload, 3.0)
    };
    let figures = load_model::run(&case);
    assert!(figures.quota_share_mean >= 0.95, "{figures:?}");
    assert!(figures.quota_share_min >= 0.95, "{figures:?}");
}

#[test]
fn floods_of_bookings_leave_the_other_teams_their_quota() {
    check_quotas(Workload::Huber);
}

#[test]
fn floods_of_reports_leave_the_other_teams_their_quota() {
    check_quotas(Workload::Association);
}

#[test]
fn the_same_case_gives_the_same_figures() {
    let case = LoadCase {
        duration_ms: 500,
        warmup_ms: 100,
        ..case(Workload::Association, 1.5)
    };
    assert_eq!(load_model::run(&case), load_model::run(&case));
}
