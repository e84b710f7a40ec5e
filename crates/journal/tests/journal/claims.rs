//! Claims of non-idempotent requests: duplicates, crashes, lost answers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickorychute_journal as journal;
use journal::Begin;
use kernel::{errors, ids, random};
use rand::RngExt;
use tokio::{task, time};

use crate::support::{FakeStore, SHARD, config, open};

fn request(key: &str, digest: u64, attempt_id: u64) -> journal::Request {
    journal::Request {
        key: ids::IdempotencyKey::new(key),
        digest,
        attempt_id,
    }
}

fn done(body: &'static str) -> journal::Answer {
    journal::Answer::new(
        errors::Outcome::Done,
        200,
        Bytes::from_static(body.as_bytes()),
    )
}

async fn claims(store: &FakeStore, host: &str, epoch: u64) -> journal::Deduplicator {
    let journal = open(store, host, epoch, &config(epoch)).await.unwrap();
    assert_eq!(journal.shard(), SHARD);
    journal::Deduplicator::new(Arc::new(journal), ids::HostId::new(host))
}

fn describe(begin: errors::Result<Begin>) -> String {
    match begin {
        Ok(Begin::Send(ticket)) => {
            drop(ticket.release());
            "send".to_owned()
        }
        Ok(Begin::Answered(answer)) => format!("{} {}", answer.outcome, answer.status),
        Ok(Begin::Unknown(owner)) => format!("unknown {}@{}", owner.attempt_id, owner.host),
        Err(error) => error.kind.to_string(),
    }
}

#[tokio::test(start_paused = true)]
async fn what_a_second_request_with_the_key_gets() {
    struct Case {
        first: &'static str,
        digest: u64,
        moved: bool,
        expected: &'static str,
    }
    let cases = [
        Case {
            first: "answered",
            digest: 1,
            moved: false,
            expected: "done 200",
        },
        Case {
            first: "answered",
            digest: 1,
            moved: true,
            expected: "done 200",
        },
        Case {
            first: "answered",
            digest: 2,
            moved: false,
            expected: "conflict",
        },
        Case {
            first: "running",
            digest: 1,
            moved: false,
            expected: "deadline_after_start",
        },
        Case {
            first: "running",
            digest: 2,
            moved: false,
            expected: "conflict",
        },
        Case {
            first: "running",
            digest: 1,
            moved: true,
            expected: "unknown 7@a",
        },
        Case {
            first: "unknown",
            digest: 1,
            moved: false,
            expected: "unknown 7@a",
        },
        Case {
            first: "dropped",
            digest: 1,
            moved: false,
            expected: "unknown 7@a",
        },
        Case {
            first: "released",
            digest: 1,
            moved: false,
            expected: "send",
        },
        Case {
            first: "released",
            digest: 1,
            moved: true,
            expected: "send",
        },
    ];
    for case in cases {
        let store = FakeStore::new(1);
        let mut owner = claims(&store, "a", 1).await;
        let Ok(Begin::Send(ticket)) = owner.begin(&request("k", 1, 7), 1_000).await else {
            panic!("the first request is sent");
        };
        let mut running = None;
        match case.first {
            "answered" => ticket.finish(done("charged")).await.unwrap().unwrap(),
            "unknown" => ticket.unknown().await.unwrap().unwrap(),
            "released" => ticket.release().await.unwrap().unwrap(),
            "dropped" => drop(ticket),
            _ => running = Some(ticket),
        }
        time::sleep(Duration::from_secs(1)).await;
        if case.moved {
            owner = claims(&store, "b", 2).await;
        }
        let second = owner.begin(&request("k", case.digest, 8), 1_000).await;
        let context = format!("{} moved {}", case.first, case.moved);
        assert_eq!(describe(second), case.expected, "{context}");
        drop(running);
    }
}

#[tokio::test(start_paused = true)]
async fn concurrent_duplicates_send_once_and_get_the_first_answer() {
    let store = FakeStore::new(1);
    let owner = claims(&store, "a", 1).await;
    let mut begins = Vec::new();
    for attempt_id in 0..10 {
        let owner = owner.clone();
        begins.push(task::spawn(async move {
            let begin = owner
                .begin(&request("k", 1, attempt_id), 5_000)
                .await
                .unwrap();
            match begin {
                Begin::Send(ticket) => {
                    time::sleep(Duration::from_millis(300)).await;
                    ticket.finish(done("charged")).await.unwrap().unwrap();
                    None
                }
                Begin::Answered(answer) => Some(answer),
                Begin::Unknown(_) => panic!("nothing was lost"),
            }
        }));
    }
    let mut answers = Vec::new();
    for begin in begins {
        answers.extend(begin.await.unwrap());
    }
    assert_eq!(answers, vec![done("charged"); 9], "one was sent");
}

