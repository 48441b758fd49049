//! Loopback proxy that can delay, reset or block its connections, also in one direction only.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

base::label! {
    /// How the proxy treats the bytes of its connections.
    pub enum Mode {
        /// Forwards them.
        Pass,
        /// Forwards them with a delay.
        Delay,
        /// Blocks bytes from clients.
        CutForward,
        /// Blocks bytes from servers.
        CutBack,
        /// Blocks connections that were open when the mode was set; new ones work.
        SilenceOpen,
        /// Resets the connections that are open when the mode is set.
        Reset,
    }
}

/// Delay of each chunk of bytes on a delayed connection.
const CHUNK_DELAY: Duration = Duration::from_millis(80);
/// Size of the read buffer.
const BUFFER_BYTES: usize = 16 * 1024;

/// Proxy in front of one address.
#[derive(Debug, Clone)]
pub struct Proxy {
    /// Address that clients use.
    pub address: SocketAddr,
    mode: Arc<watch::Sender<(Mode, u64)>>,
}

impl Proxy {
    /// Starts a proxy on `address` in front of `upstream`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
    pub async fn start(
        address: SocketAddr,
        upstream: SocketAddr,
        stop: CancellationToken,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let mode = Arc::new(watch::Sender::new((Mode::Pass, 0)));
        let proxy = Self {
            address: listener.local_addr()?,
            mode: mode.clone(),
        };
        tokio::spawn(async move {
            loop {
                let accepted = tokio::select! {
                    () = stop.cancelled() => return,
                    accepted = listener.accept() => accepted,
                };
                if let Ok((client, _)) = accepted {
                    tokio::spawn(connection(client, upstream, mode.subscribe(), stop.clone()));
                }
            }
        });
        Ok(proxy)
    }

    /// Sets the mode.
    pub fn set(&self, mode: Mode) {
        self.mode
            .send_modify(|current| *current = (mode, current.1 + 1));
    }
}

async fn connection(
    client: TcpStream,
    upstream: SocketAddr,
    mode: watch::Receiver<(Mode, u64)>,
    stop: CancellationToken,
) {
    let Ok(server) = TcpStream::connect(upstream).await else {
        reset(&client);
        return;
    };
    let opened = mode.borrow().1;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let is_forward_blocked = |m| m == Mode::CutForward;
    let is_back_blocked = |m| m == Mode::CutBack;
    let forward = forward_bytes(
        from_client,
        to_server,
        mode.clone(),
        opened,
        is_forward_blocked,
    );
    let back = forward_bytes(from_server, to_client, mode, opened, is_back_blocked);
    tokio::select! {
        _ = async { tokio::join!(forward, back) } => {}
        () = stop.cancelled() => {}
    }
}

/// Forwards bytes in one direction until the sender closes or the connection is reset.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<(Mode, u64)>,
    opened: u64,
    is_blocked: impl Fn(Mode) -> bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            _ = mode.changed() => {
                if mode.borrow().0 == Mode::Reset {
                    reset(to.as_ref());
                    return;
                }
                continue;
            }
        };
        let Ok(count @ 1..) = read else {
            let _ = to.shutdown().await;
            return;
        };
        loop {
            let (now, changes) = *mode.borrow_and_update();
            match now {
                Mode::Delay => tokio::time::sleep(CHUNK_DELAY).await,
                Mode::SilenceOpen if changes > opened => {}
                now if is_blocked(now) => {}
                _ => break,
            }
            if now == Mode::Delay {
                break;
            }
            if mode.changed().await.is_err() {
                return;
            }
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}

/// Makes the connection end with a reset when it is dropped.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}
