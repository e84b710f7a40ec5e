//! Minions, as PROTOCOL.md tells them, and a ledger of what they ran.
//!
//! A task does what the words of its job's `spec` say: `run=MS` (how long it works), `fail=1` (it
//! fails through its own fault), `ticket=1` (its queue is advised: a start needs a ticket).

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Request};
use crate::json::{Json, quote};
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// `hold_max_ms` of the deployment.
const HOLD_MAX_MS: u64 = 6_000;
/// How long it stays after it has reported that it drains, at least: `drain_ms` and some seconds.
const DRAIN_MS: u128 = 8_000;
/// After this a run fails on a minion that fails all that it starts.
const GREY_RUN: Duration = Duration::from_millis(200);
/// Ends listed at a time.
const LISTED_ENDS: usize = 500;

/// One run of a task on a minion.
#[derive(Clone, Debug)]
pub struct Ran {
    pub task: String,
    pub run: u64,
    pub minion: String,
    pub began: Instant,
    pub ended: Option<(Instant, &'static str)>,
    /// `last_seen` reached the end, and the lease didn't lapse between the two.
    pub noted: bool,
}

/// All runs on all minions, and the record of the case.
pub struct Ledger {
    began: Instant,
    pub runs: Mutex<Vec<Ran>>,
    lines: Mutex<Vec<String>>,
}

impl Ledger {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            began: Instant::now(),
            runs: Mutex::default(),
            lines: Mutex::default(),
        })
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        self.lines
            .lock()
            .unwrap()
            .push(format!("{at:9.3} {}", text.as_ref()));
    }

    pub fn at(&self, when: Instant) -> f64 {
        when.saturating_duration_since(self.began).as_secs_f64()
    }

    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }

    pub fn of(&self, job: &str) -> Vec<Ran> {
        let runs = self.runs.lock().unwrap();
        runs.iter()
            .filter(|ran| ran.task.starts_with(job))
            .cloned()
            .collect()
    }

    /// TWICE: two runs of a task at the same time, or a start after a run has ended `done`, if
    /// that end was taken note of.
    pub fn twice(&self) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        let mut by_task: BTreeMap<&str, Vec<&Ran>> = BTreeMap::new();
        for ran in runs.iter() {
            by_task.entry(&ran.task).or_default().push(ran);
        }
        let mut found = Vec::new();
        for (task, runs) in by_task {
            for (position, one) in runs.iter().enumerate() {
                for two in &runs[position + 1..] {
                    let until = one.ended.map(|(when, _)| when);
                    if until.is_none_or(|until| two.began < until) {
                        let end = until.map_or("the end of the case".into(), |until| {
                            format!("{:.3}", self.at(until))
                        });
                        found.push(format!(
                            "{task}: run {} on {} from {:.3} to {end}, run {} on {} began at {:.3}",
                            one.run,
                            one.minion,
                            self.at(one.began),
                            two.run,
                            two.minion,
                            self.at(two.began),
                        ));
                    } else if let Some((when, "done")) = one.ended
                        && one.noted
                    {
                        found.push(format!(
                            "{task}: run {} ended done on {} at {:.3} (taken note of), run {} on {} began at {:.3}",
                            one.run,
                            one.minion,
                            self.at(when),
                            two.run,
                            two.minion,
                            self.at(two.began),
                        ));
                    }
                }
            }
        }
        found
    }
}

struct Run {
    number: u64,
    began: Instant,
    lasts: Duration,
    fails: bool,
    place: usize,
}

