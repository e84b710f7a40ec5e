//! Shared test helpers: orders, calls and a platform served on loopback.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hickorychute_standin as standin;
use kernel::{ids, work};
use platform::upstreams::UpstreamCall;
use platform::workers::{StartOrder, SyncRequest};
use tokio::net;

/// Duration of the task lease in all tests.
pub const LEASE_MS: u64 = 10_000;

/// A run of the first task of a work item.
pub fn run(work: &str, attempt: u32) -> ids::TaskAttempt {
    ids::TaskAttempt {
        task: ids::TaskId::new(&ids::WorkId::new(work), 0),
        attempt: ids::Attempt(attempt),
    }
}

/// An order to start a service replica with eight slots and 64 connections.
pub fn service(work: &str, attempt: u32) -> StartOrder {
    StartOrder {
        run: run(work, attempt),
        shard: None,
        team: ids::TeamId::new("team"),
        urgency: work::Urgency::Normal,
        kind: work::WorkKind::Service,
        demand: work::Resources::new(1_000, 1_024, 0),
        run_time_ms: None,
        slots: 8,
        connections: 64,
        revision: ids::ReleaseVersion::default(),
    }
}

/// An order to start a batch task with the given run time.
pub fn batch(work: &str, attempt: u32, run_time_ms: u64) -> StartOrder {
    StartOrder {
        kind: work::WorkKind::BatchRun,
        run_time_ms: Some(run_time_ms),
        slots: 0,
        connections: 0,
        ..service(work, attempt)
    }
}

/// The first exchange of an epoch, with the given start orders.
pub fn starts(epoch: u64, starts: Vec<StartOrder>) -> SyncRequest {
    SyncRequest {
        epoch: ids::Epoch(epoch),
        sequence: 1,
        lease_ms: LEASE_MS,
        starts,
        ..SyncRequest::default()
    }
}

/// The same exchange with the next sequence number.
pub fn next(request: &SyncRequest) -> SyncRequest {
    SyncRequest {
        sequence: request.sequence + 1,
        ..request.clone()
    }
}

/// A call in epoch 1 without an idempotency key.
pub fn call(attempt_id: u64, path: &str, body: &[u8]) -> UpstreamCall {
    UpstreamCall {
        attempt_id,
        epoch: ids::Epoch(1),
        path: path.to_owned(),
        body: Bytes::copy_from_slice(body),
        key: None,
        deadline_ms: 5_000,
        traceparent: String::new(),
    }
}

/// A platform served on a free port of the loopback interface.
#[derive(Debug)]
pub struct Served {
    pub address: SocketAddr,
    pub platform: standin::MemoryPlatform,
    pub history: standin::RecentHistory,
}

impl Served {
    /// Serves Huber's preset until the test's runtime shuts down.
    pub async fn start() -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut config = standin::Config::preset(standin::Firm::Huber);
        config.address = address.to_string();
        let history = standin::RecentHistory::new(1_000);
        let platform = standin::MemoryPlatform::new(&config, 1, Arc::new(history.clone()));
        let state = standin::server::State::new(platform.clone(), history.clone());
        tokio::spawn(axum::serve(listener, standin::server::router(state)).into_future());
        Self {
            address,
            platform,
            history,
        }
    }

    /// Connects to the platform through the `http` plug-in.
    pub async fn connect(&self, zone: &str) -> platform::Platform {
        let plugin = platform::find("http").unwrap();
        let address = format!("{}?zone={zone}", self.address);
        (plugin.connect)(&address).await.unwrap()
    }
}
