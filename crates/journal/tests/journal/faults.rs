//! Histories of journals under faults, checked by replaying the store's contents.
//!
//! Every test submits work under unique names and records the answers. Afterwards a
//! fresh host replays the journal, and [`Answers::check`] verifies that acknowledged
//! work is present and that work refused as not durable is absent. The tests named
//! `*_is_detected` or `*_are_detected` remove one guard (see `Guard` and
//! `Limits::retained_seals`) and require that the same check fails.

use std::collections::BTreeMap;
use std::time::Duration;

use hickorychute_journal as journal;
use kernel::{errors, random};
use rand::RngExt;
use tokio::{task, time};

use crate::support::{FakeStore, Guard, accepted, config, names, open, seeds};

/// The answers to submitters, by name of the work.
#[derive(Debug, Default)]
struct Answers {
    by_name: BTreeMap<String, errors::Result<bool, errors::ErrorKind>>,
}

impl Answers {
    fn record(&mut self, name: &str, answer: errors::Result<Vec<journal::Applied>>) {
        let answer = answer.map(|applied| applied[0].is_changed());
        let answer = answer.map_err(|error| error.kind);
        self.by_name.insert(name.to_owned(), answer);
    }

    /// Violations: acknowledged work that is missing, and refused work that is present.
    fn check(&self, state: &journal::ShardState) -> Vec<String> {
        let present = names(state);
        let mut violations = Vec::new();
        for (name, answer) in &self.by_name {
            let is_present = present.contains(name);
            match answer {
                Ok(true) if !is_present => violations.push(format!("{name} is lost")),
                Err(errors::ErrorKind::AnswerLost) | Ok(_) => {}
                Err(kind) if is_present => violations.push(format!("{name} exists after {kind}")),
                Err(_) => {}
            }
        }
        violations
    }
}

/// Names of work with more than one acceptance record in an untrimmed journal.
async fn duplicated(store: &FakeStore) -> Vec<String> {
    use platform::store::Store;
    let mut seen = BTreeMap::<String, u32>::new();
    for key in store.keys("journal/") {
        let stored = store.connect().get(&key).await.unwrap().unwrap();
        for record in journal::Entry::decode(&stored.value).unwrap().records {
            if let journal::Record::Accepted { work, .. } = record {
                *seen.entry(work.id.to_string()).or_default() += 1;
            }
        }
    }
    seen.retain(|_, count| *count > 1);
    seen.into_keys().collect()
}

/// Submits work at random intervals until the journal is fenced.
async fn submit(
    journal: journal::ShardJournal,
    name: String,
    count: u32,
    seed: u64,
) -> Vec<(String, errors::Result<Vec<journal::Applied>>)> {
    let mut random = random::from_seed(seed);
    let mut waiting = Vec::new();
    for index in 0..count {
        let name = format!("{name}-{index}");
        let wait_ms = random.random_range(50..3_000);
        let answer = task::spawn(journal.append(vec![accepted(&name, 2)], wait_ms));
        waiting.push((name, answer));
        time::sleep(Duration::from_millis(random.random_range(0..80))).await;
    }
    let mut answers = Vec::new();
    for (name, answer) in waiting {
        answers.push((name, answer.await.unwrap()));
    }
    answers
}

/// Hosts take the shard over from each other while all of them write.
///
/// Hosts are frozen and cut off from the store at random. With `trims`, snapshots are
/// so frequent that every takeover recovers from one.
async fn racing_writers(seed: u64, trims: bool, guard: impl Fn(&FakeStore)) -> Vec<String> {
    let store = FakeStore::new(seed);
    let mut random = random::from_seed(seed);
    let mut running = Vec::new();
    for epoch in 1..=4 {
        let host = store.connect();
        host.set_faults(|faults| {
            faults.latency_ms = random.random_range(1..60);
            faults.lost_after_effect = random.random_range(0..200);
            faults.lost_before_effect = random.random_range(0..100);
            faults.delayed_effect = random.random_range(0..100);
        });
        guard(&host);
        let mut config = config(seed * 10 + epoch);
        config.snapshot_entries = if trims { 4 } else { 100_000 };
        config.chunk_bytes = 400;
        let Ok(journal) = open(&host, &format!("host-{epoch}"), epoch, &config).await else {
            continue;
        };
        running.push(task::spawn(submit(
            journal,
            format!("{epoch}"),
            40,
            seed + epoch,
        )));
        time::sleep(Duration::from_millis(random.random_range(0..1_500))).await;
        let (frozen, down) = (random.random_bool(0.3), random.random_bool(0.3));
        host.set_faults(|faults| (faults.frozen, faults.down) = (frozen, down));
        let frozen_ms = random.random_range(0..4_000);
        task::spawn(async move {
            time::sleep(Duration::from_millis(frozen_ms)).await;
            host.set_faults(|faults| faults.frozen = false);
        });
    }
    let mut answers = Answers::default();
    for submitter in running {
        for (name, answer) in submitter.await.unwrap() {
            answers.record(&name, answer);
        }
    }
    // Lets delayed writes take effect before the history is checked.
    time::sleep(Duration::from_secs(10)).await;
    let fresh = match open(&store.connect(), "fresh", 9, &config(seed)).await {
        Ok(fresh) => fresh,
        Err(error) => return vec![format!("the journal does not open: {error}")],
    };
    let mut violations = answers.check(&fresh.state());
    if !trims {
        violations.extend(duplicated(&store).await);
    }
    violations
}

