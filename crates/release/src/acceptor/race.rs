//! Resolves races of a submission with releases accepted concurrently.

use std::sync::Arc;

use kernel::errors;
use kernel::ids;

use super::Submission;
use crate::accepted;
use crate::apply;

/// Finds an accepted submission with the same id.
///
/// # Errors
///
/// `conflict` if the id was used for another note.
pub(super) fn find_earlier(
    head: &accepted::AcceptedRelease,
    submission: &Submission<'_>,
) -> errors::Result<Option<accepted::Submission>> {
    let mut recent = head.recent.iter();
    let Some(earlier) = recent.find(|recent| recent.submitter == submission.submitter) else {
        return Ok(None);
    };
    if earlier.note_digest == submission.digest {
        return Ok(Some(earlier.clone()));
    }
    let detail = format!(
        "submitter id {:?} was used for another note, accepted as release {}; choose a new id",
        submission.submitter, earlier.version
    );
    Err(errors::Error::new(errors::ErrorKind::Conflict, detail))
}

/// Progress of one submission over its write attempts.
#[derive(Debug, Default)]
pub(super) struct Progress {
    /// The newest release at the first attempt.
    first_base: Option<Arc<accepted::AcceptedRelease>>,
    /// The version of a write whose answer was lost and whose outcome is still unknown.
    unsettled: Option<ids::ReleaseVersion>,
    /// Error of the latest attempt.
    pub(super) last_error: Option<errors::Error>,
}

impl Progress {
    /// Whether an earlier write may have taken effect.
    pub(super) fn is_unsettled(&self) -> bool {
        self.unsettled.is_some()
    }

    /// Records a write whose answer was lost.
    pub(super) fn record_ambiguous(&mut self, version: ids::ReleaseVersion, error: errors::Error) {
        self.unsettled = Some(version);
        self.last_error = Some(error);
    }

    /// Clears an unsettled write at or below `version`, which had no effect because the
    /// releases up to `version` are from other submissions.
    pub(super) fn settle(&mut self, version: ids::ReleaseVersion) {
        self.unsettled = self.unsettled.filter(|unsettled| *unsettled > version);
    }

    /// Checks that the submission may be applied on top of `head`.
    ///
    /// # Errors
    ///
    /// `conflict` if another base was stated, or if a note that was accepted since
    /// the first attempt touches the same entries.
    pub(super) fn check_base(
        &mut self,
        head: Option<&Arc<accepted::AcceptedRelease>>,
        submission: &Submission<'_>,
    ) -> errors::Result<()> {
        let version = head.map_or_else(Default::default, |head| head.version());
        match submission.base {
            Some(base) if base != version => return Err(other_base(base, head)),
            Some(_) => {}
            None => check_overlap(self.first_base.as_ref(), head, submission)?,
        }
        if self.first_base.is_none() {
            self.first_base = head.cloned();
        }
        Ok(())
    }

    /// The error for a note that the checks refuse at a later attempt.
    ///
    /// The known limits of the cell may have changed since an unsettled write, so the note
    /// may have been accepted by that write.
    pub(super) fn refuse(&self, error: errors::Error) -> errors::Error {
        let Some(version) = self.unsettled else {
            return error;
        };
        perhaps_accepted(version, Some(error))
    }

    /// The error after the last attempt.
    pub(super) fn into_error(self) -> errors::Error {
        if let Some(version) = self.unsettled {
            return perhaps_accepted(version, self.last_error);
        }
        self.last_error.unwrap_or_else(|| {
            errors::Error::new(
                errors::ErrorKind::StoreUnavailable,
                "the store did not answer",
            )
        })
    }
}

fn other_base(
    base: ids::ReleaseVersion,
    head: Option<&Arc<accepted::AcceptedRelease>>,
) -> errors::Error {
    let detail = match head {
        None => format!("the note is based on release {base}, but there is no release yet"),
        Some(head) if head.version() < base => format!(
            "the note is based on release {base}, but the newest is {}",
            head.version()
        ),
        Some(head) => format!(
            "the note is based on release {base}; {}; look at hickoryctl release diff {base} {} \
             and submit again on base {1}",
            describe_winner(head),
            head.version()
        ),
    };
    errors::Error::new(errors::ErrorKind::Conflict, detail)
}

fn check_overlap(
    first_base: Option<&Arc<accepted::AcceptedRelease>>,
    head: Option<&Arc<accepted::AcceptedRelease>>,
    submission: &Submission<'_>,
) -> errors::Result<()> {
    let (Some(first_base), Some(head)) = (first_base, head) else {
        return Ok(());
    };
    let since = apply::diff(&first_base.release, &head.release);
    let touched = apply::touched(&submission.note);
    let both: Vec<&str> = since
        .names()
        .filter(|name| touched.iter().any(|label| label == name))
        .collect();
    if both.is_empty() {
        return Ok(());
    }
    let detail = format!(
        "another note touches the same entries ({}): {}",
        both.join(", "),
        describe_winner(head)
    );
    Err(errors::Error::new(errors::ErrorKind::Conflict, detail))
}

/// Describes the newest release: its submission and its changes.
fn describe_winner(head: &accepted::AcceptedRelease) -> String {
    let changes = &head.changes;
    let lists = [
        ("added", &changes.added),
        ("changed", &changes.changed),
        ("withdrew", &changes.withdrawn),
    ];
    let parts: Vec<String> = lists
        .into_iter()
        .filter(|(_, names)| !names.is_empty())
        .map(|(verb, names)| format!("{verb} {}", names.join(", ")))
        .collect();
    let what = if parts.is_empty() {
        "changed nothing".to_owned()
    } else {
        parts.join("; ")
    };
    format!(
        "release {} of submission {:?} {what}",
        head.version(),
        head.submitter
    )
}

fn perhaps_accepted(version: ids::ReleaseVersion, cause: Option<errors::Error>) -> errors::Error {
    let detail = format!(
        "the store's answer was lost: the note may have been accepted as release {version}; \
         submit it again under the same submitter id to find out"
    );
    match cause {
        Some(cause) => errors::Error::with_source(errors::ErrorKind::AnswerLost, detail, cause),
        None => errors::Error::new(errors::ErrorKind::AnswerLost, detail),
    }
}
