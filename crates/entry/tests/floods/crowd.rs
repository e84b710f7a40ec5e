//! Connections of clients outside the limits.

use std::{net::SocketAddr, time::Duration};

use futures::future;
use hickorychute_entry::peers::{Body, Envelope};
use prost::Message;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    time,
};

/// Largest legal body, in bytes.
const BODY_BYTES: usize = 262_144;
/// Bytes by which an unfinished body stops short of its end.
const MISSING_BYTES: usize = 200;
/// Time after which a connection that takes no more bytes is left as it is.
const WRITE_LIMIT: Duration = Duration::from_secs(3);

/// Receive buffer of connections that read nothing, in bytes.
const UNREAD_BUFFER_BYTES: u32 = 4 << 10;

/// What each connection of a crowd sends before it stops.
#[derive(Clone, Copy, Debug)]
pub enum Pattern {
    /// Nothing.
    Idle,
    /// A body of legal size in one piece, all but its end.
    WholeBody,
    /// The same, in pieces of 4 KiB; all connections in turn.
    BodyInPieces,
    /// A chunked body of legal size, all but its end, in chunks of this many bytes.
    Chunks {
        /// Payload of each chunk, in bytes.
        chunk_bytes: usize,
        /// Payload of the body, in bytes.
        body_bytes: usize,
    },
    /// Many requests, without reading the responses.
    UnreadResponses {
        /// Path of the requests.
        path: &'static str,
        /// Bytes sent.
        sent_bytes: usize,
    },
    /// The begin of a request's headers, without their end.
    EndlessHeaders,
    /// A complete job of legal size, without reading the response.
    CompleteBody,
    /// Calls between hosts, without reading the answers.
    UnreadAnswers {
        /// Bytes sent.
        sent_bytes: usize,
    },
    /// A frame of 1 MiB between hosts, all but its end.
    UnfinishedFrame,
}

impl Pattern {
    fn pieces(self, number: usize) -> Vec<Vec<u8>> {
        let post = format!("POST /batch/{number:016x} HTTP/1.1\r\nhost: jobs.example\r\n");
        match self {
            Self::Idle => Vec::new(),
            Self::WholeBody | Self::BodyInPieces => {
                let mut sent = format!("{post}content-length: {BODY_BYTES}\r\n\r\n").into_bytes();
                sent.resize(sent.len() + BODY_BYTES - MISSING_BYTES, b'x');
                match self {
                    Self::WholeBody => vec![sent],
                    _ => sent.chunks(4 << 10).map(<[u8]>::to_vec).collect(),
                }
            }
            Self::Chunks {
                chunk_bytes,
                body_bytes,
            } => {
                let mut sent = format!("{post}transfer-encoding: chunked\r\n\r\n").into_bytes();
                let chunk = [
                    format!("{chunk_bytes:x}\r\n").as_bytes(),
                    &vec![b'x'; chunk_bytes],
                    b"\r\n",
                ]
                .concat();
                for _ in 0..(body_bytes - MISSING_BYTES).div_ceil(chunk_bytes) {
                    sent.extend_from_slice(&chunk);
                }
                vec![sent]
            }
            Self::UnreadResponses { path, sent_bytes } => {
                let get = format!("GET {path} HTTP/1.1\r\nhost: jobs.example\r\n\r\n");
                let sent = get.repeat(sent_bytes / get.len()).into_bytes();
                sent.chunks(16 << 10).map(<[u8]>::to_vec).collect()
            }
            Self::EndlessHeaders => {
                let name = "x".repeat(7_000);
                vec![format!("{post}{name}").into_bytes()]
            }
            Self::CompleteBody => {
                let step = r#"{"count":1,"cpu":100,"mem_mb":1,"estimate_ms":10}"#;
                let other_bytes = format!(r#"{{"spec":"","steps":[{step}]}}"#).len();
                let spec = "x".repeat(BODY_BYTES - other_bytes);
                let body = format!(r#"{{"spec":"{spec}","steps":[{step}]}}"#);
                let head = format!("{post}content-length: {BODY_BYTES}\r\n\r\n");
                vec![format!("{head}{body}").into_bytes()]
            }
            Self::UnreadAnswers { sent_bytes } => {
                let call = Envelope {
                    call: 1,
                    body: Some(Body::GetLeader(true)),
                };
                let call = call.encode_to_vec();
                let frame = [&(call.len() as u32).to_be_bytes(), &call[..]].concat();
                let sent = frame.repeat(sent_bytes / frame.len());
                sent.chunks(16 << 10).map(<[u8]>::to_vec).collect()
            }
            Self::UnfinishedFrame => {
                let mut sent = (1_u32 << 20).to_be_bytes().to_vec();
                sent.resize(sent.len() + (1 << 20) - MISSING_BYTES, 0);
                vec![sent]
            }
        }
    }
}

/// Opens `connections` connections at once, sends the pattern on each, and returns those that the
/// host has not closed; they stay open until they are dropped.
pub async fn send(address: SocketAddr, pattern: Pattern, connections: usize) -> Vec<TcpStream> {
    let senders = (0..connections).map(|number| async move {
        let socket = TcpSocket::new_v4().ok()?;
        if matches!(
            pattern,
            Pattern::UnreadResponses { .. } | Pattern::UnreadAnswers { .. }
        ) {
            // Leaves what is not read with the host, not with this process.
            socket.set_recv_buffer_size(UNREAD_BUFFER_BYTES).ok()?;
        }
        let connect = time::timeout(WRITE_LIMIT, socket.connect(address)).await;
        let mut stream = connect.ok()?.ok()?;
        for piece in pattern.pieces(number) {
            match time::timeout(WRITE_LIMIT, stream.write_all(&piece)).await {
                Ok(Ok(())) => {}
                // Closed by the host.
                Ok(Err(_)) => return None,
                Err(_) => break,
            }
        }
        Some(stream)
    });
    future::join_all(senders)
        .await
        .into_iter()
        .flatten()
        .collect()
}
