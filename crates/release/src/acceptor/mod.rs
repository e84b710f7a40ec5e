//! Accepts release notes at the store.
//!
//! Release n+1 is created only if absent, on release n as its base; that one
//! write decides every race. A write whose answer was lost is tried again: it
//! either succeeds, or the store shows who stands at n+1. The submitter id in
//! the stored release tells whether that was the same submission.

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

/// Writes that one submission tries before it gives up.
pub const SUBMIT_ATTEMPTS: u32 = 6;
/// Longest submitter id, in bytes.
pub const SUBMITTER_LIMIT_BYTES: usize = 128;

const RETRY_INTERVAL_MS: u64 = 50;

/// The answer to an accepted note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The version under which the note was accepted.
    pub version: ids::ReleaseVersion,
    /// What it changed; empty if it was accepted earlier and its release is no longer kept.
    pub changes: apply::Changes,
    /// Whether an earlier submission under the same id had been accepted already.
    pub repeated: bool,
    /// The newest release that is known, to be put in force here and sent to peers.
    pub newest: Arc<accepted::AcceptedRelease>,
}

/// Accepts release notes at the store.
#[derive(Debug)]
pub struct Acceptor {
    store: Arc<dyn store::Store>,
    head: Mutex<Head>,
    limits: Mutex<cell::CellLimits>,
}

/// A well-formed note on its way to the store.
struct Submission<'a> {
    note: note::Note,
    digest: u64,
    submitter: &'a str,
    base: Option<ids::ReleaseVersion>,
}

/// What became of one try to write.
enum Written {
    /// The release stands in the store.
    Done(Arc<accepted::AcceptedRelease>),
    /// The write took no effect, and another one may succeed.
    NotNow(errors::Error),
    /// The write may have taken effect.
    Perhaps(errors::Error),
}

impl Acceptor {
    /// Makes an acceptor; `limits` can be replaced as workers become known.
    pub fn new(store: Arc<dyn store::Store>, limits: cell::CellLimits) -> Self {
        Self {
            store,
            head: Mutex::new(Head::default()),
            limits: Mutex::new(limits),
        }
    }

    /// Replaces what is known of the cell.
    pub fn set_limits(&self, limits: cell::CellLimits) {
        *self.limits.lock().unwrap_or_else(PoisonError::into_inner) = limits;
    }

    /// Takes note of a release that came by another way, which saves reading it again.
    pub fn learn(&self, release: &Arc<accepted::AcceptedRelease>) {
        self.lock_head().advance(release);
    }

    /// Submits a note and waits until it is accepted or refused.
    ///
    /// The submitter id names one submission: sending the same note under the
    /// same id again gives the first one's answer. If neither `base` nor the
    /// note states a version, the note is applied to the newest release; should
    /// another note be accepted meanwhile, it is applied on top of that one
    /// unless both touch the same entry.
    ///
    /// # Errors
    ///
    /// `bad_request` with all faults of the note; `conflict` if another note won,
    /// naming it and what it changed; `too_large`; `store_unavailable` if the
    /// note was truly not accepted; `answer_lost` if that is not known.
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
        self.write_until_settled(&submission).await
    }

    async fn write_until_settled(&self, submission: &Submission<'_>) -> errors::Result<Accepted> {
        let mut progress = race::Progress::default();
        for attempt in 0..SUBMIT_ATTEMPTS {
            pause(submission, attempt).await;
            if let Some(accepted) = self.try_write(submission, &mut progress).await? {
                return Ok(accepted);
            }
        }
        Err(progress.give_up())
    }

    /// Writes once on top of the newest release; `None` if another try may succeed.
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
            Written::Done(release) => return Ok(Some(self.answer_written(release).await)),
            Written::NotNow(error) => progress.last_error = Some(error),
            Written::Perhaps(error) => progress.lose(next.version(), error),
        }
        Ok(None)
    }

    /// The release that the submission leads to on top of `head`.
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
        let surplus = recent.len().saturating_sub(accepted::RECENT_SUBMISSIONS);
        recent.drain(..surplus);
        Ok(accepted::AcceptedRelease {
            submitter: submission.submitter.to_owned(),
            note: submission.note.text.clone(),
            changes: apply::diff(base, &release),
            recent,
            release,
        })
    }

    async fn write(&self, next: &Arc<accepted::AcceptedRelease>) -> errors::Result<Written> {
        let key = accepted::key(next.version());
        let value = next.encode()?.into();
        let put = self.store.put(&key, value, store::Condition::Absent, None);
        let Err(error) = put.await else {
            return Ok(Written::Done(Arc::clone(next)));
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
            Written::Perhaps(error)
        } else {
            Written::NotNow(error)
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
        // The note is accepted, whether or not what it changed can still be read.
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

/// Waits before another try, longer from try to try.
async fn pause(submission: &Submission<'_>, attempt: u32) {
    if attempt == 0 {
        return;
    }
    let mut random = kernel::random::from_seed(submission.digest ^ u64::from(attempt));
    let longest_ms = RETRY_INTERVAL_MS << attempt;
    let wait_ms = random.random_range(longest_ms / 2..=longest_ms);
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
