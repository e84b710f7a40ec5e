//! Acceptance of notes under races, lost answers and resubmissions.

use std::sync::Arc;

use crate::support::{self, WriteFault};
use hickorychute_release as release;
use kernel::errors;
use kernel::ids;

use release::accepted;

/// The encoded release that another submitter would create on top of `store`.
async fn rival_release(store: &Arc<support::FakeStore>, note: &str) -> bytes::Bytes {
    let copy = Arc::new(support::FakeStore::default());
    for key in store.keys() {
        let entry = platform::store::Store::get(store.as_ref(), &key)
            .await
            .unwrap();
        copy.insert(&key, entry.unwrap().value);
    }
    let accepted = support::acceptor(&copy)
        .submit(note.as_bytes(), "rival", None)
        .await
        .unwrap();
    accepted.newest.encode().unwrap().into()
}

struct FaultCase {
    name: &'static str,
    faults: Vec<WriteFault>,
    /// The accepted version, or the kind of the error.
    expected: Result<u64, errors::ErrorKind>,
    /// Number of releases in the store afterwards.
    stored: usize,
}

#[tokio::test(start_paused = true)]
async fn store_faults_are_retried_or_reported() {
    use WriteFault::{LostAfterEffect, LostBeforeEffect, Unavailable};
    let attempts = release::MAX_SUBMIT_ATTEMPTS as usize;
    let cases = [
        FaultCase {
            name: "no fault",
            faults: vec![],
            expected: Ok(2),
            stored: 2,
        },
        FaultCase {
            name: "answer lost after the effect",
            faults: vec![LostAfterEffect],
            expected: Ok(2),
            stored: 2,
        },
        FaultCase {
            name: "answer lost before the effect, twice",
            faults: vec![LostBeforeEffect, LostBeforeEffect],
            expected: Ok(2),
            stored: 2,
        },
        FaultCase {
            name: "refused for a moment",
            faults: vec![Unavailable],
            expected: Ok(2),
            stored: 2,
        },
        FaultCase {
            name: "refused throughout",
            faults: vec![Unavailable; attempts],
            expected: Err(errors::ErrorKind::StoreUnavailable),
            stored: 1,
        },
        FaultCase {
            name: "lost once and refused from then on",
            faults: [vec![LostBeforeEffect], vec![Unavailable; attempts]].concat(),
            expected: Err(errors::ErrorKind::AnswerLost),
            stored: 1,
        },
    ];
    for case in cases {
        let store = support::store_with_quota().await;
        store.fail_writes(case.faults);
        let note = support::batch_run_note("nightly");
        let result = support::acceptor(&store)
            .submit(note.as_bytes(), "mine", None)
            .await;
        let seen = result.map(|accepted| accepted.version.0);
        assert_eq!(
            seen.map_err(|error| error.kind),
            case.expected,
            "{}",
            case.name
        );
        assert_eq!(store.keys().len(), case.stored, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_preempted_note_is_applied_on_top_of_one_that_touches_other_entries() {
    let store = support::store_with_quota().await;
    let rival = rival_release(&store, &support::batch_run_note("rival-run")).await;
    store.fail_writes([WriteFault::Preempted(rival)]);
    let note = support::batch_run_note("nightly");
    let accepted = support::acceptor(&store)
        .submit(note.as_bytes(), "mine", None)
        .await
        .unwrap();
    assert_eq!(accepted.version, ids::ReleaseVersion(3));
    assert_eq!(accepted.newest.release.work.len(), 2);
}

struct RaceCase {
    name: &'static str,
    rival: String,
    mine: String,
    base: Option<u64>,
    /// Texts that the message must contain.
    expected_texts: &'static [&'static str],
}

#[tokio::test(start_paused = true)]
async fn a_conflict_names_the_accepted_submission() {
    let changed = support::QUOTA_NOTE.replace("added", "changed");
    let cases = [
        RaceCase {
            name: "both change one entry",
            rival: changed.replace("100000", "70000"),
            mine: changed.replace("100000", "80000"),
            base: None,
            expected_texts: &["release 2", "\"rival\"", "changed quota huber"],
        },
        RaceCase {
            name: "the stated base is no longer the newest",
            rival: support::batch_run_note("rival-run"),
            mine: support::batch_run_note("nightly"),
            base: Some(1),
            expected_texts: &[
                "based on release 1",
                "\"rival\"",
                "added batch_run rival-run",
            ],
        },
    ];
    for case in cases {
        let store = support::store_with_quota().await;
        let rival = rival_release(&store, &case.rival).await;
        store.fail_writes([WriteFault::Preempted(rival)]);
        let base = case.base.map(ids::ReleaseVersion);
        let result = support::acceptor(&store)
            .submit(case.mine.as_bytes(), "mine", base)
            .await;
        let error = result.unwrap_err();
        assert_eq!(error.kind, errors::ErrorKind::Conflict, "{}", case.name);
        for part in case.expected_texts {
            assert!(
                error.detail.contains(part),
                "{}: {}",
                case.name,
                error.detail
            );
        }
        assert_eq!(store.keys().len(), 2, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_lost_write_that_was_preempted_is_a_conflict() {
    let store = support::store_with_quota().await;
    let rival = rival_release(&store, &support::batch_run_note("nightly")).await;
    store.fail_writes([WriteFault::LostBeforeEffect, WriteFault::Preempted(rival)]);
    let note = support::batch_run_note("nightly");
    let result = support::acceptor(&store)
        .submit(note.as_bytes(), "mine", None)
        .await;
    assert_eq!(result.unwrap_err().kind, errors::ErrorKind::Conflict);
}

#[tokio::test(start_paused = true)]
async fn a_lost_write_is_settled_when_another_note_has_its_version() {
    let store = support::store_with_quota().await;
    let rival = rival_release(&store, &support::batch_run_note("rival-run")).await;
    store.fail_writes([WriteFault::LostBeforeEffect, WriteFault::Preempted(rival)]);
    store.fail_writes(vec![
        WriteFault::Unavailable;
        release::MAX_SUBMIT_ATTEMPTS as usize
    ]);
    let note = support::batch_run_note("nightly");
    let result = support::acceptor(&store)
        .submit(note.as_bytes(), "mine", None)
        .await;
    let error = result.unwrap_err();
    assert_eq!(error.kind, errors::ErrorKind::StoreUnavailable);
    assert_eq!(store.keys().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn resubmission_is_idempotent() {
    let store = support::store_with_quota().await;
    let note = support::batch_run_note("nightly");
    let submit = |id: &'static str, note: String| {
        let store = Arc::clone(&store);
        async move {
            support::acceptor(&store)
                .submit(note.as_bytes(), id, None)
                .await
        }
    };
    let first = submit("mine", note.clone()).await.unwrap();
    submit("other", support::batch_run_note("between"))
        .await
        .unwrap();
    let again = submit("mine", note).await.unwrap();
    assert_eq!(again.version, first.version);
    assert_eq!(again.changes, first.changes);
    assert!(again.repeated && !first.repeated);
    let reused = submit("mine", support::batch_run_note("another")).await;
    assert_eq!(reused.unwrap_err().kind, errors::ErrorKind::Conflict);
    assert_eq!(store.keys().len(), 3);
}

#[tokio::test(start_paused = true)]
async fn concurrent_submissions_are_all_accepted() {
    let store = support::store_with_quota().await;
    let submissions = (0..4).map(|number| {
        let acceptor = support::acceptor(&store);
        async move {
            let note = support::batch_run_note(&format!("run-{number}"));
            let id = format!("operator-{number}");
            acceptor.submit(note.as_bytes(), &id, None).await
        }
    });
    let results = futures::future::join_all(submissions).await;
    let mut versions: Vec<u64> = results
        .into_iter()
        .map(|result| result.unwrap().version.0)
        .collect();
    versions.sort_unstable();
    assert_eq!(versions, [2, 3, 4, 5]);
}

#[tokio::test(start_paused = true)]
async fn only_the_newest_releases_are_retained() {
    let store = support::store_with_quota().await;
    let acceptor = support::acceptor(&store);
    for number in 0..2 * accepted::RETAINED_RELEASES {
        let note = support::batch_run_note(&format!("run-{number}"));
        let id = format!("id-{number}");
        acceptor.submit(note.as_bytes(), &id, None).await.unwrap();
    }
    assert_eq!(store.keys().len() as u64, accepted::RETAINED_RELEASES);
    let newest = ids::ReleaseVersion(2 * accepted::RETAINED_RELEASES + 1);
    assert_eq!(store.keys().last().unwrap(), &accepted::key(newest));
}

#[tokio::test(start_paused = true)]
async fn refused_submissions_change_nothing() {
    let store = support::store_with_quota().await;
    let acceptor = support::acceptor(&store);
    let unknown_team = support::batch_run_note("nightly").replace("huber", "nobody");
    let cases = [
        ("mine", "nonsense"),
        ("", support::QUOTA_NOTE),
        ("mine", &unknown_team),
    ];
    for (id, note) in cases {
        let error = acceptor
            .submit(note.as_bytes(), id, None)
            .await
            .unwrap_err();
        assert_eq!(error.kind, errors::ErrorKind::BadRequest, "{note}");
    }
    assert_eq!(store.keys().len(), 1);
}
