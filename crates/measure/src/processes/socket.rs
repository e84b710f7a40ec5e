//! A minimal blocking HTTP/1.1 client: one request per connection.

use std::io::{Error, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::error::Result;

const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends a POST request and returns the status code of the response.
pub(super) fn post(address: &str, path: &str, headers: &str, body: &str) -> Result<u16> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    write!(
        stream,
        "POST {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: {}\r\n{headers}\r\n{body}",
        body.len()
    )?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    let response = String::from_utf8_lossy(&response);
    let status = response
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok());
    let malformed = || Error::other(format!("malformed HTTP response: {response:.80}"));
    Ok(status.ok_or_else(malformed)?)
}
