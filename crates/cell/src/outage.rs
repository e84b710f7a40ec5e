//! What a host makes of a store that stops answering, and what it tells callers meanwhile.
//!
//! A job is accepted by a write to the store. A write that gets no answer leaves its job in doubt, which is the
//! worst that can happen to a caller: it can neither be told that the job runs nor that it does
//! not. So nothing is written to a store that seems to be away, and callers are told when to come
//! back: all of them keep their last chance for the moment at which the store may be there again.

use indexmap::IndexMap;

/// A call counts as overdue after this many times the usual time of an answer.
const OVERDUE_FACTOR: u64 = 4;
/// The least time after which a call counts as overdue, in milliseconds: covers the pauses of a host whose
/// processor is a small share of a core.
const LEAST_OVERDUE_MS: u64 = 150;
/// Failures in a row after which the store is away, if they span [`AWAY_AFTER_MS`].
const AWAY_FAILURES: u32 = 2;
/// The least time without an answer after which the store is away, in milliseconds.
const AWAY_AFTER_MS: u64 = 250;
/// Callers are asked to come back after this time, in milliseconds: the shortest that the header
/// that tells them can say.
const COME_BACK_MS: u64 = 1_000;
/// What a caller that came back still needs to be served, in milliseconds.
const SERVING_MS: u64 = 350;

/// How the store seems to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It answers.
    Serving,
    /// An answer is overdue, or a call has failed.
    Stalled,
    /// It is known not to answer.
    Away,
}

/// Names a call until it has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallNumber(u64);

/// What a host's calls to the store tell of it.
#[derive(Debug, Default)]
pub struct StoreHealth {
    next_call: u64,
    /// When each call that is under way began, in milliseconds.
    under_way: IndexMap<CallNumber, u64>,
    /// How long an answer takes as a rule, in milliseconds.
    usual_ms: u64,
    /// How long the fastest answer took, in milliseconds.
    fastest_ms: Option<u64>,
    failures_in_a_row: u32,
    /// When the first of them was seen, in milliseconds.
    failing_since_ms: u64,
    answered_ms: u64,
}

impl StoreHealth {
    /// A call was sent.
    pub fn began(&mut self, now_ms: u64) -> CallNumber {
        self.next_call += 1;
        let call = CallNumber(self.next_call);
        self.under_way.insert(call, now_ms);
        call
    }

    /// A call was answered.
    pub fn answered(&mut self, call: CallNumber, now_ms: u64) {
        if let Some(began_ms) = self.under_way.swap_remove(&call) {
            let took_ms = now_ms.saturating_sub(began_ms);
            self.usual_ms = (self.usual_ms * 3 + took_ms).div_ceil(4);
            self.fastest_ms = Some(self.fastest_ms.map_or(took_ms, |ms| ms.min(took_ms)));
        }
        self.serves(now_ms);
    }

    /// The store has shown that it serves, by whatever means.
    pub fn serves(&mut self, now_ms: u64) {
        self.failures_in_a_row = 0;
        self.answered_ms = now_ms;
    }

    /// The store has shown that it does not serve.
    pub fn fails(&mut self, now_ms: u64) {
        if self.failures_in_a_row == 0 {
            self.failing_since_ms = now_ms;
        }
        self.failures_in_a_row += 1;
    }

    /// A call was given up by its caller, which says nothing of the store.
    pub fn dropped(&mut self, call: CallNumber) {
        self.under_way.swap_remove(&call);
    }

    /// How the store seems to be.
    pub fn health(&self, now_ms: u64) -> Health {
        let failing_ms = now_ms.saturating_sub(self.failing_since_ms);
        if self.failures_in_a_row >= AWAY_FAILURES && failing_ms >= AWAY_AFTER_MS {
            return Health::Away;
        }
        let overdue_ms = (self.usual_ms * OVERDUE_FACTOR).max(LEAST_OVERDUE_MS);
        // An answer since then shows that the store serves, and that this call alone is late.
        let oldest = self
            .under_way
            .values()
            .map(|began_ms| (*began_ms).max(self.answered_ms));
        let overdue = oldest
            .min()
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) >= overdue_ms);
        if self.failures_in_a_row > 0 || overdue {
            Health::Stalled
        } else {
            Health::Serving
        }
    }

    /// Failures since the last answer.
    pub fn failures_in_a_row(&self) -> u32 {
        self.failures_in_a_row
    }

    /// When the first of them was seen, in milliseconds.
    pub fn failing_since_ms(&self) -> u64 {
        self.failing_since_ms
    }

    /// When the store answered last, in milliseconds.
    pub fn answered_ms(&self) -> u64 {
        self.answered_ms
    }

    /// How long an answer takes as a rule, in milliseconds.
    pub fn usual_ms(&self) -> u64 {
        self.usual_ms
    }

    /// How long the fastest answer took, in milliseconds.
    pub fn fastest_ms(&self) -> Option<u64> {
        self.fastest_ms
    }
}

/// What becomes of a request that cannot be served now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turn {
    /// It waits: the trouble may be over at once, or this is its caller's last chance.
    Wait,
    /// Its caller is told at once to come back after this time, in milliseconds.
    ComeBack {
        /// When.
        after_ms: u64,
    },
}

/// What becomes of a request whose caller waits for `left_ms` more, while nothing of it was done.
pub fn turn(health: Health, left_ms: u64) -> Turn {
    let can_come_back = left_ms >= COME_BACK_MS + SERVING_MS;
    if left_ms == 0 || (health == Health::Away && can_come_back) {
        Turn::ComeBack {
            after_ms: COME_BACK_MS,
        }
    } else {
        Turn::Wait
    }
}
