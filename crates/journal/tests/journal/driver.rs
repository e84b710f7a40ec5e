//! The journal's driver against a store in memory.

use crate::support::{FakeStore, accepted, config, names, open};
use hickorychute_journal as journal;
use kernel::{errors, ids};

#[tokio::test(start_paused = true)]
async fn appended_records_are_there_on_a_fresh_host() {
    let store = FakeStore::new(1);
    let first = open(&store, "a", 1, &config(1)).await.unwrap();
    let one = first.append(vec![accepted("one", 4)], 1_000);
    let two = first.append(vec![accepted("two", 1), accepted("one", 4)], 1_000);
    assert_eq!(one.await.unwrap(), [journal::Applied::Changed]);
    let known = journal::Applied::Ignored(journal::IgnoredReason::KnownWork);
    assert_eq!(two.await.unwrap(), [journal::Applied::Changed, known]);
    let before = first.state().clone();
    assert_eq!(before.seq(), 2, "one seal and one batch");
    drop(first);

    let second = open(&store, "b", 2, &config(2)).await.unwrap();
    assert_eq!(names(&second.state()), ["one", "two"]);
    assert_eq!(second.state().epoch(), ids::Epoch(2));
}

#[tokio::test(start_paused = true)]
async fn a_successor_fences_the_old_writer_and_not_the_other_way() {
    let store = FakeStore::new(1);
    let old = open(&store, "a", 1, &config(1)).await.unwrap();
    let new = open(&store, "b", 2, &config(2)).await.unwrap();
    let refused = old.append(vec![accepted("late", 1)], 1_000).await;
    assert_eq!(refused.unwrap_err().kind, errors::ErrorKind::StaleEpoch);
    assert_eq!(*old.status().borrow(), journal::Status::Fenced);
    let again = old.append(vec![accepted("later", 1)], 1_000).await;
    assert_eq!(again.unwrap_err().kind, errors::ErrorKind::StaleEpoch);
    let stale = open(&store, "a", 1, &config(3)).await;
    assert_eq!(stale.unwrap_err().kind, errors::ErrorKind::StaleEpoch);
    new.append(vec![accepted("kept", 1)], 1_000).await.unwrap();
    assert_eq!(names(&new.state()), ["kept"]);
}

#[tokio::test(start_paused = true)]
async fn snapshots_bound_the_entries_and_recovery_reads_them() {
    let store = FakeStore::new(1);
    let mut config = config(1);
    config.snapshot_entries = 8;
    config.chunk_bytes = 200;
    let mut reference = None;
    for epoch in 1..=4 {
        let host = format!("host-{epoch}");
        let open = open(&store, &host, epoch, &config).await.unwrap();
        if let Some(names_before) = reference {
            assert_eq!(names(&open.state()), names_before);
        }
        for index in 0..20 {
            let record = accepted(&format!("{epoch}-{index}"), 3);
            open.append(vec![record], 1_000).await.unwrap();
        }
        tokio::time::sleep(std::time::Duration::from_secs(5)).await;
        reference = Some(names(&open.state()));
    }
    let entries = store.keys("journal/").len();
    assert!(
        entries <= 8 + 1 + 4,
        "{entries} entries, more than a period and the seals"
    );
}
