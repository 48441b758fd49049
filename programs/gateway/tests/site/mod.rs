//! Test site on loopback: store, backend servers, gateways and callers.

use adapter::{call, header};
use base::http::client::{Answer, Target};
use bytes::Bytes;
use gateway::run;
use gateway::settings::{Bounds, Listen, Settings};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use peers::report::{Known, Phase, Report};
use standin_site::operator::Desired;
use standin_site::server::{Entry, Server};
use standin_site::store::{Endpoint, Store};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use steering::entrance::Candidate;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// Time limit of calls and of [`wait_until`].
pub const TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

static NEXT_ADDRESS: AtomicU32 = AtomicU32::new(1);

/// Returns a loopback address that no other test of any process uses.
pub fn unused_address() -> IpAddr {
    let process = std::process::id() % 65_000;
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    assert!(number < 250, "too many addresses in one test process");
    let [high, low] = (process as u16).to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, number as u8))
}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    pub settings: Settings,
    pub stop: CancellationToken,
}

/// Test site; its programs stop when it is dropped.
pub struct Site {
    pub store: Store,
    stop: CancellationToken,
}

impl Site {
    pub fn new() -> Self {
        Self {
            store: Store::default(),
            stop: CancellationToken::new(),
        }
    }

    /// Starts a site with `N` servers `i-1`, `i-2` and so on, and without gateways.
    pub async fn with_servers<const N: usize>(desired: &Desired) -> (Self, Endpoint, [Server; N]) {
        let site = Self::new();
        let door = site.store_endpoint().await;
        site.publish(desired);
        let mut servers = Vec::new();
        for number in 1..=N {
            let id = format!("i-{number}");
            servers.push(site.server(&id, &Entry::default()).await);
        }
        let servers = servers.try_into().expect("as many as asked for");
        (site, door, servers)
    }

    /// Starts a site with one server and one ready gateway.
    pub async fn with_gateway(desired: &Desired) -> (Self, Endpoint, Server, Gateway) {
        let (site, door, [server]) = Self::with_servers(desired).await;
        let gateway = site.gateway("vm-1", "nord-a", &door).await;
        gateway.wait_ready().await;
        (site, door, server, gateway)
    }

    /// Starts gateways, given by VM and data centre, and waits until all are ready.
    pub async fn gateways<const N: usize>(
        &self,
        vms: [(&str, &str); N],
        door: &Endpoint,
    ) -> [Gateway; N] {
        let mut gateways = Vec::new();
        for (vm, data_centre) in vms {
            gateways.push(self.gateway(vm, data_centre, door).await);
        }
        for gateway in &gateways {
            gateway.wait_ready().await;
        }
        gateways.try_into().expect("as many as asked for")
    }

    pub async fn store_endpoint(&self) -> Endpoint {
        let address = SocketAddr::new(unused_address(), 8000);
        let opened = self.store.open(address, self.stop.clone()).await;
        opened.expect("the store listens")
    }

    pub fn publish(&self, desired: &Desired) -> u64 {
        desired.publish(&self.store)
    }

    pub async fn server(&self, id: &str, entry: &Entry) -> Server {
        let address = SocketAddr::new(unused_address(), 8080);
        let server = Server::start(id, address)
            .await
            .expect("the server listens");
        server.register(&self.store, entry);
        server
    }

    /// Starts a gateway that reaches the store through `door`.
    pub async fn gateway(&self, vm: &str, data_centre: &str, door: &Endpoint) -> Gateway {
        self.start_gateway(vm, data_centre, door, 1_000.0).await
    }

    /// Starts a gateway with a link bandwidth in Mbit/s.
    pub async fn start_gateway(
        &self,
        vm: &str,
        data_centre: &str,
        door: &Endpoint,
        link: f64,
    ) -> Gateway {
        self.run_gateway(Settings {
            link_mbps: link,
            ..Self::gateway_settings(vm, data_centre, door)
        })
    }

    /// Returns the settings of a gateway at an address of its own.
    pub fn gateway_settings(vm: &str, data_centre: &str, door: &Endpoint) -> Settings {
        let ip = unused_address();
        let at = |port| SocketAddr::new(ip, port);
        Settings {
            vm: vm.into(),
            data_centre: data_centre.into(),
            region: region(data_centre).into(),
            data_centres: ["nord-a", "nord-b", "sud-a"]
                .iter()
                .map(|name| ((*name).into(), region(name).into()))
                .collect(),
            listen: Listen {
                callers: at(8389),
                readiness: at(8384),
                lookup: at(8385),
                peers: at(7460),
                metrics: at(9464),
            },
            seeds: Vec::new(),
            store: door.address,
            link_mbps: 1_000.0,
            memory_mb: 260,
            first_start: false,
            usage: None,
            bounds: Bounds {
                grace_s: 2.0,
                retry_ratio: 0.2,
                retry_slack: 62.0,
                exposure_share: Some(0.1),
                exposure_slack: Some(50.0),
                lookup_ttl_s: 5.0,
            },
            list_period_ms: 300,
            log: "info".into(),
        }
    }

