//! Calls between hosts: length-delimited frames, with many concurrent calls per connection.

mod messages;

use std::{
    cell::{Cell, RefCell},
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures::{
    FutureExt, SinkExt, StreamExt,
    future::{LocalBoxFuture, Shared},
};
use indexmap::IndexMap;
pub use messages::*;
use prost::Message;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream, tcp},
    sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot},
    time,
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::{
    client_limits::Phase,
    ports::{Guard, Metered, Port},
};

/// Maximum frame size, in bytes: a job with the largest payload and many steps fits well.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// Connect timeout: several round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum frames queued for writing per connection: the starts of a burst and the lists of the
/// workers that one host relays calls to.
const MAX_QUEUED_FRAMES: usize = 2_048;
/// Initial buffer per connection and direction, in bytes.
const INITIAL_BUFFER_BYTES: usize = 2 << 10;

/// Memory of a call that is answered, in bytes: its task and its answer.
const CALL_BYTES: usize = 4 << 10;
/// Frames of more than this may decode to many times their size, in bytes.
const LARGE_FRAME_BYTES: usize = 8 << 10;
/// Memory of the call in a large frame relative to the frame: the shortest step of a job has 4 bytes
/// there, and 160 once it is decoded.
const DECODED_FACTOR: usize = 40;
/// Calls that each connection may have answered at once, whatever the others have.
const OWN_CALLS: usize = 8;
/// Largest buffer that a connection keeps between frames, in bytes.
const MAX_KEPT_BUFFER_BYTES: usize = 64 << 10;

/// Why a call to a host has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// The call was not sent, so that it had no effect.
    NotSent,
    /// The call was sent and may have taken effect.
    Unanswered,
}

type PendingCalls = Rc<RefCell<IndexMap<u64, oneshot::Sender<Body>>>>;

/// An open connection to a host.
#[derive(Clone, Debug)]
struct Connection {
    frames: mpsc::Sender<Bytes>,
    pending_calls: PendingCalls,
    /// The read side has ended: no further answers arrive.
    closed: Rc<Cell<bool>>,
}

impl Connection {
    fn is_usable(&self) -> bool {
        !self.closed.get() && !self.frames.is_closed()
    }
}

/// A connection attempt, shared by all calls to the host.
type PendingConnection = Shared<LocalBoxFuture<'static, Option<Connection>>>;

/// Connections to the other hosts, opened on demand.
#[derive(Debug, Default)]
pub struct Peers {
    connections: RefCell<IndexMap<SocketAddr, Connection>>,
    pending: RefCell<IndexMap<SocketAddr, PendingConnection>>,
    next_call: Cell<u64>,
}

