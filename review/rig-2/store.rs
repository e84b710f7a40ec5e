//! The platform's store: keys with revisions, conditions, leases, watches; and the minions' entries.

use std::{
    collections::BTreeMap,
    net::TcpListener,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request},
    json::{Json, quote},
};

/// Silence after which a minion's entry is removed: three heartbeats.
const ENTRY_SILENCE: Duration = Duration::from_millis(4_500);
/// Silence after which a member of a gang counts as gone.
const MEMBER_SILENCE: Duration = Duration::from_millis(400);
const PAGE_ITEMS: usize = 500;

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
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    heard: BTreeMap<String, Instant>,
    /// When the members of each gang's run were last seen, by step and run, then by index.
    gangs: BTreeMap<String, BTreeMap<String, Instant>>,
    /// Set while the store is down: it does nothing and answers 503. Its leases pause.
    down_since: Option<Instant>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for n in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * n) & 63) as usize] as char;
            out.push(if n <= chunk.len() { digit } else { '=' });
        }
    }
    out
}

fn show(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision: self.revision, created, lease };
        self.history.push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !held.is_empty() {
            self.revision += 1;
        }
        held.iter().for_each(|key| self.remove(key));
        self.leases.remove(&lease).is_some()
    }

    fn expire(&mut self) {
        if self.down_since.is_some() {
            return;
        }
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (until, _))| *until <= now);
        for lease in ended.map(|(&id, _)| id).collect::<Vec<_>>() {
            self.end_lease(lease);
        }
        let silent = self.heard.iter().filter(|(_, at)| at.elapsed() > ENTRY_SILENCE);
        for key in silent.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.heard.remove(&key);
            self.revision += 1;
            self.remove(&key);
        }
    }
}

impl Store {
    pub fn start(listener: TcpListener) -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.lock().revision = 100;
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                expiring.lock().expire();
                expiring.changed.notify_all();
            }
        });
        let serving = Arc::clone(&store);
        http::serve(listener, move |request| serving.answer(request));
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    /// Takes the store down, or up again.
    pub fn set_down(&self, down: bool) {
        let mut state = self.lock();
        if down {
            state.down_since = Some(Instant::now());
        } else if let Some(since) = state.down_since.take() {
            let paused = since.elapsed();
            state.leases.values_mut().for_each(|(until, _)| *until += paused);
            state.heard.values_mut().for_each(|at| *at += paused);
        }
        self.changed.notify_all();
    }

    /// Writes a value as the operator does.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, &encode_base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let route = request.route();
        if let Some(member) = route.strip_prefix("/gang/") {
            return self.count_gang(member);
        }
        if self.lock().down_since.is_some() {
            return (503, "{}".to_owned());
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        if let Some(id) = route.strip_prefix("/minion/") {
            return self.hear_minion(id, request);
        }
        if let Some(id) = route.strip_prefix("/hickorychute/kv-keep/") {
            let mut state = self.lock();
            state.expire();
            let lease = id.parse().ok().and_then(|id| state.leases.get_mut(&id));
            let Some((until, ttl)) = lease else {
                return (404, String::new());
            };
            *until = Instant::now() + *ttl;
            return (200, "{}".to_owned());
        }
        if let Some(id) = route.strip_prefix("/hickorychute/kv-lease-end/") {
            let ended = self.lock().end_lease(id.parse().unwrap_or(0));
            self.changed.notify_all();
            return (if ended { 200 } else { 404 }, "{}".to_owned());
        }
        match route {
            "/hickorychute/kv-key" => {
                let state = self.lock();
                let key = request.query("key");
                match state.items.get(&key) {
                    Some(item) => {
                        let shown = show(&key, item);
                        let shown = shown.trim_end_matches('}');
                        (200, format!("{shown},\"as_of\":{}}}", state.revision))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            "/hickorychute/kv-range" => {
                let state = self.lock();
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let found = state.items.iter();
                let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let mut found: Vec<String> =
                    found.take(PAGE_ITEMS + 1).map(|(key, item)| show(key, item)).collect();
                let more = found.len() > PAGE_ITEMS;
                found.truncate(PAGE_ITEMS);
                let items = found.join(",");
                (200, format!("{{\"items\":[{items}],\"more\":{more},\"as_of\":{}}}", state.revision))
            }
            "/hickorychute/kv-watch" => self.watch(request),
            "/hickorychute/kv-txn" => self.transact(&body),
            "/hickorychute/kv-lease" => {
                let mut state = self.lock();
                state.next_lease += 1;
                let lease = state.next_lease;
                let ttl_ms = body.get("ttl_ms").number().clamp(1_000, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }
            _ => (404, "{}".to_owned()),
        }
    }

    /// How minions learn which members of a gang's run are present: each tells of its own ones, as
    /// `STEP/RUN/INDEX`, again and again.
    fn count_gang(&self, member: &str) -> (u16, String) {
        let Some((run, index)) = member.rsplit_once('/') else {
            return (400, String::new());
        };
        let mut state = self.lock();
        let members = state.gangs.entry(run.to_owned()).or_default();
        members.insert(index.to_owned(), Instant::now());
        let present = members.values().filter(|at| at.elapsed() < MEMBER_SILENCE).count();
        (200, format!("{{\"present\":{present}}}"))
    }

    /// A minion's heartbeat, or its departure.
    fn hear_minion(&self, id: &str, request: &Request) -> (u16, String) {
        let mut state = self.lock();
        let key = format!("servers/{id}");
        state.revision += 1;
        if request.method == "DELETE" {
            state.heard.remove(&key);
            state.remove(&key);
        } else {
            state.heard.insert(key.clone(), Instant::now());
            state.put(&key, &encode_base64(&request.body), 0);
        }
        self.changed.notify_all();
        (200, "{}".to_owned())
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.lock();
        loop {
            let from = state.history.partition_point(|(revision, ..)| *revision <= after);
            let events = state.history[from..].iter();
            let events: Vec<String> = events
                .filter(|(_, key, _)| key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => show(key, item),
                    None => {
                        let key = quote(key);
                        format!("{{\"key\":{key},\"revision\":{revision},\"tombstone\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if state.down_since.is_some() {
                return (503, "{}".to_owned());
            }
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (200, format!("{{\"events\":[{events}],\"as_of\":{}}}", state.revision));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.expect("no thread panics with the lock").0;
        }
    }

    fn transact(&self, body: &Json) -> (u16, String) {
        let mut state = self.lock();
        state.expire();
        let rows = body.get("expected_rev").list();
        let revision = |state: &State, key: &str| state.items.get(key).map_or(0, |i| i.revision);
        let holds = |row: &Json| {
            revision(&state, row.get("key").text()) == row.get("revision").number()
        };
        if !rows.iter().all(holds) {
            let items = rows.iter().map(|row| {
                let key = row.get("key").text();
                match state.items.get(key) {
                    Some(item) => show(key, item),
                    None => format!("{{\"key\":{},\"revision\":0}}", quote(key)),
                }
            });
            let items = items.collect::<Vec<_>>().join(",");
            return (412, format!("{{\"items\":[{items}]}}"));
        }
        let puts = body.get("put").list();
        let leases = puts.iter().map(|put| put.get("lease").number());
        if leases.filter(|lease| *lease != 0).any(|lease| !state.leases.contains_key(&lease)) {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for put in puts {
            let (key, value) = (put.get("key").text(), put.get("value").text());
            state.put(key, value, put.get("lease").number());
        }
        for key in body.get("delete").list() {
            state.remove(key.text());
        }
        let revision = state.revision;
        self.changed.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}
