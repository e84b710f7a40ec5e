//! What a configuration changes in the one in force.

use std::{collections::HashSet, fmt::Display, rc::Rc};

use super::{Entry, Field, Finding, Severity};
use crate::{
    collections::IndexMap,
    config::{AdviceCost, Config, Queue, Service, Tenant},
    credentials::KeyDigest,
};

/// Compares a configuration with the one in force.
pub fn compare(config: &Config, in_force: &Config) -> Vec<Finding> {
    let mut findings = Vec::new();
    if config.version <= in_force.version {
        let reason = format!(
            "{} is not higher than {}, the version in force: hosts would ignore it",
            config.version, in_force.version
        );
        findings.push(Finding::new(
            Severity::Error,
            &Entry::Config,
            Field::Version,
            reason,
        ));
    }
    entries(
        &config.queues,
        &in_force.queues,
        Entry::Queue,
        &mut findings,
        queue,
    );
    entries(
        &config.services,
        &in_force.services,
        Entry::Service,
        &mut findings,
        service,
    );
    tenants(config, in_force, &mut findings);
    let mut changes = Changes {
        entry: &Entry::Limits,
        findings: &mut findings,
    };
    let (new, old) = (config, in_force);
    changes.number(Field::MaxBody, new.max_body_bytes, old.max_body_bytes);
    changes.number(Field::MaxHeader, new.max_header_bytes, old.max_header_bytes);
    let (new_ms, old_ms) = (new.header_timeout_ms, old.header_timeout_ms);
    changes.number(Field::HeaderTimeout, new_ms, old_ms);
    changes.number(Field::IdleTimeout, new.idle_timeout_ms, old.idle_timeout_ms);
    findings
}

/// Collects the changed fields of an entry.
struct Changes<'a> {
    entry: &'a Entry,
    findings: &'a mut Vec<Finding>,
}

impl Changes<'_> {
    fn report(&mut self, severity: Severity, field: Field, reason: String) {
        self.findings
            .push(Finding::new(severity, self.entry, field, reason));
    }

    fn number<T: Copy + PartialEq + Display>(&mut self, field: Field, new: T, old: T) {
        if new != old {
            let reason = format!("changed from {old} to {new}");
            self.report(Severity::Note, field, reason);
        }
    }

    /// The texts are left out, because they may contain anything.
    fn text(&mut self, field: Field, new: &str, old: &str) {
        if new != old {
            self.report(Severity::Note, field, "changed".to_owned());
        }
    }
}

/// Reports entries added and removed, and passes those that are in both to `changed`.
fn entries<T>(
    new: &IndexMap<Rc<str>, T>,
    old: &IndexMap<Rc<str>, T>,
    entry: fn(Rc<str>) -> Entry,
    findings: &mut Vec<Finding>,
    changed: fn(&T, &T, &mut Changes<'_>),
) {
    for (name, value) in new {
        let entry = entry(Rc::clone(name));
        match old.get(name) {
            Some(before) => {
                let entry = &entry;
                changed(value, before, &mut Changes { entry, findings });
            }
            None => findings.push(Finding::new(Severity::Note, &entry, None, "added")),
        }
    }
    for name in old.keys().filter(|&name| !new.contains_key(name)) {
        let entry = entry(Rc::clone(name));
        findings.push(Finding::new(Severity::Note, &entry, None, "removed"));
    }
}

fn queue(new: &Rc<Queue>, old: &Rc<Queue>, changes: &mut Changes<'_>) {
    changes.text(Field::Host, &new.host, &old.host);
    changes.text(Field::PathPrefix, &new.path_prefix, &old.path_prefix);
    changes.text(Field::Service, &new.service, &old.service);
    changes.number(Field::Priority, new.priority, old.priority);
    changes.number(Field::MaxAttempts, new.max_attempts, old.max_attempts);
    changes.number(
        Field::CriticalPathFactor,
        new.critical_path_factor,
        old.critical_path_factor,
    );
    changes.number(
        Field::BaseObjective,
        new.base_objective_ms,
        old.base_objective_ms,
    );
    if new.public && !old.public {
        let reason = "changed to true: calls need no key of a tenant any more";
        changes.report(Severity::Warning, Field::Public, reason.to_owned());
    } else {
        changes.number(Field::Public, new.public, old.public);
    }
    match (&new.advice, &old.advice) {
        (Some(new), Some(old)) => advice(new, old, changes),
        (Some(_), None) => changes.report(Severity::Note, Field::Advice, "added".to_owned()),
        (None, Some(_)) => changes.report(Severity::Note, Field::Advice, "removed".to_owned()),
        (None, None) => {}
    }
}

fn advice(new: &AdviceCost, old: &AdviceCost, changes: &mut Changes<'_>) {
    changes.number(Field::AdviceCall, new.call_ms, old.call_ms);
    changes.number(Field::AdvicePerWorker, new.per_worker_ms, old.per_worker_ms);
    changes.number(Field::AdviceValidity, new.valid_ms, old.valid_ms);
}

fn service(new: &Service, old: &Service, changes: &mut Changes<'_>) {
    changes.number(
        Field::WorkersEnforceCapacity,
        new.workers_enforce_capacity,
        old.workers_enforce_capacity,
    );
}

fn tenants(config: &Config, in_force: &Config, findings: &mut Vec<Finding>) {
    let mut report = |reason| {
        findings.push(Finding::new(
            Severity::Warning,
            &Entry::Tenants,
            None,
            reason,
        ));
    };
    match (&config.tenants, &in_force.tenants) {
        (None, Some(_)) => report("list removed: calls need no key any more"),
        (Some(_), None) => report("list added: calls to queues that are not public need a key"),
        _ => {}
    }
    let none = IndexMap::default();
    let new = config.tenants.as_ref().unwrap_or(&none);
    let old = in_force.tenants.as_ref().unwrap_or(&none);
    entries(new, old, Entry::Tenant, findings, tenant);
    for (name, tenant) in new.iter().filter(|(name, _)| !old.contains_key(*name)) {
        key_changes(name, &key_digests(tenant), &HashSet::new(), findings);
    }
    for (name, tenant) in old.iter().filter(|(name, _)| !new.contains_key(*name)) {
        key_changes(name, &HashSet::new(), &key_digests(tenant), findings);
    }
}

fn key_digests(tenant: &Tenant) -> HashSet<KeyDigest> {
    tenant.key_digests.iter().copied().collect()
}

/// Reports how many keys a tenant gains and loses, and never which.
fn key_changes(
    tenant: &Rc<str>,
    new: &HashSet<KeyDigest>,
    old: &HashSet<KeyDigest>,
    findings: &mut Vec<Finding>,
) {
    let added = new.difference(old).count();
    let removed = old.difference(new).count();
    if added + removed > 0 {
        let entry = Entry::Tenant(Rc::clone(tenant));
        let reason = format!("keys added: {added}, removed: {removed}");
        findings.push(Finding::new(Severity::Note, &entry, Field::Keys, reason));
    }
}

fn tenant(new: &Rc<Tenant>, old: &Rc<Tenant>, changes: &mut Changes<'_>) {
    let (new_keys, old_keys) = (key_digests(new), key_digests(old));
    key_changes(&new.name, &new_keys, &old_keys, changes.findings);
    changes.number(Field::JobsPerS, new.jobs_per_s, old.jobs_per_s);
    let (new, old) = (&new.limit, &old.limit);
    changes.number(Field::LimitCpu, new.cpu_millicores, old.cpu_millicores);
    changes.number(Field::LimitMemory, new.memory_mb, old.memory_mb);
    changes.number(Field::LimitGpus, new.gpus, old.gpus);
}
