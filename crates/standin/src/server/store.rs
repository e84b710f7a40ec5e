//! HTTP handlers of the store.

use std::sync::Arc;

use axum::Json;
use axum::extract;
use axum::response::Response;
use http::HeaderMap;
use platform::http::messages;
use platform::store::Store;

use super::{State, reply};

type Shared = extract::State<Arc<State>>;

pub(super) async fn get(
    extract::State(state): Shared,
    headers: HeaderMap,
    Json(message): Json<messages::Get>,
) -> Response {
    let store = state.platform.store(&state.zone(&headers));
    let entry = store.get(&message.key).await;
    reply::store(entry.map(|entry| entry.map(messages::EntryMessage::from)))
}

pub(super) async fn put(
    extract::State(state): Shared,
    headers: HeaderMap,
    Json(message): Json<messages::Put>,
) -> Response {
    let store = state.platform.store(&state.zone(&headers));
    let value = message.value.0;
    let put = store.put(&message.key, value, message.condition, message.lease);
    reply::store(put.await)
}

pub(super) async fn delete(
    extract::State(state): Shared,
    headers: HeaderMap,
    Json(message): Json<messages::Delete>,
) -> Response {
    let store = state.platform.store(&state.zone(&headers));
    reply::store(store.delete(&message.key, message.condition).await)
}

pub(super) async fn range(
    extract::State(state): Shared,
    headers: HeaderMap,
    Json(message): Json<messages::Range>,
) -> Response {
    let store = state.platform.store(&state.zone(&headers));
    let range = store.range(&message.prefix, &message.after, message.limit);
    let entries = range.await;
    reply::store(entries.map(|entries| {
        let messages = entries.into_iter().map(messages::EntryMessage::from);
        messages.collect::<Vec<_>>()
    }))
}

pub(super) async fn watch(
    extract::State(state): Shared,
    headers: HeaderMap,
    Json(message): Json<messages::Watch>,
) -> Response {
    let store = state.platform.store(&state.zone(&headers));
    let watch = store.watch(&message.prefix, message.after, message.wait_ms);
    let watched = watch.await;
    reply::store(watched.map(|reply| {
        messages::WatchMessage {
            revision: reply.revision,
            changes: reply
                .changes
                .into_iter()
                .map(messages::ChangeMessage::from)
                .collect(),
            compacted: reply.compacted,
        }
    }))
}

pub(super) async fn grant(
    extract::State(state): Shared,
    headers: HeaderMap,
    Json(message): Json<messages::Grant>,
) -> Response {
    let store = state.platform.store(&state.zone(&headers));
    reply::store(store.grant_lease(message.ttl_ms).await)
}

pub(super) async fn keep_alive(
    extract::State(state): Shared,
    headers: HeaderMap,
    Json(message): Json<messages::Lease>,
) -> Response {
    let store = state.platform.store(&state.zone(&headers));
    reply::store(store.keep_alive(message.lease).await)
}

pub(super) async fn revoke(
    extract::State(state): Shared,
    headers: HeaderMap,
    Json(message): Json<messages::Lease>,
) -> Response {
    let store = state.platform.store(&state.zone(&headers));
    reply::store(store.revoke_lease(message.lease).await)
}
