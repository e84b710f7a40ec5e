//! Feeds a trace to fresh groups and compares what they decide.

use std::fmt;
use std::io::BufRead;

use indexmap::IndexMap;
use kernel::errors;
use placement::Group;

use crate::call::{Call, Effect, Entry, Line};
use crate::outcome;

/// The first call whose effect was another one than recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Number of the line, from one.
    pub line: usize,
    /// The call, with what came out when it was recorded.
    pub recorded: Entry,
    /// What came out now.
    pub replayed: Effect,
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            line,
            recorded,
            replayed,
        } = self;
        writeln!(formatter, "line {line}, group {}:", recorded.group)?;
        writeln!(formatter, "  call     {:?}", recorded.call)?;
        writeln!(formatter, "  recorded {:?}", recorded.effect)?;
        write!(formatter, "  replayed {replayed:?}")
    }
}

/// What a replay found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replay {
    /// Calls that were made on the fresh groups.
    pub calls: usize,
    /// Decisions that were compared.
    pub decisions: usize,
    /// Calls that were left out because lines before them are missing.
    pub skipped: usize,
    /// The first call whose effect was another one than recorded.
    pub difference: Option<Difference>,
    /// The stated outcomes, each with why it does not hold, if it does not.
    pub outcomes: Vec<(outcome::Expectation, Option<String>)>,
}

impl Replay {
    /// Whether all decisions were the same and all stated outcomes hold.
    pub fn has_passed(&self) -> bool {
        self.difference.is_none() && self.outcomes.iter().all(|(_, fault)| fault.is_none())
    }
}

impl fmt::Display for Replay {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            calls, decisions, ..
        } = self;
        writeln!(formatter, "{calls} calls, {decisions} decisions compared")?;
        if self.skipped > 0 {
            let skipped = self.skipped;
            writeln!(formatter, "{skipped} calls not replayed: lines are missing")?;
        }
        for (expectation, fault) in &self.outcomes {
            match fault {
                None => writeln!(formatter, "holds: {expectation}")?,
                Some(fault) => writeln!(formatter, "does not hold: {expectation}: {fault}")?,
            }
        }
        match &self.difference {
            None => write!(formatter, "same decisions"),
            Some(difference) => write!(formatter, "first difference: {difference}"),
        }
    }
}

/// One group of the trace; `None` once lines are missing.
#[derive(Debug)]
struct Instance {
    group: Option<Group>,
    next_sequence: u64,
}

#[derive(Debug, Default)]
struct Run {
    instances: IndexMap<u64, Instance>,
    observed: outcome::Observed,
    replay: Replay,
    checks_capacity: bool,
}

/// Replays a trace; the whole of it is held in memory.
///
/// # Errors
///
/// [`errors::ErrorKind::BadRequest`] naming the line that cannot be read.
pub fn replay(reader: impl BufRead) -> errors::Result<Replay> {
    let lines = read_lines(reader)?;
    let mut run = Run {
        checks_capacity: lines.iter().any(|(_, line)| {
            let expect = &outcome::Expectation::NeverOverCapacity;
            matches!(line, Line::Expect { expect: found } if found == expect)
        }),
        ..Run::default()
    };
    let mut expectations = Vec::new();
    for (number, line) in lines {
        match line {
            Line::Entry(entry) => run.take(number, entry)?,
            Line::Expect { expect } => expectations.push(expect),
        }
    }
    run.replay.outcomes = expectations
        .into_iter()
        .map(|expectation| {
            let fault = run.observed.fault(&expectation);
            (expectation, fault)
        })
        .collect();
    Ok(run.replay)
}

fn read_lines(reader: impl BufRead) -> errors::Result<Vec<(usize, Line)>> {
    let mut lines = Vec::new();
    for (index, text) in reader.lines().enumerate() {
        let number = index + 1;
        let text = text.map_err(|source| unreadable(number, source))?;
        if text.trim().is_empty() {
            continue;
        }
        let line = serde_json::from_str(&text).map_err(|source| unreadable(number, source))?;
        lines.push((number, line));
    }
    Ok(lines)
}

fn unreadable(
    number: usize,
    source: impl std::error::Error + Send + Sync + 'static,
) -> errors::Error {
    errors::Error::with_source(
        errors::ErrorKind::BadRequest,
        format!("line {number} of the trace cannot be read"),
        source,
    )
}

impl Run {
    fn take(&mut self, number: usize, entry: Entry) -> errors::Result<()> {
        if let Call::Open { config, seed } = &entry.call {
            let instance = Instance {
                group: Some(Group::new(config.clone(), *seed)?),
                next_sequence: entry.sequence + 1,
            };
            self.instances.insert(entry.instance, instance);
            self.replay.calls += 1;
            return Ok(());
        }
        let Some(group) = self
            .instances
            .get_mut(&entry.instance)
            .and_then(|instance| instance.group_for(&entry))
        else {
            self.replay.skipped += 1;
            return Ok(());
        };
        let effect = entry.call.apply(group);
        self.replay.calls += 1;
        self.replay.decisions += effect.decisions().len();
        self.observed.note(number, &entry.call, &effect);
        if self.checks_capacity {
            self.observed.note_capacity(number, group);
        }
        if effect != entry.effect && self.replay.difference.is_none() {
            self.replay.difference = Some(Difference {
                line: number,
                recorded: entry,
                replayed: effect,
            });
        }
        Ok(())
    }
}

impl Instance {
    /// The group, if the entry is the next one of it.
    fn group_for(&mut self, entry: &Entry) -> Option<&mut Group> {
        if entry.sequence != self.next_sequence {
            // Later calls would be compared in another state than they were made in.
            self.group = None;
        }
        self.next_sequence = entry.sequence + 1;
        self.group.as_mut()
    }
}
