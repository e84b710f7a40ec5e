//! Messages between hosts: length-delimited frames, many calls at a time over one connection.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use cell::jobs::JobRecord;
use futures::{SinkExt, StreamExt};
use indexmap::IndexMap;
use prost::Message;
use tokio::{
    net::{TcpListener, TcpStream, tcp},
    sync::{mpsc, oneshot},
    time,
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// The longest frame, in bytes: a job with the longest text and many steps fits well.
const MAX_FRAME_BYTES: usize = 1 << 20;
/// A connection must stand within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Frames that wait to be written on one connection.
const QUEUED_FRAMES: usize = 256;
/// Initial buffer of a connection and direction, in bytes.
const BUFFER_BYTES: usize = 2 << 10;

/// A call or its answer.
#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    /// Pairs an answer with its call.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// What is asked or answered.
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7, 10, 11, 12, 13, 14, 15, 16")]
    pub body: Option<Body>,
}

/// What is asked or answered.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// Accept a job.
    #[prost(message, tag = "2")]
    Submit(JobRecord),
    /// Tell a job's state.
    #[prost(fixed64, tag = "3")]
    State(u64),
    /// Tell how many jobs wait in a queue.
    #[prost(string, tag = "4")]
    Pending(String),
    /// Cancel a job.
    #[prost(fixed64, tag = "5")]
    Cancel(u64),
    /// Ask the advice service.
    #[prost(message, tag = "6")]
    Advise(AdviseCall),
    /// Tell who coordinates.
    #[prost(bool, tag = "7")]
    WhoLeads(bool),
    /// The host does not coordinate, or cannot do what is asked now. Nothing was done.
    #[prost(bool, tag = "10")]
    NotHere(bool),
    /// What became of a job that was handed in.
    #[prost(message, tag = "11")]
    Submitted(Submitted),
    /// A job's state; absent for a job that the coordinator does not know.
    #[prost(message, tag = "12")]
    StateIs(StateIs),
    /// Jobs that wait.
    #[prost(uint64, tag = "13")]
    PendingIs(u64),
    /// A job's cancelling is durable; false for a job that the coordinator does not know.
    #[prost(bool, tag = "14")]
    Cancelled(bool),
    /// What the advice service answered.
    #[prost(message, tag = "15")]
    Advised(Advised),
    /// Where the coordinator takes messages; empty if the host does not know.
    #[prost(string, tag = "16")]
    LeadIs(String),
}

/// A question to the advice service.
#[derive(Clone, PartialEq, Message)]
pub struct AdviseCall {
    /// The job.
    #[prost(fixed64, tag = "1")]
    pub job: u64,
    /// The occurrence.
    #[prost(uint32, tag = "2")]
    pub occurrence: u32,
    /// The step.
    #[prost(uint32, tag = "3")]
    pub step: u32,
    /// Workers that are named.
    #[prost(string, repeated, tag = "4")]
    pub workers: Vec<String>,
    /// How long to wait for the answer, in milliseconds.
    #[prost(uint64, tag = "5")]
    pub timeout_ms: u64,
}

/// What the advice service answered.
#[derive(Clone, PartialEq, Message)]
pub struct Advised {
    /// It answered.
    #[prost(bool, tag = "1")]
    pub answered: bool,
    /// Workers that may run the step, as positions in the question.
    #[prost(uint32, repeated, tag = "2")]
    pub workers: Vec<u32>,
    /// The ticket for each of them.
    #[prost(string, repeated, tag = "3")]
    pub tickets: Vec<String>,
    /// How long the tickets can be used, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub valid_ms: u64,
}

/// What became of a job that was handed in.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Submitted {
    /// It is accepted and durable.
    #[prost(bool, tag = "1")]
    pub accepted: bool,
    /// It was not accepted; the caller may come back after this time, in milliseconds; 0 if no
    /// worker could ever run it.
    #[prost(uint64, tag = "2")]
    pub retry_after_ms: u64,
}

/// A job's state.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct StateIs {
    /// The coordinator knows the job.
    #[prost(bool, tag = "1")]
    pub known: bool,
    /// The state, as [`encode_state`] gives it.
    #[prost(uint32, tag = "2")]
    pub state: u32,
}

/// Number of a state in a message.
pub fn encode_state(state: cell::jobs::JobState) -> u32 {
    use cell::jobs::JobState;
    match state {
        JobState::Queued => 0,
        JobState::Running => 1,
        JobState::Completed => 2,
        JobState::Failed => 3,
        JobState::Cancelled => 4,
    }
}

/// The state with a number.
pub fn decode_state(number: u32) -> Option<cell::jobs::JobState> {
    use cell::jobs::JobState;
    Some(match number {
        0 => JobState::Queued,
        1 => JobState::Running,
        2 => JobState::Completed,
        3 => JobState::Failed,
        4 => JobState::Cancelled,
        _ => return None,
    })
}

/// Why a call to a host has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// It was not sent: nothing was done.
    NotSent,
    /// It was sent and may have been done.
    Unanswered,
}

