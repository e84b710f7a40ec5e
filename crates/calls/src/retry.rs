//! Decides whether a failed attempt is repeated.
//!
//! Three conditions hold for every retry: the request is known not to have run or
//! is idempotent; the retry budget, a share of the first attempts, is not used up;
//! and the caller's deadline leaves time for it. Hedging, a second attempt beside
//! one that is still open, is not done.

use derive_more::Display;
use kernel::errors;
use kernel::random;
use rand::RngExt;

/// Bounds of a [`RetryPolicy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries per first attempt, as a share.
    pub budget_share: f64,
    /// Most retries that can be saved up in quiet times.
    pub budget_burst: f64,
    /// Most attempts of one request, the first included.
    pub max_attempts: u32,
    /// Upper end of the wait before the second attempt; doubles with each attempt.
    pub backoff_ms: u64,
    /// Longest wait before an attempt.
    pub backoff_limit_ms: u64,
    /// Time that must be left for an attempt after the wait.
    pub attempt_reserve_ms: u64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            budget_share: 0.1,
            budget_burst: 10.0,
            max_attempts: 3,
            backoff_ms: 20,
            backoff_limit_ms: 500,
            attempt_reserve_ms: 20,
        }
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRequest {
    /// Why the attempt failed.
    pub kind: errors::ErrorKind,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Attempts made so far, the failed one included.
    pub attempts: u32,
    /// Time left until the caller's deadline.
    pub time_left_ms: u64,
}

/// Whether and when to make another attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RetryDecision {
    /// Make another attempt after the wait.
    #[display("retry after {after_ms} ms")]
    RetryAfter {
        /// How long to wait.
        after_ms: u64,
    },
    /// Another attempt would end the same way, or might run the request twice.
    #[display("not retryable")]
    NotRetryable,
    /// The request has had all its attempts.
    #[display("attempts used up")]
    AttemptsUsedUp,
    /// The deadline leaves no time.
    #[display("no time left")]
    NoTimeLeft,
    /// Retries are too large a share of the load.
    #[display("retry budget used up")]
    BudgetUsedUp,
}

/// Decides on retries for one entry host.
#[derive(Debug)]
pub struct RetryPolicy {
    config: RetryConfig,
    random: random::Random,
    tokens: f64,
}

impl RetryPolicy {
    /// Makes a policy whose budget is full.
    pub fn new(config: RetryConfig, seed: u64) -> Self {
        Self {
            config,
            random: random::from_seed(seed),
            tokens: config.budget_burst,
        }
    }

    /// Counts a request's first attempt, which earns a share of a retry.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.config.budget_share).min(self.config.budget_burst);
    }

    /// Decides on another attempt, and takes it from the budget.
    pub fn decide(&mut self, request: &RetryRequest) -> RetryDecision {
        if !may_repeat(request.kind, request.idempotent) {
            return RetryDecision::NotRetryable;
        }
        if request.attempts >= self.config.max_attempts {
            return RetryDecision::AttemptsUsedUp;
        }
        let after_ms = self.backoff_ms(request.attempts);
        if after_ms + self.config.attempt_reserve_ms > request.time_left_ms {
            return RetryDecision::NoTimeLeft;
        }
        if self.tokens < 1.0 {
            return RetryDecision::BudgetUsedUp;
        }
        self.tokens -= 1.0;
        RetryDecision::RetryAfter { after_ms }
    }

    /// Draws a wait between half and all of an upper end that doubles.
    fn backoff_ms(&mut self, attempts: u32) -> u64 {
        let doublings = attempts.saturating_sub(1).min(16);
        let upper_ms = self.config.backoff_ms << doublings;
        let upper_ms = upper_ms.min(self.config.backoff_limit_ms).max(1);
        self.random.random_range(upper_ms / 2..=upper_ms)
    }
}

/// Whether a request that failed so may run again without harm, and with hope.
///
/// A kind that says "not run" and "retryable" may always be repeated. A lost answer
/// may be repeated only if running twice does no harm. A deadline that has passed
/// leaves nobody to answer, and a bug is not repeated.
fn may_repeat(kind: errors::ErrorKind, idempotent: bool) -> bool {
    let answer = kind.answer();
    match answer.outcome {
        errors::Outcome::NotRun => {
            answer.retryable && kind != errors::ErrorKind::DeadlineBeforeStart
        }
        errors::Outcome::Unknown => idempotent && kind == errors::ErrorKind::AnswerLost,
        errors::Outcome::Done => false,
    }
}
