//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client.

use std::{
    collections::BTreeMap,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub instance: Option<String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, field: &str) -> String {
        let found = self
            .query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(name, _)| *name == field);
        found.map_or(String::new(), |(_, value)| decode(value))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Status and body of an answer; `None` closes the connection without one.
pub type Answer = Option<(u16, String)>;
type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

/// A listening address. Stopping it refuses new connections and closes the open ones, as the end of a
/// process does.
pub struct Server {
    stopped: Arc<AtomicBool>,
    open: Arc<Mutex<BTreeMap<u64, TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> Server {
        let listener = TcpListener::bind(address).expect("the address is free");
        listener.set_nonblocking(true).expect("a listener can poll");
        let stopped = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<BTreeMap<u64, TcpStream>>> = Arc::default();
        let (stop, connections) = (Arc::clone(&stopped), Arc::clone(&open));
        let accepting = thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let (Ok(()), Ok(kept)) = (stream.set_nonblocking(false), stream.try_clone()) else {
                    continue;
                };
                let _nodelay = stream.set_nodelay(true);
                number += 1;
                connections.lock().unwrap().insert(number, kept);
                let (handler, connections) = (Arc::clone(&handler), Arc::clone(&connections));
                thread::spawn(move || {
                    serve(stream, &handler);
                    connections.lock().unwrap().remove(&number);
                });
            }
        });
        Server {
            stopped,
            open,
            accepting: Some(accepting),
        }
    }

    pub fn stop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ended = accepting.join();
        }
        for stream in self.open.lock().unwrap().values() {
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Some((status, body)) = handler(request) else {
            let _closed = writer.shutdown(Shutdown::Both);
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let (length, instance, _) = read_headers(reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        instance,
        body,
    })
}

/// Length of the body, the addressed instance, and the seconds of `Retry-After`.
fn read_headers(reader: &mut impl BufRead) -> Option<(usize, Option<String>, Option<u64>)> {
    let (mut length, mut instance, mut retry_after_s) = (0, None, None);
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some((length, instance, retry_after_s));
        }
        let (name, value) = line.split_once(':')?;
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().ok()?,
            "x-expect-instance" => instance = Some(value.to_owned()),
            "retry-after" => retry_after_s = value.parse().ok(),
            _ => {}
        }
    }
}

/// An answer to a client: status, body, and the seconds of `Retry-After`.
pub struct Reply {
    pub status: u16,
    pub body: String,
    pub retry_after_s: Option<u64>,
}

/// One request on a connection of its own; `None` without a complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &str,
    deadline_ms: u64,
) -> Option<Reply> {
    let timeout = Duration::from_millis(deadline_ms);
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-type: application/json\r\n\
         x-deadline-ms: {deadline_ms}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (length, _, retry_after_s) = read_headers(&mut reader)?;
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Reply {
        status,
        body: String::from_utf8_lossy(&body).into_owned(),
        retry_after_s,
    })
}
