//! Rate limit of the store calls of a host, shared by all its shards.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time;

/// A token bucket of store calls; clones share one bucket.
///
/// Tokens are granted in the order of the calls to [`acquire`](Self::acquire).
/// A cancelled `acquire` does not return its token.
#[derive(Clone, Debug)]
pub struct StoreBudget {
    bucket: Arc<Mutex<Bucket>>,
    calls: Arc<AtomicU64>,
}

#[derive(Debug)]
struct Bucket {
    interval: Duration,
    burst: Duration,
    /// Earliest time of the next call once the burst is exhausted.
    next: Option<time::Instant>,
}

impl StoreBudget {
    /// Creates a budget of `calls_per_s` with bursts of up to `burst` calls.
    pub fn new(calls_per_s: u32, burst: u32) -> Self {
        let interval = Duration::from_secs(1) / calls_per_s.max(1);
        Self {
            bucket: Arc::new(Mutex::new(Bucket {
                interval,
                burst: interval * burst.saturating_sub(1),
                next: None,
            })),
            calls: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Takes a token, waiting until one is available.
    pub async fn acquire(&self) {
        let turn = self.reserve();
        time::sleep_until(turn).await;
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of tokens granted so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    fn reserve(&self) -> time::Instant {
        let now = time::Instant::now();
        let mut bucket = self.bucket.lock().unwrap_or_else(PoisonError::into_inner);
        let earliest = now.checked_sub(bucket.burst).unwrap_or(now);
        let next = bucket.next.map_or(earliest, |next| next.max(earliest));
        bucket.next = Some(next + bucket.interval);
        next.max(now)
    }
}
