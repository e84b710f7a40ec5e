//! Weighted sharing of a host's request rate between teams.
//!
//! Requests within a team's share are always admitted. Unused capacity is available
//! to every team, so an idle team does not lower the rate of the host.

use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;

/// Configuration of [`TeamRates`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamRatesConfig {
    /// Requests per second of all teams together.
    pub requests_per_s: f64,
    /// Capacity of a token bucket, in seconds of its rate.
    pub burst_s: f64,
}

impl Default for TeamRatesConfig {
    fn default() -> Self {
        Self {
            requests_per_s: 5_000.0,
            burst_s: 0.5,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    weight: f64,
    tokens: f64,
    refilled_at_ms: u64,
}

impl Bucket {
    fn refill(&mut self, tokens_per_s: f64, limit: f64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_at_ms) as f64;
        self.tokens = (self.tokens + tokens_per_s * elapsed_ms / 1_000.0).min(limit);
        self.refilled_at_ms = self.refilled_at_ms.max(now_ms);
    }
}

/// Token buckets that admit requests by team.
#[derive(Clone, Debug)]
pub struct TeamRates {
    config: TeamRatesConfig,
    teams: IndexMap<ids::TeamId, Bucket>,
    /// Shared by all teams without a weight, so that arbitrary team names use no memory.
    default_bucket: Bucket,
    total: Bucket,
}

impl TeamRates {
    /// Creates the limiter with a full total bucket and no team weights.
    pub fn new(config: TeamRatesConfig) -> Self {
        let full = Bucket {
            weight: 1.0,
            tokens: config.requests_per_s * config.burst_s,
            refilled_at_ms: 0,
        };
        Self {
            config,
            teams: IndexMap::new(),
            default_bucket: Bucket {
                tokens: 0.0,
                ..full
            },
            total: full,
        }
    }

    /// Replaces the weights of all teams; a team that is not listed loses its weight.
    pub fn set_weights<'a>(&mut self, weights: impl IntoIterator<Item = (&'a ids::TeamId, u32)>) {
        let mut teams = IndexMap::new();
        for (team, weight) in weights {
            let mut bucket = self.teams.get(team).copied().unwrap_or(Bucket {
                tokens: 0.0,
                ..self.total
            });
            bucket.weight = f64::from(weight.max(1));
            teams.insert(team.clone(), bucket);
        }
        self.teams = teams;
    }

    /// Admits or refuses a request.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::QuotaExceeded`] if the team has used up its share and no
    /// unused capacity is left.
    pub fn admit(&mut self, team: &ids::TeamId, now_ms: u64) -> errors::Result<()> {
        let rate = self.config.requests_per_s;
        let burst_s = self.config.burst_s;
        let weights: f64 = self.teams.values().map(|bucket| bucket.weight).sum();
        self.total.refill(rate, rate * burst_s, now_ms);
        let default_weight = self.default_bucket.weight;
        let bucket = self.teams.get_mut(team).unwrap_or(&mut self.default_bucket);
        let share = rate * bucket.weight / (weights + default_weight);
        bucket.refill(share, (share * burst_s).max(1.0), now_ms);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
        } else if self.total.tokens < 1.0 {
            let detail = format!("team {team} exceeded its share of the request rate");
            return Err(errors::Error::new(errors::ErrorKind::QuotaExceeded, detail));
        }
        // May go negative: requests within a share take precedence over unused capacity.
        self.total.tokens -= 1.0;
        Ok(())
    }
}
