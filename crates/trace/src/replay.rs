//! Replays a trace on new groups and compares their decisions with the recorded ones.

use std::fmt;
use std::io::BufRead;

use indexmap::IndexMap;
use kernel::errors;
use placement::Group;

use crate::call::{Call, Effect, Entry, Line};
use crate::outcome;

/// A call whose effect in the replay differs from the recorded one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Divergence {
    /// Line number of the call in the trace, from one.
    pub line: usize,
    /// The call with its recorded effect.
    pub recorded: Entry,
    /// Effect of the call in the replay.
    pub replayed: Effect,
}

impl fmt::Display for Divergence {
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

/// The result of a replay; `Display` gives the report of `hickoryd replay`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Replay {
    /// Number of replayed calls, including those that created a group.
    pub calls: usize,
    /// Number of decisions of the replayed calls.
    pub decisions: usize,
    /// Number of calls that were not replayed because earlier lines of their group are missing.
    pub skipped: usize,
    /// The first call whose effect differs; `None` if all effects are as recorded.
    pub divergence: Option<Divergence>,
    /// Each expectation of the trace, with the reason why it is violated or `None` if it holds.
    pub outcomes: Vec<(outcome::Expectation, Option<String>)>,
}

impl Replay {
    /// Returns whether all effects are as recorded and all expectations hold.
    pub fn has_passed(&self) -> bool {
        self.divergence.is_none()
            && self
                .outcomes
                .iter()
                .all(|(_, violation)| violation.is_none())
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
        for (expectation, reason) in &self.outcomes {
            match reason {
                None => writeln!(formatter, "holds: {expectation}")?,
                Some(reason) => writeln!(formatter, "does not hold: {expectation}: {reason}")?,
            }
        }
        match &self.divergence {
            None => write!(formatter, "same decisions"),
            Some(divergence) => write!(formatter, "first difference: {divergence}"),
        }
    }
}

/// The state of one recorded group during the replay.
#[derive(Debug)]
struct Instance {
    /// `None` after a missing line.
    group: Option<Group>,
    next_sequence: u64,
}

#[derive(Debug, Default)]
struct ReplayState {
    instances: IndexMap<u64, Instance>,
    observations: outcome::Observations,
    replay: Replay,
    checks_capacity: bool,
}

/// Replays a trace, which is read into memory as a whole.
///
/// # Errors
///
/// [`errors::ErrorKind::BadRequest`] with the number of the line that cannot be read or parsed, and
/// the error of [`Group::new`] if a recorded group configuration is invalid.
pub fn replay(reader: impl BufRead) -> errors::Result<Replay> {
    let lines = read_lines(reader)?;
    let mut state = ReplayState {
        checks_capacity: lines.iter().any(|(_, line)| {
            let expect = &outcome::Expectation::NeverOverCapacity;
            matches!(line, Line::Expect { expect: found } if found == expect)
        }),
        ..ReplayState::default()
    };
    let mut expectations = Vec::new();
    for (number, line) in lines {
        match line {
            Line::Entry(entry) => state.apply_entry(number, entry)?,
            Line::Expect { expect } => expectations.push(expect),
        }
    }
    state.replay.outcomes = expectations
        .into_iter()
        .map(|expectation| {
            let violation = state.observations.violation(&expectation);
            (expectation, violation)
        })
        .collect();
    Ok(state.replay)
}

fn read_lines(reader: impl BufRead) -> errors::Result<Vec<(usize, Line)>> {
    let mut lines = Vec::new();
    for (index, text) in reader.lines().enumerate() {
        let number = index + 1;
        let text = text.map_err(|source| read_error(number, source))?;
        if text.trim().is_empty() {
            continue;
        }
        let line = serde_json::from_str(&text).map_err(|source| read_error(number, source))?;
        lines.push((number, line));
    }
    Ok(lines)
}

fn read_error(
    number: usize,
    source: impl std::error::Error + Send + Sync + 'static,
) -> errors::Error {
    errors::Error::with_source(
        errors::ErrorKind::BadRequest,
        format!("line {number} of the trace cannot be read"),
        source,
    )
}

impl ReplayState {
    fn apply_entry(&mut self, number: usize, entry: Entry) -> errors::Result<()> {
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
            .and_then(|instance| instance.advance(&entry))
        else {
            self.replay.skipped += 1;
            return Ok(());
        };
        let effect = entry.call.apply(group);
        self.replay.calls += 1;
        self.replay.decisions += effect.decisions().len();
        self.observations.record_call(number, &entry.call, &effect);
        if self.checks_capacity {
            self.observations.record_capacity(number, group);
        }
        if effect != entry.effect && self.replay.divergence.is_none() {
            self.replay.divergence = Some(Divergence {
                line: number,
                recorded: entry,
                replayed: effect,
            });
        }
        Ok(())
    }
}

impl Instance {
    /// Advances past `entry` and returns the group; `None` if this or an earlier call is missing.
    fn advance(&mut self, entry: &Entry) -> Option<&mut Group> {
        if entry.sequence != self.next_sequence {
            // Without the missing calls, the group state would differ from the recorded one.
            self.group = None;
        }
        self.next_sequence = entry.sequence + 1;
        self.group.as_mut()
    }
}
