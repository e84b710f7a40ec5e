//! The journal's driver against an in-memory store.

use crate::support::{FakeStore, accepted, config, names, open};
use hickorychute_journal as journal;
use kernel::{errors, ids};
use platform::store::{Condition, Store};

#[tokio::test(start_paused = true)]
async fn appended_records_are_recovered_on_a_fresh_host() {
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
async fn a_successor_fences_the_old_writer_and_not_vice_versa() {
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
        "{entries} entries, more than a snapshot interval and the seals"
    );
}

/// A write hangs past the deadlines of its own record and of one that is queued behind it.
#[tokio::test(start_paused = true)]
async fn a_deadline_distinguishes_sent_from_queued_records() {
    let store = FakeStore::new(1);
    let journal = open(&store, "a", 1, &config(1)).await.unwrap();
    store.set_faults(|faults| faults.frozen = true);
    let sent = journal.append(vec![accepted("sent", 1)], 500);
    tokio::time::sleep(std::time::Duration::from_millis(100)).await;
    let queued = journal.append(vec![accepted("queued", 1)], 200);
    let (sent, queued) = tokio::join!(sent, queued);
    assert_eq!(sent.unwrap_err().kind, errors::ErrorKind::AnswerLost);
    assert_eq!(
        queued.unwrap_err().kind,
        errors::ErrorKind::StoreUnavailable
    );
    let mut applied = journal.applied_seq();
    store.set_faults(|faults| faults.frozen = false);
    applied.wait_for(|seq| *seq == 2).await.unwrap();
    assert_eq!(names(&journal.state()), ["sent"]);
    tokio::time::sleep(std::time::Duration::from_secs(10)).await;
    assert_eq!(names(&journal.state()), ["sent"]);
}

#[tokio::test(start_paused = true)]
async fn a_journal_that_cannot_be_read_is_not_opened() {
    struct Case {
        name: &'static str,
        key: &'static str,
        value: Option<&'static [u8]>,
        expected_detail: &'static str,
    }
    let entry = "journal/00003/000000000002";
    let head = "snapshot/00003";
    let cases = [
        Case {
            name: "missing entry",
            key: entry,
            value: None,
            expected_detail: "entry 2 of shard 3 is missing",
        },
        Case {
            name: "broken entry",
            key: entry,
            value: Some(b"x"),
            expected_detail: "malformed",
        },
        Case {
            name: "empty entry",
            key: entry,
            value: Some(b""),
            expected_detail: "malformed",
        },
        Case {
            name: "broken head",
            key: head,
            value: Some(b"\x01x"),
            expected_detail: "malformed",
        },
    ];
    for case in cases {
        let store = FakeStore::new(1);
        let journal = open(&store, "a", 1, &config(1)).await.unwrap();
        for name in ["one", "two"] {
            journal
                .append(vec![accepted(name, 1)], 1_000)
                .await
                .unwrap();
        }
        drop(journal);
        match case.value {
            None => store.delete(case.key, Condition::Any).await.unwrap(),
            Some(value) => {
                let value = bytes::Bytes::from_static(value);
                store
                    .put(case.key, value, Condition::Any, None)
                    .await
                    .unwrap()
            }
        };
        let error = open(&store, "b", 2, &config(2)).await.unwrap_err();
        assert_eq!(error.kind, errors::ErrorKind::Internal, "{}", case.name);
        assert!(
            error.detail.contains(case.expected_detail),
            "{}: {error}",
            case.name
        );
    }
}

/// Guards against a journal that stays blocked after the store recovers, because all records
/// were withdrawn and no write is left to unblock it.
#[tokio::test(start_paused = true)]
async fn an_idle_journal_reopens_when_the_store_recovers() {
    let cases = [
        (false, journal::Status::Open),
        (true, journal::Status::Fenced),
    ];
    for (is_taken_over, expected) in cases {
        let store = FakeStore::new(1);
        let host = store.connect();
        let journal = open(&host, "a", 1, &config(1)).await.unwrap();
        host.set_faults(|faults| faults.down = true);
        let refused = journal.append(vec![accepted("refused", 1)], 500).await;
        assert_eq!(
            refused.unwrap_err().kind,
            errors::ErrorKind::StoreUnavailable
        );
        assert_eq!(*journal.status().borrow(), journal::Status::Blocked);
        if is_taken_over {
            open(&store, "b", 2, &config(2)).await.unwrap();
        }
        host.set_faults(|faults| faults.down = false);
        let mut status = journal.status();
        let changed = status
            .wait_for(|status| *status != journal::Status::Blocked)
            .await;
        assert_eq!(*changed.unwrap(), expected);
    }
}
