//! A small deployment on loopback addresses: store, backend servers and gateway processes.

use crate::http::{self, Head};
use serde_json::json;
use standin_site::store::{Endpoint, Store};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::{Notify, Semaphore};
use tokio_util::sync::CancellationToken;

pub const HOST: &str = "jepu9.example";
/// `idleTimeoutMs` of the desired state.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(15_000);
pub const KEY: &str = "tnfzs989anu6wsjnbanf";
pub const TENANT: &str = "yefi830";
/// `maxBodyBytes` in the example of a desired state that `fleetbench wire` prints.
pub const MAX_BODY_BYTES: usize = 67_108_864;
/// `memoryMb` of the site's machines.
pub const MEMORY_MB: u64 = 260;

/// A request that a backend server began to run.
#[derive(Clone)]
pub struct Run {
    pub head: Head,
    pub at: Instant,
}

/// Path of requests that crash each backend server that begins to run them.
pub const CRASHING_PATH: &str = "/booking/crash";
/// Time after which a crashed backend server is back.
const CRASH_TIME: Duration = Duration::from_secs(3);

/// A backend server.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Times at which requests arrived.
    pub arrivals: Arc<Mutex<Vec<Instant>>>,
    slots: Arc<Semaphore>,
    work: Duration,
    data_centre: &'static str,
    cold_until: Arc<Mutex<Option<Instant>>>,
    changed: Arc<Notify>,
}

/// Starts a backend server with three slots and registers it; its entry is renewed every 1.5 s.
pub async fn backend(store: &Store, id: &str, service: &'static str, work: Duration) -> Backend {
    backend_in("nord-a", store, id, service, work).await
}

/// Starts a backend server in a data centre.
pub async fn backend_in(
    data_centre: &'static str,
    store: &Store,
    id: &str,
    service: &'static str,
    work: Duration,
) -> Backend {
    let backend = Backend {
        id: id.into(),
        runs: Arc::default(),
        arrivals: Arc::default(),
        slots: Arc::new(Semaphore::new(3)),
        work,
        data_centre,
        cold_until: Arc::default(),
        changed: Arc::default(),
    };
    let address = free_address().await;
    let (own, store) = (backend.clone(), store.clone());
    tokio::spawn(async move {
        loop {
            own.live(&store, service, address).await;
            tokio::time::sleep(CRASH_TIME).await;
        }
    });
    backend
}

impl Backend {
    /// Runs until a request crashes the server; all its connections end then.
    async fn live(&self, store: &Store, service: &str, address: SocketAddr) {
        let listener = TcpListener::bind(address).await.expect("bind a backend");
        let crash = CancellationToken::new();
        let accept = async {
            while let Ok((stream, _)) = listener.accept().await {
                let (own, crash) = (self.clone(), crash.clone());
                tokio::spawn(async move {
                    crash.run_until_cancelled(own.serve(stream, &crash)).await;
                });
            }
        };
        let born = std::time::SystemTime::UNIX_EPOCH.elapsed();
        let born = born.map_or(0, |t| t.as_millis() as u64);
        let register = async {
            for sequence in 1.. {
                let row = json!({
                    "service": service, "address": address, "zone": self.data_centre,
                    "version": "v1", "slots": 3, "state": "ready",
                    "warmupLeftMs": self.cold_time().as_millis() as u64, "sequence": sequence,
                    "born": born,
                });
                store.put("servers", &self.id, row.to_string());
                let beat = Duration::from_millis(1_500);
                let _ = tokio::time::timeout(beat, self.changed.notified()).await;
            }
        };
        tokio::select! {
            () = accept => {}
            () = register => {}
            () = crash.cancelled() => {}
        }
    }

    async fn serve(&self, mut stream: TcpStream, crash: &CancellationToken) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(head) = http::read_head(&mut stream, &mut buffer).await {
            if http::read_body(&mut stream, &mut buffer, &head)
                .await
                .is_none()
            {
                return;
            }
            let id = head
                .get("x-cardamomhall-attempt-id")
                .unwrap_or_default()
                .to_owned();
            if head.target != "/health" {
                self.arrivals.lock().expect("lock").push(Instant::now());
            }
            let answer = if head.target == "/health" {
                format!(
                    "HTTP/1.1 200 OK\r\nX-Cardamomhall-Instance-Id: {}\r\nX-Cardamomhall-Warmup-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id,
                    self.cold_time().as_millis()
                )
            } else if id.is_empty() {
                "HTTP/1.1 400 Bad Request\r\nX-Cardamomhall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".into()
            } else if head
                .get("x-cardamomhall-expect-instance")
                .is_some_and(|i| i != self.id)
            {
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Cardamomhall-Attempt-Id: {id}\r\nX-Cardamomhall-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                )
            } else {
                let _slot = self
                    .slots
                    .acquire()
                    .await
                    .expect("the semaphore stays open");
                let run = Run {
                    head: head.clone(),
                    at: Instant::now(),
                };
                self.runs.lock().expect("lock").push(run);
                if head.target == CRASHING_PATH {
                    crash.cancel();
                    return;
                }
                let is_cold = !self.cold_time().is_zero();
                tokio::time::sleep(self.work * if is_cold { 2 } else { 1 }).await;
                let text = format!("ran {id}\n");
                format!(
                    "HTTP/1.1 200 OK\r\nX-Cardamomhall-Attempt-Id: {id}\r\nX-Cardamomhall-Response-Signature: {}.{id}\r\nContent-Length: {}\r\n\r\n{text}",
                    self.id,
                    text.len()
                )
            };
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Returns how long the server stays cold.
    fn cold_time(&self) -> Duration {
        let until = *self.cold_until.lock().expect("lock");
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }

