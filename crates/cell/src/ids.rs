//! Names of jobs, tasks and runs.

use std::{fmt, str};

use derive_more::Display;

/// A client's name for its job: sixteen hexadecimal digits.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{_0:016x}")]
pub struct JobId(pub u64);

/// The text is not a job's name.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("not sixteen hexadecimal digits")]
pub struct InvalidJobId;

impl str::FromStr for JobId {
    type Err = InvalidJobId;

    /// Reads a name in lower case; other spellings would not come back as they were sent.
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

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StepId {
    /// The job that the step belongs to.
    pub job: JobId,
    /// The occurrence, counted from 0; 0 for jobs that run once.
    pub occurrence: u32,
    /// The step's position in the job.
    pub step: u32,
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// One task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId {
    /// The step that the task belongs to.
    pub step: StepId,
    /// The task's position in the step.
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
