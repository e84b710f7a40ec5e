//! A share of a host's request rate for each team.
//!
//! A team within its share is always let in. What teams leave unused goes to
//! whoever asks, so an idle team costs nothing.

use indexmap::IndexMap;
use kernel::errors;
use kernel::ids;

/// Bounds of [`TeamRates`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamRatesConfig {
    /// Requests a second of all teams together.
    pub requests_per_s: f64,
    /// How much of a rate can be saved up, in seconds of it.
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
    at_ms: u64,
}

impl Bucket {
    fn refill(&mut self, tokens_per_s: f64, limit: f64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.tokens = (self.tokens + tokens_per_s * elapsed_ms / 1_000.0).min(limit);
        self.at_ms = self.at_ms.max(now_ms);
    }
}

/// Lets requests in by team.
#[derive(Clone, Debug)]
pub struct TeamRates {
    config: TeamRatesConfig,
    teams: IndexMap<ids::TeamId, Bucket>,
    /// Teams without a weight share one bucket, so that names cost no memory.
    others: Bucket,
    total: Bucket,
}

impl TeamRates {
    /// Makes rates with full buckets and no team known.
    pub fn new(config: TeamRatesConfig) -> Self {
        let full = Bucket {
            weight: 1.0,
            tokens: config.requests_per_s * config.burst_s,
            at_ms: 0,
        };
        Self {
            config,
            teams: IndexMap::new(),
            others: Bucket {
                tokens: 0.0,
                ..full
            },
            total: full,
        }
    }

    /// Sets the weights of all teams; teams that are left out lose theirs.
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

    /// Lets a request in or refuses it.
    ///
    /// # Errors
    ///
    /// [`errors::ErrorKind::QuotaExceeded`] if the team has used its share and no other
    /// team has left any over.
    pub fn admit(&mut self, team: &ids::TeamId, now_ms: u64) -> errors::Result<()> {
        let rate = self.config.requests_per_s;
        let burst_s = self.config.burst_s;
        let weights: f64 = self.teams.values().map(|bucket| bucket.weight).sum();
        self.total.refill(rate, rate * burst_s, now_ms);
        let others_weight = self.others.weight;
        let bucket = self.teams.get_mut(team).unwrap_or(&mut self.others);
        let share = rate * bucket.weight / (weights + others_weight);
        bucket.refill(share, (share * burst_s).max(1.0), now_ms);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
        } else if self.total.tokens < 1.0 {
            let detail = format!("team {team} has used its share of requests");
            return Err(errors::Error::new(errors::ErrorKind::QuotaExceeded, detail));
        }
        // Into debt if need be: a share that is due counts before what is left over.
        self.total.tokens -= 1.0;
        Ok(())
    }
}