    /// Turns the server cold for `time` and reports it to the store.
    pub fn turn_cold(&self, time: Duration) {
        *self.cold_until.lock().expect("lock") = Some(Instant::now() + time);
        self.changed.notify_one();
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("lock").clone()
    }
}

/// Publishes a desired state with one tenant, a route for safe and one for unsafe requests.
pub fn publish(store: &Store) {
    let rule = |name: &str, kind: &str, service: &str, aim: u32, timeout: u32| {
        json!({
            "name": name, "routeType": kind, "targetLatencyMs": aim, "priority": 1,
            "public": false, "sessionAffinity": true, "match": {"prefix": format!("/{name}/")},
            "action": {"service": service, "timeoutMs": timeout, "maxAttempts": 2, "homeRegions": []},
        })
    };
    let cluster = |name: &str| {
        json!({
            "name": name, "healthPath": "/health", "maxConnections": 390, "protocol": "h1",
            "tls": false, "warmupS": 3.0, "warmupPerS": 2.6,
        })
    };
    let config = json!({
        "version": "00000007", "baseVersion": "00000005",
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY_BYTES, "headerTimeoutMs": 3000, "idleTimeoutMs": IDLE_TIMEOUT.as_millis() as u64},
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 0, "ratePerS": 69, "burst": 69, "homeRegions": []}],
        "listeners": [{"hostname": HOST, "rules": [
            rule("lookup", "safe", "lookup-api", 400, 3000),
            rule("booking", "unsafe", "booking-api", 600, 4000),
        ]}],
        "clusters": [cluster("lookup-api"), cluster("booking-api")],
    });
    store.put("op", "config", config.to_string());
}

/// A gateway process, started with the command of the deploy file.
pub struct Gateway {
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: serde_json::Value,
    file: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// When the process was started last.
    pub started: Instant,
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind a free port");
    listener.local_addr().expect("address of a free port")
}

impl Gateway {
    /// Creates a gateway of the data centre `nord-a`, `centre-a` or `sud-a`.
    pub async fn new(folder: &Path, store: SocketAddr, data_centre: &str) -> Self {
        let mut at = Vec::new();
        for _ in 0..5 {
            at.push(free_address().await);
        }
        let vm = format!("edge-{data_centre}-1");
        let region = data_centre.split('-').next();
        let settings = json!({
            "vm": vm, "data_centre": data_centre, "region": region,
            "data_centres": {"nord-a": "nord", "centre-a": "centre", "sud-a": "sud", "nord-b": "nord", "centre-b": "centre", "sud-b": "sud"},
            "listen": {"callers": at[0], "readiness": at[1], "lookup": at[2], "peers": at[3], "metrics": at[4]},
            "seeds": [], "store": store, "link_mbps": 1000.0, "memory_mb": MEMORY_MB, "first_start": true,
            "bounds": {"grace_s": 6, "retry_ratio": 0.2, "retry_slack": 62, "exposure_share": 0.1, "exposure_slack": 50, "lookup_ttl_s": 5},
        });
        Self {
            callers: at[0],
            readiness: at[1],
            settings,
            file: folder.join(format!("{vm}.json")),
            log: folder.join(format!("{vm}.log")),
            child: None,
            started: Instant::now(),
        }
    }

    /// Starts the process and waits until it is ready; returns whether it is.
    pub async fn start(&mut self) -> bool {
        self.started = Instant::now();
        std::fs::write(&self.file, self.settings.to_string()).expect("write the settings");
        // Only the first start of the whole system is one.
        self.settings["first_start"] = json!(false);
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("open the log");
        let child = Command::new("target/release/gateway")
            .arg("--settings")
            .arg(&self.file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("clone the log"))
            .stderr(log)
            .kill_on_drop(true)
            .spawn();
        self.child = child.ok();
        let limit = Instant::now() + Duration::from_secs(20);
        while Instant::now() < limit {
            if self.is_ready().await {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    pub async fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.readiness).await else {
            return false;
        };
        let question = format!(
            "GET /-/readiness HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.readiness
        );
        if stream.write_all(question.as_bytes()).await.is_err() {
            return false;
        }
        let mut buffer = Vec::new();
        http::read_head(&mut stream, &mut buffer)
            .await
            .is_some_and(|head| head.status() == 200)
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref()?.id()
    }

    pub fn is_running(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }
}

/// Opens the store at a free address.
pub async fn store() -> (Store, SocketAddr) {
    let (store, endpoint) = store_with_faults().await;
    (store, endpoint.address)
}

/// Opens the store at a free address whose faults can be switched.
pub async fn store_with_faults() -> (Store, Endpoint) {
    let store = Store::default();
    let address = "127.0.0.1:0".parse().expect("an address");
    let endpoint = store
        .open(address, CancellationToken::new())
        .await
        .expect("open the store");
    (store, endpoint)
}
