//! The platform's store: keys with revisions, conditions, leases and watches.

use std::{
    collections::BTreeMap,
    sync::{Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{Answer, Request},
    json::{Json, base64, quote},
};

/// Items in one page of a listing.
const PAGE_ITEMS: usize = 500;
/// Entries of one transaction.
const MAX_ENTRIES: usize = 32;
/// Length of the longest value, in base64: 1 MiB.
const MAX_VALUE: usize = (1_048_576 / 3 + 1) * 4;
/// Shortest time of a lease, in milliseconds.
const MIN_TTL_MS: u64 = 1_000;

#[derive(Clone)]
struct Item {
    /// Base64, as it arrived.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
}

fn show(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":{},"value":"{}","revision":{},"created":{},"lease":{}}}"#,
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

impl Data {
    fn write(&mut self, revision: u64, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.history
            .push((revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
        self.revision = revision;
    }

    fn remove(&mut self, revision: u64, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((revision, key.to_owned(), None));
            self.revision = revision;
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let held: Vec<String> = (self.items.iter())
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in held {
            self.remove(self.revision + 1, &key);
        }
        self.leases.remove(&lease).is_some()
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = (self.leases.iter())
            .filter(|(_, (until, _))| *until <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}

impl Store {
    pub fn new() -> Store {
        Store {
            data: Mutex::new(Data {
                revision: 1,
                items: BTreeMap::new(),
                history: Vec::new(),
                leases: BTreeMap::new(),
                next_lease: 70_000,
            }),
            changed: Condvar::new(),
        }
    }

    /// A write of the operator or of a worker.
    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.data.lock().unwrap();
        let revision = data.revision + 1;
        data.write(revision, key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Removes an entry that has lapsed.
    pub fn remove(&self, key: &str) {
        let mut data = self.data.lock().unwrap();
        let revision = data.revision + 1;
        data.remove(revision, key);
        self.changed.notify_all();
    }

    pub fn answer(&self, request: &Request) -> Answer {
        let path = request.path.strip_prefix("/hickorychute/").unwrap_or("");
        let (call, id) = path.split_once('/').unwrap_or((path, ""));
        let answered = match (request.method.as_str(), call) {
            ("GET", "kv-key") => self.get(&request.query("key")),
            ("GET", "kv-range") => self.range(&request.query("prefix"), &request.query("after")),
            ("GET", "kv-watch") => self.watch(
                &request.query("prefix"),
                request.query("after").parse().unwrap_or(0),
                request.query("wait_ms").parse().unwrap_or(0),
            ),
            ("POST", "kv-txn") => match Json::parse(&request.body) {
                Some(txn) => self.transact(&txn),
                None => (400, String::new()),
            },
            ("POST", "kv-lease") => self.grant(&request.body),
            ("POST", "kv-keep") => self.keep(id.parse().unwrap_or(0)),
            ("DELETE", "kv-lease-end") => {
                let ended = self.data.lock().unwrap().end_lease(id.parse().unwrap_or(0));
                self.changed.notify_all();
                (if ended { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, String::new()),
        };
        Some(answered)
    }

    fn get(&self, key: &str) -> (u16, String) {
        let mut data = self.data.lock().unwrap();
        data.expire();
        match data.items.get(key) {
            Some(item) => {
                let shown = show(key, item);
                let as_of = data.revision;
                (
                    200,
                    format!(r#"{},"as_of":{as_of}}}"#, &shown[..shown.len() - 1]),
                )
            }
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let mut data = self.data.lock().unwrap();
        data.expire();
        let found: Vec<String> = (data.items.iter())
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .take(PAGE_ITEMS + 1)
            .map(|(key, item)| show(key, item))
            .collect();
        let more = found.len() > PAGE_ITEMS;
        let items = found[..found.len().min(PAGE_ITEMS)].join(",");
        let as_of = data.revision;
        (
            200,
            format!(r#"{{"items":[{items}],"more":{more},"as_of":{as_of}}}"#),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut data = self.data.lock().unwrap();
        loop {
            data.expire();
            let start = data
                .history
                .partition_point(|(revision, ..)| *revision <= after);
            let events: Vec<String> = (data.history[start..].iter())
                .filter(|(_, key, _)| key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => show(key, item),
                    None => format!(
                        r#"{{"key":{},"revision":{revision},"tombstone":true}}"#,
                        quote(key)
                    ),
                })
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                let (events, as_of) = (events.join(","), data.revision);
                return (200, format!(r#"{{"events":[{events}],"as_of":{as_of}}}"#));
            }
            // Leases end without a notification.
            let look = Duration::from_millis(50);
            data = self.changed.wait_timeout(data, look).unwrap().0;
        }
    }

    fn transact(&self, txn: &Json) -> (u16, String) {
        let mut data = self.data.lock().unwrap();
        data.expire();
        let (expected, puts) = (txn.get("expected_rev").list(), txn.get("put").list());
        let deletes = txn.get("delete").list();
        let is_too_large = |put: &Json| put.get("value").text().len() > MAX_VALUE;
        if expected.len() + puts.len() + deletes.len() > MAX_ENTRIES
            || puts.iter().any(is_too_large)
        {
            return (400, "{}".to_owned());
        }
        let revision_of = |data: &Data, key: &str| data.items.get(key).map_or(0, |i| i.revision);
        let is_met = |condition: &Json| {
            revision_of(&data, condition.get("key").text()) == condition.get("revision").number()
        };
        if !expected.iter().all(is_met) {
            let items: Vec<String> = (expected.iter())
                .map(|condition| {
                    let key = condition.get("key").text();
                    match data.items.get(key) {
                        Some(item) => show(key, item),
                        None => format!(r#"{{"key":{},"revision":0}}"#, quote(key)),
                    }
                })
                .collect();
            return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let has_lease = |put: &Json| {
            let lease = put.get("lease").number();
            lease == 0 || data.leases.contains_key(&lease)
        };
        if !puts.iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        let revision = data.revision + 1;
        for put in puts {
            let (key, value) = (put.get("key").text(), put.get("value").text());
            data.write(revision, key, value.to_owned(), put.get("lease").number());
        }
        for key in deletes {
            data.remove(revision, key.text());
        }
        data.revision = revision;
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }

    fn grant(&self, body: &[u8]) -> (u16, String) {
        let ttl_ms = Json::parse(body).map_or(0, |lease| lease.get("ttl_ms").number());
        let ttl = Duration::from_millis(ttl_ms.clamp(MIN_TTL_MS, 600_000));
        let mut data = self.data.lock().unwrap();
        data.next_lease += 1;
        let lease = data.next_lease;
        data.leases.insert(lease, (Instant::now() + ttl, ttl));
        (
            200,
            format!(r#"{{"lease":{lease},"ttl_ms":{}}}"#, ttl.as_millis()),
        )
    }

    fn keep(&self, lease: u64) -> (u16, String) {
        let mut data = self.data.lock().unwrap();
        data.expire();
        let Some((until, ttl)) = data.leases.get_mut(&lease) else {
            return (404, "{}".to_owned());
        };
        *until = Instant::now() + *ttl;
        (200, format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
    }
}