fn remove(guard: Guard) -> impl Fn(&FakeStore) {
    move |host| host.set_faults(|faults| faults.removed = Some(guard))
}

#[tokio::test(start_paused = true)]
async fn racing_writers_neither_lose_nor_duplicate_records() {
    for seed in seeds() {
        for trims in [false, true] {
            let violations = racing_writers(seed, trims, |_| {}).await;
            assert!(
                violations.is_empty(),
                "seed {seed}, trims {trims}: {violations:?}"
            );
        }
    }
}

/// If the store ignores conditions, a fenced writer overwrites its successor's entries.
#[tokio::test(start_paused = true)]
async fn ignored_conditions_are_detected() {
    let mut found = 0;
    for seed in 0..20 {
        found += racing_writers(seed, false, remove(Guard::Conditions))
            .await
            .len();
    }
    assert!(found > 0, "the removed guard was not detected");
}

/// If lost answers are taken for writes without effect, refused work is present.
#[tokio::test(start_paused = true)]
async fn misreported_lost_answers_are_detected() {
    let mut found = 0;
    for seed in 0..20 {
        found += racing_writers(seed, false, remove(Guard::LostAnswers))
            .await
            .len();
    }
    assert!(found > 0, "the removed guard was not detected");
}

#[tokio::test(start_paused = true)]
async fn appends_during_a_store_outage_are_delayed_or_refused() {
    struct Case {
        name: &'static str,
        down_ms: u64,
        wait_ms: u64,
        expected: errors::Result<(), errors::ErrorKind>,
    }
    let cases = [
        Case {
            name: "short",
            down_ms: 500,
            wait_ms: 5_000,
            expected: Ok(()),
        },
        Case {
            name: "longer than the deadline",
            down_ms: 10_000,
            wait_ms: 2_000,
            expected: Err(errors::ErrorKind::StoreUnavailable),
        },
        Case {
            name: "an hour",
            down_ms: 3_600_000,
            wait_ms: 2_000,
            expected: Err(errors::ErrorKind::StoreUnavailable),
        },
    ];
    for case in cases {
        let store = FakeStore::new(1);
        let journal = open(&store, "a", 1, &config(1)).await.unwrap();
        store.set_faults(|faults| faults.down = true);
        let append = task::spawn(journal.append(vec![accepted("during", 1)], case.wait_ms));
        time::sleep(Duration::from_millis(case.down_ms)).await;
        store.set_faults(|faults| faults.down = false);
        let answer = append
            .await
            .unwrap()
            .map(|_| ())
            .map_err(|error| error.kind);
        assert_eq!(answer, case.expected, "{}", case.name);
        journal
            .append(vec![accepted("after", 1)], 5_000)
            .await
            .unwrap();
        let expected = case.expected.is_ok().then_some("during");
        let expected: Vec<&str> = ["after"].into_iter().chain(expected).collect();
        assert_eq!(names(&journal.state()), expected, "{}", case.name);
    }
}

#[tokio::test(start_paused = true)]
async fn a_slow_store_only_delays_appends() {
    let store = FakeStore::new(1);
    store.set_faults(|faults| faults.latency_ms = 2_000);
    let mut config = config(1);
    config.open_timeout_ms = 60_000;
    let journal = open(&store, "a", 1, &config).await.unwrap();
    let mut answers = Answers::default();
    for index in 0..20 {
        let name = format!("w{index}");
        answers.record(&name, journal.append(vec![accepted(&name, 1)], 6_000).await);
    }
    assert!(answers.by_name.values().all(Result::is_ok));
    let fresh = open(&store.connect(), "fresh", 9, &config).await.unwrap();
    assert_eq!(answers.check(&fresh.state()), [""; 0]);
}

/// Crashes two hosts at their n-th write, before or after the effect.
async fn crashes(
    writes_left: u32,
    hangs_after_effect: bool,
    removed: Option<Guard>,
) -> Vec<String> {
    let store = FakeStore::new(7);
    let mut answers = Answers::default();
    for (epoch, left) in [
        (1, Some(writes_left)),
        (2, Some(writes_left / 2)),
        (3, None),
    ] {
        let host = store.connect();
        host.set_faults(|faults| {
            faults.writes_left = left;
            faults.hangs_after_effect = hangs_after_effect;
            faults.removed = removed;
        });
        run_until_crash(&host, epoch, &mut answers).await;
    }
    let fresh = open(&store.connect(), "fresh", 9, &config(1))
        .await
        .unwrap();
    answers.check(&fresh.state())
}

