//! Check of a configuration before the operators send it.
//!
//! [`check`] examines a configuration by itself, [`compare`] what it changes. Findings refer to
//! entries and fields by type: the adapter turns them into the names of the operators' format. No
//! finding contains a key, a digest of one, or any text of the configuration but names of entries.

use std::{collections::HashMap, rc::Rc};

use crate::{
    collections::IndexMap,
    config::{Config, Queue, Tenant},
    credentials::{self, KeyDigest},
};

mod compare;

pub use compare::compare;

/// Smallest usual task. A tenant with a lower limit can run none of the usual tasks.
const SMALLEST_TASK_CPU_MILLICORES: u64 = 100;
const SMALLEST_TASK_MEMORY_MB: u64 = 16;
/// Largest payload of a job, in bytes.
const LARGEST_PAYLOAD_BYTES: usize = 4_000;
/// Room for the steps of a usual job: three steps with all their fields take about 1,000 bytes.
const STEPS_BYTES: usize = 1_000;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Severity {
    /// Hosts would ignore the configuration or an entry of it, or no call or job could succeed.
    #[display("error")]
    Error,
    /// Hosts apply it as it stands, but it is probably not what is meant.
    #[display("warning")]
    Warning,
    /// A difference from the configuration in force.
    #[display("note")]
    Note,
}

/// Part of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Entry {
    /// The configuration as a whole.
    Config,
    /// The limits on client calls.
    Limits,
    /// The list of tenants.
    Tenants,
    /// A queue, by name.
    Queue(Rc<str>),
    /// A service, by name.
    Service(Rc<str>),
    /// A tenant, by name.
    Tenant(Rc<str>),
}

/// Field of an entry, named as in [`crate::config`].
#[expect(missing_docs, reason = "the fields are documented in `config`")]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    Version,
    Name,
    Host,
    PathPrefix,
    Service,
    Priority,
    MaxAttempts,
    CriticalPathFactor,
    BaseObjective,
    Advice,
    AdviceCall,
    AdvicePerWorker,
    AdviceValidity,
    Public,
    WorkersEnforceCapacity,
    Keys,
    JobsPerS,
    LimitCpu,
    LimitMemory,
    LimitGpus,
    MaxBody,
    MaxHeader,
    HeaderTimeout,
    IdleTimeout,
}

/// Result of the check of one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// Entry concerned.
    pub entry: Entry,
    /// Field concerned; `None` if it is the entry as a whole.
    pub field: Option<Field>,
    /// Why it is reported.
    pub reason: String,
    /// Other entry to which the reason refers.
    pub other: Option<Entry>,
}

impl Finding {
    /// A finding that refers to no other entry.
    pub fn new(
        severity: Severity,
        entry: &Entry,
        field: impl Into<Option<Field>>,
        reason: impl Into<String>,
    ) -> Self {
        Self {
            severity,
            entry: entry.clone(),
            field: field.into(),
            reason: reason.into(),
            other: None,
        }
    }

    /// Adds the entry to which the reason refers.
    #[must_use]
    pub fn and(self, other: Entry) -> Self {
        Self {
            other: Some(other),
            ..self
        }
    }
}

/// Names of all entries in their order. Entries of the same name replace each other in [`Config`],
/// so that only the written form shows them.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the queues.
    pub queues: Vec<Rc<str>>,
    /// Names of the services.
    pub services: Vec<Rc<str>>,
    /// Names of the tenants.
    pub tenants: Vec<Rc<str>>,
}

/// Checks a configuration by itself.
pub fn check(config: &Config, names: &Names) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_names(&names.queues, Entry::Queue, &mut findings);
    check_names(&names.services, Entry::Service, &mut findings);
    check_names(&names.tenants, Entry::Tenant, &mut findings);
    if config.queues.is_empty() {
        let reason = "there is no queue, so that every call is answered with 404";
        findings.push(Finding::new(
            Severity::Warning,
            &Entry::Config,
            None,
            reason,
        ));
    }
    for queue in config.queues.values() {
        check_match(config, queue, &mut findings);
        check_objective(queue, &mut findings);
        check_advice(queue, &mut findings);
        let entry = Entry::Queue(Rc::clone(&queue.name));
        if !config.services.contains_key(&queue.service) {
            let service = Entry::Service(Rc::clone(&queue.service));
            let reason = "the service does not exist:";
            findings
                .push(Finding::new(Severity::Error, &entry, Field::Service, reason).and(service));
        }
        if queue.max_attempts == 0 {
            let reason = "is 0, but a task needs at least one attempt";
            findings.push(Finding::new(
                Severity::Error,
                &entry,
                Field::MaxAttempts,
                reason,
            ));
        }
    }
    if config.tenants.as_ref().is_some_and(IndexMap::is_empty) {
        let reason = "the list is empty: only calls of public queues are accepted";
        findings.push(Finding::new(
            Severity::Warning,
            &Entry::Tenants,
            None,
            reason,
        ));
    }
    check_keys(config, &mut findings);
    for tenant in config.tenants.iter().flat_map(|tenants| tenants.values()) {
        check_tenant(config, tenant, &mut findings);
    }
    check_limits(config, &mut findings);
    findings
}

