//! Tenants of a cell: their keys and limits in each version of the configuration, and the calls that
//! clients made with their keys.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use platform_standin::{Platform, run_log, store::Store};
use serde_json::{Value, json};

/// Number of tenants.
pub const TENANTS: usize = 3;
/// Time after which a revoked key must be refused on every host.
pub const REVOKE_MS: u64 = 5_000;
/// Time within which a configuration is in force on a host that can reach the store.
pub const APPLY_MS: u64 = 4_000;
/// Tolerance above a tenant's limit, in percent.
pub const BURST_PERCENT: u64 = 10;
/// CPU of each task, in thousandths of a core.
const TASK_MILLICORES: u64 = 1_000;
/// Jobs a second that each tenant's share allows.
const JOBS_PER_S: u64 = 2;
/// Limit of each tenant at first.
const FIRST_LIMIT: u64 = 8;

/// Settings of the hosts of a cell with tenants.
pub fn settings() -> String {
    format!(
        "bounds.strict_revoke=true\nbounds.revoke_ms={REVOKE_MS}\nbounds.config_apply_ms={APPLY_MS}\n\
         bounds.quota_burst=0.1\n"
    )
}

/// Tenant of a job.
pub fn tenant_of(job: u64) -> usize {
    (job % TENANTS as u64) as usize
}

/// A tenant in one version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Its keys, oldest first.
    pub keys: Vec<String>,
    /// Number of tasks that it may run at once.
    pub limit: u64,
}

/// A version of the configuration.
#[derive(Clone, Debug)]
pub struct Version {
    /// When its write began, on the machine's clock.
    pub sent_ms: u64,
    /// When its write was acknowledged.
    pub acknowledged_ms: u64,
    /// Its tenants.
    pub tenants: Vec<Tenant>,
}

/// A call with a tenant's key.
#[derive(Clone, Debug)]
pub struct KeyedCall {
    /// When it was sent, on the machine's clock.
    pub sent_ms: u64,
    /// When it was answered, or given up.
    pub answered_ms: u64,
    /// Index of the host.
    pub host: usize,
    /// Method and job.
    pub call: String,
    /// The tenant.
    pub tenant: usize,
    /// The key.
    pub key: String,
    /// Status of the answer; 0 if there was none.
    pub status: u16,
}

/// A change of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Gives a tenant another key.
    AddKey {
        tenant: usize,
    },
    /// Removes a tenant's oldest key.
    RevokeOldest {
        tenant: usize,
    },
    /// Removes all keys of a tenant.
    RevokeAll {
        tenant: usize,
    },
    /// Gives a tenant another key, and removes all others.
    ReplaceAll {
        tenant: usize,
    },
    SetLimit {
        tenant: usize,
        tasks: u64,
    },
    /// Writes versions that change nothing in quick succession.
    Burst {
        versions: usize,
    },
}

#[derive(Debug, Default)]
struct State {
    versions: Vec<Version>,
    calls: Vec<KeyedCall>,
    /// All keys that a tenant has had, oldest first.
    all_keys: Vec<Vec<String>>,
}

/// The tenants of a cell.
#[derive(Debug)]
pub struct Tenants {
    store: Arc<Store>,
    state: Mutex<State>,
}

impl Tenants {
    /// Writes the first version, in which each tenant has a key.
    pub fn start(store: Arc<Store>) -> Self {
        let keys = |tenant| vec![format!("key-{tenant}-0")];
        let state = State {
            all_keys: (0..TENANTS).map(keys).collect(),
            ..State::default()
        };
        let tenants = Self {
            store,
            state: Mutex::new(state),
        };
        let first = |tenant| Tenant {
            keys: keys(tenant),
            limit: FIRST_LIMIT,
        };
        tenants.write(&mut tenants.lock(), (0..TENANTS).map(first).collect());
        tenants
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, state: &mut State, tenants: Vec<Tenant>) {
        let version = state.versions.len() as u64 + 1;
        let mut config = Platform::config(version, &["batch"], false);
        let listed: Vec<Value> = tenants
            .iter()
            .enumerate()
            .map(|(number, tenant)| {
                json!({
                    "name": format!("t-{number}"), "api_keys": tenant.keys, "weight": JOBS_PER_S,
                    "max_count": {"cpu": tenant.limit * TASK_MILLICORES, "mem_mb": 0, "gpu": 0},
                })
            })
            .collect();
        config["tenants"] = json!(listed);
        let sent_ms = run_log::machine_ms();
        self.store.put("op/config", &config.to_string());
        state.versions.push(Version {
            sent_ms,
            acknowledged_ms: run_log::machine_ms(),
            tenants,
        });
    }

    /// Writes a version with a change.
    pub fn change(&self, change: Change) {
        let mut state = self.lock();
        let mut tenants = state.versions[state.versions.len() - 1].tenants.clone();
        let mut new_key = |tenant: usize| {
            let key = format!("key-{tenant}-{}", state.all_keys[tenant].len());
            state.all_keys[tenant].push(key.clone());
            key
        };
        match change {
            Change::AddKey { tenant } => tenants[tenant].keys.push(new_key(tenant)),
            Change::RevokeOldest { tenant } => {
                let keys = &mut tenants[tenant].keys;
                keys.drain(..keys.len().min(1));
            }
            Change::RevokeAll { tenant } => tenants[tenant].keys.clear(),
            Change::ReplaceAll { tenant } => tenants[tenant].keys = vec![new_key(tenant)],
            Change::SetLimit { tenant, tasks } => tenants[tenant].limit = tasks,
            Change::Burst { versions } => {
                for _ in 1..versions {
                    self.write(&mut state, tenants.clone());
                }
            }
        }
        self.write(&mut state, tenants);
    }

    /// Gives a key to each tenant that has none, and all of them their first limit, so that their jobs
    /// complete in time.
    pub fn settle(&self) {
        let tenants = self.versions().pop().map(|version| version.tenants);
        for (tenant, known) in tenants.into_iter().flatten().enumerate() {
            if known.keys.is_empty() {
                self.change(Change::AddKey { tenant });
            }
            let tasks = FIRST_LIMIT;
            self.change(Change::SetLimit { tenant, tasks });
        }
    }

    /// A key with which to call on behalf of a tenant: mostly a current one, at times one that it has
    /// or had, and that which it had last if it has none.
    pub fn key_for(&self, tenant: usize, choice: usize) -> String {
        let state = self.lock();
        let all = &state.all_keys[tenant];
        let current = &state.versions[state.versions.len() - 1].tenants[tenant].keys;
        let key = match current.last() {
            Some(_) if choice % 3 == 2 => &all[choice / 3 % all.len()],
            Some(key) => key,
            None => &all[all.len() - 1],
        };
        key.clone()
    }

    /// Keeps a call for the checker.
    pub fn record(&self, call: KeyedCall) {
        self.lock().calls.push(call);
    }

    /// The versions that were written.
    pub fn versions(&self) -> Vec<Version> {
        self.lock().versions.clone()
    }

    /// The calls that were made.
    pub fn calls(&self) -> Vec<KeyedCall> {
        self.lock().calls.clone()
    }
}
