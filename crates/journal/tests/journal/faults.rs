//! Histories of journals under faults, checked by replaying what is in the store.
//!
//! Every test submits work under unique names and notes the answers. Afterwards a
//! fresh host replays the journal, and [`Answers::check`] compares: work whose
//! record was acknowledged is there, and work that was refused as not durable is
//! not. The `*_matters` tests remove one guard (see `Faults` and `Limits::seals`)
//! and require that the same check fails.

use std::collections::BTreeMap;
use std::time::Duration;

use hickorychute_journal as journal;
use kernel::{errors, random};
use rand::RngExt;
use tokio::{task, time};

use crate::support::{FakeStore, Guard, accepted, config, names, open};

/// What submitters were told about each piece of work.
#[derive(Debug, Default)]
struct Answers {
    by_name: BTreeMap<String, errors::Result<bool, errors::ErrorKind>>,
}

impl Answers {
    fn note(&mut self, name: &str, answer: errors::Result<Vec<journal::Applied>>) {
        let answer = answer.map(|applied| applied[0].is_changed());
        let answer = answer.map_err(|error| error.kind);
        self.by_name.insert(name.to_owned(), answer);
    }

    /// Lost acknowledged work, and refused work that is there after all.
    fn check(&self, state: &journal::ShardState) -> Vec<String> {
        let there = names(state);
        let mut violations = Vec::new();
        for (name, answer) in &self.by_name {
            let is_there = there.contains(name);
            match answer {
                Ok(true) if !is_there => violations.push(format!("{name} is lost")),
                Err(errors::ErrorKind::AnswerLost) | Ok(_) => {}
                Err(kind) if is_there => violations.push(format!("{name} is there after {kind}")),
                Err(_) => {}
            }
        }
        violations
    }
}

/// Work whose record is in more than one entry of an untrimmed journal.
async fn doubled(store: &FakeStore) -> Vec<String> {
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

/// Three hosts take the shard over from each other while all of them write.
async fn racing_writers(seed: u64, guard: impl Fn(&FakeStore)) -> Vec<String> {
    let store = FakeStore::new(seed);
    let mut random = random::from_seed(seed);
    let mut running = Vec::new();
    for epoch in 1..=3 {
        let host = store.connect();
        host.set_faults(|faults| {
            faults.latency_ms = random.random_range(1..60);
            faults.lost_after_effect = random.random_range(0..200);
            faults.lost_before_effect = random.random_range(0..100);
            faults.delayed_effect = random.random_range(0..100);
        });
        guard(&host);
        let mut config = config(seed * 10 + epoch);
        config.snapshot_entries = 100_000;
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
        if random.random_bool(0.3) {
            host.set_faults(|faults| faults.down = true);
        }
    }
    let mut answers = Answers::default();
    for submitter in running {
        for (name, answer) in submitter.await.unwrap() {
            answers.note(&name, answer);
        }
    }
    // Writes whose effect was delayed come before the end of the history.
    time::sleep(Duration::from_secs(5)).await;
    let fresh = open(&store.connect(), "fresh", 9, &config(seed))
        .await
        .unwrap();
    let mut violations = answers.check(&fresh.state());
    violations.extend(doubled(&store).await);
    violations
}

#[tokio::test(start_paused = true)]
async fn racing_writers_lose_and_double_nothing() {
    for seed in 0..100 {
        let violations = racing_writers(seed, |_| {}).await;
        assert!(violations.is_empty(), "seed {seed}: {violations:?}");
    }
}

/// With the store's condition ignored, a fenced writer overwrites its successor.
#[tokio::test(start_paused = true)]
async fn the_condition_matters() {
    let mut found = 0;
    for seed in 0..20 {
        let unguarded =
            |host: &FakeStore| host.set_faults(|faults| faults.removed = Some(Guard::Conditions));
        let history = task::spawn(async move { racing_writers(seed, unguarded).await });
        // An overwritten seal makes the journal unreadable, which ends the history in a panic.
        found += usize::from(
            history
                .await
                .map_or(true, |violations| !violations.is_empty()),
        );
    }
    assert!(found > 0, "removing the guard is not noticed");
}

/// With lost answers taken for writes without effect, refused work is there after all.
#[tokio::test(start_paused = true)]
async fn settling_lost_answers_matters() {
    let mut found = 0;
    for seed in 0..20 {
        let unguarded =
            |host: &FakeStore| host.set_faults(|faults| faults.removed = Some(Guard::LostAnswers));
        found += racing_writers(seed, unguarded).await.len();
    }
    assert!(found > 0, "removing the guard is not noticed");
}

#[tokio::test(start_paused = true)]
async fn a_store_that_is_away_refuses_truthfully_and_comes_back() {
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

/// Stops a host at its n-th write, before or after the effect, for every n.
#[tokio::test(start_paused = true)]
async fn a_crash_at_any_write_loses_nothing() {
    let mut crashes = 0;
    for hangs_after_effect in [false, true] {
        for writes_left in 0..120 {
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
                });
                crashes += usize::from(left.is_some());
                run_until_crash(&host, epoch, &mut answers).await;
            }
            let fresh = open(&store.connect(), "fresh", 9, &config(1))
                .await
                .unwrap();
            let violations = answers.check(&fresh.state());
            assert!(
                violations.is_empty(),
                "at write {writes_left}: {violations:?}"
            );
        }
    }
    assert_eq!(crashes, 480);
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
        answers.note(&name, answer);
        if is_over {
            return;
        }
    }
}