fn check_names(names: &[Rc<str>], entry: fn(Rc<str>) -> Entry, findings: &mut Vec<Finding>) {
    let mut count_of = IndexMap::<_, usize>::default();
    for name in names {
        *count_of.entry(name).or_default() += 1;
    }
    for (name, count) in count_of {
        let entry = entry(Rc::clone(name));
        if name.is_empty() {
            findings.push(Finding::new(
                Severity::Error,
                &entry,
                Field::Name,
                "is empty",
            ));
        }
        if count > 1 {
            let reason = format!("is given {count} times; hosts use only the last one");
            findings.push(Finding::new(Severity::Error, &entry, Field::Name, reason));
        }
    }
}

/// Reports a queue that no call can reach. A prefix of a path always is the longest match for the
/// path that equals it, unless no path can begin with it or a later queue has the same one.
fn check_match(config: &Config, queue: &Rc<Queue>, findings: &mut Vec<Finding>) {
    let entry = Entry::Queue(Rc::clone(&queue.name));
    let mut report = |field, reason: &str| {
        findings.push(Finding::new(Severity::Error, &entry, field, reason));
    };
    let is_host = |c: char| c.is_ascii_graphic() && !matches!(c, ':' | '/' | '@' | '?' | '#');
    if queue.host.is_empty() {
        report(
            Field::Host,
            "is empty, so that no call with a host matches it",
        );
    } else if !queue.host.chars().all(is_host) {
        let reason =
            "can never match: a call's host is compared without port, and has visible ASCII only";
        report(Field::Host, reason);
    }
    let is_path = |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '?' | '#');
    if queue.path_prefix.is_empty() {
        let reason = "is empty: every path of the host matches it, but none is a valid call";
        report(Field::PathPrefix, reason);
    } else if !queue.path_prefix.starts_with('/') {
        report(
            Field::PathPrefix,
            "can never match: paths begin with a slash",
        );
    } else if !queue.path_prefix.chars().all(is_path) {
        let reason = "can never match: paths have no white space, query or fragment";
        report(Field::PathPrefix, reason);
    }
    // Of queues with prefixes of the same length, `Config::route` returns the last one.
    let preferred = config.queues.values().rfind(|other| {
        other.host.eq_ignore_ascii_case(&queue.host) && other.path_prefix == queue.path_prefix
    });
    if let Some(preferred) = preferred
        && !Rc::ptr_eq(preferred, queue)
    {
        let preferred = Entry::Queue(Rc::clone(&preferred.name));
        let reason = "can never match: its host and prefix are those of";
        findings.push(Finding::new(Severity::Error, &entry, None, reason).and(preferred));
    }
}

fn check_objective(queue: &Queue, findings: &mut Vec<Finding>) {
    let entry = Entry::Queue(Rc::clone(&queue.name));
    let factor = queue.critical_path_factor;
    let finding = if factor < 0.0 {
        (Severity::Error, "is negative")
    } else if factor == 0.0 && queue.base_objective_ms == 0 {
        let reason = "is 0 like the constant part of the objective: no job can meet it";
        (Severity::Error, reason)
    } else if factor < 1.0 {
        let reason = "is below 1: the objective of a long job is shorter than its critical path";
        (Severity::Warning, reason)
    } else {
        return;
    };
    let (severity, reason) = finding;
    findings.push(Finding::new(
        severity,
        &entry,
        Field::CriticalPathFactor,
        reason,
    ));
}

fn check_advice(queue: &Queue, findings: &mut Vec<Finding>) {
    let Some(advice) = queue.advice else {
        return;
    };
    let entry = Entry::Queue(Rc::clone(&queue.name));
    let times = [
        (Field::AdviceCall, advice.call_ms),
        (Field::AdvicePerWorker, advice.per_worker_ms),
    ];
    for (field, ms) in times {
        if ms < 0.0 {
            findings.push(Finding::new(Severity::Error, &entry, field, "is negative"));
        }
    }
    // A call names at least one worker.
    let shortest_call_ms = advice.call_ms + advice.per_worker_ms;
    let objective_ms = queue.base_objective_ms;
    // Without a constant part the objective depends on the jobs alone.
    if objective_ms > 0 && shortest_call_ms > objective_ms as f64 {
        let reason = format!(
            "a call of {shortest_call_ms} ms takes longer than the constant part of the objective, \
             {objective_ms} ms"
        );
        findings.push(Finding::new(
            Severity::Warning,
            &entry,
            Field::AdviceCall,
            reason,
        ));
    }
    let valid_ms = advice.valid_ms;
    if shortest_call_ms > valid_ms as f64 {
        let reason = format!(
            "tickets are valid for {valid_ms} ms, which is shorter than a call of \
             {shortest_call_ms} ms"
        );
        findings.push(Finding::new(
            Severity::Warning,
            &entry,
            Field::AdviceValidity,
            reason,
        ));
    }
}

