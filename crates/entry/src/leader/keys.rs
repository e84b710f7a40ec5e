//! The second check of the keys of submissions, against the leader's configuration, which may be newer
//! than that of the host which took the job.

use cell::{credentials::KeyClaim, ids::JobId};
use kernel::log_event;

use super::{Leader, Submission};
use crate::{
    events,
    key_checks::{Denial, OUTDATED_RETRY_AFTER_MS},
    peers::SubmitReply,
};

impl Leader {
    fn review(&self, queue: &str, claim: Option<&KeyClaim>) -> Result<(), Denial> {
        let Some(claim) = claim else {
            return Ok(());
        };
        self.context.key_checks.review(queue, claim)?;
        // A tenant that only the host knows yet would start its tasks without a limit.
        let coordinator = self.coordinator.borrow();
        let config = coordinator.config();
        let is_new =
            config.version < claim.config_version && config.tenant(&claim.tenant).is_none();
        if is_new {
            Err(Denial::Outdated)
        } else {
            Ok(())
        }
    }

    /// Returns the refusal of a job that is not accepted yet; `None` if it needs no key or its key is
    /// valid.
    pub(super) fn refuse_key(
        &self,
        id: JobId,
        queue: &str,
        claim: Option<&KeyClaim>,
    ) -> Option<SubmitReply> {
        let denial = self.review(queue, claim).err()?;
        log_event!(
            events::KEY_REVOKED,
            "job={id} queue={queue} tenant={} denial={denial:?} config={} host_config={}",
            claim.map_or("", |claim| &claim.tenant),
            self.context.operator_config.version(),
            claim.map_or(0, |claim| claim.config_version)
        );
        let retry_after_ms = match denial {
            Denial::Unauthorised | Denial::OtherTenant => 0,
            Denial::Outdated => OUTDATED_RETRY_AFTER_MS,
        };
        Some(SubmitReply {
            accepted: false,
            retry_after_ms,
            unauthorised: denial == Denial::Unauthorised,
            ..SubmitReply::default()
        })
    }

    /// Drops jobs that wait to be committed and whose key was revoked meanwhile. Nothing was written
    /// for them, so that each is answered by [`Leader::refuse_key`].
    pub(super) fn drop_revoked(&self, waiting: &mut Vec<Submission>) {
        let is_revoked = |waiting: &mut Submission| {
            let queue = &waiting.record.queue;
            self.review(queue, waiting.claim.as_ref()).is_err()
        };
        for submission in waiting.extract_if(.., is_revoked) {
            // If the receiver is gone, the host has timed out and checks the key itself.
            let _receiver_dropped = submission.accepted.send(false);
        }
    }
}
