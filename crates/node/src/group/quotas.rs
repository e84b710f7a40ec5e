//! Weights of the teams under contention, from the release in force.
//!
//! Quota limits are not divided among groups yet, so a group applies only the weights.

use indexmap::IndexMap;
use kernel::ids;

use super::{GroupOwner, state};

/// The weight of a team without a quota.
const DEFAULT_TEAM_WEIGHT: u32 = 1;

/// The weights that were last applied to placement and the dispatchers.
#[derive(Debug, Default)]
pub(super) struct AppliedQuotas {
    version: ids::ReleaseVersion,
    weights: IndexMap<ids::TeamId, u32>,
    /// Number of dispatchers that have the weights; dispatchers created later do not.
    dispatchers: usize,
}

impl GroupOwner {
    /// Applies the weights of the release in force to placement and to all dispatchers.
    pub(super) fn apply_quotas(&self, state: &mut state::GroupState) {
        let releases = &self.shared.releases;
        let mut applied = self.quotas();
        let dispatchers = state.dispatchers.len();
        let is_current = applied.version >= releases.version();
        if is_current && applied.dispatchers == dispatchers {
            return;
        }
        if !is_current {
            let release = releases.current();
            applied.version = release.version;
            // Teams whose quota was withdrawn are reset to the default weight.
            for weight in applied.weights.values_mut() {
                *weight = DEFAULT_TEAM_WEIGHT;
            }
            for quota in release.quotas.values() {
                let team = quota.team.clone();
                applied.weights.insert(team, quota.weight);
            }
        }
        applied.dispatchers = dispatchers;
        for (team, weight) in &applied.weights {
            state.placement.set_quota(team, None, *weight);
            for dispatcher in state.dispatchers.values_mut() {
                dispatcher.set_weight(team, *weight);
            }
        }
    }
}
