//! Shares of the teams under contention, from the release in force.
//!
//! The limits of quotas are not divided among groups yet: a group knows no
//! limits, only weights.

use indexmap::IndexMap;
use kernel::ids;

use super::{GroupOwner, state};

/// The weight of a team without a quota.
const DEFAULT_WEIGHT: u32 = 1;

/// What of the release a group's teams and dispatchers follow.
#[derive(Debug, Default)]
pub(super) struct FollowedQuotas {
    version: ids::ReleaseVersion,
    weights: IndexMap<ids::TeamId, u32>,
    /// Dispatchers that know the weights; later ones do not yet.
    dispatchers: usize,
}

impl GroupOwner {
    /// Gives the weights of the release in force to placement and to all dispatchers.
    pub(super) fn follow_quotas(&self, state: &mut state::GroupState) {
        let releases = &self.shared.releases;
        let mut followed = self.quotas();
        let dispatchers = state.dispatchers.len();
        let is_current = followed.version >= releases.version();
        if is_current && followed.dispatchers == dispatchers {
            return;
        }
        if !is_current {
            let release = releases.current();
            followed.version = release.version;
            // Teams whose quota was withdrawn stay in the table, with the weight of all others.
            for weight in followed.weights.values_mut() {
                *weight = DEFAULT_WEIGHT;
            }
            for quota in release.quotas.values() {
                let team = quota.team.clone();
                followed.weights.insert(team, quota.weight);
            }
        }
        followed.dispatchers = dispatchers;
        for (team, weight) in &followed.weights {
            state.placement.set_quota(team, None, *weight);
            for dispatcher in state.dispatchers.values_mut() {
                dispatcher.set_weight(team, *weight);
            }
        }
    }
}