/// A writer is paused in its commit while its successor writes on and trims.
async fn paused_writer(seals: usize) -> Vec<String> {
    let store = FakeStore::new(1);
    let mut config = config(1);
    config.limits.seals = seals;
    config.snapshot_entries = 10;
    // A paused process does not notice how long its call takes.
    config.call_timeout_ms = 3_600_000;
    let paused = store.connect();
    let old = open(&paused, "old", 1, &config).await.unwrap();
    let mut answers = Answers::default();
    answers.note("first", old.append(vec![accepted("first", 1)], 1_000).await);
    paused.set_faults(|faults| faults.frozen = true);
    let late = task::spawn(old.append(vec![accepted("late", 1)], 3_600_000));
    time::sleep(Duration::from_secs(1)).await;

    let new = open(&store.connect(), "new", 2, &config).await.unwrap();
    for index in 0..35 {
        let name = format!("new-{index}");
        answers.note(&name, new.append(vec![accepted(&name, 1)], 1_000).await);
    }
    time::sleep(Duration::from_secs(5)).await;
    paused.set_faults(|faults| faults.frozen = false);
    answers.note("late", late.await.unwrap());
    drop((old, new));
    let fresh = open(&store, "fresh", 9, &config).await.unwrap();
    answers.check(&fresh.state())
}

#[tokio::test(start_paused = true)]
async fn a_writer_woken_after_the_seal_was_trimmed_past_is_fenced() {
    let violations = paused_writer(journal::Limits::default().seals).await;
    assert!(violations.is_empty(), "{violations:?}");
}

/// With seals trimmed like other entries, the woken writer's record is lost.
#[tokio::test(start_paused = true)]
async fn keeping_seals_matters() {
    assert_eq!(paused_writer(0).await, ["late is lost"]);
}

/// A host is paused between reading the journal and sealing it, while its writer trims.
async fn paused_opener(removed: Option<Guard>) -> Vec<String> {
    let store = FakeStore::new(1);
    let mut slow = config(2);
    slow.call_timeout_ms = 3_600_000;
    slow.open_timeout_ms = 3_600_000;
    let mut quick = config(1);
    quick.snapshot_entries = 10;
    let writer = open(&store, "writer", 1, &quick).await.unwrap();
    let mut answers = Answers::default();
    answers.note(
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
        answers.note(&name, writer.append(vec![accepted(&name, 1)], 1_000).await);
    }
    time::sleep(Duration::from_secs(5)).await;
    paused.set_faults(|faults| faults.frozen = false);
    let opener = opener.await.unwrap().unwrap();
    answers.note(
        "opener",
        opener.append(vec![accepted("opener", 1)], 5_000).await,
    );
    answers.note(
        "writer",
        writer.append(vec![accepted("writer", 1)], 5_000).await,
    );
    drop((opener, writer));
    let fresh = open(&store, "fresh", 9, &quick).await.unwrap();
    answers.check(&fresh.state())
}

#[tokio::test(start_paused = true)]
async fn a_host_that_seals_a_trimmed_number_starts_again() {
    let violations = paused_opener(None).await;
    assert!(violations.is_empty(), "{violations:?}");
}

/// With the second look at the snapshot blinded, two hosts hold the journal at once.
#[tokio::test(start_paused = true)]
async fn the_second_look_at_the_snapshot_matters() {
    assert_eq!(
        paused_opener(Some(Guard::SnapshotHead)).await,
        ["opener is lost"]
    );
}
