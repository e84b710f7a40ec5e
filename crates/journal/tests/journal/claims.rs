//! Claims of non-idempotent requests: duplicates, crashes, lost answers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use checker::linearizable::{ClaimOperation, Operation, is_claim};
use hickorychute_journal as journal;
use journal::Begin;
use kernel::{errors, ids, random};
use rand::RngExt;
use tokio::{task, time};

use crate::support::{FakeStore, Guard, SHARD, config, open, seeds};

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
            panic!("the first request is claimed");
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
                Begin::Unknown(_) => panic!("the claim is known"),
            }
        }));
    }
    let mut answers = Vec::new();
    for begin in begins {
        answers.extend(begin.await.unwrap());
    }
    assert_eq!(
        answers,
        vec![done("charged"); 9],
        "all but one are answered"
    );
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

/// Runs per key while hosts take over the shard and all of them receive the same keys.
///
/// Each ticket counts as a run. With `optimistic` a request is sent before its claim is
/// durable, a fault that the check must detect.
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
    for seed in seeds() {
        let runs = runs_by_key(seed, false).await;
        assert!(runs.iter().all(|runs| *runs <= 1), "seed {seed}: {runs:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn sending_before_the_claim_is_durable_is_detected() {
    let runs = runs_by_key(1, true).await;
    assert!(runs.iter().any(|runs| *runs > 1), "{runs:?}");
}

#[tokio::test(start_paused = true)]
async fn a_claim_is_released_on_timeout_or_cancellation() {
    let store = FakeStore::new(1);
    let owner = claims(&store, "a", 1).await;
    store.set_faults(|faults| faults.frozen = true);
    let refused = owner.begin(&request("k", 1, 7), 500).await;
    assert_eq!(describe(refused), "deadline_before_start");
    let cancelled_request = request("gone", 1, 8);
    let cancelled = owner.begin(&cancelled_request, 9_000);
    let cancelled = time::timeout(Duration::from_millis(200), cancelled).await;
    assert!(cancelled.is_err());
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

/// Claims a key through one writer; `None` if the claim certainly had no effect.
async fn claim_directly(
    journal: Arc<journal::ShardJournal>,
    key: ids::IdempotencyKey,
    attempt_id: u64,
    started: time::Instant,
) -> Option<Operation<ClaimOperation>> {
    let called_ms = started.elapsed().as_millis() as u64;
    let record = journal::Record::Claimed {
        key: key.clone(),
        request_digest: 1,
        attempt_id,
        host: ids::HostId::new("h"),
    };
    let appended = journal.append(vec![record], 1_500).await;
    let content = match appended {
        Ok(applied) if applied[0].is_changed() => ClaimOperation::Won { attempt_id },
        Ok(_) => match journal.state().claim(&key) {
            journal::ClaimState::Claimed(owner) | journal::ClaimState::Unknown(owner) => {
                ClaimOperation::Lost {
                    holder: owner.attempt_id,
                }
            }
            other => panic!("{other:?}"),
        },
        Err(error) if error.kind == errors::ErrorKind::AnswerLost => {
            ClaimOperation::Unanswered { attempt_id }
        }
        Err(_) => return None,
    };
    let is_unanswered = matches!(content, ClaimOperation::Unanswered { .. });
    let responded_ms = started.elapsed().as_millis() as u64;
    let responded_ms = (!is_unanswered).then_some(responded_ms);
    Some(Operation {
        called_ms,
        responded_ms,
        content,
    })
}

/// Claim operations by key, through two writers of which the second fences the first.
async fn claims_by_key(seed: u64, removed: Option<Guard>) -> Vec<Vec<Operation<ClaimOperation>>> {
    const KEYS: usize = 12;
    let store = FakeStore::new(seed);
    let mut random = random::from_seed(seed);
    let started = time::Instant::now();
    let mut writers = Vec::new();
    let mut claims = Vec::new();
    for attempt_id in 0..60 {
        if attempt_id == 0 || attempt_id == 20 {
            let epoch = writers.len() as u64 + 1;
            let connection = store.connect();
            connection.set_faults(|faults| {
                faults.latency_ms = random.random_range(1..40);
                faults.lost_after_effect = random.random_range(0..300);
                faults.delayed_effect = random.random_range(0..300);
                faults.removed = removed;
            });
            let host = format!("host-{epoch}");
            let opened = open(&connection, &host, epoch, &config(epoch)).await;
            writers.extend(opened.ok().map(Arc::new));
        }
        // Later claims use later keys, so that both writers see new keys.
        let key = (attempt_id as usize / 6 + random.random_range(0..3)).min(KEYS - 1);
        let writer = random.random_range(0..writers.len());
        let journal = Arc::clone(&writers[writer]);
        let id = ids::IdempotencyKey::new(format!("k{key}"));
        claims.push((
            key,
            task::spawn(claim_directly(journal, id, attempt_id, started)),
        ));
        time::sleep(Duration::from_millis(random.random_range(0..40))).await;
    }
    let mut by_key = vec![Vec::new(); KEYS];
    for (key, claim) in claims {
        by_key[key].extend(claim.await.unwrap());
    }
    by_key
}

#[tokio::test(start_paused = true)]
async fn claims_are_linearizable() {
    for seed in seeds() {
        for operations in claims_by_key(seed, None).await {
            assert!(is_claim(&operations), "seed {seed}: {operations:?}");
        }
    }
}

/// If the store ignores conditions, a key can be claimed through two writers.
#[tokio::test(start_paused = true)]
async fn ignored_conditions_are_detected_in_claims() {
    let mut found = 0;
    for seed in 0..20 {
        let by_key = claims_by_key(seed, Some(Guard::Conditions)).await;
        found += by_key
            .iter()
            .filter(|operations| !is_claim(operations))
            .count();
    }
    assert!(found > 0, "the removed guard was not detected");
}
