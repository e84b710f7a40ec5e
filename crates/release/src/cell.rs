//! Checks of releases and jobs against the cell's capacity and the quotas.

use indexmap::{IndexMap, IndexSet};
use kernel::ids;
use kernel::work;

use crate::note;

/// Workers of one zone with equal capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerShape {
    /// Capacity of each worker.
    pub capacity: work::Resources,
    /// Number of such workers.
    pub workers: u64,
}

/// The zones of the cell and the workers known in each.
///
/// A zone whose workers are not known, for instance because it is unreachable, has
/// no shapes; the size of work that may run there is then not checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellLimits {
    /// The zones, by name; if empty, zones and sizes are not checked.
    pub zones: IndexMap<ids::ZoneId, Vec<WorkerShape>>,
}

impl CellLimits {
    /// Groups the workers of each zone by capacity.
    pub fn from_workers<'a>(
        zones: impl IntoIterator<Item = &'a ids::ZoneId>,
        workers: impl IntoIterator<Item = (&'a ids::ZoneId, work::Resources)>,
    ) -> Self {
        let zones = zones.into_iter().map(|zone| (zone.clone(), Vec::new()));
        let mut limits = Self {
            zones: zones.collect(),
        };
        for (zone, capacity) in workers {
            let shapes = limits.zones.entry(zone.clone()).or_default();
            let known = shapes.iter_mut().find(|shape| shape.capacity == capacity);
            match known {
                Some(shape) => shape.workers += 1,
                None => shapes.push(WorkerShape {
                    capacity,
                    workers: 1,
                }),
            }
        }
        limits
    }

    /// Number of such tasks that the permitted zones hold when empty; `None` if not known.
    fn room_for(&self, work: &work::Work) -> Option<u64> {
        let all_known = work.zones.iter().all(|zone| self.zones.contains_key(zone));
        if self.zones.is_empty() || !all_known {
            return None;
        }
        let permitted = self
            .zones
            .iter()
            .filter(|(zone, _)| work.zones.is_empty() || work.zones.contains(zone));
        let mut room = 0_u64;
        for (_, shapes) in permitted {
            if shapes.is_empty() {
                return None;
            }
            for shape in shapes {
                let tasks = tasks_per_worker(work.demand, shape.capacity);
                room = room.saturating_add(tasks.saturating_mul(shape.workers));
            }
        }
        Some(room)
    }

    /// Lists the distinct capacities of all known workers, for messages.
    fn describe_shapes(&self) -> String {
        let shapes = self.zones.values().flatten();
        let distinct: IndexSet<work::Resources> = shapes.map(|shape| shape.capacity).collect();
        let texts: Vec<String> = distinct.into_iter().map(describe).collect();
        texts.join(", or ")
    }
}

fn tasks_per_worker(demand: work::Resources, capacity: work::Resources) -> u64 {
    let per = |need: u64, have: u64| have.checked_div(need).unwrap_or(u64::MAX);
    per(demand.cpu_milli, capacity.cpu_milli)
        .min(per(demand.memory_mb, capacity.memory_mb))
        .min(per(demand.accelerators, capacity.accelerators))
}

/// Formats an amount of resources for messages.
fn describe(amount: work::Resources) -> String {
    format!(
        "{} cpu_milli, {} memory_mb and {} accelerators",
        amount.cpu_milli, amount.memory_mb, amount.accelerators
    )
}

/// Checks a note against the cell, and the resulting release against its quotas.
///
/// Work that the note does not name is not checked against the cell, so that a
/// note can be accepted while workers are missing. Quotas are checked for all
/// work in force.
///
/// # Errors
///
/// All faults: zones that do not exist, tasks larger than any worker or than
/// their team's quota, gang jobs larger than the cell or the quota, work of a
/// team without a quota, and more tasks in total than the limit.
pub fn check(
    note: &note::Note,
    release: &work::Release,
    limits: &CellLimits,
) -> Result<(), note::Faults> {
    let mut faults = Vec::new();
    for item in note.stated_work() {
        let mut of_item = unknown_zones(&item.value, limits);
        of_item.extend(check_size(&item.value, limits).err());
        for mut fault in of_item {
            fault.position = Some(item.position);
            faults.push(fault);
        }
    }
    for work in release.work.values() {
        if let Err(mut fault) = check_quota(work, release) {
            fault.position = quota_position(note, work);
            faults.push(fault);
        }
    }
    check_total(release, &mut faults);
    note::Faults::new(faults).or_ok(())
}

