//! The platform's store, as PROTOCOL.md tells it: items, conditions, leases, watches, history.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{Json, base64, quote};

/// Time of an answer.
const ANSWER: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (u64, Instant)>,
    events: Vec<(u64, String, Option<Item>)>,
}

/// Delays and losses that a case asks for.
#[derive(Default)]
pub struct Trouble {
    /// All calls are refused with 503, nothing being done.
    pub busy: bool,
    /// The next transaction that writes this key isn't answered, and is carried out after the
    /// time if its condition holds then.
    pub late_write: Option<(String, Duration)>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    pub trouble: Mutex<Trouble>,
    note: Box<dyn Fn(String) + Send + Sync>,
}

impl Store {
    /// Serves a store on loopback.
    pub fn start(note: impl Fn(String) + Send + Sync + 'static) -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            state: Mutex::new(State {
                revision: 1,
                ..State::default()
            }),
            changed: Condvar::new(),
            trouble: Mutex::default(),
            note: Box::new(note),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let serving = Arc::clone(&store);
        http::serve(listener, move |request| serving.answer(request));
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                expiring.expire();
            }
        });
        (store, address)
    }

    /// Writes an item for another party than the system.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.write(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Removes an item for another party than the system.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.drop_key(key);
        self.changed.notify_all();
    }

    fn expire(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (_, until))| *until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            state.end_lease(lease);
            self.changed.notify_all();
        }
    }

    fn answer(self: &Arc<Self>, request: &Request) -> Answer {
        thread::sleep(ANSWER);
        if self.trouble.lock().unwrap().busy {
            return Answer::Reply(503, "{}".into());
        }
        let path = request.path.split('?').next().unwrap_or_default();
        let tail = path.trim_start_matches("/hickorychute/");
        match (request.method.as_str(), tail) {
            ("GET", "kv-key") => self.get(request),
            ("GET", "kv-range") => self.range(request),
            ("GET", "kv-watch") => self.watch(request),
            ("POST", "kv-txn") => self.transact(request),
            ("POST", "kv-lease") => {
                let body = Json::parse(&request.body).unwrap_or(Json::Null);
                let ttl = body
                    .get("ttl_ms")
                    .num()
                    .unwrap_or(1000)
                    .clamp(1000, 600_000);
                let mut state = self.state.lock().unwrap();
                state.revision += 1;
                let lease = 70_000 + state.revision;
                let until = Instant::now() + Duration::from_millis(ttl);
                state.leases.insert(lease, (ttl, until));
                Answer::Reply(200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#))
            }
            ("POST", keep) if keep.starts_with("kv-keep/") => {
                let lease = keep[8..].parse().unwrap_or(0);
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + Duration::from_millis(*ttl);
                        Answer::Reply(200, format!(r#"{{"ttl_ms":{ttl}}}"#))
                    }
                    None => Answer::Reply(404, "{}".into()),
                }
            }
            ("DELETE", end) if end.starts_with("kv-lease-end/") => {
                let lease = end[13..].parse().unwrap_or(0);
                self.state.lock().unwrap().end_lease(lease);
                self.changed.notify_all();
                Answer::Reply(200, "{}".into())
            }
            _ => Answer::Reply(404, "{}".into()),
        }
    }

    fn get(&self, request: &Request) -> Answer {
        let key = request.query("key").unwrap_or_default();
        let state = self.state.lock().unwrap();
        match state.items.get(&key) {
            Some(item) => Answer::Reply(200, render(&key, item)),
            None => Answer::Reply(404, "{}".into()),
        }
    }

    fn range(&self, request: &Request) -> Answer {
        let prefix = request.query("prefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let mut found = state
            .items
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&prefix))
            .filter(|(key, _)| **key > after);
        let items: Vec<String> = found
            .by_ref()
            .take(500)
            .map(|(k, i)| render(k, i))
            .collect();
        let more = found.next().is_some();
        let body = format!(
            r#"{{"items":[{}],"more":{more},"as_of":{}}}"#,
            items.join(","),
            state.revision
        );
        Answer::Reply(200, body)
    }

    fn watch(&self, request: &Request) -> Answer {
        let prefix = request.query("prefix").unwrap_or_default();
        let number = |name| request.query(name).and_then(|n| n.parse::<u64>().ok());
        let after = number("after").unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => render(key, item),
                    None => format!(
                        r#"{{"key":{},"revision":{revision},"tombstone":true}}"#,
                        quote(key)
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    r#"{{"events":[{}],"as_of":{}}}"#,
                    events.join(","),
                    state.revision
                );
                return Answer::Reply(200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(self: &Arc<Self>, request: &Request) -> Answer {
        let Some(body) = Json::parse(&request.body) else {
            return Answer::Reply(400, "{}".into());
        };
        let writes = |key: &str| {
            body.get("put")
                .list()
                .iter()
                .any(|p| p.get("key").text() == key)
        };
        let mut trouble = self.trouble.lock().unwrap();
        if let Some((key, delay)) = trouble.late_write.clone()
            && writes(&key)
        {
            trouble.late_write = None;
            drop(trouble);
            (self.note)(format!(
                "store: a write of {key} isn't answered and is carried out {} ms later",
                delay.as_millis()
            ));
            let late = Arc::clone(self);
            thread::spawn(move || {
                thread::sleep(delay);
                let (status, _) = late.apply(&body);
                (late.note)(format!(
                    "store: the late write of {key} is carried out: {status}"
                ));
            });
            return Answer::Lost;
        }
        drop(trouble);
        let (status, reply) = self.apply(&body);
        Answer::Reply(status, reply)
    }

    fn apply(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        for put in body.get("put").list() {
            let lease = put.get("lease").num().unwrap_or(0);
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, "{}".into());
            }
        }
        let rows = body.get("expected_rev").list();
        let holds = rows.iter().all(|row| {
            let item = state.items.get(row.get("key").text());
            item.map_or(0, |item| item.revision) == row.get("revision").num().unwrap_or(0)
        });
        if !holds {
            let found: Vec<String> = rows
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    state.items.get(key).map(|item| render(key, item))
                })
                .collect();
            return (412, format!(r#"{{"items":[{}]}}"#, found.join(",")));
        }
        state.revision += 1;
        for put in body.get("put").list() {
            let lease = put.get("lease").num().unwrap_or(0);
            let value = put.get("value").text().to_owned();
            state.write(put.get("key").text(), value, lease);
        }
        for key in body.get("delete").list() {
            state.drop_key(key.text());
        }
        let revision = state.revision;
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{revision}}}"#))
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn drop_key(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        self.revision += 1;
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.drop_key(&key);
        }
    }
}

fn render(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":{},"value":"{}","revision":{},"created":{},"lease":{}}}"#,
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}
