//! The platform over HTTP/1.1, as the plug-in `http`.
//!
//! The address is `IP:PORT` of the store and the list, optionally followed by
//! `?zone=NAME` with the caller's zone. Requests and replies are JSON (see
//! [`messages`]); values of the store travel as base64. Calls to upstreams carry
//! the caller's body as it is, with the attempt in headers.
//!
//! The client tells two failures apart. A request whose connection could not
//! be made was not sent. Whatever else goes wrong leaves it unknown whether
//! the request took effect: a broken connection, a timeout, a body that is
//! shorter than announced, or a body whose end is not marked.

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

/// Header with the attempt's number, repeated by the answer.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header with the epoch of the owner that allotted the slot.
pub const EPOCH_HEADER: &str = "x-epoch";
/// Header with the time left until the caller's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the key of a non-idempotent request.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the W3C trace context.
pub const TRACE_HEADER: &str = "traceparent";
/// Header with the task of the called instance, as `WORK/INDEX`.
pub const TASK_HEADER: &str = "x-task";
/// Header with the attempt of the called instance.
pub const RUN_HEADER: &str = "x-task-attempt";
/// Header by which an upstream says that it did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Value of [`NOT_RUN_HEADER`] of an upstream that is leaving.
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

/// Makes connections to the platform at an address; opens them when they are needed.
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
