//! Performance targets under load, checked with the queueing model.

use calls::load_model;
use calls::load_model::CallPath;
use calls::load_model::LoadCase;
use calls::load_model::Workload;
use hickorychute_calls as calls;

/// Limit for the 99.9th percentile of the time until an urgent call starts.
const MAX_URGENT_START_MS: f64 = 1_100.0;
const SLOTS_PER_INSTANCE: u32 = 8;

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
fn goodput_is_kept_past_saturation() {
    for target in TARGETS {
        let name = target.workload;
        let full = load_model::run(&case(target.workload, 1.0));
        let over = load_model::run(&case(target.workload, 3.0));
        assert!(over.answered_per_s >= 0.9 * full.answered_per_s, "{over:?}");
        assert!(over.retry_share <= 0.1, "{over:?}");
        for results in [&full, &over] {
            assert!(results.open_calls_max <= SLOTS_PER_INSTANCE);
            let urgent = results.class(target.urgent_class).unwrap();
            assert!(
                urgent.wait.p999_ms < MAX_URGENT_START_MS,
                "{name}: {urgent:?}"
            );
        }
    }
}

#[test]
fn every_call_path_keeps_within_the_slots_of_the_instances() {
    for path in [CallPath::Credits, CallPath::FixedShares] {
        let case = LoadCase {
            path,
            duration_ms: 2_000,
            warmup_ms: 1_000,
            ..case(Workload::Huber, 1.5)
        };
        assert!(
            load_model::run(&case).open_calls_max <= SLOTS_PER_INSTANCE,
            "{path}"
        );
    }
}

fn check_quotas(workload: Workload) {
    // A quota is about one slot of each group, so a few calls would decide a short run.
    let case = LoadCase {
        duration_ms: 20_000,
        warmup_ms: 5_000,
        ..case(workload, 3.0)
    };
    let results = load_model::run(&case);
    assert!(results.quota_share_mean >= 0.95, "{results:?}");
    assert!(results.quota_share_min >= 0.95, "{results:?}");
}

#[test]
fn other_teams_get_their_quota_under_a_flood_of_bookings() {
    check_quotas(Workload::Huber);
}

#[test]
fn other_teams_get_their_quota_under_a_flood_of_reports() {
    check_quotas(Workload::Association);
}

#[test]
fn the_same_case_gives_the_same_results() {
    let case = LoadCase {
        duration_ms: 500,
        warmup_ms: 100,
        ..case(Workload::Association, 1.5)
    };
    assert_eq!(load_model::run(&case), load_model::run(&case));
}
