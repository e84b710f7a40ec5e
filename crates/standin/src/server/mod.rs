//! Serves the in-memory platform over HTTP, with admin endpoints for faults and history.
//!
//! A lost answer is sent as a reply with a truncated body, which a client cannot
//! distinguish from a broken connection.

mod admin;
mod agents;
mod reply;
mod store;

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::routing;
use http::HeaderMap;
use kernel::ids;
use platform::http::ZONE_HEADER;
use platform::upstreams::BODY_LIMIT_BYTES;

use crate::memory;
use crate::recent;

/// Maximum request size: the largest upstream body plus 1 MiB, which also fits a base64 value.
const MAX_REQUEST_BYTES: usize = BODY_LIMIT_BYTES + 1024 * 1024;

/// State shared by all handlers.
#[derive(Clone, Debug)]
pub struct State {
    platform: memory::MemoryPlatform,
    history: recent::RecentHistory,
}

impl State {
    /// Creates the state for a platform whose sink is `history`.
    pub const fn new(platform: memory::MemoryPlatform, history: recent::RecentHistory) -> Self {
        Self { platform, history }
    }

    /// The zone given in the request headers; the store's zone if absent.
    fn zone(&self, headers: &HeaderMap) -> ids::ZoneId {
        let named = headers.get(ZONE_HEADER).and_then(|zone| zone.to_str().ok());
        let default = || self.platform.network().store_zone().clone();
        named.map_or_else(default, ids::ZoneId::new)
    }
}

/// Builds the router with all platform and admin routes.
pub fn router(state: State) -> Router {
    Router::new()
        .route("/ready", routing::get(async || "ready\n"))
        .route("/store/get", routing::post(store::get))
        .route("/store/put", routing::post(store::put))
        .route("/store/delete", routing::post(store::delete))
        .route("/store/range", routing::post(store::range))
        .route("/store/watch", routing::post(store::watch))
        .route("/store/grant", routing::post(store::grant))
        .route("/store/keep-alive", routing::post(store::keep_alive))
        .route("/store/revoke", routing::post(store::revoke))
        .route("/list", routing::post(agents::list))
        .route("/workers/{id}/sync", routing::post(agents::sync))
        .route("/workers/{id}/inquire", routing::post(agents::inquire))
        .route("/workers/{id}/call/{*path}", routing::post(agents::call))
        .route("/workers/{id}/call/", routing::post(agents::call_root))
        .route("/admin/faults", routing::post(admin::faults))
        .route("/admin/workers/{id}/{action}", routing::post(admin::worker))
        .route("/admin/history", routing::get(admin::history))
        .route("/admin/counters", routing::get(admin::counters))
        .layer(DefaultBodyLimit::max(MAX_REQUEST_BYTES))
        .with_state(Arc::new(state))
}
