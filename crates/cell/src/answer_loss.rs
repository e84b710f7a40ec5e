//! Observes whether answers of workers get lost although the workers are up.
//!
//! A worker that does not answer once and answers the next call has lost an answer, or the network
//! has. A worker that stays silent is down or cut off, which says nothing about other calls. While
//! answers get lost, shorter calls notice each loss sooner.

/// Number of lost answers after which losses are expected.
const MIN_LOST_ANSWERS: u32 = 2;
/// Time for which losses are expected after the last one, in milliseconds. Losses further apart
/// count as single events.
const EXPECTATION_MS: u64 = 3_000;

/// Recently lost answers of all workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerLoss {
    /// Lost answers, none more than [`EXPECTATION_MS`] after the previous one.
    count: u32,
    /// Time of the last one, in milliseconds of the local clock.
    last_ms: u64,
}

impl AnswerLoss {
    /// Records that a worker answered a call after it had left the previous one unanswered.
    pub fn record(&mut self, now_ms: u64) {
        if now_ms >= self.last_ms + EXPECTATION_MS {
            self.count = 0;
        }
        self.count += 1;
        self.last_ms = now_ms;
    }

    /// Whether further losses are to be expected.
    pub fn is_expected(&self, now_ms: u64) -> bool {
        self.count >= MIN_LOST_ANSWERS && now_ms < self.last_ms + EXPECTATION_MS
    }
}
