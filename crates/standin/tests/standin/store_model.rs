//! The store state machine: conditions, leases, limits and the watch log.

use bytes::Bytes;
use hickorychute_standin as standin;
use indexmap::IndexMap;
use platform::store::{Change, Condition, Revision, StoreError, VALUE_LIMIT_BYTES};
use proptest::prelude::*;
use standin::config::StoreLimits;
use standin::model::StoreModel;

fn value(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

struct Case {
    name: &'static str,
    exists: bool,
    condition: fn(Revision) -> Condition,
    put: bool,
    delete: bool,
}

const CASES: [Case; 6] = [
    Case {
        name: "any, key exists",
        exists: true,
        condition: |_| Condition::Any,
        put: true,
        delete: true,
    },
    Case {
        name: "any, key absent",
        exists: false,
        condition: |_| Condition::Any,
        put: true,
        delete: true,
    },
    Case {
        name: "absent, key exists",
        exists: true,
        condition: |_| Condition::Absent,
        put: false,
        delete: false,
    },
    Case {
        name: "unchanged, last revision",
        exists: true,
        condition: Condition::Unchanged,
        put: true,
        delete: true,
    },
    Case {
        name: "unchanged, older revision",
        exists: true,
        condition: |revision| Condition::Unchanged(Revision(revision.0 - 1)),
        put: false,
        delete: false,
    },
    Case {
        name: "unchanged, key absent",
        exists: false,
        condition: Condition::Unchanged,
        put: false,
        delete: false,
    },
];

#[test]
fn a_write_takes_effect_only_if_its_condition_holds() {
    for case in CASES {
        for is_put in [true, false] {
            let mut store = StoreModel::new(StoreLimits::default());
            store
                .put(0, "other", value("0"), Condition::Any, None)
                .unwrap();
            if case.exists {
                store
                    .put(0, "key", value("1"), Condition::Any, None)
                    .unwrap();
            }
            let before = store.get(0, "key").unwrap();
            let condition = (case.condition)(store.revision());
            let result = if is_put {
                store.put(0, "key", value("2"), condition, None)
            } else {
                store.delete(0, "key", condition)
            };
            let expected = if is_put { case.put } else { case.delete };
            assert_eq!(result.is_ok(), expected, "{} put={is_put}", case.name);
            if let Err(error) = result {
                let StoreError::Conflict { current } = error else {
                    panic!("{}: {error}", case.name);
                };
                assert_eq!(current, before, "{}", case.name);
                assert_eq!(store.get(0, "key").unwrap(), before, "{}", case.name);
            }
        }
    }
}

#[test]
fn an_expired_lease_deletes_its_keys_and_cannot_be_used() {
    let mut store = StoreModel::new(StoreLimits::default());
    let lease = store.grant_lease(0, 100).unwrap();
    store
        .put(0, "mine", value("1"), Condition::Any, Some(lease))
        .unwrap();
    store
        .put(0, "other", value("1"), Condition::Any, None)
        .unwrap();
    store.keep_alive(99, lease).unwrap();
    assert!(store.get(198, "mine").unwrap().is_some());
    assert_eq!(store.next_expiry_ms(), Some(199));
    assert!(store.get(199, "mine").unwrap().is_none());
    assert!(store.get(199, "other").unwrap().is_some());
    let late = store.put(199, "mine", value("2"), Condition::Any, Some(lease));
    assert!(matches!(late, Err(StoreError::LeaseLapsed)), "{late:?}");
    assert!(matches!(
        store.keep_alive(199, lease),
        Err(StoreError::LeaseLapsed)
    ));
    let changes = store.changes(199, "mine", Revision(1)).changes;
    assert!(
        matches!(changes[..], [Change::Deleted { .. }]),
        "{changes:?}"
    );
}

#[test]
fn a_watch_from_before_the_log_is_reported_as_compacted() {
    let limits = StoreLimits {
        watch_log_changes: 3,
        ..StoreLimits::default()
    };
    let mut store = StoreModel::new(limits);
    for _ in 0..5 {
        store
            .put(0, "a/1", value("1"), Condition::Any, None)
            .unwrap();
    }
    assert!(store.changes(0, "a/", Revision(1)).compacted);
    let reply = store.changes(0, "a/", Revision(2));
    assert_eq!(
        (reply.compacted, reply.changes.len(), reply.revision),
        (false, 3, Revision(5))
    );
    let other = store.changes(0, "b/", Revision(4));
    assert_eq!((other.changes.len(), other.revision), (0, Revision(5)));
}

#[test]
fn values_and_rates_are_limited() {
    let limits = StoreLimits {
        writes_per_s: Some(2),
        ..StoreLimits::default()
    };
    let mut store = StoreModel::new(limits);
    let large = Bytes::from(vec![0; VALUE_LIMIT_BYTES + 1]);
    let too_large = store.put(0, "key", large, Condition::Any, None);
    assert!(matches!(too_large, Err(StoreError::TooLarge { .. })));
    let full = Bytes::from(vec![0; VALUE_LIMIT_BYTES]);
    store
        .put(0, "key", full.clone(), Condition::Any, None)
        .unwrap();
    let throttled = store.put(0, "key", full.clone(), Condition::Any, None);
    assert!(matches!(throttled, Err(StoreError::Throttled)));
    assert!(
        store.get(0, "key").unwrap().is_some(),
        "reads have a rate of their own"
    );
    store.put(500, "key", full, Condition::Any, None).unwrap();
    let counters = store.counters();
    assert_eq!(
        (counters.puts, counters.throttled, counters.gets),
        (3, 1, 1)
    );
    assert_eq!(counters.writes_by_prefix["key"], 3);
}

#[derive(Clone, Copy, Debug)]
enum Write {
    PutIfAbsent,
    PutIfUnchanged { age: u64 },
    Delete,
}

fn write() -> impl Strategy<Value = (u8, Write)> {
    let kind = prop_oneof![
        Just(Write::PutIfAbsent),
        (0..3_u64).prop_map(|age| Write::PutIfUnchanged { age }),
        Just(Write::Delete),
    ];
    (0..3_u8, kind)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Compares write results, range reads and replayed watch changes with a plain map.
    #[test]
    fn compare_and_swap_agrees_with_a_map(writes in prop::collection::vec(write(), 1..60)) {
        let mut store = StoreModel::new(StoreLimits::default());
        let mut expected: IndexMap<String, Revision> = IndexMap::new();
        let mut last = Revision(0);
        for (key, write) in writes {
            let key = format!("k/{key}");
            let present = expected.get(&key).copied();
            let (result, should) = match write {
                Write::PutIfAbsent => (
                    store.put(0, &key, value("v"), Condition::Absent, None),
                    present.is_none(),
                ),
                Write::PutIfUnchanged { age } => {
                    let seen = Revision(present.unwrap_or_default().0.saturating_sub(age));
                    let condition = Condition::Unchanged(seen);
                    let put = store.put(0, &key, value("v"), condition, None);
                    (put, present == Some(seen))
                }
                Write::Delete => (store.delete(0, &key, Condition::Any), true),
            };
            prop_assert_eq!(result.is_ok(), should);
            if let Ok(revision) = result {
                let changed = !matches!(write, Write::Delete) || present.is_some();
                prop_assert_eq!(revision > last, changed, "revisions grow with each change");
                last = revision;
                if matches!(write, Write::Delete) {
                    expected.swap_remove(&key);
                } else {
                    expected.insert(key, revision);
                }
            }
        }
        let entries = store.range(0, "k/", "", usize::MAX).unwrap();
        let mut replayed: IndexMap<String, Revision> = IndexMap::new();
        for change in store.changes(0, "k/", Revision(0)).changes {
            match change {
                Change::Put(entry) => { replayed.insert(entry.key, entry.revision); }
                Change::Deleted { key, .. } => { replayed.swap_remove(&key); }
            }
        }
        expected.sort_unstable_keys();
        replayed.sort_unstable_keys();
        prop_assert_eq!(&replayed, &expected);
        let read: IndexMap<String, Revision> =
            entries.into_iter().map(|entry| (entry.key, entry.revision)).collect();
        prop_assert_eq!(read.iter().collect::<Vec<_>>(), expected.iter().collect::<Vec<_>>());
    }
}
