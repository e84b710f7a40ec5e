//! Queues and services as the operators configure them.

use std::rc::Rc;

use indexmap::IndexMap;

/// What the advice service charges for an answer of a queue's steps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdviceTerms {
    /// Time that one call takes whatever it names, in milliseconds.
    pub call_ms: f64,
    /// Further time for each worker that a call names, in milliseconds.
    pub per_worker_ms: f64,
    /// How long the tickets of an answer can be used, in milliseconds.
    pub valid_ms: u64,
}

/// A queue: where jobs of one kind are handed in, and how they are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The queue's name.
    pub name: Rc<str>,
    /// The host name that requests for this queue carry.
    pub host: String,
    /// The path under which its jobs stand.
    pub path_prefix: String,
    /// The service whose workers run its tasks.
    pub service: Rc<str>,
    /// 0 comes first.
    pub priority: u32,
    /// A task, or a gang, that failed this many times fails its job.
    pub max_attempts: u32,
    /// Factor on a job's longest chain of work within its objective.
    pub stretch: f64,
    /// Fixed part of a job's objective, in milliseconds.
    pub target_ms: u64,
    /// Which workers may run a step is known to the advice service only.
    pub advice: Option<AdviceTerms>,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The service's name.
    pub name: Rc<str>,
    /// Its workers reject tasks that do not fit. Where false, they start whatever they are told.
    pub workers_guard_room: bool,
}

/// The operators' configuration, in full.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// Queues by name.
    pub queues: IndexMap<Rc<str>, Rc<Queue>>,
    /// Services by name.
    pub services: IndexMap<Rc<str>, Service>,
    /// The largest request body that is read, in bytes; 0 where the operators set none.
    pub max_body_bytes: usize,
}

impl Config {
    /// The queue whose host matches and whose prefix is the longest that `path` begins with.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Queue>> {
        self.queues
            .values()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }
}
