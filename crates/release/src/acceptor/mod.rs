//! Accepts release notes by creating releases in the store.
//!
//! Release n+1 is based on release n and created on condition that it is
//! absent; this single write decides every race. A write whose answer was lost
//! is retried: it either succeeds, or the store returns the release stored as
//! n+1, whose submitter id shows whether it is from the same submission.

mod head;
mod race;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use kernel::errors;
use kernel::ids;
use kernel::work;
use platform::store;
use rand::RngExt;

use crate::accepted;
use crate::apply;
use crate::cell;
use crate::events;
use crate::note;

use head::Head;

/// Maximum number of writes for one submission.
pub const MAX_SUBMIT_ATTEMPTS: u32 = 6;
/// Maximum length of a submitter id, in bytes.
pub const SUBMITTER_LIMIT_BYTES: usize = 128;

const RETRY_INTERVAL_MS: u64 = 50;

/// Result of an accepted submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The version under which the note was accepted.
    pub version: ids::ReleaseVersion,
    /// Its changes; empty if it was accepted earlier and its release is no longer retained.
    pub changes: apply::Changes,
    /// Whether the note was already accepted earlier under the same submitter id.
    pub repeated: bool,
    /// The newest known release, to be put in force on this host and announced to peers.
    pub newest: Arc<accepted::AcceptedRelease>,
}

/// Accepts release notes by creating releases in the store.
#[derive(Debug)]
pub struct Acceptor {
    store: Arc<dyn store::Store>,
    head: Mutex<Head>,
    limits: Mutex<cell::CellLimits>,
}

/// A parsed note that is being submitted.
struct Submission<'a> {
    note: note::Note,
    digest: u64,
    submitter: &'a str,
    base: Option<ids::ReleaseVersion>,
}

/// Outcome of one write.
enum WriteOutcome {
    /// The release is in the store.
    Written(Arc<accepted::AcceptedRelease>),
    /// The write had no effect; a retry may succeed.
    NoEffect(errors::Error),
    /// The write may have taken effect.
    Ambiguous(errors::Error),
}

impl Acceptor {
    /// Creates an acceptor; `limits` is replaced by [`set_limits`](Self::set_limits) as workers
    /// become known.
    pub fn new(store: Arc<dyn store::Store>, limits: cell::CellLimits) -> Self {
        Self {
            store,
            head: Mutex::new(Head::default()),
            limits: Mutex::new(limits),
        }
    }