#[derive(Default)]
struct State {
    fence: u64,
    until_ms: u64,
    lapsed: bool,
    runs: BTreeMap<String, Run>,
    /// Number, task, run, how, place in the ledger.
    ends: Vec<(u64, String, u64, &'static str, usize)>,
    last_end: u64,
    highest: BTreeMap<String, u64>,
    cut: bool,
    grey: bool,
    left: bool,
    draining: Option<Instant>,
    beat: Option<Instant>,
    listed: bool,
}

pub struct Minion {
    pub id: String,
    kind: String,
    rack: String,
    zone: String,
    address: SocketAddr,
    /// Time that a call to it takes on the way, there and back.
    way: Duration,
    born: u128,
    started: Instant,
    state: Mutex<State>,
    ended: Condvar,
    ledger: Arc<Ledger>,
    store: Arc<Store>,
}

impl Minion {
    pub fn start(
        id: &str,
        (kind, rack): (&str, &str),
        zone: &str,
        way: Duration,
        store: &Arc<Store>,
        ledger: &Arc<Ledger>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let minion = Arc::new(Self {
            id: id.to_owned(),
            kind: kind.to_owned(),
            rack: rack.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            way,
            born: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap()
                .as_millis(),
            started: Instant::now(),
            state: Mutex::default(),
            ended: Condvar::new(),
            ledger: Arc::clone(ledger),
            store: Arc::clone(store),
        });
        let serving = Arc::clone(&minion);
        http::serve(listener, move |request| serving.answer(request));
        let living = Arc::clone(&minion);
        living.beat();
        thread::spawn(move || {
            while living.live() {
                thread::sleep(Duration::from_millis(4));
            }
        });
        minion
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Cuts the minion off from everybody, or ends that.
    pub fn cut(&self, cut: bool) {
        self.ledger.note(format!(
            "{}: {}",
            self.id,
            if cut { "is cut off" } else { "the cut ends" }
        ));
        self.state.lock().unwrap().cut = cut;
    }

    /// Makes the minion fail all that it starts, or ends that.
    pub fn grey(&self, grey: bool) {
        self.ledger.note(format!(
            "{}: {}",
            self.id,
            if grey {
                "fails all that it starts from now on"
            } else {
                "is sound again"
            }
        ));
        self.state.lock().unwrap().grey = grey;
    }

    /// Reports `draining` with the next heartbeat, and returns when that is accepted.
    pub fn drain(&self) {
        let beat = self.state.lock().unwrap().beat.unwrap();
        thread::sleep((beat + HEARTBEAT).saturating_duration_since(Instant::now()));
        self.state.lock().unwrap().draining = Some(Instant::now());
        self.beat();
        self.ledger.note(format!(
            "{}: the store has accepted that it drains",
            self.id
        ));
    }

    /// Writes the entry.
    fn beat(&self) {
        let mut state = self.state.lock().unwrap();
        let (word, left) = match state.draining {
            Some(since) => {
                let left = DRAIN_MS.saturating_sub(since.elapsed().as_millis());
                ("draining", format!(r#","remaining_ms":{left}"#))
            }
            None => ("ready", String::new()),
        };
        let entry = format!(
            r#"{{"service":"pool","address":"{}","zone":"{}","version":"v1","slots":8,"state":"{word}","cold_left_ms":0,"capacity":{{"cpu":16000,"mem_mb":32768,"gpu":0}},"labels":["{}","{}"],"born":{},"clock_ms":{},"seq":1{left}}}"#,
            self.address,
            self.zone,
            self.kind,
            self.rack,
            self.born,
            self.clock()
        );
        self.store.put(&self.key(), &entry);
        state.beat = Some(Instant::now());
        state.listed = true;
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1_000
    }

    /// Ends what is due; false once it has left.
    fn live(&self) -> bool {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        if state.left {
            return false;
        }
        let due: Vec<String> = state
            .runs
            .iter()
            .filter(|(_, run)| now >= run.began + run.lasts)
            .map(|(task, _)| task.clone())
            .collect();
        for task in due {
            let how = if state.runs[&task].fails {
                "failed"
            } else {
                "done"
            };
            self.end(&mut state, &task, how);
        }
        if self.clock() >= state.until_ms && !state.lapsed {
            state.lapsed = true;
            // What wasn't taken note of before the lapse won't count.
            state.ends.iter_mut().for_each(|end| end.4 = usize::MAX);
            let all: Vec<String> = state.runs.keys().cloned().collect();
            for task in all {
                self.end(&mut state, &task, "lapsed");
            }
        }
        let beat = state.beat.unwrap();
        if state.cut && state.listed && now >= beat + HEARTBEAT * 3 {
            state.listed = false;
            self.ledger.note(format!(
                "store: the entry of {} expires after three heartbeats",
                self.id
            ));
            self.store.remove(&self.key());
        }
        // An entry changes only with more than `seq`, so that a heartbeat changes nothing.
        if !state.cut && now >= beat + HEARTBEAT {
            state.beat = Some(now);
            if !state.listed {
                drop(state);
                self.beat();
            }
        }
        true
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        self.ledger.runs.lock().unwrap()[run.place].ended = Some((Instant::now(), how));
        if run.lasts > Duration::from_millis(600) {
            self.ledger
                .note(format!("{}: {task} run {} ends {how}", self.id, run.number));
        }
        state.last_end += 1;
        let number = state.last_end;
        state
            .ends
            .push((number, task.to_owned(), run.number, how, run.place));
        let highest = state.highest.entry(task.to_owned()).or_default();
        *highest = run.number.max(*highest);
        self.ended.notify_all();
    }

    fn answer(&self, request: &Request) -> Answer {
        thread::sleep(self.way / 2);
        let answer = self.act(request);
        thread::sleep(self.way / 2);
        if self.state.lock().unwrap().cut {
            return Answer::Lost;
        }
        answer
    }

    fn act(&self, request: &Request) -> Answer {
        let Some(body) = Json::parse(&request.body) else {
            return Answer::Reply(400, "{}".into());
        };
        let mut state = self.state.lock().unwrap();
        if state.cut || state.left {
            return Answer::Lost;
        }
        let refused = |reason: &str| {
            Answer::Reply(
                409,
                format!(r#"{{"clock_ms":{},"reason":"{reason}"}}"#, self.clock()),
            )
        };
        let fine = || Answer::Reply(200, format!(r#"{{"clock_ms":{}}}"#, self.clock()));
        if request
            .header("x-expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return Answer::Reply(421, "{}".into());
        }
        let fence = body.get("fence_token").num().unwrap_or(0);
        if fence < state.fence {
            return refused("fence");
        }
        state.fence = fence;
        let task = body.get("task").text().to_owned();
        let number = body.get("run").num().unwrap_or(0);
        match request.path.trim_start_matches("/hickorychute/") {
            "run-start" => {
                let until = body.get("until_ms").num().unwrap_or(0);
                let clock = self.clock();
                if until <= clock {
                    return refused("late");
                }
                self.extend(&mut state, until);
                if state
                    .runs
                    .get(&task)
                    .is_some_and(|run| run.number == number)
                {
                    return fine();
                }
                if state
                    .highest
                    .get(&task)
                    .is_some_and(|highest| number <= *highest)
                {
                    return refused("old");
                }
                let spec = body.get("spec").text();
                let word = |name: &str| {
                    let found = spec.split(' ').find_map(|w| w.strip_prefix(name));
                    found.and_then(|n| n.parse::<u64>().ok()).unwrap_or(0)
                };
                if word("ticket=") == 1 && body.get("ticket").text().is_empty() {
                    return refused("ticket");
                }
                let mut runs = self.ledger.runs.lock().unwrap();
                let place = runs.len();
                runs.push(Ran {
                    task: task.clone(),
                    run: number,
                    minion: self.id.clone(),
                    began: Instant::now(),
                    ended: None,
                    noted: false,
                });
                drop(runs);
                let lasts = Duration::from_millis(word("run="));
                if lasts > Duration::from_millis(600) {
                    self.ledger.note(format!(
                        "{}: starts {task} run {number}, fence {fence}",
                        self.id
                    ));
                }
                let run = Run {
                    number,
                    began: Instant::now(),
                    lasts: if state.grey {
                        GREY_RUN.min(lasts)
                    } else {
                        lasts
                    },
                    fails: word("fail=") == 1 || state.grey,
                    place,
                };
                state.runs.insert(task, run);
                fine()
            }
            "run-stop" => {
                let highest = state.highest.entry(task.clone()).or_default();
                *highest = number.max(*highest);
                if state
                    .runs
                    .get(&task)
                    .is_some_and(|run| run.number <= number)
                {
                    self.end(&mut state, &task, "stopped");
                }
                fine()
            }
            "hold" => {
                if let Some(until) = body.get("until_ms").num() {
                    self.extend(&mut state, until);
                }
                let seen = body.get("last_seen").num().unwrap_or(0);
                let mut runs = self.ledger.runs.lock().unwrap();
                for end in state.ends.iter().filter(|end| end.0 <= seen) {
                    if let Some(ran) = runs.get_mut(end.4) {
                        ran.noted = true;
                    }
                }
                drop(runs);
                state.ends.retain(|end| end.0 > seen);
                let wait = body.get("wait_ms").num().unwrap_or(0).min(2_000);
                let until = Instant::now() + Duration::from_millis(wait);
                while state.ends.is_empty() {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = self.ended.wait_timeout(state, left).unwrap().0;
                }
                if state.cut {
                    return Answer::Lost;
                }
                Answer::Reply(200, self.lists(&state))
            }
            "pace" => fine(),
            _ => Answer::Reply(404, "{}".into()),
        }
    }

    fn extend(&self, state: &mut State, until: u64) {
        state.until_ms = state.until_ms.max(until.min(self.clock() + HOLD_MAX_MS));
        state.lapsed = false;
    }

    fn lists(&self, state: &State) -> String {
        let running: Vec<String> = state
            .runs
            .iter()
            .map(|(task, run)| {
                let lasts = run.lasts.as_millis().max(1);
                let percent = (run.began.elapsed().as_millis() * 100 / lasts).min(99);
                format!(r#"[{},{},"",{percent},0]"#, quote(task), run.number)
            })
            .collect();
        let finished: Vec<String> = state
            .ends
            .iter()
            .take(LISTED_ENDS)
            .map(|(n, task, run, how, _)| format!(r#"[{n},{},{run},"{how}",""]"#, quote(task)))
            .collect();
        format!(
            r#"{{"clock_ms":{},"born":{},"running":[{}],"finished":[{}]}}"#,
            self.clock(),
            self.born,
            running.join(","),
            finished.join(",")
        )
    }

    /// Number of ends that it lists and that weren't taken note of.
    pub fn open_ends(&self) -> usize {
        self.state.lock().unwrap().ends.len()
    }
}