/// Reports keys that are given twice. A call with a key of several tenants counts for the first.
fn check_keys(config: &Config, findings: &mut Vec<Finding>) {
    let mut holder_of = HashMap::<&KeyDigest, &Rc<str>>::new();
    for tenant in config.tenants.iter().flat_map(|tenants| tenants.values()) {
        let entry = Entry::Tenant(Rc::clone(&tenant.name));
        let mut repeated = 0_usize;
        let mut shared_with = IndexMap::<&Rc<str>, usize>::default();
        for digest in &tenant.key_digests {
            let holder = holder_of.entry(digest).or_insert(&tenant.name);
            if *holder == &tenant.name {
                repeated += 1;
            } else {
                *shared_with.entry(holder).or_default() += 1;
            }
        }
        // The first occurrence of each key of its own was counted as well.
        repeated -= holder_of
            .values()
            .filter(|&&name| name == &tenant.name)
            .count();
        if repeated > 0 {
            let reason = format!("keys given more than once: {repeated}");
            findings.push(Finding::new(Severity::Error, &entry, Field::Keys, reason));
        }
        for (holder, count) in shared_with {
            let holder = Entry::Tenant(Rc::clone(holder));
            let reason = format!("keys that are also keys of another tenant: {count}, of");
            findings.push(Finding::new(Severity::Error, &entry, Field::Keys, reason).and(holder));
        }
    }
}

fn check_tenant(config: &Config, tenant: &Tenant, findings: &mut Vec<Finding>) {
    let entry = Entry::Tenant(Rc::clone(&tenant.name));
    let mut report = |severity, field, reason: &str| {
        findings.push(Finding::new(severity, &entry, field, reason));
    };
    let mut queues = config.queues.values();
    let all_need_key = queues.all(|queue| credentials::needs_key(config, queue));
    if tenant.key_digests.is_empty() && all_need_key {
        let reason = "has no keys, and every queue needs one: all its calls are refused";
        report(Severity::Warning, Field::Keys, reason);
    }
    if tenant.jobs_per_s < 0.0 {
        report(Severity::Error, Field::JobsPerS, "is negative");
    } else if tenant.jobs_per_s == 0.0 {
        let reason = "is 0 or missing: no job of the tenant is over its share";
        report(Severity::Warning, Field::JobsPerS, reason);
    }
    let cpu = tenant.limit.cpu_millicores;
    if (1..SMALLEST_TASK_CPU_MILLICORES).contains(&cpu) {
        let reason = format!(
            "{cpu} is below the smallest usual task, {SMALLEST_TASK_CPU_MILLICORES} thousandths \
             of a core"
        );
        report(Severity::Warning, Field::LimitCpu, &reason);
    }
    let memory_mb = tenant.limit.memory_mb;
    if (1..SMALLEST_TASK_MEMORY_MB).contains(&memory_mb) {
        let reason =
            format!("{memory_mb} is below the smallest usual task, {SMALLEST_TASK_MEMORY_MB} MB");
        report(Severity::Warning, Field::LimitMemory, &reason);
    }
}

/// Reports limits that exclude each other. A limit of 0 is not set.
fn check_limits(config: &Config, findings: &mut Vec<Finding>) {
    let mut report = |field, reason: String| {
        findings.push(Finding::new(
            Severity::Warning,
            &Entry::Limits,
            field,
            reason,
        ));
    };
    let (header_ms, idle_ms) = (config.header_timeout_ms, config.idle_timeout_ms);
    if idle_ms > 0 && header_ms > idle_ms {
        let reason = format!("{header_ms} is above the time-out of idle connections, {idle_ms}");
        report(Field::HeaderTimeout, reason);
    }
    let needed_bytes = LARGEST_PAYLOAD_BYTES + STEPS_BYTES;
    let max_bytes = config.max_body_bytes;
    if max_bytes > 0 && max_bytes < needed_bytes {
        let reason = format!(
            "{max_bytes} is below {needed_bytes}, a payload of {LARGEST_PAYLOAD_BYTES} bytes and \
             the steps of a usual job"
        );
        report(Field::MaxBody, reason);
    }
}
