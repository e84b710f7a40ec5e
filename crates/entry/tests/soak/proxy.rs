//! A loopback proxy that disturbs the connections it passes on.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream, tcp},
    sync::{mpsc, watch},
    task::{JoinHandle, JoinSet},
    time,
};

/// Bytes passed on at a time.
const CHUNK_BYTES: usize = 16 << 10;
/// Chunks in transit per connection and direction.
const MAX_CHUNKS: usize = 1_024;
/// Time for which the server's side stays open after the caller has hung up, so that calls that
/// are in transit reach it.
const CLOSE_DELAY: Duration = Duration::from_millis(200);

/// How a link treats the data of one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    /// Passes data on.
    Open,
    /// Holds data back until the direction is open again, as retransmission does.
    Silent,
    /// Passes data on after a delay, in milliseconds.
    Delayed(u64),
}

/// How a link treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Accepts them.
    Open,
    /// Resets those that are open and refuses new ones.
    Refused,
    /// Resets those that are open, and new ones once they are accepted.
    Reset,
}

/// State of a link: connections, and data of both directions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkState {
    /// Treatment of connections.
    pub admission: Admission,
    /// From the caller to the server.
    pub requests: Flow,
    /// From the server to the caller.
    pub responses: Flow,
}

impl LinkState {
    /// Passes everything on.
    pub const OPEN: Self = Self::flows(Flow::Open, Flow::Open);
    /// Passes nothing on, silently.
    pub const SILENT: Self = Self::flows(Flow::Silent, Flow::Silent);
    /// Refuses connections.
    pub const REFUSED: Self = Self::admission(Admission::Refused);
    /// Resets connections.
    pub const RESET: Self = Self::admission(Admission::Reset);

    /// Accepts connections and treats their data like this.
    pub const fn flows(requests: Flow, responses: Flow) -> Self {
        Self {
            admission: Admission::Open,
            requests,
            responses,
        }
    }

    const fn admission(admission: Admission) -> Self {
        Self {
            admission,
            requests: Flow::Open,
            responses: Flow::Open,
        }
    }
}

/// A proxy in front of a server. Dropping it closes its connections.
#[derive(Debug)]
pub struct Proxy {
    /// Address on which it accepts connections.
    pub address: SocketAddr,
    state: watch::Sender<LinkState>,
    task: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Proxy {
    /// Starts a proxy at `address` in front of `target`.
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let (state, changes) = watch::channel(LinkState::OPEN);
        let task = tokio::spawn(serve(address, target, changes));
        Self {
            address,
            state,
            task,
        }
    }

    /// Treats connections and data like this from now on.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

fn listen(address: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket can be opened");
    socket.set_reuseaddr(true).expect("the option is supported");
    socket.bind(address).expect("the port is the proxy's own");
    socket.listen(1_024).expect("the socket is bound")
}

async fn serve(address: SocketAddr, target: SocketAddr, mut changes: watch::Receiver<LinkState>) {
    loop {
        let state = *changes.borrow_and_update();
        if state.admission == Admission::Refused {
            if changes.changed().await.is_err() {
                return;
            }
            continue;
        }
        let listener = listen(address);
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((caller, _)) = accepted else { continue };
                    if changes.borrow().admission == Admission::Open {
                        connections.spawn(pass(caller, target, changes.clone()));
                    } else {
                        reset(&caller);
                    }
                }
                changed = changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    if changes.borrow_and_update().admission == Admission::Refused {
                        // Open connections notice the change by themselves and are reset.
                        while connections.join_next().await.is_some() {}
                        break;
                    }
                }
            }
        }
    }
}

/// Makes the connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    // The peer may have closed the connection already.
    let _set = stream.set_zero_linger();
}

/// A chunk of data, and when it was read.
type Chunk = (Instant, Vec<u8>);

async fn pass(caller: TcpStream, target: SocketAddr, state: watch::Receiver<LinkState>) {
    let (mut from_caller, mut to_caller) = caller.into_split();
    let (chunks, mut arrived) = mpsc::channel(MAX_CHUNKS);
    // A call that is delayed reaches the process that listens when it arrives.
    let serve = async {
        let first = arrived.recv().await?;
        let requests = Direction::new(&state, |state| state.requests);
        requests.clone().wait_until_due(&first).await?;
        let server = TcpStream::connect(target).await.ok()?;
        let (mut from_server, mut to_server) = server.into_split();
        to_server.write_all(&first.1).await.ok()?;
        let (answers, answered) = mpsc::channel(MAX_CHUNKS);
        let responses = Direction::new(&state, |state| state.responses);
        tokio::join!(
            requests.write(arrived, &mut to_server),
            read(&mut from_server, answers),
            responses.write(answered, &mut to_caller),
        );
        Some(())
    };
    let mut cut = state.clone();
    let is_cut = tokio::select! {
        ((), served) = async { tokio::join!(read(&mut from_caller, chunks), serve) } => served.is_none(),
        is_cut = async { cut.wait_for(|state| state.admission != Admission::Open).await.is_ok() } => is_cut,
    };
    if is_cut {
        reset(from_caller.as_ref());
    }
}

/// Reads until the sender hangs up or nobody takes its data any more.
async fn read(from: &mut tcp::OwnedReadHalf, chunks: mpsc::Sender<Chunk>) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let chunk = (Instant::now(), buffer[..length].to_vec());
        if chunks.send(chunk).await.is_err() {
            return;
        }
    }
}

/// One direction of a link.
#[derive(Clone, Debug)]
struct Direction {
    state: watch::Receiver<LinkState>,
    flow: fn(&LinkState) -> Flow,
}

impl Direction {
    fn new(state: &watch::Receiver<LinkState>, flow: fn(&LinkState) -> Flow) -> Self {
        let state = state.clone();
        Self { state, flow }
    }

    /// Waits until a chunk may be passed on; `None` if the proxy has ended.
    async fn wait_until_due(&mut self, (read_at, _): &Chunk) -> Option<()> {
        let flow = self.flow;
        let passes = |state: &LinkState| flow(state) != Flow::Silent;
        let state = *self.state.wait_for(passes).await.ok()?;
        if let Flow::Delayed(delay_ms) = flow(&state) {
            let due = *read_at + Duration::from_millis(delay_ms);
            time::sleep_until(due.into()).await;
        }
        Some(())
    }

    /// Passes chunks on until their sender has hung up. A receiver that has hung up misses them.
    async fn write(mut self, mut arrived: mpsc::Receiver<Chunk>, to: &mut tcp::OwnedWriteHalf) {
        let mut is_open = true;
        while let Some(chunk) = arrived.recv().await {
            if self.wait_until_due(&chunk).await.is_none() {
                return;
            }
            is_open = is_open && to.write_all(&chunk.1).await.is_ok();
        }
        time::sleep(CLOSE_DELAY).await;
        // The receiver may have hung up already.
        let _closed = to.shutdown().await;
    }
}
