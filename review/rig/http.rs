//! HTTP/1.1 on loopback: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// A field of the query, with percent escapes resolved.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.path.split_once('?')?.1;
        let raw = query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
        let mut out = Vec::new();
        let bytes = raw.as_bytes();
        let mut at = 0;
        while at < bytes.len() {
            if bytes[at] == b'%' && at + 2 < bytes.len() {
                out.push(u8::from_str_radix(&raw[at + 1..at + 3], 16).ok()?);
                at += 3;
            } else {
                out.push(bytes[at]);
                at += 1;
            }
        }
        String::from_utf8(out).ok()
    }
}

/// What a server does with a request.
pub enum Answer {
    Reply(u16, String),
    /// The answer is lost; nothing more comes on this connection.
    Lost,
}

/// Answers requests on `listener` for the life of the program.
pub fn serve<F>(listener: TcpListener, answer: F)
where
    F: Fn(&Request) -> Answer + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            let _ = thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || connection(stream, &*answer));
        }
    });
}

fn connection<F: Fn(&Request) -> Answer>(stream: TcpStream, answer: &F) {
    let _ = stream.set_nodelay(true);
    let Ok(mut write) = stream.try_clone() else {
        return;
    };
    let mut read = BufReader::new(stream);
    while let Some(request) = receive(&mut read) {
        match answer(&request) {
            Answer::Reply(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let sent = write.write_all((head + &body).as_bytes());
                if sent.is_err() {
                    return;
                }
            }
            Answer::Lost => {
                // Reads until the caller closes the connection, and says nothing.
                let mut waste = [0; 4096];
                while read.read(&mut waste).is_ok_and(|n| n > 0) {}
                return;
            }
        }
    }
}

fn receive<R: BufRead>(read: &mut R) -> Option<Request> {
    let mut line = String::new();
    if read.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = headers(read)?;
    let mut body = vec![0; length(&headers)];
    read.read_exact(&mut body).ok()?;
    Some(Request {
        method,
        path,
        headers,
        body,
    })
}

fn headers<R: BufRead>(read: &mut R) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if read.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn length(headers: &[(String, String)]) -> usize {
    let found = headers.iter().find(|(name, _)| name == "content-length");
    found.and_then(|(_, n)| n.parse().ok()).unwrap_or(0)
}

/// Starts a link to `target` that carries at most `mbps` towards its callers, all connections
/// together; returns its address.
pub fn link(target: SocketAddr, mbps: f64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let free_at = Arc::new(Mutex::new(Instant::now()));
    thread::spawn(move || {
        for caller in listener.incoming().flatten() {
            let Ok(callee) = TcpStream::connect(target) else {
                continue;
            };
            let (Ok(from_caller), Ok(to_callee)) = (caller.try_clone(), callee.try_clone()) else {
                continue;
            };
            thread::spawn(move || carry(from_caller, to_callee, |_| {}));
            let free_at = Arc::clone(&free_at);
            let pace = move |bytes: usize| {
                let taken = Duration::from_secs_f64(bytes as f64 * 8.0 / (mbps * 1e6));
                let until = {
                    let mut free_at = free_at.lock().unwrap();
                    *free_at = (*free_at).max(Instant::now()) + taken;
                    *free_at
                };
                thread::sleep(until.saturating_duration_since(Instant::now()));
            };
            thread::spawn(move || carry(callee, caller, pace));
        }
    });
    address
}

fn carry(mut from: TcpStream, mut to: TcpStream, pace: impl Fn(usize)) {
    let _ = to.set_nodelay(true);
    let mut buffer = [0; 8 << 10];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 {
            break;
        }
        pace(count);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// Time that clients give for an answer, in milliseconds (`X-Deadline-Ms`).
const DEADLINE_MS: u64 = 3_000;

/// Sends one request over a new connection; `None` if there is no answer in time, after which the
/// client leaves.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\nx-deadline-ms: {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        DEADLINE_MS,
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut read = BufReader::new(stream);
    let mut line = String::new();
    read.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = headers(&mut read)?;
    let mut body = vec![0; length(&headers)];
    read.read_exact(&mut body).ok()?;
    Some((status, body))
}
