//! Store calls with a rate limit and a timeout.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use kernel::random;
use platform::store::{Condition, Entry, Revision, Store, StoreError};
use rand::RngExt;
use tokio::time;

use super::config::Config;

/// A store whose calls take tokens from the host's budget and time out.
///
/// Clones share the random generator of the retry jitter.
#[derive(Clone, Debug)]
pub(super) struct PacedStore {
    store: Arc<dyn Store>,
    config: Config,
    random: Arc<Mutex<random::Random>>,
}

impl PacedStore {
    pub fn new(store: Arc<dyn Store>, config: &Config, seed: u64) -> Self {
        Self {
            store,
            config: config.clone(),
            random: Arc::new(Mutex::new(random::from_seed(seed))),
        }
    }

    pub async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.config.budget.acquire().await;
        self.bounded(self.store.get(key)).await
    }

    pub async fn range(&self, prefix: &str, after: &str) -> Result<Vec<Entry>, StoreError> {
        self.config.budget.acquire().await;
        let limit = self.config.range_limit;
        self.bounded(self.store.range(prefix, after, limit)).await
    }

    pub async fn put(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> Result<Revision, StoreError> {
        self.config.budget.acquire().await;
        self.put_unpaced(key, value, condition).await
    }

    /// Writes for a caller that already holds a token of the budget.
    pub async fn put_unpaced(
        &self,
        key: &str,
        value: Bytes,
        condition: Condition,
    ) -> Result<Revision, StoreError> {
        let call = self.store.put(key, value, condition, None);
        self.bounded(call).await
    }

    pub async fn delete(&self, key: &str) -> Result<Revision, StoreError> {
        self.config.budget.acquire().await;
        self.bounded(self.store.delete(key, Condition::Any)).await
    }

    /// Waits before a failed call is retried, with exponential backoff and jitter.
    pub async fn back_off(&self, failures: u32) {
        let longest = self.config.retry_min_ms << failures.min(16);
        let longest = longest.min(self.config.retry_max_ms).max(2);
        let pause_ms = {
            let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
            random.random_range(longest / 2..=longest)
        };
        time::sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Applies the call timeout; a call that timed out may still take effect later.
    async fn bounded<T>(
        &self,
        call: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let limit = Duration::from_millis(self.config.call_timeout_ms);
        let late = |_| {
            Err(StoreError::AnswerLost {
                detail: format!("no answer within {} ms", self.config.call_timeout_ms),
            })
        };
        time::timeout(limit, call).await.unwrap_or_else(late)
    }
}
