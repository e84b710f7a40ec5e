//! Histories of concurrent submissions to a store that loses, delays and refuses writes.

use std::sync::Arc;
use std::time::Duration;

use hickorychute_release as release;
use kernel::errors;
use kernel::ids;
use platform::store::{Store, VALUE_LIMIT_BYTES};

use crate::support;

const SEEDS: u64 = 300;
const OPERATORS: u64 = 4;
const NOTES_EACH: u64 = 3;
/// Longer than any delayed write takes.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// The result of one submission.
struct SubmissionResult {
    name: String,
    result: errors::Result<release::Accepted>,
}

async fn operate(store: Arc<support::FakeStore>, operator: u64) -> Vec<SubmissionResult> {
    let mut results = Vec::new();
    for number in 0..NOTES_EACH {
        let name = format!("run-{operator}-{number}");
        let note = support::batch_run_note(&name);
        let acceptor = support::acceptor(&store);
        let result = acceptor.submit(note.as_bytes(), &name, None).await;
        results.push(SubmissionResult { name, result });
    }
    results
}

/// The releases in the store, oldest first.
async fn stored(store: &support::FakeStore) -> Vec<release::AcceptedRelease> {
    let mut releases = Vec::new();
    for key in store.keys() {
        let entry = store.get(&key).await.unwrap().unwrap();
        assert!(entry.value.len() <= VALUE_LIMIT_BYTES);
        releases.push(release::AcceptedRelease::decode(&entry.value).unwrap());
    }
    releases
}

fn check(seed: u64, results: &[SubmissionResult], releases: &[release::AcceptedRelease]) {
    for (index, release) in releases.iter().enumerate() {
        assert_eq!(release.version().0, index as u64 + 1, "seed {seed}: a gap");
    }
    for submission in results {
        let versions: Vec<u64> = releases
            .iter()
            .filter(|release| release.submitter == submission.name)
            .map(|release| release.version().0)
            .collect();
        let name = &submission.name;
        match &submission.result {
            Ok(accepted) => {
                assert_eq!(versions, [accepted.version.0], "seed {seed}: {name}");
            }
            Err(error) if error.kind.answer().outcome == errors::Outcome::NotRun => {
                assert!(versions.is_empty(), "seed {seed}: {name} ran: {error}");
            }
            Err(_) => assert!(versions.len() <= 1, "seed {seed}: {name} ran twice"),
        }
        let last = &releases.last().unwrap().release;
        let is_in_force = last.work.contains_key(&ids::WorkId::new(&submission.name));
        assert_eq!(is_in_force, !versions.is_empty(), "seed {seed}: {name}");
    }
}

#[tokio::test(start_paused = true)]
async fn results_agree_with_the_store_under_faults() {
    let mut accepted = 0;
    for seed in 0..SEEDS {
        let store = support::store_with_quota().await;
        store.inject_random_faults(seed);
        let operators = (0..OPERATORS).map(|operator| operate(Arc::clone(&store), operator));
        let results = futures::future::join_all(operators).await;
        let results: Vec<SubmissionResult> = results.into_iter().flatten().collect();
        tokio::time::sleep(SETTLE_TIME).await;
        store.apply_delayed_writes();
        check(seed, &results, &stored(&store).await);
        accepted += results
            .iter()
            .filter(|submission| submission.result.is_ok())
            .count();
    }
    // The checks would be vacuous if no note were accepted.
    assert!(accepted as u64 > SEEDS);
}
