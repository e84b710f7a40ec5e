//! A proxy before a minion. It forwards calls, and can hold back the starts of one task: they get no
//! answer, and reach the minion's address later.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Interval at which a held call is tried again while the address refuses connections.
const RETRY: Duration = Duration::from_millis(5);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a caller whose call is held waits for an answer at most.
const SILENCE: Duration = Duration::from_secs(20);

/// The starts of one task that are held back; shared by the proxies of all minions.
#[derive(Default)]
pub struct Held {
    state: Mutex<HeldState>,
}

#[derive(Default)]
struct HeldState {
    /// Word of the body by which the task is known; nothing is held without one.
    task: Option<String>,
    /// Minion whose calls are held, and the calls.
    minion: Option<SocketAddr>,
    calls: Vec<Vec<u8>>,
}

impl Held {
    /// Holds back the first start of a task from now on: all copies of that order, to the minion that it is
    /// first sent to.
    pub fn hold_first_run(&self, task: &str) {
        self.state.lock().expect("no panic with the lock").task = Some(format!("\"task\":\"{task}\",\"run\":1,"));
    }

    /// The minion whose orders are held, once there are any.
    pub fn minion(&self) -> Option<SocketAddr> {
        self.state.lock().expect("no panic with the lock").minion
    }

    fn takes(&self, minion: SocketAddr, call: &[u8]) -> bool {
        let mut state = self.state.lock().expect("no panic with the lock");
        let Some(word) = state.task.clone() else {
            return false;
        };
        let text = String::from_utf8_lossy(call);
        if !text.contains("run-start") || !text.contains(&word) || *state.minion.get_or_insert(minion) != minion {
            return false;
        }
        state.calls.push(call.to_vec());
        true
    }

    /// Delivers the first copy of the order as soon as the minion's address accepts connections.
    pub fn deliver(&self, limit: Duration) -> Option<u16> {
        let (minion, call) = {
            let state = self.state.lock().expect("no panic with the lock");
            (state.minion?, state.calls.first()?.clone())
        };
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let Ok(mut stream) = TcpStream::connect(minion) else {
                thread::sleep(RETRY);
                continue;
            };
            stream.set_nodelay(true).ok()?;
            stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
            stream.write_all(&call).ok()?;
            let (first, ..) = http::read_message(&mut BufReader::new(stream)).ok()??;
            return first.split(' ').nth(1)?.parse().ok();
        }
        None
    }
}

/// Forwards calls from `listener` to the minion at `minion`, for the lifetime of the process.
pub fn start(listener: TcpListener, minion: SocketAddr, held: Arc<Held>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let held = Arc::clone(&held);
            thread::spawn(move || forward(stream, minion, &held));
        }
    });
}

fn forward(caller: TcpStream, minion: SocketAddr, held: &Held) -> Option<()> {
    caller.set_nodelay(true).ok()?;
    let mut answers = caller.try_clone().ok()?;
    let mut calls = BufReader::new(caller);
    let backend = TcpStream::connect(minion).ok()?;
    backend.set_nodelay(true).ok()?;
    let mut to_minion = backend.try_clone().ok()?;
    let mut from_minion = BufReader::new(backend);
    while let Some(message) = http::read_message(&mut calls).ok()? {
        let call = http::write_message(&message);
        if held.takes(minion, &call) {
            thread::sleep(SILENCE);
            return None;
        }
        to_minion.write_all(&call).ok()?;
        let answer = http::read_message(&mut from_minion).ok()??;
        answers.write_all(&http::write_message(&answer)).ok()?;
    }
    None
}
