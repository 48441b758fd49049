//! Transport of messages between processes: bounded frames with a format version.

use futures::StreamExt;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use tarpc::server::{BaseChannel, Channel, Serve};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{ClientMessage, Response};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;

/// Format version of the messages of this build.
pub const VERSION: u16 = 1;

/// Largest frame, in bytes; a longer one ends its connection before it is read.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Most requests in flight on one connection.
const REQUESTS_PER_CONNECTION: usize = 64;

base::message! {
    /// A message with its format version.
    pub struct Frame<T> {
        /// Version of the format.
        pub version: u16,
        /// Message.
        pub body: T,
    }
}

impl<T> Frame<T> {
    /// Wraps a message in a frame of this build's version.
    pub fn new(body: T) -> Self {
        Self {
            version: VERSION,
            body,
        }
    }

    /// Returns the message.
    ///
    /// # Errors
    ///
    /// Fails if this build does not support the version of the frame.
    pub fn open(self) -> Result<T, Error> {
        if self.version == VERSION {
            Ok(self.body)
        } else {
            Err(Error::Version(self.version))
        }
    }
}

/// Why a message could not be exchanged.
#[derive(Debug)]
pub enum Error {
    /// The connection could not be established.
    Connect(io::Error),
    /// The call failed or gave no answer in time.
    Call(Box<str>),
    /// This build does not support the version of the frame.
    Version(u16),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => write!(f, "connection failed: {error}"),
            Self::Call(reason) => write!(f, "call failed: {reason}"),
            Self::Version(version) => {
                write!(f, "message has version {version}, expected {VERSION}")
            }
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Connect(error)
    }
}

impl From<tarpc::client::RpcError> for Error {
    fn from(error: tarpc::client::RpcError) -> Self {
        Self::Call(error.to_string().into())
    }
}

/// Transport over one TCP connection.
pub type Transport<In, Out> =
    tarpc::serde_transport::Transport<TcpStream, In, Out, Bincode<In, Out>>;

/// Connects to a process and returns the transport for a tarpc client.
///
/// # Errors
///
/// Fails if no connection is made.
pub async fn connect<In, Out>(address: SocketAddr) -> io::Result<Transport<In, Out>>
where
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    Ok(framed(TcpStream::connect(address).await?))
}

fn framed<In, Out>(stream: TcpStream) -> Transport<In, Out>
where
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    let _ = stream.set_nodelay(true);
    let frames = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_framed(stream);
    tarpc::serde_transport::new(frames, Bincode::default())
}

/// Accepts connections until `stop` is cancelled and runs `connection` on each.
///
/// `connection` calls [`serve`] with a concrete service, because the compiler can't prove that the
/// future of a generic one is `Send`.
pub async fn accept<F>(
    listener: TcpListener,
    stop: CancellationToken,
    connection: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let task = connection(stream);
                let stop = stop.clone();
                tokio::spawn(async move { stop.run_until_cancelled(task).await });
            }
            Err(error) => log::warn!("could not accept a connection: {error}"),
        }
    }
}

/// Serves a tarpc service on one connection until it ends.
pub async fn serve<S>(stream: TcpStream, service: S)
where
    S: Serve + Clone,
    S::Req: for<'de> Deserialize<'de> + tarpc::RequestName,
    S::Resp: Serialize,
{
    let transport: Transport<ClientMessage<S::Req>, Response<S::Resp>> = framed(stream);
    BaseChannel::with_defaults(transport)
        .max_concurrent_requests(REQUESTS_PER_CONNECTION)
        .execute(service)
        .for_each_concurrent(None, |request| request)
        .await;
}
