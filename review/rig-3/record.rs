//! What was sent, answered and run, in the order in which the stand-ins saw it.

use std::{fmt, fs, io, path::Path, sync::Mutex, time::Instant};

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A worker has begun a run.
    Started { task: String, run: u64 },
    /// A run has ended; `end` is its number in the worker's list, 0 if the worker is gone.
    Ended {
        task: String,
        run: u64,
        how: &'static str,
        end: u64,
    },
    /// A worker has rejected a start.
    Refused { task: String, run: u64, why: String },
    /// The ends up to this one were taken note of.
    Seen { last_seen: u64 },
    /// A worker's process has ended.
    Down,
    /// A worker's process has begun.
    Up,
    /// Anything else: what clients and the operator sent and were answered.
    Said(String),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Event::Started { task, run } => write!(f, "started {task} run={run}"),
            Event::Ended {
                task,
                run,
                how,
                end,
            } => write!(f, "ended {task} run={run} how={how} end={end}"),
            Event::Refused { task, run, why } => write!(f, "refused {task} run={run} why={why}"),
            Event::Seen { last_seen } => write!(f, "seen last_seen={last_seen}"),
            Event::Down => f.write_str("down"),
            Event::Up => f.write_str("up"),
            Event::Said(text) => f.write_str(text),
        }
    }
}

#[derive(Clone, Debug)]
pub struct Line {
    pub at_ms: u64,
    pub who: String,
    pub event: Event,
}

pub struct Record {
    began: Instant,
    lines: Mutex<Vec<Line>>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            began: Instant::now(),
            lines: Mutex::new(Vec::new()),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, who: &str, event: Event) {
        let mut lines = self.lines.lock().unwrap();
        lines.push(Line {
            at_ms: self.now_ms(),
            who: who.to_owned(),
            event,
        });
    }

    pub fn say(&self, who: &str, text: impl Into<String>) {
        self.note(who, Event::Said(text.into()));
    }

    pub fn lines(&self) -> Vec<Line> {
        self.lines.lock().unwrap().clone()
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let lines = self.lines();
        let text: Vec<String> = (lines.iter())
            .map(|line| {
                format!(
                    "{:>9.3} {} {}\n",
                    line.at_ms as f64 / 1e3,
                    line.who,
                    line.event
                )
            })
            .collect();
        fs::write(path, text.concat())
    }
}
