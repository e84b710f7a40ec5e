//! Decides whether a failed attempt is repeated.
//!
//! Three conditions hold for every retry: the request is known not to have run or
//! is idempotent; the retry budget of the team, a share of its first attempts, is not
//! used up; and the caller's deadline leaves time for it. Hedging, a second attempt beside
//! one that is still open, is not done.

use derive_more::Display;
use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;
use kernel::random;
use rand::RngExt;

/// Number of teams above which their budgets start anew, since callers give the names.
const KNOWN_TEAMS: usize = 256;

/// Bounds of a [`RetryPolicy`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries per first attempt, as a share.
    pub budget_share: f64,
    /// Most retries that all teams together can save up in quiet times.
    pub budget_burst: f64,
    /// Most retries that one team can save up.
    pub team_burst: f64,
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
            budget_burst: 20.0,
            team_burst: 2.0,
            max_attempts: 3,
            backoff_ms: 20,
            backoff_limit_ms: 500,
            attempt_reserve_ms: 20,
        }
    }
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryRequest<'a> {
    /// The team from whose budget the retry is taken.
    pub team: &'a ids::TeamId,
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

/// A budget of retries that requests earn.
#[derive(Clone, Copy, Debug)]
struct Budget {
    tokens: f64,
}

impl Budget {
    fn earn(&mut self, share: f64, burst: f64) {
        self.tokens = (self.tokens + share).min(burst);
    }

    fn is_used_up(self) -> bool {
        self.tokens < 1.0
    }
}

/// Decides on retries for one entry host.
///
/// Each team has a budget of its own, so that the refusals of a flooding team do not
/// use up the retries of the others. A budget of the host bounds all of them.
#[derive(Debug)]
pub struct RetryPolicy {
    config: RetryConfig,
    random: random::Random,
    budget: Budget,
    team_budgets: IndexMap<ids::TeamId, Budget>,
}

impl RetryPolicy {
    /// Makes a policy whose budgets are full.
    pub fn new(config: RetryConfig, seed: u64) -> Self {
        Self {
            config,
            random: random::from_seed(seed),
            budget: Budget {
                tokens: config.budget_burst,
            },
            team_budgets: IndexMap::new(),
        }
    }

    /// Counts a request's first attempt, which earns a share of a retry.
    pub fn record_request(&mut self, team: &ids::TeamId) {
        let share = self.config.budget_share;
        self.budget.earn(share, self.config.budget_burst);
        let burst = self.config.team_burst;
        self.team_budget(team).earn(share, burst);
    }

    /// Decides on another attempt, and takes it from the budget.
    pub fn decide(&mut self, request: &RetryRequest<'_>) -> RetryDecision {
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
        if self.budget.is_used_up() || self.team_budget(request.team).is_used_up() {
            return RetryDecision::BudgetUsedUp;
        }
        self.budget.tokens -= 1.0;
        self.team_budget(request.team).tokens -= 1.0;
        RetryDecision::RetryAfter { after_ms }
    }

    fn team_budget(&mut self, team: &ids::TeamId) -> &mut Budget {
        if !self.team_budgets.contains_key(team) {
            if self.team_budgets.len() >= KNOWN_TEAMS {
                self.team_budgets.clear();
            }
            let tokens = self.config.team_burst;
            self.team_budgets.insert(team.clone(), Budget { tokens });
        }
        &mut self.team_budgets[team]
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