    /// Replaces the known zones and worker capacities that notes are checked against.
    pub fn set_limits(&self, limits: cell::CellLimits) {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner) = limits;
    }

    /// Records a release received by other means, so that it is not read from the store again.
    pub fn learn(&self, release: &Arc<accepted::AcceptedRelease>) {
        self.lock_head().advance(release);
    }

    /// Submits a note and waits until it is accepted or refused.
    ///
    /// The submitter id identifies one submission: resubmitting the same note under
    /// the same id returns the result of the first submission. If neither `base` nor
    /// the note states a version, the note is applied to the newest release; if
    /// another note is accepted concurrently, it is applied on top of that one
    /// unless both touch the same entry.
    ///
    /// # Errors
    ///
    /// - `bad_request`, with all faults of the note;
    /// - `conflict` if a concurrent note was accepted instead, with its submitter and changes;
    /// - `too_large` if the release would exceed [`accepted::MAX_ENCODED_BYTES`];
    /// - `store_unavailable` if the note was certainly not accepted;
    /// - `answer_lost` if it is not known whether the note was accepted.
    pub async fn submit(
        &self,
        note_bytes: &[u8],
        submitter_id: &str,
        base: Option<ids::ReleaseVersion>,
    ) -> errors::Result<Accepted> {
        let result = self.try_submit(note_bytes, submitter_id, base).await;
        log_result(submitter_id, &result);
        result
    }

    async fn try_submit(
        &self,
        note_bytes: &[u8],
        submitter_id: &str,
        base: Option<ids::ReleaseVersion>,
    ) -> errors::Result<Accepted> {
        check_submitter(submitter_id)?;
        let note = note::parse(note_bytes)?;
        let submission = Submission {
            base: stated_base(&note, base)?,
            note,
            digest: digest(note_bytes),
            submitter: submitter_id,
        };
        self.write_with_retries(&submission).await
    }

    async fn write_with_retries(&self, submission: &Submission<'_>) -> errors::Result<Accepted> {
        let mut progress = race::Progress::default();
        for attempt in 0..MAX_SUBMIT_ATTEMPTS {
            pause(submission, attempt).await;
            if let Some(accepted) = self.try_write(submission, &mut progress).await? {
                return Ok(accepted);
            }
        }
        Err(progress.into_error())
    }

    /// Writes once on top of the newest release; `None` if a retry may succeed.
    async fn try_write(
        &self,
        submission: &Submission<'_>,
        progress: &mut race::Progress,
    ) -> errors::Result<Option<Accepted>> {
        let head = match self.load_head().await {
            Ok(head) => head,
            Err(error) if progress.is_unsettled() => {
                progress.last_error = Some(error);
                return Ok(None);
            }
            Err(error) => return Err(error),
        };
        if let Some(head) = &head {
            if let Some(earlier) = race::find_earlier(head, submission)? {
                return Ok(Some(self.answer_repeated(&earlier, head).await));
            }
            progress.settle(head.version());
        }
        progress.check_base(head.as_ref(), submission)?;
        let next = match self.prepare(submission, head.as_deref()) {
            Ok(next) => Arc::new(next),
            Err(error) => return Err(progress.refuse(error)),
        };
        match self.write(&next).await? {
            WriteOutcome::Written(release) => return Ok(Some(self.answer_written(release).await)),
            WriteOutcome::NoEffect(error) => progress.last_error = Some(error),
            WriteOutcome::Ambiguous(error) => progress.record_ambiguous(next.version(), error),
        }
        Ok(None)
    }

    /// The release that results from applying the submission to `head`.
    fn prepare(
        &self,
        submission: &Submission<'_>,
        head: Option<&accepted::AcceptedRelease>,
    ) -> errors::Result<accepted::AcceptedRelease> {
        let empty = work::Release::default();
        let base = head.map_or(&empty, |head| &head.release);
        let release = apply::apply(base, &submission.note)?;
        {
            let limits = self.limits.lock().unwrap_or_else(PoisonError::into_inner);
            cell::check(&submission.note, &release, &limits)?;
        }
        let mut recent = head.map_or_else(Vec::new, |head| head.recent.clone());
        recent.push(accepted::Submission {
            submitter: submission.submitter.to_owned(),
            note_digest: submission.digest,
            version: release.version,
        });
        let surplus = recent
            .len()
            .saturating_sub(accepted::MAX_RECENT_SUBMISSIONS);
        recent.drain(..surplus);
        Ok(accepted::AcceptedRelease {
            submitter: submission.submitter.to_owned(),
            note: submission.note.text.clone(),
            changes: apply::diff(base, &release),
            recent,
            release,
        })
    }

    async fn write(&self, next: &Arc<accepted::AcceptedRelease>) -> errors::Result<WriteOutcome> {
        let key = accepted::key(next.version());
        let value = next.encode()?.into();
        let put = self.store.put(&key, value, store::Condition::Absent, None);
        let Err(error) = put.await else {
            return Ok(WriteOutcome::Written(Arc::clone(next)));
        };
        if let store::StoreError::Conflict {
            current: Some(entry),
        } = &error
        {
            self.learn(&accepted::AcceptedRelease::from_entry(entry)?);
        }
        let ambiguous = error.is_ambiguous();
        let error = errors::Error::from(error);
        Ok(if ambiguous {
            WriteOutcome::Ambiguous(error)
        } else {
            WriteOutcome::NoEffect(error)
        })
    }

    async fn answer_written(&self, release: Arc<accepted::AcceptedRelease>) -> Accepted {
        self.learn(&release);
        self.trim(release.version()).await;
        Accepted {
            version: release.version(),
            changes: release.changes.clone(),
            repeated: false,
            newest: release,
        }
    }

    async fn answer_repeated(
        &self,
        earlier: &accepted::Submission,
        head: &Arc<accepted::AcceptedRelease>,
    ) -> Accepted {
        // The note was accepted even if its release can no longer be read.
        let release = if earlier.version == head.version() {
            Some(Arc::clone(head))
        } else {
            self.read(earlier.version).await.ok().flatten()
        };
        Accepted {
            version: earlier.version,
            changes: release.map_or_else(Default::default, |release| release.changes.clone()),
            repeated: true,
            newest: Arc::clone(head),
        }
    }

    fn lock_head(&self) -> std::sync::MutexGuard<'_, Head> {
        self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits before a retry, with exponential backoff and jitter.
async fn pause(submission: &Submission<'_>, attempt: u32) {
    if attempt == 0 {
        return;
    }
    let mut random = kernel::random::from_seed(submission.digest ^ u64::from(attempt));
    let max_delay_ms = RETRY_INTERVAL_MS << attempt;
    let wait_ms = random.random_range(max_delay_ms / 2..=max_delay_ms);
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
}

fn log_result(submitter_id: &str, result: &errors::Result<Accepted>) {
    let error = match result {
        Ok(accepted) => {
            kernel::log_event!(
                events::RELEASE_ACCEPTED,
                "release {} of submission {submitter_id:?}, repeated: {}",
                accepted.version,
                accepted.repeated
            );
            return;
        }
        Err(error) => error,
    };
    let event = match error.kind.answer().outcome {
        errors::Outcome::NotRun | errors::Outcome::Done => events::RELEASE_REFUSED,
        errors::Outcome::Unknown => events::RELEASE_UNSETTLED,
    };
    kernel::log_event!(event, "submission {submitter_id:?}: {}", error.kind);
}

fn check_submitter(submitter_id: &str) -> errors::Result<()> {
    let printable = submitter_id.bytes().all(|byte| byte.is_ascii_graphic());
    if submitter_id.is_empty() || submitter_id.len() > SUBMITTER_LIMIT_BYTES || !printable {
        let detail = format!(
            "the submitter id must have 1 to {SUBMITTER_LIMIT_BYTES} printable ASCII characters"
        );
        return Err(errors::Error::new(errors::ErrorKind::BadRequest, detail));
    }
    Ok(())
}

fn stated_base(
    note: &note::Note,
    base: Option<ids::ReleaseVersion>,
) -> errors::Result<Option<ids::ReleaseVersion>> {
    match (note.base, base) {
        (Some(in_note), Some(asked)) if in_note != asked => {
            let detail = format!("the note states base {in_note}, the request base {asked}");
            Err(errors::Error::new(errors::ErrorKind::BadRequest, detail))
        }
        (in_note, asked) => Ok(asked.or(in_note)),
    }
}

fn digest(bytes: &[u8]) -> u64 {
    twox_hash::XxHash3_64::oneshot(bytes)
}
