//! One blocking HTTP request on a connection of its own.

use std::io::{Error, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::error::Result;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Posts a body and returns the status of the answer.
pub(super) fn post(address: &str, path: &str, headers: &str, body: &str) -> Result<u16> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    write!(
        stream,
        "POST {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: {}\r\n{headers}\r\n{body}",
        body.len()
    )?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer)?;
    let answer = String::from_utf8_lossy(&answer);
    let status = answer.split(' ').nth(1).and_then(|text| text.parse().ok());
    let unreadable = || Error::other(format!("not an answer: {answer:.80}"));
    Ok(status.ok_or_else(unreadable)?)
}
