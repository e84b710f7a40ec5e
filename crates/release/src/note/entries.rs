//! Parses services, batch runs, gang jobs and quotas.

use indexmap::IndexSet;
use kernel::ids;
use kernel::work;

use super::fields::{FaultList, Fields, Table};
use super::limits;
use super::position::Located;
use super::{Section, Withdrawn, WithdrawnWork, kind_name};

const KINDS: [work::WorkKind; 3] = [
    work::WorkKind::Service,
    work::WorkKind::BatchRun,
    work::WorkKind::GangJob,
];
const URGENCIES: [work::Urgency; 3] = [
    work::Urgency::Deferrable,
    work::Urgency::Normal,
    work::Urgency::Urgent,
];
const POLICIES: [work::Policy; 3] = [
    work::Policy::QuickStart,
    work::Policy::TightPacking,
    work::Policy::Spread,
];

/// Parses `added` or `changed`.
pub(super) fn read_section(table: Table<'_>, faults: &mut FaultList<'_>) -> Section {
    let mut fields = Fields::new(table, faults);
    let by_kind = KINDS.map(|kind| (kind, fields.tables(kind_name(kind))));
    let quotas = fields.tables("quota");
    fields.finish();
    let mut section = Section::default();
    for (kind, tables) in by_kind {
        for table in tables {
            section.work.extend(read_work(kind, table, faults));
        }
    }
    for table in quotas {
        section.quotas.extend(read_quota(table, faults));
    }
    section
}

/// Parses `withdrawn`.
pub(super) fn read_withdrawn(table: Table<'_>, faults: &mut FaultList<'_>) -> Withdrawn {
    let mut fields = Fields::new(table, faults);
    let mut withdrawn = Withdrawn::default();
    for kind in KINDS {
        for name in fields.names(kind_name(kind)) {
            let id = ids::WorkId::new(name.value);
            withdrawn.work.push(Located {
                value: WithdrawnWork { kind, id },
                position: name.position,
            });
        }
    }
    for name in fields.names("quota") {
        withdrawn.quotas.push(Located {
            value: ids::TeamId::new(name.value),
            position: name.position,
        });
    }
    fields.finish();
    withdrawn
}

fn read_work(
    kind: work::WorkKind,
    table: Table<'_>,
    faults: &mut FaultList<'_>,
) -> Option<Located<work::Work>> {
    let mut fields = Fields::new(table, faults);
    let position = fields.position();
    let name = fields.name("name");
    let team = fields.name("team");
    let demand = read_demand(&mut fields);
    let urgency = fields.choice("urgency", &URGENCIES).unwrap_or_default();
    let policy = fields.choice("policy", &POLICIES);
    let zones = read_zones(&mut fields);
    let kind_fields = match kind {
        work::WorkKind::Service => read_service_fields(&mut fields),
        work::WorkKind::BatchRun | work::WorkKind::GangJob => read_run_fields(&mut fields),
    };
    fields.finish();
    let (demand, kind_fields) = (demand?, kind_fields?);
    let value = work::Work {
        id: ids::WorkId::new(name?.value),
        team: ids::TeamId::new(team?.value),
        kind,
        tasks: kind_fields.tasks,
        demand,
        urgency,
        policy: policy.unwrap_or(default_policy(kind)),
        run_time_ms: kind_fields.run_time_ms,
        max_attempts: kind_fields.max_attempts,
        zones,
        idempotent: kind_fields.idempotent,
        slots: kind_fields.slots,
        connections: kind_fields.connections,
        since: ids::ReleaseVersion::default(),
        revision: ids::ReleaseVersion::default(),
    };
    Some(Located { value, position })
}

/// The fields in which services differ from batch runs and gang jobs.
struct KindFields {
    tasks: u32,
    run_time_ms: Option<u64>,
    max_attempts: u32,
    idempotent: bool,
    slots: u32,
    connections: u32,
}

fn read_service_fields(fields: &mut Fields<'_, '_, '_>) -> Option<KindFields> {
    let replicas = fields.required_integer("replicas", &limits::TASKS);
    let slots = fields.required_integer("slots", &limits::SLOTS);
    let connections = fields.required_integer("connections", &limits::CONNECTIONS);
    // Replicas are restarted without limit while the service is in force.
    Some(KindFields {
        tasks: replicas? as u32,
        run_time_ms: None,
        max_attempts: u32::MAX,
        idempotent: true,
        slots: slots? as u32,
        connections: connections? as u32,
    })
}

fn read_run_fields(fields: &mut Fields<'_, '_, '_>) -> Option<KindFields> {
    let tasks = fields.required_integer("tasks", &limits::TASKS);
    let run_time_ms = fields.required_integer("run_time_ms", &limits::RUN_TIME_MS);
    let max_attempts = fields.integer("max_attempts", &limits::MAX_ATTEMPTS);
    let idempotent = fields.boolean("idempotent").unwrap_or(false);
    Some(KindFields {
        tasks: tasks? as u32,
        run_time_ms: Some(run_time_ms?),
        max_attempts: max_attempts.map_or(limits::DEFAULT_MAX_ATTEMPTS, |count| count as u32),
        idempotent,
        slots: 0,
        connections: 0,
    })
}

fn read_demand(fields: &mut Fields<'_, '_, '_>) -> Option<work::Resources> {
    let cpu_milli = fields.required_integer("cpu_milli", &limits::CPU_MILLI);
    let memory_mb = fields.required_integer("memory_mb", &limits::MEMORY_MB);
    let accelerators = fields.integer("accelerators", &limits::ACCELERATORS);
    Some(work::Resources {
        cpu_milli: cpu_milli?,
        memory_mb: memory_mb?,
        accelerators: accelerators.unwrap_or(0),
    })
}

fn read_zones(fields: &mut Fields<'_, '_, '_>) -> Vec<ids::ZoneId> {
    let names = fields.names("zones");
    let zones: IndexSet<ids::ZoneId> = names
        .iter()
        .take(limits::ZONES_LIMIT)
        .map(|name| ids::ZoneId::new(name.value))
        .collect();
    if zones.len() < names.len() {
        let message = format!(
            "must name each zone once, and at most {} zones",
            limits::ZONES_LIMIT
        );
        fields.fault("zones", message);
    }
    zones.into_iter().collect()
}

const fn default_policy(kind: work::WorkKind) -> work::Policy {
    match kind {
        work::WorkKind::Service => work::Policy::Spread,
        work::WorkKind::BatchRun | work::WorkKind::GangJob => work::Policy::QuickStart,
    }
}

fn read_quota(table: Table<'_>, faults: &mut FaultList<'_>) -> Option<Located<work::Quota>> {
    let mut fields = Fields::new(table, faults);
    let position = fields.position();
    let team = fields.name("team");
    let cpu_milli = fields.required_integer("cpu_milli", &limits::QUOTA_AMOUNT);
    let memory_mb = fields.required_integer("memory_mb", &limits::QUOTA_AMOUNT);
    let accelerators = fields.integer("accelerators", &limits::QUOTA_AMOUNT);
    let weight = fields.integer("weight", &limits::WEIGHT);
    fields.finish();
    let value = work::Quota {
        team: ids::TeamId::new(team?.value),
        limit: work::Resources::new(cpu_milli?, memory_mb?, accelerators.unwrap_or(0)),
        weight: weight.map_or(limits::DEFAULT_WEIGHT, |weight| weight as u32),
    };
    Some(Located { value, position })
}
