//! Loopback proxy whose connections can be delayed, reset, silenced and cut one way.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

base::label! {
    /// What the proxy does to bytes.
    pub enum Mode {
        /// Passes them on.
        Pass,
        /// Passes them on late.
        Delay,
        /// Holds what clients send.
        CutForward,
        /// Holds what servers send.
        CutBack,
        /// Holds everything on open connections; new ones work.
        SilenceOpen,
        /// Resets all open connections once.
        Reset,
    }
}

/// Added to each piece of a delayed connection.
const DELAY: Duration = Duration::from_millis(80);
/// Bytes moved at once.
const PIECE: usize = 16 * 1024;

/// A proxy in front of one address.
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

    /// Changes what the proxy does.
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
    let holds_forward = |m| m == Mode::CutForward;
    let holds_back = |m| m == Mode::CutBack;
    let forward = pump(from_client, to_server, mode.clone(), opened, holds_forward);
    let back = pump(from_server, to_client, mode, opened, holds_back);
    tokio::select! {
        _ = async { tokio::join!(forward, back) } => {}
        () = stop.cancelled() => {}
    }
}

/// Moves bytes one way until the sender ends or the connection is reset.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<(Mode, u64)>,
    opened: u64,
    holds: impl Fn(Mode) -> bool,
) {
    let mut piece = vec![0; PIECE];
    loop {
        let read = tokio::select! {
            read = from.read(&mut piece) => read,
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
                Mode::Delay => tokio::time::sleep(DELAY).await,
                Mode::SilenceOpen if changes > opened => {}
                now if holds(now) => {}
                _ => break,
            }
            if now == Mode::Delay {
                break;
            }
            if mode.changed().await.is_err() {
                return;
            }
        }
        if to.write_all(&piece[..count]).await.is_err() {
            return;
        }
    }
}

/// Makes the end of a connection a reset.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}
