//! The versions at which work was added and last revised.

use hickorychute_release as release;
use kernel::ids;
use kernel::work;

fn service(section: &str, replicas: u32, slots: u32) -> String {
    format!(
        "[[{section}.service]]\nname = \"desk\"\nteam = \"lab\"\nreplicas = {replicas}\n\
         cpu_milli = 100\nmemory_mb = 64\nslots = {slots}\nconnections = 64\n"
    )
}

#[test]
fn work_keeps_its_identity_until_it_is_withdrawn() {
    struct Case {
        note: String,
        since: u64,
        revision: u64,
    }
    let case = |note, since, revision| Case {
        note,
        since,
        revision,
    };
    let withdrawn = "[withdrawn]\nservice = [\"desk\"]\n".to_owned();
    // Each note is applied to the previous release.
    let cases = [
        case(service("added", 4, 2), 1, 1),
        case(service("changed", 9, 2), 1, 1),
        case(service("changed", 9, 3), 1, 3),
        case(service("changed", 9, 3), 1, 3),
        case(withdrawn, 0, 0),
        case(service("added", 9, 3), 6, 6),
    ];
    let mut accepted = work::Release::default();
    for case in cases {
        let note = release::note::parse(case.note.as_bytes()).unwrap();
        accepted = release::apply(&accepted, &note).unwrap();
        let found = accepted.work.get(&ids::WorkId::new("desk"));
        let versions = found.map_or((0, 0), |work| (work.since.0, work.revision.0));
        let expected = (case.since, case.revision);
        assert_eq!(versions, expected, "release {}", accepted.version);
    }
}
