//! Crowds that go on: their connections keep moving, and come again as soon as they are closed.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time,
};

use crate::jobs::Shape;

/// Largest legal body, in bytes.
const BODY_BYTES: usize = 262_144;
/// Pause before a closed connection is opened again.
const RETURN_DELAY: Duration = Duration::from_millis(5);
/// Time limit of a connection attempt, and of each write and response.
const STEP_LIMIT: Duration = Duration::from_secs(5);
/// Longest wait for a crowd to be in place.
const ARRIVAL_LIMIT: Duration = Duration::from_secs(20);
/// How long the crowd goes on before it counts as in place.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// What each connection of a crowd does until it is closed.
#[derive(Clone, Copy, Debug)]
pub enum Conduct {
    /// Sends the same bytes at intervals, after a first part.
    Trickle {
        /// Sent first, after the request line and `host`.
        begin: &'static str,
        /// Sent at intervals.
        piece: &'static str,
        /// How many times the piece is repeated each time.
        times: usize,
        /// Interval between two pieces, in milliseconds.
        interval_ms: u64,
    },
    /// Sends a request at intervals, and reads each response.
    KeepAlive {
        /// Interval between two requests, in milliseconds.
        interval_ms: u64,
    },
    /// Submits a job and closes the connection without reading the response.
    LeaveAtOnce,
    /// Submits a body of legal size in pieces of 16 KiB, all but its end.
    Withhold,
    /// Submits jobs, each once the last is answered.
    Submit(Shape),
}

/// A crowd; it ends when dropped.
#[derive(Debug)]
pub struct Crowd {
    connects: Arc<AtomicUsize>,
    answers: Arc<AtomicUsize>,
    connections: usize,
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Starts `connections` clients, each at one of the addresses.
    pub fn start(addresses: &[SocketAddr], conduct: Conduct, connections: usize) -> Self {
        let connects = Arc::<AtomicUsize>::default();
        let answers = Arc::<AtomicUsize>::default();
        let numbers = Arc::new(AtomicU64::new(1));
        let mut clients = JoinSet::new();
        for client in 0..connections {
            let client = Client {
                address: addresses[client % addresses.len()],
                connects: Arc::clone(&connects),
                answers: Arc::clone(&answers),
                numbers: Arc::clone(&numbers),
            };
            clients.spawn(async move { client.run(conduct).await });
        }
        Self {
            connects,
            answers,
            connections,
            _clients: clients,
        }
    }

    /// Waits until each client has connected, and some time more.
    pub async fn in_place(&self) {
        let until = Instant::now() + ARRIVAL_LIMIT;
        while self.connects.load(Ordering::Relaxed) < self.connections && Instant::now() < until {
            time::sleep(Duration::from_millis(20)).await;
        }
        time::sleep(SETTLING_TIME).await;
    }

    /// Number of responses that the crowd has read.
    pub fn answers(&self) -> usize {
        self.answers.load(Ordering::Relaxed)
    }

    /// Number of connections that the crowd has opened.
    pub fn connects(&self) -> usize {
        self.connects.load(Ordering::Relaxed)
    }
}

#[derive(Debug)]
struct Client {
    address: SocketAddr,
    connects: Arc<AtomicUsize>,
    answers: Arc<AtomicUsize>,
    /// Source of the jobs' identifiers.
    numbers: Arc<AtomicU64>,
}

impl Client {
    async fn run(&self, conduct: Conduct) {
        loop {
            let connect = time::timeout(STEP_LIMIT, TcpStream::connect(self.address)).await;
            if let Ok(Ok(mut stream)) = connect {
                self.connects.fetch_add(1, Ordering::Relaxed);
                // Ends when the host closes the connection.
                let _closed = self.conduct(&mut stream, conduct).await;
            }
            time::sleep(RETURN_DELAY).await;
        }
    }

    async fn conduct(&self, stream: &mut TcpStream, conduct: Conduct) -> Option<()> {
        match conduct {
            Conduct::Trickle {
                begin,
                piece,
                times,
                interval_ms,
            } => {
                let head = format!("{}{begin}", self.request_line());
                send(stream, head.as_bytes()).await?;
                let pieces = piece.repeat(times);
                let interval = Duration::from_millis(interval_ms);
                loop {
                    // Anything but the invitation to send a body ends the exchange.
                    let mut part = [0; 256];
                    if let Ok(read) = time::timeout(interval, stream.read(&mut part)).await {
                        let read = read.ok()?;
                        if !part[..read].starts_with(b"HTTP/1.1 100 ") {
                            return None;
                        }
                    }
                    send(stream, pieces.as_bytes()).await?;
                }
            }
            Conduct::KeepAlive { interval_ms } => loop {
                send(
                    stream,
                    b"GET /batch/ HTTP/1.1\r\nhost: jobs.example\r\n\r\n",
                )
                .await?;
                self.read_answer(stream).await?;
                time::sleep(Duration::from_millis(interval_ms)).await;
            },
            Conduct::LeaveAtOnce => {
                let request = submission(self.next_number(), &Shape::Ordinary.body());
                send(stream, &request).await
            }
            Conduct::Withhold => {
                let head = format!(
                    "{}content-length: {BODY_BYTES}\r\n\r\n",
                    self.request_line()
                );
                send(stream, head.as_bytes()).await?;
                for _ in 0..BODY_BYTES / (16 << 10) - 1 {
                    send(stream, &[b'x'; 16 << 10]).await?;
                }
                stream.readable().await.ok()
            }
            Conduct::Submit(shape) => {
                let body = shape.body();
                loop {
                    send(stream, &submission(self.next_number(), &body)).await?;
                    self.read_answer(stream).await?;
                }
            }
        }
    }

    fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    fn request_line(&self) -> String {
        request_line(self.next_number())
    }

    /// Reads the head of a response; none of them has a body of more than some bytes.
    async fn read_answer(&self, stream: &mut TcpStream) -> Option<()> {
        let mut part = [0; 1 << 10];
        let read = time::timeout(STEP_LIMIT, stream.read(&mut part)).await;
        read.ok()?.ok().filter(|&read| read > 0)?;
        self.answers.fetch_add(1, Ordering::Relaxed);
        Some(())
    }
}

fn request_line(number: u64) -> String {
    format!("POST /batch/{number:016x} HTTP/1.1\r\nhost: jobs.example\r\n")
}

/// A submission of a job.
pub fn submission(number: u64, body: &str) -> Vec<u8> {
    let (line, length) = (request_line(number), body.len());
    format!("{line}content-length: {length}\r\n\r\n{body}").into_bytes()
}

async fn send(stream: &mut TcpStream, bytes: &[u8]) -> Option<()> {
    let write = time::timeout(STEP_LIMIT, stream.write_all(bytes)).await;
    write.ok()?.ok()
}
