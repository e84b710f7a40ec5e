//! Identifiers.
//!
//! Names are reference-counted strings, which are cheap to clone. Numbers are
//! newtypes, so that an epoch cannot be passed where a release version is
//! expected.

use std::fmt;
use std::str;
use std::sync::Arc;

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};

use crate::errors;

macro_rules! name_type {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the identifier from its text, which is not validated.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// The text of the identifier.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(Arc::from(text))
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$meta:meta])* $name:ident, $repr:ty) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, Display, From, Into, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl $name {
            /// The next higher number.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

name_type!(
    /// An availability zone.
    ZoneId
);
name_type!(
    /// A region, which contains one or more availability zones.
    RegionId
);
name_type!(
    /// A rack of workers.
    RackId
);
name_type!(
    /// A worker: a host on which tasks run.
    WorkerId
);
name_type!(
    /// An entry host: one process of this system.
    HostId
);
name_type!(
    /// A team, the unit of quotas and fair shares.
    TeamId
);
name_type!(
    /// A service, batch run or gang job: its name in a release note, or the id of a submitted job.
    WorkId
);
name_type!(
    /// A key that limits a non-idempotent request to at most one execution.
    IdempotencyKey
);
number_type!(
    /// A fencing token, which increases with every change of owner.
    Epoch, u64
);
number_type!(
    /// Version number of an accepted release note; zero before the first one.
    ReleaseVersion, u64
);
number_type!(
    /// Number of a run of a task, counted from 1; a later attempt supersedes the earlier ones.
    Attempt, u32
);
number_type!(
    /// A journal shard, the unit of ownership of jobs and claims.
    ShardId, u16
);

/// A group of racks in one availability zone, the unit of ownership of capacity.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{zone}#{index}")]
pub struct GroupId {
    /// Availability zone of all racks in the group.
    pub zone: ZoneId,
    /// Index of the group within its zone, from 0.
    pub index: u16,
}

impl GroupId {
    /// Creates the identifier of the group `index` of `zone`.
    pub fn new(zone: &ZoneId, index: u16) -> Self {
        Self {
            zone: zone.clone(),
            index,
        }
    }
}

impl str::FromStr for GroupId {
    type Err = errors::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || {
            errors::Error::new(
                errors::ErrorKind::BadRequest,
                format!("{text:?} is not ZONE#INDEX"),
            )
        };
        let Some((zone, index)) = text.rsplit_once('#') else {
            return Err(malformed());
        };
        let index = index.parse().map_err(|_| malformed())?;
        Ok(Self {
            zone: ZoneId::new(zone),
            index,
        })
    }
}

/// A task of a service, batch run or gang job. Its text form is `WORK/INDEX`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct TaskId {
    /// Work to which the task belongs.
    pub work: WorkId,
    /// Index of the task within its work, from 0.
    pub index: u32,
}

impl TaskId {
    /// Creates the identifier of the task `index` of `work`.
    pub fn new(work: &WorkId, index: u32) -> Self {
        Self {
            work: work.clone(),
            index,
        }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.work, self.index)
    }
}

impl fmt::Debug for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl From<TaskId> for String {
    fn from(task: TaskId) -> Self {
        task.to_string()
    }
}

impl TryFrom<String> for TaskId {
    type Error = errors::Error;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl str::FromStr for TaskId {
    type Err = errors::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let malformed = || {
            errors::Error::new(
                errors::ErrorKind::BadRequest,
                format!("{text:?} is not WORK/INDEX"),
            )
        };
        let Some((work, index)) = text.rsplit_once('/') else {
            return Err(malformed());
        };
        let index = index.parse().map_err(|_| malformed())?;
        Ok(Self {
            work: WorkId::new(work),
            index,
        })
    }
}

/// One run of a task. Its text form `WORK/INDEX@ATTEMPT` is never reused.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{task}@{attempt}")]
pub struct TaskAttempt {
    /// The task that runs.
    pub task: TaskId,
    /// Number of the run.
    pub attempt: Attempt,
}
