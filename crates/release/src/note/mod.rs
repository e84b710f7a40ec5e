//! Parser of release notes.
//!
//! A note is parsed in one pass that collects all faults, so that its author can
//! fix them at once. An entry under `changed` is the complete new definition; no
//! fields are taken over from the previous one.

mod entries;
mod fault;
mod fields;
pub mod limits;
mod position;

use std::hash::Hash;

use indexmap::IndexMap;
use kernel::ids;
use kernel::work;
use toml::de;

pub use fault::{Fault, Faults, MAX_LISTED_FAULTS};
pub use fields::is_name;
pub use position::{Located, Position};

use fields::{FaultList, Fields, Table};

/// A release note that is valid by itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Note {
    /// The verbatim text of the note.
    pub text: String,
    /// The release that the note must be applied to; `None` for the newest one.
    pub base: Option<ids::ReleaseVersion>,
    /// New entries.
    pub added: Section,
    /// Entries that replace existing ones of the same name.
    pub changed: Section,
    /// Entries that are removed.
    pub withdrawn: Withdrawn,
}

/// Entries of `added` or `changed`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Section {
    /// Services, batch runs and gang jobs.
    pub work: Vec<Located<work::Work>>,
    /// Quotas, one per team.
    pub quotas: Vec<Located<work::Quota>>,
}

/// Names under `withdrawn`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Withdrawn {
    /// Services, batch runs and gang jobs.
    pub work: Vec<Located<WithdrawnWork>>,
    /// Teams whose quotas are withdrawn.
    pub quotas: Vec<Located<ids::TeamId>>,
}

/// Withdrawn work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WithdrawnWork {
    /// The kind that the note states; must match the existing work.
    pub kind: work::WorkKind,
    /// Name of the work.
    pub id: ids::WorkId,
}

impl Note {
    /// The work that the note adds or changes.
    pub fn stated_work(&self) -> impl Iterator<Item = &Located<work::Work>> {
        self.added.work.iter().chain(&self.changed.work)
    }

    /// The quotas that the note adds or changes.
    pub fn stated_quotas(&self) -> impl Iterator<Item = &Located<work::Quota>> {
        self.added.quotas.iter().chain(&self.changed.quotas)
    }

    /// All work that the note names, with positions.
    fn named_work(&self) -> impl Iterator<Item = (&ids::WorkId, Position)> {
        let stated = self
            .stated_work()
            .map(|work| (&work.value.id, work.position));
        let withdrawn = self.withdrawn.work.iter();
        stated.chain(withdrawn.map(|work| (&work.value.id, work.position)))
    }

    /// All teams whose quotas the note names, with positions.
    fn named_quotas(&self) -> impl Iterator<Item = (&ids::TeamId, Position)> {
        let stated = self.stated_quotas();
        let stated = stated.map(|quota| (&quota.value.team, quota.position));
        let withdrawn = self.withdrawn.quotas.iter();
        stated.chain(withdrawn.map(|team| (&team.value, team.position)))
    }

    fn is_empty(&self) -> bool {
        self.named_work().next().is_none() && self.named_quotas().next().is_none()
    }
}

/// The field name of a kind of work in a note.
pub const fn kind_name(kind: work::WorkKind) -> &'static str {
    match kind {
        work::WorkKind::Service => "service",
        work::WorkKind::BatchRun => "batch_run",
        work::WorkKind::GangJob => "gang_job",
    }
}

/// Parses a note.
///
/// # Errors
///
/// All faults in the note itself: size, encoding, syntax, unknown or missing
/// fields, values out of range, repeated names. Syntax faults are reported alone.
pub fn parse(bytes: &[u8]) -> Result<Note, Faults> {
    if bytes.len() > limits::NOTE_LIMIT_BYTES {
        let limit = limits::NOTE_LIMIT_BYTES;
        let message = format!("the note is larger than {limit} bytes; split it into several");
        return Err(Fault::of_note(message).into());
    }
    let text = decode(bytes)?;
    let mut faults = FaultList::new(text);
    let (root, syntax) = de::DeTable::parse_recoverable(text);
    if !syntax.is_empty() {
        for error in syntax {
            let offset = error.span().map_or(0, |span| span.start);
            faults.push(offset, String::new(), error.message());
        }
        return Err(Faults::new(faults.faults));
    }
    let note = read_note(text, root.get_ref(), &mut faults);
    let mut faults = faults.faults;
    repeated(note.named_work(), "", &mut faults);
    repeated(note.named_quotas(), "the quota of ", &mut faults);
    if faults.is_empty() && note.is_empty() {
        faults.push(Fault::of_note(
            "the note is empty: it must add, change or withdraw something",
        ));
    }
    Faults::new(faults).or_ok(note)
}

fn decode(bytes: &[u8]) -> Result<&str, Faults> {
    str::from_utf8(bytes).map_err(|error| {
        let valid = error.valid_up_to();
        let text = str::from_utf8(&bytes[..valid]).unwrap_or_default();
        let position = position::LineIndex::new(text).position(valid);
        let message = format!("byte {:#04x} is not UTF-8", bytes[valid]);
        Fault::at(position, "", message).into()
    })
}

fn read_note(text: &str, root: &de::DeTable<'_>, faults: &mut FaultList<'_>) -> Note {
    let table = Table {
        entries: root,
        offset: 0,
        path: String::new(),
    };
    let mut fields = Fields::new(table, faults);
    let base = fields.integer("base", &(0..=u64::MAX - 1));
    let added = fields.table("added");
    let changed = fields.table("changed");
    let withdrawn = fields.table("withdrawn");
    fields.finish();
    let mut section = |table: Option<Table<'_>>| {
        table.map_or_else(Section::default, |table| {
            entries::read_section(table, faults)
        })
    };
    let added = section(added);
    let changed = section(changed);
    Note {
        text: text.to_owned(),
        base: base.map(ids::ReleaseVersion),
        added,
        changed,
        withdrawn: withdrawn.map_or_else(Withdrawn::default, |table| {
            entries::read_withdrawn(table, faults)
        }),
    }
}

fn repeated<'a, N: Hash + Eq + ToString + 'a>(
    names: impl Iterator<Item = (&'a N, Position)>,
    what: &str,
    faults: &mut Vec<Fault>,
) {
    let mut first_seen: IndexMap<&N, Position> = IndexMap::new();
    for (name, position) in names {
        if let Some(first) = first_seen.get(name) {
            let message = format!(
                "{what}{} is already named at {first}; a note names each once",
                name.to_string()
            );
            faults.push(Fault::at(position, "", message));
        } else {
            first_seen.insert(name, position);
        }
    }
}