type Waiting = Rc<RefCell<IndexMap<u64, oneshot::Sender<Body>>>>;

/// A connection to a host.
#[derive(Clone, Debug)]
struct Line {
    frames: mpsc::Sender<Bytes>,
    waiting: Waiting,
}

/// Connections to the other hosts.
#[derive(Debug, Default)]
pub struct Peers {
    lines: RefCell<IndexMap<SocketAddr, Line>>,
    next_call: Cell<u64>,
}

impl Peers {
    /// Sends a call and waits for its answer.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; after a call without an answer the connection is given up, since it may have
    /// gone silent.
    pub async fn call(
        &self,
        address: SocketAddr,
        body: Body,
        timeout: Duration,
    ) -> Result<Body, PeerError> {
        let line = self.line(address).await?;
        let call = self.next_call.get() + 1;
        self.next_call.set(call);
        let (sender, answer) = oneshot::channel();
        line.waiting.borrow_mut().insert(call, sender);
        let frame = Bytes::from(
            Envelope {
                call,
                body: Some(body),
            }
            .encode_to_vec(),
        );
        if line.frames.try_send(frame).is_err() {
            line.waiting.borrow_mut().swap_remove(&call);
            self.forget(address, &line);
            return Err(PeerError::NotSent);
        }
        match time::timeout(timeout, answer).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(_)) => Err(PeerError::Unanswered),
            Err(_) => {
                line.waiting.borrow_mut().swap_remove(&call);
                self.forget(address, &line);
                Err(PeerError::Unanswered)
            }
        }
    }

    fn forget(&self, address: SocketAddr, line: &Line) {
        let mut lines = self.lines.borrow_mut();
        if lines
            .get(&address)
            .is_some_and(|known| known.frames.same_channel(&line.frames))
        {
            lines.swap_remove(&address);
        }
    }

    async fn line(&self, address: SocketAddr) -> Result<Line, PeerError> {
        if let Some(line) = self.lines.borrow().get(&address)
            && !line.frames.is_closed()
        {
            return Ok(line.clone());
        }
        let connect = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connect else {
            return Err(PeerError::NotSent);
        };
        if stream.set_nodelay(true).is_err() {
            return Err(PeerError::NotSent);
        }
        let (read, write) = stream.into_split();
        let (frames, queue) = mpsc::channel(QUEUED_FRAMES);
        let waiting = Waiting::default();
        let line = Line {
            frames,
            waiting: Rc::clone(&waiting),
        };
        tokio::task::spawn_local(write_frames(write, queue));
        tokio::task::spawn_local(read_answers(read, waiting, line.frames.downgrade()));
        self.lines.borrow_mut().insert(address, line.clone());
        Ok(line)
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

async fn write_frames(write: tcp::OwnedWriteHalf, mut queue: mpsc::Receiver<Bytes>) {
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

async fn read_answers(read: tcp::OwnedReadHalf, waiting: Waiting, frames: mpsc::WeakSender<Bytes>) {
    let mut framed = FramedRead::with_capacity(read, codec(), BUFFER_BYTES);
    while let Some((call, body)) = next_message(&mut framed).await {
        if let Some(sender) = waiting.borrow_mut().swap_remove(&call) {
            // A caller that gave up meanwhile no longer listens.
            drop(sender.send(body));
        }
    }
    // Whoever still waits learns now that no answer will come.
    waiting.borrow_mut().clear();
    drop(frames);
}

/// The number and the body of the next message; `None` after the end of the connection, or a frame
/// that cannot be read.
async fn next_message(
    framed: &mut FramedRead<tcp::OwnedReadHalf, LengthDelimitedCodec>,
) -> Option<(u64, Body)> {
    let frame = framed.next().await?.ok()?;
    let envelope = Envelope::decode(frame).ok()?;
    Some((envelope.call, envelope.body?))
}

/// Serves calls of other hosts; `answer` is run for each, many at a time.
pub async fn serve<F, A>(listener: TcpListener, answer: F)
where
    F: Fn(Body) -> A + Clone + 'static,
    A: Future<Output = Body> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        if stream.set_nodelay(true).is_ok() {
            tokio::task::spawn_local(serve_connection(stream, answer.clone()));
        }
    }
}

async fn serve_connection<F, A>(stream: TcpStream, answer: F)
where
    F: Fn(Body) -> A + Clone + 'static,
    A: Future<Output = Body> + 'static,
{
    let (read, write) = stream.into_split();
    let (frames, queue) = mpsc::channel(QUEUED_FRAMES);
    tokio::task::spawn_local(write_frames(write, queue));
    let mut framed = FramedRead::with_capacity(read, codec(), BUFFER_BYTES);
    while let Some((call, body)) = next_message(&mut framed).await {
        let (answer, frames) = (answer.clone(), frames.clone());
        tokio::task::spawn_local(async move {
            let body = Some(answer(body).await);
            let frame = Bytes::from(Envelope { call, body }.encode_to_vec());
            // The caller may have gone; it repeats the call elsewhere.
            drop(frames.send(frame).await);
        });
    }
}
