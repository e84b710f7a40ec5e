//! The version in force only goes up, whatever arrives.

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

/// What reaches a process.
#[derive(Clone, Debug)]
enum Arrival {
    Release(u64),
    Heard(u64),
    /// The process is replaced; its peers tell the new one their versions first.
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
    fn the_version_never_goes_down(arrivals in prop::collection::vec(arrival(), 0..60)) {
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
fn large_notes_are_refused_by_their_size() {
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
    assert_eq!(lines, release::note::LISTED_FAULTS + 1);
}

#[test]
fn deeply_nested_notes_are_refused() {
    let note = format!("base = {}", "[".repeat(500_000));
    assert!(release::note::parse(note.as_bytes()).is_err());
}
