//! Racing operators over a store that loses, delays and refuses writes, by seed.

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
/// Longer than any write is under way.
const SETTLED_AFTER: Duration = Duration::from_secs(10);

/// What an operator was told of one note.
struct Told {
    name: String,
    result: errors::Result<release::Accepted>,
}

async fn operate(store: Arc<support::FakeStore>, operator: u64) -> Vec<Told> {
    let mut told = Vec::new();
    for number in 0..NOTES_EACH {
        let name = format!("run-{operator}-{number}");
        let note = support::batch_run_note(&name);
        let acceptor = support::acceptor(&store);
        let result = acceptor.submit(note.as_bytes(), &name, None).await;
        told.push(Told { name, result });
    }
    told
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

fn check(seed: u64, told: &[Told], releases: &[release::AcceptedRelease]) {
    for (index, release) in releases.iter().enumerate() {
        assert_eq!(release.version().0, index as u64 + 1, "seed {seed}: a gap");
    }
    for told in told {
        let standing: Vec<u64> = releases
            .iter()
            .filter(|release| release.submitter == told.name)
            .map(|release| release.version().0)
            .collect();
        let name = &told.name;
        match &told.result {
            Ok(accepted) => {
                assert_eq!(standing, [accepted.version.0], "seed {seed}: {name}");
            }
            Err(error) if error.kind.answer().outcome == errors::Outcome::NotRun => {
                assert!(standing.is_empty(), "seed {seed}: {name} ran: {error}");
            }
            Err(_) => assert!(standing.len() <= 1, "seed {seed}: {name} ran twice"),
        }
        let last = &releases.last().unwrap().release;
        let is_in_force = last.work.contains_key(&ids::WorkId::new(&told.name));
        assert_eq!(is_in_force, !standing.is_empty(), "seed {seed}: {name}");
    }
}

#[tokio::test(start_paused = true)]
async fn answers_agree_with_the_store_whatever_it_loses() {
    let mut accepted = 0;
    for seed in 0..SEEDS {
        let store = support::store_with_quota().await;
        store.disturb(seed);
        let operators = (0..OPERATORS).map(|operator| operate(Arc::clone(&store), operator));
        let told = futures::future::join_all(operators).await;
        let told: Vec<Told> = told.into_iter().flatten().collect();
        tokio::time::sleep(SETTLED_AFTER).await;
        store.settle();
        check(seed, &told, &stored(&store).await);
        accepted += told.iter().filter(|told| told.result.is_ok()).count();
    }
    // The check would be empty if nothing were ever accepted.
    assert!(accepted as u64 > SEEDS);
}
