//! Queues and services as configured by the operators.

use std::rc::Rc;

use crate::{
    collections::IndexMap,
    {credentials::KeyDigest, workers::Resources},
};

/// Cost and validity of the advice service's answers for the steps of a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdviceCost {
    /// Fixed time per call, in milliseconds.
    pub call_ms: f64,
    /// Additional time per worker named in a call, in milliseconds.
    pub per_worker_ms: f64,
    /// Lifetime of the tickets in an answer, in milliseconds.
    pub valid_ms: u64,
}

/// A queue: the endpoint at which jobs are submitted, with their scheduling policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Unique name of the queue.
    pub name: Rc<str>,
    /// Value of the HTTP `Host` header that selects this queue.
    pub host: String,
    /// Prefix of the request paths that belong to this queue.
    pub path_prefix: String,
    /// Service whose workers run the queue's tasks.
    pub service: Rc<str>,
    /// Scheduling priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task or gang after which its job fails.
    pub max_attempts: u32,
    /// Factor applied to the critical path of a job in its objective.
    pub critical_path_factor: f64,
    /// Constant part of a job's objective, in milliseconds.
    pub base_objective_ms: u64,
    /// Set if tasks need a ticket from the advice service, which decides the workers that may run a
    /// step.
    pub advice: Option<AdviceCost>,
    /// Whether calls to this queue need no key of a tenant.
    pub public: bool,
}

/// A customer whose calls carry a key, with its share of the cell and the limit of what it may run.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Unique name of the tenant.
    pub name: Rc<str>,
    /// Digests of the keys that its calls may carry.
    pub key_digests: Vec<KeyDigest>,
    /// Share of the cell while capacity is short, in jobs a second.
    pub jobs_per_s: f64,
    /// Resources that its runs may occupy on all workers together; 0 for no limit of a resource.
    pub limit: Resources,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Unique name of the service.
    pub name: Rc<str>,
    /// Whether workers reject tasks that exceed their capacity. Otherwise they start every task
    /// they are ordered to.
    pub workers_enforce_capacity: bool,
}

/// The complete configuration set by the operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version of the configuration; increases with each change, not necessarily by one.
    pub version: u64,
    /// Queues, keyed by name.
    pub queues: IndexMap<Rc<str>, Rc<Queue>>,
    /// Services, keyed by name.
    pub services: IndexMap<Rc<str>, Service>,
    /// Tenants, keyed by name; `None` if the cell has no tenants, so that calls need no key.
    pub tenants: Option<IndexMap<Rc<str>, Rc<Tenant>>>,
    /// Maximum size of a request body, in bytes; 0 if the operators set none.
    pub max_body_bytes: usize,
    /// Maximum size of a request's headers, in bytes; 0 if the operators set none.
    pub max_header_bytes: usize,
    /// Time limit for receiving a request's headers, in milliseconds; 0 if the operators set none.
    pub header_timeout_ms: u64,
    /// Time after which an idle connection may be closed, in milliseconds; 0 if the operators set
    /// none.
    pub idle_timeout_ms: u64,
}

impl Config {
    /// Returns the queue whose host matches, with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Queue>> {
        self.queues
            .values()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }

    /// Returns a tenant by name; `None` if there is none or the cell has no tenants.
    pub fn tenant(&self, name: &str) -> Option<&Rc<Tenant>> {
        self.tenants.as_ref()?.get(name)
    }
}
