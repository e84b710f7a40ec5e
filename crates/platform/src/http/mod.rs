//! Platform plug-in `http`: client over HTTP/1.1.
//!
//! The address is `IP:PORT` of the store and the worker list, optionally followed
//! by `?zone=NAME` with the caller's zone. Requests and replies are JSON (see
//! [`messages`]), in which store values are base64-encoded. Calls to upstreams
//! carry the caller's body unchanged, with the attempt in headers.
//!
//! The client distinguishes two kinds of failure. If the connection could not be
//! established, the request was not sent. After any other failure (a broken
//! connection, a timeout, a truncated body, or a body without length or chunked
//! encoding) it is unknown whether the request took effect.

mod connection;
pub mod messages;
mod store;
mod upstreams;
mod workers;

use std::sync::Arc;

use futures::FutureExt;
use kernel::errors;
use kernel::plugin;

use crate::Platform;
use crate::PlatformPlugin;

/// Header with the attempt ID, which the response echoes.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header with the epoch of the group owner that allocated the slot.
pub const EPOCH_HEADER: &str = "x-epoch";
/// Header with the time left until the caller's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the idempotency key of a non-idempotent request.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the W3C trace context.
pub const TRACE_HEADER: &str = "traceparent";
/// Header with the task of the called instance, as `WORK/INDEX`.
pub const TASK_HEADER: &str = "x-task";
/// Header with the attempt of the called instance.
pub const RUN_HEADER: &str = "x-task-attempt";
/// Header with which an upstream rejects a request without running it.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Value of [`NOT_RUN_HEADER`] when the upstream is shutting down.
pub const NOT_RUN_LEAVING: &str = "leaving";
/// Value of [`NOT_RUN_HEADER`] for every other reason.
pub const NOT_RUN_REFUSED: &str = "refused";
/// Header with the caller's availability zone.
pub const ZONE_HEADER: &str = "x-zone";

const DESCRIPTOR: plugin::Descriptor = plugin::Descriptor {
    extension: plugin::Extension::Platform,
    name: "http",
    summary: "HTTP/1.1 with JSON, at IP:PORT or IP:PORT?zone=NAME",
};

inventory::submit! { DESCRIPTOR }
inventory::submit! {
    PlatformPlugin {
        descriptor: DESCRIPTOR,
        connect: |address| {
            let platform = connect(address);
            async move { platform }.boxed()
        },
    }
}

/// Creates clients for the platform at an address; connections are opened on first use.
///
/// # Errors
///
/// [`errors::ErrorKind::Usage`] if the address is not `IP:PORT` with an optional zone.
pub fn connect(address: &str) -> errors::Result<Platform> {
    let (base, zone) = split_address(address)?;
    let connection = Arc::new(connection::Connection::new(zone));
    Ok(Platform {
        store: Arc::new(store::HttpStore::new(connection.clone(), base)),
        workers: Arc::new(workers::HttpWorkers::new(connection.clone(), base)),
        upstreams: Arc::new(upstreams::HttpUpstreams::new(connection)),
    })
}

fn split_address(address: &str) -> errors::Result<(&str, Option<&str>)> {
    let (base, query) = match address.split_once('?') {
        Some((base, query)) => (base, Some(query)),
        None => (address, None),
    };
    let zone = query.map(|query| query.strip_prefix("zone="));
    let base_is_valid = base.parse::<std::net::SocketAddr>().is_ok();
    match (base_is_valid, zone) {
        (true, None) => Ok((base, None)),
        (true, Some(Some(zone))) if is_header_text(zone) => Ok((base, Some(zone))),
        _ => Err(errors::Error::new(
            errors::ErrorKind::Usage,
            format!("{address:?} is not IP:PORT or IP:PORT?zone=NAME"),
        )),
    }
}

fn is_header_text(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_graphic())
}
