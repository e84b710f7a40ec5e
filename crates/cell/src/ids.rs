//! Identifiers of jobs, steps and tasks.

use std::{fmt, str};

use derive_more::Display;

/// Job identifier chosen by the client; written as sixteen hexadecimal digits.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{_0:016x}")]
pub struct JobId(pub u64);

/// Error for a text that is not a valid job or task identifier.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("not sixteen hexadecimal digits")]
pub struct InvalidJobId;

impl str::FromStr for JobId {
    type Err = InvalidJobId;

    /// Parses lower-case digits only; any other spelling would not be returned to the client as it
    /// was sent.
    fn from_str(text: &str) -> Result<Self, InvalidJobId> {
        let canonical =
            text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if !canonical {
            return Err(InvalidJobId);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| InvalidJobId)
    }
}

/// Identifier of a step within one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepId {
    /// The job that the step belongs to.
    pub job: JobId,
    /// Zero-based occurrence; 0 for jobs that run once.
    pub occurrence: u32,
    /// Zero-based position of the step in the job.
    pub step: u32,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identifier of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The step that the task belongs to.
    pub step: StepId,
    /// Zero-based position of the task in the step.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl str::FromStr for TaskId {
    type Err = InvalidJobId;

    fn from_str(text: &str) -> Result<Self, InvalidJobId> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(InvalidJobId)?.parse()?;
        let mut number = || {
            parts
                .next()
                .and_then(|part| part.parse().ok())
                .ok_or(InvalidJobId)
        };
        let (occurrence, step, index) = (number()?, number()?, number()?);
        if parts.next().is_some() {
            return Err(InvalidJobId);
        }
        Ok(Self {
            step: StepId {
                job,
                occurrence,
                step,
            },
            index,
        })
    }
}
