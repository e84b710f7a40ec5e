//! A minion: a running service task that answers calls.

use bytes::Bytes;
use indexmap::IndexMap;
use kernel::ids;
use platform::upstreams::{Inquiry, UpstreamAnswer};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Why a minion did not begin a call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallRefusal {
    /// No such instance runs here.
    #[snafu(display("the instance does not run on this worker"))]
    NoInstance,
    /// The instance takes no new calls.
    #[snafu(display("the instance is leaving"))]
    Leaving,
    /// All connections of the instance are in use.
    #[snafu(display("all connections of the instance are in use"))]
    NoConnection,
    /// The worker has seen a higher epoch.
    #[snafu(display("the worker has seen epoch {seen}"))]
    StaleEpoch {
        /// The epoch that the worker has seen.
        seen: ids::Epoch,
    },
    /// An inquiry about this key was answered with "never seen".
    #[snafu(display("the request's key was inquired about and is refused since"))]
    KeyRefused,
}

/// What a minion's answer says about itself and the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The service.
    pub service: String,
    /// The instance, as `WORK/INDEX@ATTEMPT`.
    pub instance: String,
    /// The attempt of the call.
    pub attempt_id: u64,
    /// Digest of the request's body.
    pub digest: u64,
}

/// The answer that a minion will give.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MinionAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: Bytes,
    /// Whether the body's length is announced.
    pub sized: bool,
    /// How long the minion works on the call.
    pub work_ms: u64,
}

/// A call that a minion has begun; its end must be reported to the model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenCall {
    /// Where the instance runs.
    pub worker: ids::WorkerId,
    /// The instance.
    pub run: ids::TaskAttempt,
    /// The attempt of the call.
    pub attempt_id: u64,
    /// The key of a non-idempotent request.
    pub key: Option<ids::IdempotencyKey>,
    /// What the minion will answer.
    pub answer: MinionAnswer,
}

#[derive(Clone, Debug)]
enum KeyState {
    Running,
    Ran(UpstreamAnswer),
    Refused,
}

/// The calls and the idempotency memory of one instance.
#[derive(Clone, Debug, Default)]
pub(super) struct Minion {
    pub(super) open_calls: u32,
    keys: IndexMap<ids::IdempotencyKey, KeyState>,
}

impl Minion {
    /// Begins a call if a connection is free and its key was not refused.
    pub(super) fn begin(
        &mut self,
        connections: u32,
        key: Option<&ids::IdempotencyKey>,
    ) -> Result<(), CallRefusal> {
        if self.open_calls >= connections {
            return Err(CallRefusal::NoConnection);
        }
        if let Some(key) = key {
            if matches!(self.keys.get(key), Some(KeyState::Refused)) {
                return Err(CallRefusal::KeyRefused);
            }
            // A second call under a key runs again: whoever sends it breaks the promise.
            self.keys.insert(key.clone(), KeyState::Running);
        }
        self.open_calls += 1;
        Ok(())
    }

    /// Ends a call and remembers its answer under its key.
    pub(super) fn finish(&mut self, call: &OpenCall) {
        self.open_calls = self.open_calls.saturating_sub(1);
        let Some(key) = &call.key else {
            return;
        };
        let answer = UpstreamAnswer {
            attempt_id: call.attempt_id,
            status: call.answer.status,
            body: call.answer.body.clone(),
        };
        self.keys.insert(key.clone(), KeyState::Ran(answer));
    }

    /// Tells what became of a key; one that was never seen is refused from now on.
    pub(super) fn inquire(&mut self, key: &ids::IdempotencyKey) -> Inquiry {
        match self.keys.get(key) {
            Some(KeyState::Running) => Inquiry::Running,
            Some(KeyState::Ran(answer)) => Inquiry::Ran(answer.clone()),
            Some(KeyState::Refused) => Inquiry::NeverSeen,
            None => {
                self.keys.insert(key.clone(), KeyState::Refused);
                Inquiry::NeverSeen
            }
        }
    }
}