#[tokio::test(start_paused = true)]
async fn an_inquiry_settles_an_unknown_request() {
    let cases = [
        (done("charged"), "done 200"),
        (journal::Answer::not_run(), "send"),
    ];
    for (answer, expected) in cases {
        let store = FakeStore::new(1);
        let first = claims(&store, "a", 1).await;
        let begin = first.begin(&request("k", 1, 7), 1_000).await.unwrap();
        let second = claims(&store, "b", 2).await;
        second
            .settle(&ids::IdempotencyKey::new("k"), 7, answer, 1_000)
            .await
            .unwrap();
        let third = second.begin(&request("k", 1, 9), 1_000).await;
        assert_eq!(describe(third), expected);
        drop(begin);
    }
}

/// Hosts take the shard over while the same keys are requested at all of them.
///
/// Each ticket counts as a run. The guard of this check is the claim's durability
/// before sending; `optimistic` sends without waiting for it, and must be caught.
async fn runs_by_key(seed: u64, optimistic: bool) -> Vec<u32> {
    const KEYS: usize = 75;
    let store = FakeStore::new(seed);
    let mut random = random::from_seed(seed);
    let runs = Arc::new(std::sync::Mutex::new(vec![0; KEYS]));
    let mut callers = Vec::new();
    for epoch in 1..=3 {
        let connection = store.connect();
        connection.set_faults(|faults| {
            faults.latency_ms = random.random_range(1..40);
            faults.lost_after_effect = random.random_range(0..300);
            faults.delayed_effect = random.random_range(0..200);
        });
        let owner = claims(&connection, &format!("host-{epoch}"), epoch).await;
        for call in 0..60 {
            let key = epoch as usize * 15 + random.random_range(0..30);
            let attempt_id = epoch * 1_000 + call;
            let wait_ms = random.random_range(20..2_000);
            let (owner, runs) = (owner.clone(), Arc::clone(&runs));
            callers.push(task::spawn(async move {
                let request = request(&format!("k{key}"), key as u64, attempt_id);
                let begin = owner.begin(&request, wait_ms);
                let wait = Duration::from_millis(if optimistic { 5 } else { 10_000 });
                let begin = time::timeout(wait, begin).await;
                let is_guess = optimistic && begin.is_err();
                if matches!(begin, Ok(Ok(Begin::Send(_)))) || is_guess {
                    runs.lock().unwrap()[key] += 1;
                    time::sleep(Duration::from_millis(50)).await;
                }
                if let Ok(Ok(Begin::Send(ticket))) = begin {
                    drop(ticket.finish(done("charged")));
                }
            }));
            time::sleep(Duration::from_millis(random.random_range(0..30))).await;
        }
    }
    for caller in callers {
        caller.await.unwrap();
    }
    let runs = runs.lock().unwrap();
    runs.clone()
}

#[tokio::test(start_paused = true)]
async fn no_key_runs_twice_through_takeovers_and_lost_answers() {
    for seed in 0..100 {
        let runs = runs_by_key(seed, false).await;
        assert!(runs.iter().all(|runs| *runs <= 1), "seed {seed}: {runs:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn waiting_for_the_durable_claim_matters() {
    let runs = runs_by_key(1, true).await;
    assert!(runs.iter().any(|runs| *runs > 1), "{runs:?}");
}

#[tokio::test(start_paused = true)]
async fn a_claim_that_is_given_up_is_released() {
    let store = FakeStore::new(1);
    let owner = claims(&store, "a", 1).await;
    store.set_faults(|faults| faults.frozen = true);
    let refused = owner.begin(&request("k", 1, 7), 500).await;
    assert_eq!(describe(refused), "deadline_before_start");
    let given_up = request("gone", 1, 8);
    let gone = owner.begin(&given_up, 9_000);
    let gone = time::timeout(Duration::from_millis(200), gone).await;
    assert!(gone.is_err());
    store.set_faults(|faults| faults.frozen = false);
    time::sleep(Duration::from_secs(10)).await;
    for key in ["k", "gone"] {
        assert_eq!(
            describe(owner.begin(&request(key, 1, 9), 1_000).await),
            "send",
            "{key}"
        );
    }
}
