//! Rate limit of store calls.

use std::sync::Arc;
use std::time::Duration;

use hickorychute_journal as journal;
use tokio::{task, time};

use crate::support::{FakeStore, accepted, config, names, open};

#[tokio::test(start_paused = true)]
async fn calls_keep_to_the_rate_after_a_burst() {
    let budget = journal::StoreBudget::new(100, 10);
    let started = time::Instant::now();
    let mut callers = task::JoinSet::new();
    for _ in 0..210 {
        let budget = budget.clone();
        callers.spawn(async move { budget.acquire().await });
    }
    callers.join_all().await;
    assert_eq!(budget.calls(), 210);
    let elapsed = started.elapsed();
    assert!(elapsed >= Duration::from_secs(2), "{elapsed:?}");
    assert!(elapsed <= Duration::from_millis(2_100), "{elapsed:?}");
}

/// A recovering store is called at the budget's rate, although all shards retry at once.
#[tokio::test(start_paused = true)]
async fn a_store_that_is_back_is_not_overrun() {
    let store = FakeStore::new(1);
    let mut config = config(1);
    config.budget = journal::StoreBudget::new(20, 5);
    config.open_timeout_ms = 60_000;
    store.set_faults(|faults| faults.down = true);
    let mut opening = task::JoinSet::new();
    for epoch in 1..=10 {
        let (store, config) = (store.clone(), config.clone());
        opening.spawn(async move { open(&store, "a", epoch, &config).await });
    }
    time::sleep(Duration::from_secs(10)).await;
    store.set_faults(|faults| faults.down = false);
    let before = config.budget.calls();
    time::sleep(Duration::from_secs(2)).await;
    let calls = config.budget.calls() - before;
    assert!(calls <= 2 * 20 + 5, "{calls} calls in two seconds");
    let opened = opening.join_all().await;
    assert!(opened.iter().any(Result::is_ok));
}

#[tokio::test(start_paused = true)]
async fn batches_grow_while_the_budget_is_used_up() {
    let store = Arc::new(FakeStore::new(1));
    let mut config = config(1);
    config.budget = journal::StoreBudget::new(2, 1);
    let journal = open(&store, "a", 1, &config).await.unwrap();
    let mut appends = Vec::new();
    for index in 0..200 {
        let record = accepted(&format!("w{index}"), 1);
        appends.push(task::spawn(journal.append(vec![record], 10_000)));
        time::sleep(Duration::from_millis(5)).await;
    }
    for append in appends {
        append.await.unwrap().unwrap();
    }
    assert_eq!(names(&journal.state()).len(), 200);
    let entries = journal.state().seq();
    assert!(entries <= 1 + 4, "{entries} entries in a second and a half");
}

#[tokio::test(start_paused = true)]
async fn closing_waits_for_what_was_taken_and_takes_no_more() {
    let store = FakeStore::new(1);
    let journal = open(&store, "a", 1, &config(1)).await.unwrap();
    let taken = task::spawn(journal.append(vec![accepted("taken", 1)], 1_000));
    journal.close(1_000).await.unwrap();
    assert!(taken.await.unwrap().is_ok());
    let late = journal.append(vec![accepted("late", 1)], 1_000).await;
    assert_eq!(late.unwrap_err().kind, kernel::errors::ErrorKind::Draining);
    assert_eq!(*journal.status().borrow(), journal::Status::Closed);
}