impl Peers {
    /// Sends a call and waits for its answer.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if the call was not sent or not answered in time. The connection of an
    /// unanswered call is discarded, since it may no longer deliver data.
    pub async fn call(
        &self,
        address: SocketAddr,
        body: Body,
        timeout: Duration,
    ) -> Result<Body, PeerError> {
        let connection = self.connection(address).await?;
        let call = self.next_call.get() + 1;
        self.next_call.set(call);
        let (sender, answer) = oneshot::channel();
        connection.pending_calls.borrow_mut().insert(call, sender);
        let frame = Bytes::from(
            Envelope {
                call,
                body: Some(body),
            }
            .encode_to_vec(),
        );
        if connection.frames.try_send(frame).is_err() {
            connection.pending_calls.borrow_mut().swap_remove(&call);
            self.discard(address, &connection);
            return Err(PeerError::NotSent);
        }
        match time::timeout(timeout, answer).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) => Err(PeerError::Unanswered),
            Err(_) => {
                connection.pending_calls.borrow_mut().swap_remove(&call);
                self.discard(address, &connection);
                Err(PeerError::Unanswered)
            }
        }
    }

    /// Closes the connection to a host; calls pending on it fail immediately.
    pub fn close(&self, address: SocketAddr) {
        if let Some(connection) = self.connections.borrow_mut().swap_remove(&address) {
            connection.pending_calls.borrow_mut().clear();
        }
    }

    fn discard(&self, address: SocketAddr, connection: &Connection) {
        let mut connections = self.connections.borrow_mut();
        if connections
            .get(&address)
            .is_some_and(|known| known.frames.same_channel(&connection.frames))
        {
            connections.swap_remove(&address);
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, PeerError> {
        if let Some(connection) = self.connections.borrow().get(&address)
            && connection.is_usable()
        {
            return Ok(connection.clone());
        }
        let pending = self
            .pending
            .borrow_mut()
            .entry(address)
            .or_insert_with(|| open(address).boxed_local().shared())
            .clone();
        let opened = pending.clone().await;
        let mut all = self.pending.borrow_mut();
        if all
            .get(&address)
            .is_some_and(|known| known.ptr_eq(&pending))
        {
            all.swap_remove(&address);
            if let Some(connection) = &opened {
                self.connections
                    .borrow_mut()
                    .insert(address, connection.clone());
            }
        }
        opened.ok_or(PeerError::NotSent)
    }
}

/// Whether the host refuses connections at an address: it is up, but no process listens.
pub async fn refuses_connections(address: SocketAddr) -> bool {
    let connect = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connect, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

async fn open(address: SocketAddr) -> Option<Connection> {
    let connect = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connect.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let (read, write) = stream.into_split();
    let (frames, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
    let pending_calls = PendingCalls::default();
    tokio::task::spawn_local(write_frames(write, queue));
    let closed = Rc::<Cell<bool>>::default();
    let answers = read_answers(read, Rc::clone(&pending_calls), Rc::clone(&closed));
    tokio::task::spawn_local(answers);
    Some(Connection {
        frames,
        pending_calls,
        closed,
    })
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

async fn write_frames<W: AsyncWrite + Unpin>(write: W, mut queue: mpsc::Receiver<Bytes>) {
    let mut framed = FramedWrite::new(write, codec());
    while let Some(frame) = queue.recv().await {
        if framed.feed(frame).await.is_err() {
            return;
        }
        while let Ok(frame) = queue.try_recv() {
            if framed.feed(frame).await.is_err() {
                return;
            }
        }
        if SinkExt::<Bytes>::flush(&mut framed).await.is_err() {
            return;
        }
    }
}

async fn read_answers(
    read: tcp::OwnedReadHalf,
    pending_calls: PendingCalls,
    closed: Rc<Cell<bool>>,
) {
    let mut framed = FramedRead::with_capacity(read, codec(), INITIAL_BUFFER_BYTES);
    while let Some((call, body)) = next_message(&mut framed).await {
        if let Some(sender) = pending_calls.borrow_mut().swap_remove(&call) {
            // The receiver is gone if the call has timed out.
            drop(sender.send(body));
        }
    }
    // Fails the pending calls; no new ones are made on a closed connection.
    closed.set(true);
    pending_calls.borrow_mut().clear();
}

/// Identifier and body of the next message; `None` at the end of the connection or on a malformed
/// frame.
async fn next_message<R: AsyncRead + Unpin>(
    framed: &mut FramedRead<R, LengthDelimitedCodec>,
) -> Option<(u64, Body)> {
    decode(framed.next().await?.ok()?)
}

/// Identifier and body of a message; `None` if it is malformed.
fn decode(frame: BytesMut) -> Option<(u64, Body)> {
    let envelope = Envelope::decode(frame).ok()?;
    Some((envelope.call, envelope.body?))
}

/// Serves calls from other hosts; `answer` runs for each call, many concurrently.
pub async fn serve<F, A>(listener: TcpListener, port: Rc<Port>, answer: F)
where
    F: Fn(Body) -> A + Clone + 'static,
    A: Future<Output = Body> + 'static,
{
    // A coordinator has some calls open for each worker that this host relays to.
    let max_calls = port.limits().memory_bytes / CALL_BYTES;
    let memory = CallMemory {
        calls: Arc::new(Semaphore::new(max_calls)),
        large_calls: Arc::new(Semaphore::new(max_calls)),
        max_calls,
    };
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        port.place_ready().await;
        let Some(guard) = port.accept() else {
            // Lets the connections that were told to close end.
            tokio::task::yield_now().await;
            continue;
        };
        if stream.set_nodelay(true).is_ok() {
            let (guard, memory) = (Rc::new(guard), memory.clone());
            tokio::task::spawn_local(serve_connection(stream, guard, memory, answer.clone()));
        }
    }
}

/// Memory of the calls that are answered, in units of [`CALL_BYTES`].
#[derive(Clone, Debug)]
struct CallMemory {
    /// Of ordinary calls.
    calls: Arc<Semaphore>,
    /// Of calls in large frames, apart from the others, so that they wait for each other only.
    large_calls: Arc<Semaphore>,
    max_calls: usize,
}

impl CallMemory {
    /// Waits for the memory of the call in a large frame; `None` for a small one.
    async fn reserve_large(&self, frame_bytes: usize) -> Option<OwnedSemaphorePermit> {
        if frame_bytes <= LARGE_FRAME_BYTES {
            return None;
        }
        let units = (frame_bytes * DECODED_FACTOR / CALL_BYTES).min(self.max_calls);
        let permits = Arc::clone(&self.large_calls).acquire_many_owned(units as u32);
        permits.await.ok()
    }
}

async fn serve_connection<F, A>(stream: TcpStream, guard: Rc<Guard>, memory: CallMemory, answer: F)
where
    F: Fn(Body) -> A + Clone + 'static,
    A: Future<Output = Body> + 'static,
{
    let (read, write) = stream.into_split();
    let (frames, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
    // The writer keeps the connection's place until its answers are written.
    let metered = Metered::new(write, Rc::clone(&guard));
    let writer = tokio::task::spawn_local(write_frames(metered, queue));
    let metered = Metered::new(read, Rc::clone(&guard));
    let framed = FramedRead::with_capacity(metered, codec(), INITIAL_BUFFER_BYTES);
    tokio::select! {
        () = read_calls(framed, &guard, memory, answer, &frames) => {}
        // Writing has failed.
        () = frames.closed() => {}
        () = guard.cut() => writer.abort(),
    }
}

async fn read_calls<F, A>(
    mut framed: FramedRead<Metered<tcp::OwnedReadHalf>, LengthDelimitedCodec>,
    guard: &Guard,
    memory: CallMemory,
    answer: F,
    frames: &mpsc::Sender<Bytes>,
) where
    F: Fn(Body) -> A + Clone + 'static,
    A: Future<Output = Body> + 'static,
{
    let own_calls = Arc::new(Semaphore::new(OWN_CALLS));
    while let Some(Ok(frame)) = framed.next().await {
        guard.enter(Phase::Idle);
        let large = memory.reserve_large(frame.len()).await;
        let Some((call, body)) = decode(frame) else {
            return;
        };
        if framed.read_buffer().capacity() > MAX_KEPT_BUFFER_BYTES {
            let rest = BytesMut::from(&framed.read_buffer()[..]);
            *framed.read_buffer_mut() = rest;
        }
        let permit = match Arc::clone(&own_calls).try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => match Arc::clone(&memory.calls).acquire_owned().await {
                Ok(permit) => permit,
                Err(_) => return,
            },
        };
        let (answer, frames) = (answer.clone(), frames.clone());
        tokio::task::spawn_local(async move {
            let body = Some(answer(body).await);
            let frame = Bytes::from(Envelope { call, body }.encode_to_vec());
            // If the caller has disconnected, it repeats the call elsewhere.
            drop(frames.send(frame).await);
            drop((permit, large));
        });
    }
}
