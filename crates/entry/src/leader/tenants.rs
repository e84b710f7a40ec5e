//! Tenants at the leader: admission of their jobs, and what is logged and counted of their limits.

use std::collections::BTreeMap;

use cell::{
    admission::{Submitter, TenantCause, Verdict},
    coordinator::Coordinator,
    ids::JobId,
    jobs::JobRecord,
    quota::TenantUsage,
    workers::Resources,
};
use kernel::log_event;

use super::Leader;
use crate::{clock, events, metrics::Metrics, peers::SubmitReply};

/// Why a job is refused for good that costs too much, for the client.
pub(crate) const TOO_LARGE: &str = "the steps, tasks and occurrences of the job need more memory, or a larger record, than any coordinator has";
/// Maximum number of tenants logged at a time whose work waits for their limits.
const MAX_TENANTS_LOGGED: usize = 4;

impl Leader {
    /// Applies admission control to a job. Returns the reply to its host if the job is refused.
    pub(super) fn refusal(&self, record: &JobRecord) -> Option<SubmitReply> {
        let verdict = self.admit(record);
        let (retry_after_ms, reason) = match verdict {
            Verdict::Accept => return None,
            Verdict::Refuse { retry_after_ms } | Verdict::RefuseTenant { retry_after_ms, .. } => {
                (retry_after_ms, String::new())
            }
            Verdict::NoMemory { retry_after_ms } => (retry_after_ms, String::new()),
            Verdict::TooLarge => (0, TOO_LARGE.to_owned()),
            Verdict::NeverFits => (0, String::new()),
            Verdict::ExceedsLimit(excess) => (0, excess.to_string()),
        };
        self.log_refusal(record, verdict, &reason);
        Some(SubmitReply {
            accepted: false,
            retry_after_ms,
            reason,
            ..SubmitReply::default()
        })
    }

    fn admit(&self, record: &JobRecord) -> Verdict {
        let coordinator = self.coordinator.borrow();
        let config = coordinator.config();
        let queue = config.queues.get(record.queue.as_str());
        let unix_ms = clock::unix_ms();
        let submitter = config.tenant(&record.tenant).map(|tenant| Submitter {
            tenant,
            over_share: coordinator.is_over_share(record, unix_ms),
            unix_ms,
        });
        match (queue, &record.spec) {
            (Some(queue), Some(spec)) => coordinator.admit_from(queue, spec, submitter.as_ref()),
            // The forwarding host has a newer configuration.
            _ => Verdict::Accept,
        }
    }

    fn log_refusal(&self, record: &JobRecord, verdict: Verdict, reason: &str) {
        let coordinator = self.coordinator.borrow();
        let JobRecord { queue, tenant, .. } = record;
        let id = JobId(record.id);
        let config = coordinator.config().version;
        let open_jobs = coordinator.open_jobs().count();
        let workers = coordinator.workers().len();
        let (counter, why, retry_after_ms) = match verdict {
            Verdict::ExceedsLimit(_) => ("jobs_refused_above_limit", reason.to_owned(), 0),
            Verdict::RefuseTenant {
                cause,
                retry_after_ms,
            } => {
                let counter = match cause {
                    TenantCause::AtLimit => "jobs_refused_at_limit",
                    TenantCause::OverShare => "jobs_refused_over_share",
                };
                (counter, cause.to_string(), retry_after_ms)
            }
            _ => {
                match verdict {
                    Verdict::NoMemory { .. } => {
                        self.context.metrics.count("jobs_refused_no_memory");
                    }
                    Verdict::TooLarge => {
                        self.context.metrics.count("jobs_refused_too_large");
                    }
                    _ => {}
                }
                let of_tenant = match tenant.as_str() {
                    "" => String::new(),
                    tenant => format!(" tenant={tenant}"),
                };
                log_event!(
                    events::JOB_REFUSED,
                    "job={id} queue={queue} verdict={verdict:?} config={config} \
                     open_jobs={open_jobs} workers={workers}{of_tenant}"
                );
                return;
            }
        };
        self.context.metrics.count(counter);
        log_event!(
            events::TENANT_REFUSED,
            "job={id} queue={queue} tenant={tenant} why={why:?} retry_after_ms={retry_after_ms} \
             config={config} open_jobs={open_jobs} workers={workers}{}",
            usage_of(&coordinator, tenant)
        );
    }

    /// Counts the steps that the limits of their tenants held back in the last scheduling pass.
    pub(super) fn count_held_steps(&self) {
        let held = self.coordinator.borrow().quota().held_steps();
        let metrics = &self.context.metrics;
        metrics.add("steps_clamped_by_limit", held.clamped);
        metrics.add("gangs_held_by_limit", held.gangs);
        metrics.add("steps_held_by_limit", held.full);
    }

    /// Publishes what each tenant has running, and logs the tenants whose limits hold back most tasks.
    pub(super) fn report_tenants(&self) {
        let coordinator = self.coordinator.borrow();
        let usage = coordinator.quota().usage();
        publish_usage(
            &self.context.metrics,
            usage.iter().map(|(name, usage)| (&**name, usage)),
        );
        let mut held: Vec<(u64, &str)> = usage
            .iter()
            .filter(|(_, usage)| usage.held_tasks > 0)
            .map(|(name, usage)| (usage.held_tasks, &**name))
            .collect();
        held.sort_unstable_by(|one, other| other.cmp(one));
        for (held_tasks, tenant) in held.into_iter().take(MAX_TENANTS_LOGGED) {
            log_event!(
                events::TENANT_AT_LIMIT,
                "tenant={tenant} held_tasks={held_tasks} config={}{}",
                coordinator.config().version,
                usage_of(&coordinator, tenant)
            );
        }
    }

    /// Withdraws what was published of the tenants, since another leader counts them from now on.
    pub(super) fn withdraw_usage(&self) {
        self.context.metrics.set_labelled_gauges(BTreeMap::new());
    }
}

/// What a tenant has running and its limit, for log lines.
fn usage_of(coordinator: &Coordinator, tenant: &str) -> String {
    let Some(usage) = coordinator.quota().usage().get(tenant) else {
        return String::new();
    };
    let TenantUsage { used, limit, .. } = usage;
    format!(
        " used_millicores={} used_memory_mb={} used_gpus={} limit_millicores={} \
         limit_memory_mb={} limit_gpus={}",
        used.cpu_millicores,
        used.memory_mb,
        used.gpus,
        limit.cpu_millicores,
        limit.memory_mb,
        limit.gpus
    )
}

/// Sets the gauges of what tenants have running, of their limits, and of the tasks held back.
fn publish_usage<'a>(metrics: &Metrics, usage: impl Iterator<Item = (&'a str, &'a TenantUsage)>) {
    let mut gauges = BTreeMap::new();
    for (name, usage) in usage {
        let tenant = label_value(name);
        for (kind, resources) in [("used", &usage.used), ("limit", &usage.limit)] {
            let Resources {
                cpu_millicores,
                memory_mb,
                gpus,
            } = *resources;
            for (unit, value) in [
                ("millicores", cpu_millicores),
                ("memory_mb", memory_mb),
                ("gpus", gpus),
            ] {
                let name = format!("hickory_tenant_{kind}_{unit}{{tenant=\"{tenant}\"}}");
                gauges.insert(name, value);
            }
        }
        let name = format!("hickory_tenant_held_tasks{{tenant=\"{tenant}\"}}");
        gauges.insert(name, usage.held_tasks);
    }
    metrics.set_labelled_gauges(gauges);
}

/// A tenant's name as the value of a label.
fn label_value(name: &str) -> String {
    name.replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
