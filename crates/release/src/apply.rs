//! Applies a note to its base release, and compares releases.

use kernel::ids;
use kernel::work;
use serde::{Deserialize, Serialize};

use crate::note;

/// Differences between two releases, each entry as `KIND NAME`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Entries in the newer release only.
    pub added: Vec<String>,
    /// Entries in both releases with different content.
    pub changed: Vec<String>,
    /// Entries in the older release only.
    pub withdrawn: Vec<String>,
}

impl Changes {
    /// All entries that differ.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let all = self
            .added
            .iter()
            .chain(&self.changed)
            .chain(&self.withdrawn);
        all.map(String::as_str)
    }

    /// Whether there are no differences.
    pub fn is_empty(&self) -> bool {
        self.names().next().is_none()
    }
}

/// Applies a note to `base` and returns the next release.
///
/// # Errors
///
/// All faults: entries under `added` that exist, and entries under `changed` or
/// `withdrawn` that do not exist or have another kind.
pub fn apply(base: &work::Release, note: &note::Note) -> Result<work::Release, note::Faults> {
    let mut faults = Vec::new();
    let mut release = base.clone();
    release.version = base.version.next();
    apply_work(&mut release, note, &mut faults);
    apply_quotas(&mut release, note, &mut faults);
    note::Faults::new(faults).or_ok(release)
}

fn apply_work(release: &mut work::Release, note: &note::Note, faults: &mut Vec<note::Fault>) {
    for item in &note.withdrawn.work {
        let named = &item.value;
        if let Err(message) = find_work(release, &named.id, named.kind) {
            faults.push(note::Fault::at(item.position, "withdrawn", message));
            continue;
        }
        release.work.shift_remove(&named.id);
    }
    for item in &note.changed.work {
        let work = match find_work(release, &item.value.id, item.value.kind) {
            Ok(existing) => changed(existing, &item.value, release.version),
            Err(message) => {
                faults.push(note::Fault::at(item.position, "changed", message));
                continue;
            }
        };
        release.work.insert(work.id.clone(), work);
    }
    for item in &note.added.work {
        if let Some(existing) = release.work.get(&item.value.id) {
            let message = format!(
                "{} {} already exists; list it under changed",
                note::kind_name(existing.kind),
                existing.id
            );
            faults.push(note::Fault::at(item.position, "added", message));
            continue;
        }
        let work = work::Work {
            since: release.version,
            revision: release.version,
            ..item.value.clone()
        };
        release.work.insert(work.id.clone(), work);
    }
}

/// Applies a stated definition to existing work.
///
/// The version of its addition stays; the revision changes only if something other
/// than the number of tasks differs.
fn changed(existing: &work::Work, stated: &work::Work, version: ids::ReleaseVersion) -> work::Work {
    let mut changed = work::Work {
        since: existing.since,
        revision: existing.revision,
        tasks: existing.tasks,
        ..stated.clone()
    };
    if changed != *existing {
        changed.revision = version;
    }
    changed.tasks = stated.tasks;
    changed
}

fn find_work<'release>(
    release: &'release work::Release,
    id: &ids::WorkId,
    kind: work::WorkKind,
) -> Result<&'release work::Work, String> {
    let Some(existing) = release.work.get(id) else {
        return Err(format!(
            "no {} {id} in release {}",
            note::kind_name(kind),
            previous(release)
        ));
    };
    if existing.kind != kind {
        return Err(format!(
            "{id} is a {}; withdraw it and add a {} under another name",
            note::kind_name(existing.kind),
            note::kind_name(kind)
        ));
    }
    Ok(existing)
}

/// The version of the base of a release under construction.
fn previous(release: &work::Release) -> u64 {
    release.version.0 - 1
}

fn apply_quotas(release: &mut work::Release, note: &note::Note, faults: &mut Vec<note::Fault>) {
    for item in &note.withdrawn.quotas {
        if release.quotas.shift_remove(&item.value).is_none() {
            let message = format!(
                "no quota of {} in release {}",
                item.value,
                previous(release)
            );
            faults.push(note::Fault::at(item.position, "withdrawn.quota", message));
        }
    }
    for item in &note.changed.quotas {
        let team = &item.value.team;
        if !release.quotas.contains_key(team) {
            let message = format!("no quota of {team} in release {}", previous(release));
            faults.push(note::Fault::at(item.position, "changed.quota", message));
            continue;
        }
        release.quotas.insert(team.clone(), item.value.clone());
    }
    for item in &note.added.quotas {
        let team = &item.value.team;
        if release.quotas.contains_key(team) {
            let message = format!("the quota of {team} already exists; list it under changed");
            faults.push(note::Fault::at(item.position, "added.quota", message));
            continue;
        }
        release.quotas.insert(team.clone(), item.value.clone());
    }
}

/// Computes the differences from `older` to `newer`.
pub fn diff(older: &work::Release, newer: &work::Release) -> Changes {
    let mut changes = Changes::default();
    for (id, work) in &newer.work {
        match older.work.get(id) {
            None => changes.added.push(work_label(work)),
            Some(before) if before != work => changes.changed.push(work_label(work)),
            Some(_) => {}
        }
    }
    for (id, work) in &older.work {
        if !newer.work.contains_key(id) {
            changes.withdrawn.push(work_label(work));
        }
    }
    for (team, quota) in &newer.quotas {
        match older.quotas.get(team) {
            None => changes.added.push(quota_label(team)),
            Some(before) if before != quota => changes.changed.push(quota_label(team)),
            Some(_) => {}
        }
    }
    for team in older.quotas.keys() {
        if !newer.quotas.contains_key(team) {
            changes.withdrawn.push(quota_label(team));
        }
    }
    changes
}

fn work_label(work: &work::Work) -> String {
    format!("{} {}", note::kind_name(work.kind), work.id)
}

fn quota_label(team: &ids::TeamId) -> String {
    format!("quota {team}")
}

/// The entries that a note names, with the labels of [`Changes`].
pub(crate) fn touched(note: &note::Note) -> Vec<String> {
    let work = note.stated_work().map(|item| work_label(&item.value));
    let withdrawn = note
        .withdrawn
        .work
        .iter()
        .map(|item| format!("{} {}", note::kind_name(item.value.kind), item.value.id));
    let quotas = note
        .stated_quotas()
        .map(|item| quota_label(&item.value.team));
    let withdrawn_quotas = note.withdrawn.quotas.iter();
    work.chain(withdrawn)
        .chain(quotas)
        .chain(withdrawn_quotas.map(|item| quota_label(&item.value)))
        .collect()
}