    /// Starts a gateway with these settings.
    pub fn run_gateway(&self, settings: Settings) -> Gateway {
        let stop = self.stop.child_token();
        let running = run::run(settings.clone(), "/dev/null".into(), stop.clone());
        tokio::spawn(async move { running.await.expect("the gateway listens") });
        Gateway { settings, stop }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

fn region(data_centre: &str) -> &str {
    data_centre.split('-').next().unwrap_or_default()
}

impl Gateway {
    /// Waits until the gateway reports that it is ready.
    pub async fn wait_ready(&self) {
        wait_until("the gateway is ready", || async {
            let answer = get(self.settings.listen.readiness, call::READINESS).await;
            answer.is_some_and(|answer| answer.status == StatusCode::OK)
        })
        .await;
    }

    /// Sends a request of a caller with a valid key.
    pub async fn request(&self, id: &str, path: &str) -> Option<(StatusCode, HeaderMap, Bytes)> {
        self.request_with_key(id, path, Some("key-1")).await
    }

    pub async fn request_with_key(
        &self,
        id: &str,
        path: &str,
        key: Option<&str>,
    ) -> Option<(StatusCode, HeaderMap, Bytes)> {
        self.request_for_object(id, path, key, "17").await
    }

    /// Sends a request that concerns an object.
    pub async fn request_for_object(
        &self,
        id: &str,
        path: &str,
        key: Option<&str>,
        object: &str,
    ) -> Option<(StatusCode, HeaderMap, Bytes)> {
        let mut request = Request::builder()
            .method(Method::GET)
            .uri(path)
            .header("host", "a.example")
            .header(header::REQUEST_ID, id)
            .header(header::DEADLINE, "3000")
            .header("cookie", header::object_cookie(object));
        if let Some(key) = key {
            request = request.header(header::KEY, key);
        }
        let request = request.body(Full::new(Bytes::new())).expect("a request");
        send(self.settings.listen.callers, request).await
    }
}

pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<(StatusCode, HeaderMap, Bytes)> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await.ok()?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.ok()?.to_bytes();
    Some((parts.status, parts.headers, body))
}

pub async fn get(address: SocketAddr, path: &str) -> Option<Answer> {
    let target = target(address);
    target.call(Method::GET, path, Bytes::new()).await.ok()
}

/// Sends a request to each gateway, each with an object of its own, so that no server is preferred.
pub async fn call_each(gateways: &[Gateway]) {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for gateway in gateways {
        let id = format!("each-{}", NEXT.fetch_add(1, Ordering::Relaxed));
        gateway
            .request_for_object(&id, "/a/", Some("key-1"), &id)
            .await;
    }
    tokio::time::sleep(Duration::from_millis(5)).await;
}

/// Returns the metrics of a gateway as text.
pub async fn metrics(gateway: &Gateway) -> String {
    let answer = get(gateway.settings.listen.metrics, "/metrics").await;
    let text = answer.expect("metrics").body;
    String::from_utf8(text.to_vec()).expect("text")
}

/// Returns the value of a counter of a gateway; 0 if it has not counted yet.
pub async fn metric(gateway: &Gateway, name: &str) -> u64 {
    let text = metrics(gateway).await;
    let mut lines = text.lines().filter_map(|line| line.split_once(' '));
    let value = lines.find(|(key, _)| *key == name);
    value.map_or(0, |(_, value)| value.parse().expect("a number"))
}

/// Returns a target with the time-out [`TIMEOUT`].
pub fn target(address: SocketAddr) -> Target {
    Target {
        address,
        timeout: TIMEOUT,
        authorization: None,
    }
}

/// Waits until a condition holds; fails the test after [`TIMEOUT`].
pub async fn wait_until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let end = Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "not in time: {what}");
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Returns the first report of a VM with a narrow link.
pub fn report_of(vm: &str, data_centre: &str, address: SocketAddr) -> Report {
    Report {
        vm: vm.into(),
        incarnation: 1,
        sequence: 0,
        data_centre: data_centre.into(),
        region: "nord".into(),
        address,
        entrance: Candidate {
            link_mbps: 12,
            is_busy: false,
        },
        callers: address,
        phase: Phase::Ready,
        configuration: 1,
        known: Known::default(),
        members: Vec::new(),
        in_flight: Vec::new(),
        handled: Vec::new(),
        down: Vec::new(),
        leaving: Vec::new(),
        staying: Vec::new(),
        limits: Vec::new(),
        spending: Vec::new(),
        crashes: Vec::new(),
        takeovers: Vec::new(),
        usage: None,
        paces: Vec::new(),
    }
}
