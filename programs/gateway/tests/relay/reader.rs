//! Stand-in for a VM of `nord-a` that reads the store for the others, over a link of its own.

use crate::site::{Site, unused_address};
use peers::report;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio_util::sync::CancellationToken;

/// Bytes that are sent at once over a link.
const CHUNK: usize = 4 * 1024;

/// Name and link of a stand-in.
#[derive(Debug, Clone, Copy)]
pub struct Link {
    /// Name of the VM.
    pub vm: &'static str,
    /// Bandwidth that it reports, in Mbit/s.
    pub mbps: u32,
    /// Bandwidth of its answers.
    pub bytes_per_s: f64,
}

/// Presents a gateway of another data centre as a VM that reads the store.
pub struct Reader {
    stop: CancellationToken,
    copying: CancellationToken,
}

impl Reader {
    /// Passes the reports of the gateway at `source` on to `targets`, and its store data over the link.
    pub async fn start(
        site: &Site,
        source: SocketAddr,
        link: Link,
        targets: &[SocketAddr],
    ) -> Self {
        let address = SocketAddr::new(unused_address(), 7460);
        let socket = UdpSocket::bind(address).await.expect("a socket");
        let listener = TcpListener::bind(address).await.expect("a listener");
        let stop = CancellationToken::new();
        // The source reports to VMs of its data centre.
        let hello = format!("{address} nord-b {}", link.mbps);
        site.store.put("members", link.vm, hello);
        let reports = pass_reports(socket, link, source, address, targets.to_vec());
        tokio::spawn(stop.clone().run_until_cancelled_owned(reports));
        let copying = stop.child_token();
        let copies = pass_copies(listener, link, source, copying.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(copies));
        Self { stop, copying }
    }

    /// Leaves requests for store data unanswered from now on; reports go on.
    pub fn mute(&self) {
        self.copying.cancel();
    }

    /// Ends the VM.
    pub fn stop(&self) {
        self.stop.cancel();
    }
}

async fn pass_reports(
    socket: UdpSocket,
    link: Link,
    source: SocketAddr,
    address: SocketAddr,
    targets: Vec<SocketAddr>,
) {
    let mut buffer = vec![0; report::MAX_REPORT_BYTES];
    while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
        let Ok(mut report) = report::decode(&buffer[..length]) else {
            continue;
        };
        if report.address != source || report.is_summary() {
            continue;
        }
        report.vm = link.vm.into();
        report.data_centre = "nord-a".into();
        report.address = address;
        report.entrance.link_mbps = link.mbps;
        report.known.reads = true;
        let bytes = report::encode(&report).expect("a report");
        for target in &targets {
            let _ = socket.send_to(&bytes, target).await;
        }
    }
}

async fn pass_copies(
    listener: TcpListener,
    link: Link,
    source: SocketAddr,
    copying: CancellationToken,
) {
    let free_at = Arc::new(Mutex::new(Instant::now()));
    while let Ok((stream, _)) = listener.accept().await {
        let (free_at, copying) = (free_at.clone(), copying.clone());
        tokio::spawn(async move {
            if copying.is_cancelled() {
                return std::future::pending().await;
            }
            let _ = pass_copy(stream, link, source, &free_at).await;
        });
    }
}

/// Passes one request to the source and its answer back, chunk by chunk, so that all connections
/// share the link.
async fn pass_copy(
    stream: TcpStream,
    link: Link,
    source: SocketAddr,
    free_at: &Mutex<Instant>,
) -> std::io::Result<()> {
    let (mut from_vm, mut to_vm) = stream.into_split();
    let (mut from_source, mut to_source) = TcpStream::connect(source).await?.into_split();
    let requests = tokio::spawn(async move {
        let _ = tokio::io::copy(&mut from_vm, &mut to_source).await;
    });
    let mut chunk = vec![0; CHUNK];
    loop {
        let length = from_source.read(&mut chunk).await?;
        if length == 0 {
            break;
        }
        let sent_at = {
            let mut free_at = base::sync::lock(free_at);
            let time = Duration::from_secs_f64(length as f64 / link.bytes_per_s);
            *free_at = (*free_at).max(Instant::now()) + time;
            *free_at
        };
        tokio::time::sleep_until(sent_at.into()).await;
        to_vm.write_all(&chunk[..length]).await?;
    }
    requests.abort();
    Ok(())
}
