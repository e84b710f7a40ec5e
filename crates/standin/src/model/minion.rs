//! A minion: a running service task that answers calls.

use bytes::Bytes;
use indexmap::IndexMap;
use kernel::ids;
use platform::upstreams::{Inquiry, UpstreamAnswer};
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Reason why a minion rejected a call.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallRefusal {
    /// The instance does not run on this worker.
    #[snafu(display("the instance does not run on this worker"))]
    NoInstance,
    /// The instance is draining and accepts no new calls.
    #[snafu(display("the instance is leaving"))]
    Leaving,
    /// All connections of the instance are in use.
    #[snafu(display("all connections of the instance are in use"))]
    NoConnection,
    /// The worker has seen a higher epoch.
    #[snafu(display("the worker has seen epoch {seen}"))]
    StaleEpoch {
        /// The highest epoch that the worker has seen.
        seen: ids::Epoch,
    },
    /// An inquiry about this key was answered with "never seen".
    #[snafu(display("the request's key is refused because an inquiry reported it as never seen"))]
    KeyRefused,
}

/// JSON body of a minion's answer, which identifies the instance and the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Name of the service.
    pub service: String,
    /// The instance, as `WORK/INDEX@ATTEMPT`.
    pub instance: String,
    /// Attempt id of the call.
    pub attempt_id: u64,
    /// Digest of the request's body.
    pub digest: u64,
}

/// The answer of a minion to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MinionAnswer {
    /// HTTP status.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
    /// Whether the body is sent with a content length rather than chunked.
    pub sized: bool,
    /// Processing time of the call, in milliseconds.
    pub work_ms: u64,
}

/// A call in progress on a minion; its end must be reported with
/// [`FleetModel::finish_call`](super::FleetModel::finish_call).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenCall {
    /// The worker that runs the instance.
    pub worker: ids::WorkerId,
    /// The instance.
    pub run: ids::TaskAttempt,
    /// Attempt id of the call.
    pub attempt_id: u64,
    /// The key of a non-idempotent request.
    pub key: Option<ids::IdempotencyKey>,
    /// The answer returned when the call ends.
    pub answer: MinionAnswer,
}

#[derive(Clone, Debug)]
enum KeyState {
    Running,
    Ran(UpstreamAnswer),
    Refused,
}

/// Open calls and idempotency keys of one instance.
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
            // A second call with the same key is executed again, so that a violation of the
            // at-most-once guarantee by the caller shows up in the history.
            self.keys.insert(key.clone(), KeyState::Running);
        }
        self.open_calls += 1;
        Ok(())
    }

    /// Ends a call and stores its answer under its idempotency key.
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

    /// Returns the state of a key; a key that was never seen is refused from now on.
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
