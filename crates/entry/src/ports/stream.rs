//! A connection whose reads and blocked writes are reported to its port.

use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};

use super::Guard;

/// Maximum size of a read, in bytes: below the 8 KiB from which on the HTTP library enlarges its
/// buffer.
const MAX_READ_BYTES: u64 = 4 << 10;

/// A connection, or one of its halves.
///
/// While the client does not take what is written, nothing more is read from it: each further request
/// would add a response.
#[derive(Debug)]
pub struct Metered<S> {
    stream: S,
    guard: Rc<Guard>,
}

impl<S> Metered<S> {
    /// Reports what happens on the stream for the connection of `guard`.
    pub fn new(stream: S, guard: Rc<Guard>) -> Self {
        Self { stream, guard }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let metered = self.get_mut();
        if metered.guard.suspend_reader(context) {
            return Poll::Pending;
        }
        let filled = buffer.filled().len();
        let mut part = (&mut metered.stream).take(MAX_READ_BYTES);
        let read = Pin::new(&mut part).poll_read(context, buffer);
        let bytes = buffer.filled().len() - filled;
        if bytes > 0 && !metered.guard.received(bytes) {
            return Poll::Ready(Err(io::Error::from(io::ErrorKind::OutOfMemory)));
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let metered = self.get_mut();
        let written = Pin::new(&mut metered.stream).poll_write(context, bytes);
        metered.guard.note_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let metered = self.get_mut();
        let written = Pin::new(&mut metered.stream).poll_write_vectored(context, parts);
        metered.guard.note_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
