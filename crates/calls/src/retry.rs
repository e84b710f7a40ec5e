//! Retry policy for failed attempts.
//!
//! A request is retried only if it is known not to have run or is idempotent, if the
//! retry budget of its team, a share of the team's first attempts, is not exhausted, and
//! if enough time remains until the caller's deadline. There is no hedging: a request
//! never has two attempts open at once.

use derive_more::Display;
use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;
use kernel::random;
use rand::RngExt;

/// Number of team budgets kept; above it all are reset. Bounds the memory, since team names
/// are chosen by callers.
const MAX_TEAM_BUDGETS: usize = 256;

/// Configuration of a [`RetryPolicy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Ratio of retries to first attempts.
    pub budget_ratio: f64,
    /// Capacity of the budget of the host, in retries.
    pub host_burst: f64,
    /// Capacity of the budget of one team, in retries.
    pub team_burst: f64,
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// Maximum backoff before the second attempt; doubles with each further attempt.
    pub initial_backoff_ms: u64,
    /// Upper bound of the backoff before any attempt.
    pub max_backoff_ms: u64,
    /// Time that must remain for an attempt after the backoff.
    pub attempt_reserve_ms: u64,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            budget_ratio: 0.1,
            host_burst: 20.0,
            team_burst: 2.0,
            max_attempts: 3,
            initial_backoff_ms: 20,
            max_backoff_ms: 500,
            attempt_reserve_ms: 20,
        }
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRequest<'a> {
    /// The team to whose budget the retry is charged.
    pub team: &'a ids::TeamId,
    /// Error kind of the failed attempt.
    pub kind: errors::ErrorKind,
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Number of attempts so far, including the failed one.
    pub attempts: u32,
    /// Remaining time until the caller's deadline.
    pub time_left_ms: u64,
}

/// Decision on another attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RetryDecision {
    /// Make another attempt after a backoff.
    #[display("retry after {after_ms} ms")]
    RetryAfter {
        /// The backoff.
        after_ms: u64,
    },
    /// Another attempt would fail in the same way or could run the request twice.
    #[display("not retryable")]
    NotRetryable,
    /// The request has reached the maximum number of attempts.
    #[display("attempts used up")]
    AttemptsUsedUp,
    /// Too little time remains until the deadline.
    #[display("no time left")]
    NoTimeLeft,
    /// The retry budget of the team or of the host is exhausted.
    #[display("retry budget used up")]
    BudgetUsedUp,
}

/// Token bucket of retries, filled by first attempts.
#[derive(Clone, Copy, Debug)]
struct Budget {
    tokens: f64,
}

impl Budget {
    fn deposit(&mut self, ratio: f64, burst: f64) {
        self.tokens = (self.tokens + ratio).min(burst);
    }

    fn is_exhausted(self) -> bool {
        self.tokens < 1.0
    }
}

/// Retry policy of one entry host.
///
/// Each team has its own budget, so that the refused calls of a flooding team do not
/// exhaust the retries of other teams. A budget of the host bounds the total.
#[derive(Debug)]
pub struct RetryPolicy {
    config: RetryConfig,
    random: random::Random,
    host_budget: Budget,
    team_budgets: IndexMap<ids::TeamId, Budget>,
}

impl RetryPolicy {
    /// Creates a policy with full budgets.
    pub fn new(config: RetryConfig, seed: u64) -> Self {
        Self {
            config,
            random: random::from_seed(seed),
            host_budget: Budget {
                tokens: config.host_burst,
            },
            team_budgets: IndexMap::new(),
        }
    }

    /// Records the first attempt of a request, which adds a fraction of a retry to the budgets.
    pub fn record_request(&mut self, team: &ids::TeamId) {
        let ratio = self.config.budget_ratio;
        self.host_budget.deposit(ratio, self.config.host_burst);
        let burst = self.config.team_burst;
        self.team_budget(team).deposit(ratio, burst);
    }

    /// Decides on another attempt and charges it to the budgets.
    pub fn decide(&mut self, request: &RetryRequest<'_>) -> RetryDecision {
        if !is_retryable(request.kind, request.idempotent) {
            return RetryDecision::NotRetryable;
        }
        if request.attempts >= self.config.max_attempts {
            return RetryDecision::AttemptsUsedUp;
        }
        let after_ms = self.backoff_ms(request.attempts);
        if after_ms + self.config.attempt_reserve_ms > request.time_left_ms {
            return RetryDecision::NoTimeLeft;
        }
        if self.host_budget.is_exhausted() || self.team_budget(request.team).is_exhausted() {
            return RetryDecision::BudgetUsedUp;
        }
        self.host_budget.tokens -= 1.0;
        self.team_budget(request.team).tokens -= 1.0;
        RetryDecision::RetryAfter { after_ms }
    }

    fn team_budget(&mut self, team: &ids::TeamId) -> &mut Budget {
        if !self.team_budgets.contains_key(team) {
            if self.team_budgets.len() >= MAX_TEAM_BUDGETS {
                self.team_budgets.clear();
            }
            let tokens = self.config.team_burst;
            self.team_budgets.insert(team.clone(), Budget { tokens });
        }
        &mut self.team_budgets[team]
    }

    /// Draws a backoff between half and all of an exponentially increasing maximum.
    fn backoff_ms(&mut self, attempts: u32) -> u64 {
        let doublings = attempts.saturating_sub(1).min(16);
        let max_ms = self.config.initial_backoff_ms << doublings;
        let max_ms = max_ms.min(self.config.max_backoff_ms).max(1);
        self.random.random_range(max_ms / 2..=max_ms)
    }
}

/// Whether a request that failed with this error kind can be retried safely and usefully.
///
/// Kinds that are "not run" and "retryable" can be retried, except after the deadline,
/// when the caller no longer waits. A request whose answer was lost is retried only if it
/// is idempotent. Other failures, such as internal errors, are not retried.
fn is_retryable(kind: errors::ErrorKind, idempotent: bool) -> bool {
    let answer = kind.answer();
    match answer.outcome {
        errors::Outcome::NotRun => {
            answer.retryable && kind != errors::ErrorKind::DeadlineBeforeStart
        }
        errors::Outcome::Unknown => idempotent && kind == errors::ErrorKind::AnswerLost,
        errors::Outcome::Done => false,
    }
}