/// Checks a submitted job against the release in force and the cell.
///
/// # Errors
///
/// All faults, without positions: zones that do not exist, tasks larger than any
/// worker or than their team's quota, gang jobs larger than the cell or the
/// quota, and a team without a quota.
pub fn check_job(
    job: &work::Work,
    release: &work::Release,
    limits: &CellLimits,
) -> Result<(), note::Faults> {
    let mut faults = unknown_zones(job, limits);
    faults.extend(check_size(job, limits).err());
    faults.extend(check_quota(job, release).err());
    note::Faults::new(faults).or_ok(())
}

/// Creates a fault of a field, without position.
fn fault(field: &str, message: String) -> note::Fault {
    note::Fault {
        position: None,
        field: field.to_owned(),
        message,
    }
}

/// Creates a fault for each zone of the work that does not exist in the cell.
fn unknown_zones(work: &work::Work, limits: &CellLimits) -> Vec<note::Fault> {
    if limits.zones.is_empty() {
        return Vec::new();
    }
    let known: Vec<&str> = limits.zones.keys().map(ids::ZoneId::as_str).collect();
    let known = known.join(", ");
    let zones = work.zones.iter();
    zones
        .filter(|zone| !limits.zones.contains_key(*zone))
        .map(|zone| {
            let message = format!("{}: no zone {zone}; the zones are {known}", work.id);
            fault("zones", message)
        })
        .collect()
}

fn check_size(work: &work::Work, limits: &CellLimits) -> Result<(), note::Fault> {
    let Some(room) = limits.room_for(work) else {
        return Ok(());
    };
    if room == 0 {
        let message = format!(
            "{}: a task of {} is larger than any worker it may run on; workers have {}",
            work.id,
            describe(work.demand),
            limits.describe_shapes()
        );
        return Err(fault("", message));
    }
    let tasks = u64::from(work.tasks);
    if work.kind == work::WorkKind::GangJob && tasks > room {
        let message = format!(
            "{}: {tasks} tasks must start together, but the workers hold at most {room}",
            work.id
        );
        return Err(fault("tasks", message));
    }
    Ok(())
}

fn check_quota(work: &work::Work, release: &work::Release) -> Result<(), note::Fault> {
    let Some(quota) = release.quotas.get(&work.team) else {
        let known: Vec<&str> = release.quotas.keys().map(ids::TeamId::as_str).collect();
        let known = if known.is_empty() {
            "none".to_owned()
        } else {
            known.join(", ")
        };
        let message = format!(
            "{}: team {} has no quota; teams with one: {known}",
            work.id, work.team
        );
        return Err(fault("team", message));
    };
    let together = match work.kind {
        work::WorkKind::GangJob => u64::from(work.tasks),
        work::WorkKind::Service | work::WorkKind::BatchRun => 1,
    };
    let needed = work.demand.times(together);
    if !needed.fits_in(quota.limit) {
        let message = format!(
            "{}: {together} task(s) need {} at once, more than the quota of {}: {}",
            work.id,
            describe(needed),
            work.team,
            describe(quota.limit)
        );
        return Err(fault("team", message));
    }
    Ok(())
}

/// The position of the work in the note, or else of its team's quota.
fn quota_position(note: &note::Note, work: &work::Work) -> Option<note::Position> {
    let mut stated = note.stated_work();
    if let Some(item) = stated.find(|item| item.value.id == work.id) {
        return Some(item.position);
    }
    let mut quotas = note.stated_quotas();
    if let Some(item) = quotas.find(|item| item.value.team == work.team) {
        return Some(item.position);
    }
    let mut withdrawn = note.withdrawn.quotas.iter();
    let item = withdrawn.find(|item| item.value == work.team)?;
    Some(item.position)
}

fn check_total(release: &work::Release, faults: &mut Vec<note::Fault>) {
    let tasks: u64 = release
        .work
        .values()
        .map(|work| u64::from(work.tasks))
        .sum();
    if tasks > note::limits::MAX_TASKS_IN_FORCE {
        faults.push(note::Fault::of_note(format!(
            "the release would have {tasks} tasks and replicas; at most {} are allowed",
            note::limits::MAX_TASKS_IN_FORCE
        )));
    }
}