#[tokio::test(start_paused = true)]
async fn a_crash_at_any_write_loses_nothing() {
    for hangs_after_effect in [false, true] {
        for writes_left in 0..120 {
            let violations = crashes(writes_left, hangs_after_effect, None).await;
            assert!(
                violations.is_empty(),
                "at write {writes_left}: {violations:?}"
            );
        }
    }
}

/// If writes are answered before their effect, a crash loses acknowledged work.
#[tokio::test(start_paused = true)]
async fn writes_answered_before_their_effect_are_detected() {
    assert!(!crashes(6, false, Some(Guard::Durability)).await.is_empty());
}

async fn run_until_crash(host: &FakeStore, epoch: u64, answers: &mut Answers) {
    let mut config = config(epoch);
    config.snapshot_entries = 5;
    config.chunk_bytes = 300;
    config.open_timeout_ms = 2_000;
    let Ok(journal) = open(host, &format!("host-{epoch}"), epoch, &config).await else {
        return;
    };
    for index in 0..30 {
        let name = format!("{epoch}-{index}");
        let answer = journal.append(vec![accepted(&name, 2)], 1_500).await;
        let is_over = answer.is_err();
        answers.record(&name, answer);
        if is_over {
            return;
        }
    }
}

/// A writer is paused during a commit while its successor continues to write and trims.
async fn paused_writer(seals: usize) -> Vec<String> {
    let store = FakeStore::new(1);
    let mut config = config(1);
    config.limits.retained_seals = seals;
    config.snapshot_entries = 10;
    // The call timeout does not fire in a paused process.
    config.call_timeout_ms = 3_600_000;
    let paused = store.connect();
    let old = open(&paused, "old", 1, &config).await.unwrap();
    let mut answers = Answers::default();
    answers.record("first", old.append(vec![accepted("first", 1)], 1_000).await);
    paused.set_faults(|faults| faults.frozen = true);
    let late = task::spawn(old.append(vec![accepted("late", 1)], 3_600_000));
    time::sleep(Duration::from_secs(1)).await;

    let new = open(&store.connect(), "new", 2, &config).await.unwrap();
    for index in 0..35 {
        let name = format!("new-{index}");
        answers.record(&name, new.append(vec![accepted(&name, 1)], 1_000).await);
    }
    time::sleep(Duration::from_secs(5)).await;
    paused.set_faults(|faults| faults.frozen = false);
    answers.record("late", late.await.unwrap());
    drop((old, new));
    let fresh = open(&store, "fresh", 9, &config).await.unwrap();
    answers.check(&fresh.state())
}

#[tokio::test(start_paused = true)]
async fn a_writer_resumed_after_trimming_past_the_seal_is_fenced() {
    let violations = paused_writer(journal::Limits::default().retained_seals).await;
    assert!(violations.is_empty(), "{violations:?}");
}

/// If seals are trimmed like other entries, the resumed writer's record is lost.
#[tokio::test(start_paused = true)]
async fn trimming_seals_is_detected() {
    assert_eq!(paused_writer(0).await, ["late is lost"]);
}

/// A host is paused between reading the journal and sealing it, while the writer trims.
async fn paused_opener(removed: Option<Guard>) -> Vec<String> {
    let store = FakeStore::new(1);
    let mut slow = config(2);
    slow.call_timeout_ms = 3_600_000;
    slow.open_timeout_ms = 3_600_000;
    let mut quick = config(1);
    quick.snapshot_entries = 10;
    let writer = open(&store, "writer", 1, &quick).await.unwrap();
    let mut answers = Answers::default();
    answers.record(
        "first",
        writer.append(vec![accepted("first", 1)], 1_000).await,
    );
    let paused = store.connect();
    paused.set_faults(|faults| {
        faults.frozen = true;
        faults.removed = removed;
    });
    let opener_store = paused.clone();
    let opener = task::spawn(async move { open(&opener_store, "opener", 2, &slow).await });
    time::sleep(Duration::from_secs(1)).await;
    for index in 0..35 {
        let name = format!("w-{index}");
        answers.record(&name, writer.append(vec![accepted(&name, 1)], 1_000).await);
    }
    time::sleep(Duration::from_secs(5)).await;
    paused.set_faults(|faults| faults.frozen = false);
    let opener = opener.await.unwrap().unwrap();
    answers.record(
        "opener",
        opener.append(vec![accepted("opener", 1)], 5_000).await,
    );
    answers.record(
        "writer",
        writer.append(vec![accepted("writer", 1)], 5_000).await,
    );
    drop((opener, writer));
    let fresh = open(&store, "fresh", 9, &quick).await.unwrap();
    answers.check(&fresh.state())
}

#[tokio::test(start_paused = true)]
async fn recovery_restarts_if_the_seal_uses_a_trimmed_number() {
    let violations = paused_opener(None).await;
    assert!(violations.is_empty(), "{violations:?}");
}

/// If the snapshot head is not read again after the seal, two hosts write the journal at once.
#[tokio::test(start_paused = true)]
async fn skipping_the_second_read_of_the_head_is_detected() {
    assert_eq!(
        paused_opener(Some(Guard::SnapshotHead)).await,
        ["opener is lost"]
    );
}
