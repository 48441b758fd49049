//! TCP stream that counts its bytes and that the pool can inspect beside the HTTP connection.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Socket and counters, shared by the HTTP connection and the pool.
#[derive(Debug)]
pub(super) struct Socket {
    stream: TcpStream,
    read: AtomicU64,
    written: AtomicU64,
}

impl Socket {
    pub(super) fn new(stream: TcpStream) -> Arc<Self> {
        Arc::new(Self {
            stream,
            read: AtomicU64::new(0),
            written: AtomicU64::new(0),
        })
    }

    /// Bytes received so far.
    pub(super) fn read(&self) -> u64 {
        self.read.load(Ordering::Acquire)
    }

    /// Bytes handed to the kernel so far.
    pub(super) fn written(&self) -> u64 {
        self.written.load(Ordering::Acquire)
    }

    /// Returns whether nothing can be read: the peer has neither closed nor sent unexpected bytes.
    ///
    /// The system call sees bytes and closes that the HTTP connection has not yet read.
    pub(super) fn has_no_input(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Closes both directions at once, even while others hold the socket.
    pub(super) fn close(&self) {
        let _ = socket2::SockRef::from(&self.stream).shutdown(Shutdown::Both);
    }
}

/// Side of the socket that the HTTP connection reads and writes.
#[derive(Debug)]
pub(super) struct Stream(pub(super) Arc<Socket>);

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = &self.0;
        loop {
            ready!(socket.stream.poll_read_ready(cx))?;
            match socket.stream.try_read(buf.initialize_unfilled()) {
                Ok(bytes) => {
                    buf.advance(bytes);
                    socket.read.fetch_add(bytes as u64, Ordering::AcqRel);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let socket = &self.0;
        loop {
            ready!(socket.stream.poll_write_ready(cx))?;
            match socket.stream.try_write(buf) {
                Ok(bytes) => {
                    socket.written.fetch_add(bytes as u64, Ordering::AcqRel);
                    return Poll::Ready(Ok(bytes));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let done = socket2::SockRef::from(&self.0.stream).shutdown(Shutdown::Write);
        Poll::Ready(done)
    }
}
