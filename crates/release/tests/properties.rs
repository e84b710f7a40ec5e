//! Properties of versions in force, parsing and encoding.

use hickorychute_release as release;
use kernel::ids;
use kernel::work;
use proptest::prelude::*;

fn accepted(version: u64) -> release::AcceptedRelease {
    release::AcceptedRelease {
        submitter: format!("submission-{version}"),
        note: String::new(),
        changes: release::Changes::default(),
        recent: Vec::new(),
        release: work::Release {
            version: ids::ReleaseVersion(version),
            ..work::Release::default()
        },
    }
}

/// An event in a process.
#[derive(Clone, Debug)]
enum Arrival {
    Release(u64),
    Heard(u64),
    /// The process is replaced; peers announce their versions to the new one first.
    Restart,
}

fn arrival() -> impl Strategy<Value = Arrival> {
    prop_oneof![
        6 => (0..20_u64).prop_map(Arrival::Release),
        2 => (0..20_u64).prop_map(Arrival::Heard),
        1 => Just(Arrival::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3000),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_version_in_force_never_decreases(arrivals in prop::collection::vec(arrival(), 0..60)) {
        let mut tracker = release::ReleaseTracker::new();
        let mut highest = ids::ReleaseVersion(0);
        for arrival in arrivals {
            match arrival {
                Arrival::Release(version) => {
                    let before = tracker.version();
                    let in_force = tracker.offer(accepted(version));
                    prop_assert_eq!(in_force, tracker.version() > before);
                }
                Arrival::Heard(version) => tracker.hear(ids::ReleaseVersion(version)),
                Arrival::Restart => {
                    tracker = release::ReleaseTracker::new();
                    tracker.hear(highest);
                }
            }
            let version = tracker.version();
            prop_assert!(tracker.current().is_none() || version >= highest);
            highest = highest.max(version);
            let wanted = tracker.wanted();
            prop_assert!(wanted.is_none_or(|wanted| wanted > version));
        }
    }

    #[test]
    fn parse_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = release::note::parse(&bytes);
    }

    #[test]
    fn parse_never_panics_on_mangled_notes(
        at in 0..EXAMPLE.len(),
        length in 0..40_usize,
        insert in "[\\[\\]{}=\"'#\\n\\\\.a-z0-9é]{0,8}",
    ) {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        let end = (at + length).min(bytes.len());
        bytes.splice(at..end, insert.into_bytes());
        if let Err(faults) = release::note::parse(&bytes) {
            prop_assert!(!faults.to_string().is_empty());
        }
    }

    #[test]
    fn decoding_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        prop_assert!(release::AcceptedRelease::decode(&bytes).is_err());
    }
}

const EXAMPLE: &str = include_str!("notes/accepted.toml");

#[test]
fn oversized_notes_are_refused() {
    let limit = release::note::limits::NOTE_LIMIT_BYTES;
    for size in [limit + 1, 10 * 1024 * 1024] {
        let faults = release::note::parse(&vec![b'#'; size]).unwrap_err();
        assert!(faults.to_string().contains(&limit.to_string()));
    }
}

#[test]
fn many_faults_are_listed_up_to_a_limit() {
    let note = "[[added.quota]]\n".repeat(1000);
    let faults = release::note::parse(note.as_bytes()).unwrap_err();
    assert_eq!(faults.as_slice().len(), 3000);
    let lines = faults.to_string().lines().count();
    assert_eq!(lines, release::note::MAX_LISTED_FAULTS + 1);
}

#[test]
fn deeply_nested_notes_are_refused() {
    let note = format!("base = {}", "[".repeat(500_000));
    assert!(release::note::parse(note.as_bytes()).is_err());
}

/// The size that the users expect within two years.
const TARGET_TEAMS: u64 = 62;
const TARGET_TASKS: u64 = 97_000;
/// A fifth of the tasks are replicas of services, at two each, the minimum for spreading.
const TARGET_SERVICES: u64 = TARGET_TASKS / 5 / 2;

#[test]
fn a_release_of_the_target_size_fits_into_the_store() {
    let mut accepted = accepted(1);
    for index in 0..TARGET_SERVICES {
        let id = ids::WorkId::new(format!("service-of-someone-{index}"));
        let work = work::Work {
            id: id.clone(),
            team: ids::TeamId::new(format!("team-{}", index % TARGET_TEAMS)),
            kind: work::WorkKind::Service,
            tasks: 2,
            demand: work::Resources::new(500 + index % 7 * 250, 512 + index % 11 * 256, 0),
            urgency: work::Urgency::Normal,
            policy: work::Policy::Spread,
            run_time_ms: None,
            max_attempts: u32::MAX,
            zones: Vec::new(),
            idempotent: true,
            slots: 8,
            connections: 64,
            since: ids::ReleaseVersion::default(),
            revision: ids::ReleaseVersion::default(),
        };
        accepted.release.work.insert(id, work);
    }
    let encoded = accepted.encode().unwrap();
    println!("{TARGET_SERVICES} services take {} bytes", encoded.len());
    let decoded = release::AcceptedRelease::decode(&encoded).unwrap();
    assert_eq!(decoded, accepted);
}

#[test]
fn jobs_are_checked_against_the_release_and_the_cell() {
    let quota = work::Quota {
        team: ids::TeamId::new("huber"),
        limit: work::Resources::new(100_000, 100_000, 0),
        weight: 1,
    };
    let mut release_in_force = work::Release::default();
    release_in_force.quotas.insert(quota.team.clone(), quota);
    let zone = ids::ZoneId::new("muc-ost");
    let capacity = work::Resources::new(16_000, 32_768, 0);
    let cell = release::CellLimits::from_workers([&zone], [(&zone, capacity); 4]);
    let job = |team: &str, cpu_milli: u64, tasks: u32, zone: &str| work::Work {
        id: ids::WorkId::new("job"),
        team: ids::TeamId::new(team),
        kind: work::WorkKind::GangJob,
        tasks,
        demand: work::Resources::new(cpu_milli, 100, 0),
        urgency: work::Urgency::Normal,
        policy: work::Policy::QuickStart,
        run_time_ms: Some(1_000),
        max_attempts: 1,
        zones: vec![ids::ZoneId::new(zone)],
        idempotent: false,
        slots: 0,
        connections: 0,
        since: ids::ReleaseVersion::default(),
        revision: ids::ReleaseVersion::default(),
    };
    let cases = [
        (job("huber", 16_000, 4, "muc-ost"), 0),
        (job("huber", 16_001, 1, "muc-ost"), 1),
        (job("huber", 16_000, 5, "muc-ost"), 1),
        (job("huber", 16_000, 7, "muc-ost"), 2),
        (job("nobody", 1_000, 1, "muc-west"), 2),
    ];
    for (job, faults) in cases {
        let seen = release::check_job(&job, &release_in_force, &cell);
        let seen = seen.map_or_else(|faults| faults.as_slice().len(), |()| 0);
        assert_eq!(seen, faults, "{job:?}");
    }
}
