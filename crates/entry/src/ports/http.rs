//! Serves HTTP connections, and reads bodies, within the limits of a port.

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Body, body::Incoming, server::conn::http1, service};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time,
};

use super::{Guard, Metered, Port};
use crate::client_limits::{Phase, Reason};

/// Delay after a failed accept: the process is out of descriptors, or the client has disconnected.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The smallest buffer that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Space for the request line beside the headers, in bytes.
const REQUEST_LINE_BYTES: usize = 4 << 10;
/// Maximum number of headers; they are limited in bytes as well.
const MAX_HEADERS: usize = 256;
/// First size of a body's buffer, in bytes.
const FIRST_BODY_BYTES: usize = 1 << 10;

/// Serves connections until `stop` becomes true; each then closes after its current request.
pub async fn serve<H, A>(
    listener: TcpListener,
    port: Rc<Port>,
    handler: H,
    mut stop: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>, Rc<Guard>) -> A + Clone + 'static,
    A: Future<Output = Response<Full<Bytes>>> + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        let Ok((stream, _)) = accepted else {
            time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        port.place_ready().await;
        let Some(guard) = port.accept() else {
            // Lets the connections that were told to close end.
            tokio::task::yield_now().await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let header_bytes = port.limits().header_bytes;
        let serving = serve_connection(
            stream,
            Rc::new(guard),
            header_bytes,
            handler.clone(),
            stop.clone(),
        );
        tokio::task::spawn_local(serving);
    }
}

async fn serve_connection<H, A>(
    stream: TcpStream,
    guard: Rc<Guard>,
    header_bytes: usize,
    handler: H,
    mut stop: watch::Receiver<bool>,
) where
    H: Fn(Request<Incoming>, Rc<Guard>) -> A,
    A: Future<Output = Response<Full<Bytes>>>,
{
    let served = Rc::clone(&guard);
    // Boxed, so that a connection without request does not hold the memory of the largest handler.
    let service = service::service_fn(move |request| {
        served.enter(Phase::Handling);
        let answer = handler(request, Rc::clone(&served));
        let served = Rc::clone(&served);
        Box::pin(async move {
            let answer = answer.await;
            served.enter(Phase::Idle);
            Ok::<_, Infallible>(answer)
        })
    });
    let metered = Metered::new(stream, Rc::clone(&guard));
    let connection = http1::Builder::new()
        .max_buf_size((header_bytes + REQUEST_LINE_BYTES).max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS)
        // The port's own limits apply to slow heads and idle connections.
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(metered), service);
    tokio::pin!(connection);
    tokio::select! {
        // Connection errors are the client's concern.
        _ = connection.as_mut() => {}
        () = guard.cut() => {}
        _ = stop.wait_for(|stop| *stop) => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                _ = connection => {}
                () = guard.cut() => {}
            }
        }
    }
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than the operators allow.
    TooLarge,
    /// It is malformed, or the client has disconnected.
    Broken,
    /// It exceeds a limit of the port. Nothing has been done with it.
    Refused(Reason),
}

/// Reads a body of at most `max_bytes`.
///
/// It is copied into one buffer, since the HTTP library keeps memory for each chunk. The buffer
/// grows with what arrived, not with what the client announced. Memory for handling the body is to be
/// reserved by the caller.
///
/// # Errors
///
/// [`BodyError`] if there is no complete body within the limits.
pub async fn read_body(
    guard: &Guard,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Vec<u8>, BodyError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    guard.enter(Phase::Body);
    let mut received = Vec::new();
    loop {
        let frame = tokio::select! {
            biased;
            reason = guard.refused() => return Err(BodyError::Refused(reason)),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else {
            break;
        };
        let Ok(data) = frame.map_err(|_| BodyError::Broken)?.into_data() else {
            continue;
        };
        let length = received.len() + data.len();
        if length > max_bytes {
            return Err(BodyError::TooLarge);
        }
        guard.progress(data.len());
        if length > received.capacity() {
            let doubled = (2 * received.capacity()).clamp(FIRST_BODY_BYTES, max_bytes.max(1));
            reserve(guard, doubled.max(length))?;
            received.reserve_exact(doubled.max(length) - received.len());
        }
        received.extend_from_slice(&data);
    }
    guard.enter(Phase::Handling);
    Ok(received)
}

fn reserve(guard: &Guard, bytes: usize) -> Result<(), BodyError> {
    if guard.reserve(bytes) {
        return Ok(());
    }
    guard.port.report(Reason::Memory);
    Err(BodyError::Refused(Reason::Memory))
}
