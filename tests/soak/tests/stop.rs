//! Shutdown of a gateway process by SIGTERM while servers need longer than the remaining grace
//! time. A gateway that runs as a task in the test would hide interrupted requests, because its
//! connections outlive it.

mod program;

use adapter::call::READINESS;
use adapter::header;
use base::http::client::Target;
use base::sync::lock;
use bytes::Bytes;
use hyper::{Method, StatusCode};
use program::program;
use rstest::rstest;
use rustix::process::Signal;
use soak::addresses::{Addresses, DATA_CENTRE_NAMES, settings};
use soak::caller::{Caller, RequestRecord};
use soak::invariants;
use soak::process::Gateway;
use standin_site::operator::{Desired, Route};
use standin_site::server::{Behaviour, Entry, Server};
use standin_site::store::{Endpoint, Store};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::{CancellationToken, DropGuard};

/// Longest wait for a condition.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time from SIGTERM for which the gateway waits for answers of servers.
const SERVER_WAIT: Duration = invariants::SERVER_WAIT;
/// Service time beyond the grace time of these gateways (2 s).
const LONG_SERVICE_TIME: Duration = Duration::from_secs(8);
/// Time for which callers wait; longer than the shutdown of a gateway.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);
/// Repeatable and non-repeatable requests; the route timeout ends none of them.
static ROUTES: [Route; 2] = [
    Route {
        name: "safe",
        service: "service",
        timeout_ms: 20_000,
        ..Route::PLAIN
    },
    Route {
        name: "once",
        service: "service",
        timeout_ms: 20_000,
        repeatable: false,
        ..Route::PLAIN
    },
];

fn route(repeatable: bool) -> &'static Route {
    &ROUTES[usize::from(!repeatable)]
}

/// Servers of a site; enough that each request gets a slot.
const SERVERS: u8 = 12;
/// Callers of [`every_run_request_is_answered`].
const CALLERS: u32 = 24;

/// One gateway process, its store and its servers.
struct Site {
    gateway: Gateway,
    readiness: SocketAddr,
    servers: Vec<Server>,
    _store: Store,
    _endpoint: Endpoint,
    _stop: DropGuard,
}

impl Site {
    /// Starts a site and waits until its gateway serves callers.
    async fn start(name: &str) -> Self {
        let addresses = Addresses::next();
        let stop = CancellationToken::new();
        let store = Store::default();
        let endpoint = store.open(addresses.at(1, 8000), stop.clone());
        let endpoint = endpoint.await.expect("the store listens");
        let desired = Desired {
            host: "soak.example",
            keys: &["new"],
            routes: &ROUTES,
            ..Desired::default()
        };
        desired.publish(&store);
        let mut servers = Vec::new();
        for number in 1..=SERVERS {
            let id = format!("i-{number}");
            let server = Server::start(&id, addresses.at(20 + number, 8080)).await;
            let server = server.expect("the server listens");
            let entry = Entry {
                service: "service",
                data_centre: DATA_CENTRE_NAMES[0],
                ..Entry::default()
            };
            server.register(&store, &entry);
            servers.push(server);
        }
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("stop-{name}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        let at = |port| addresses.at(41, port);
        let mut gateway = Gateway::new("vm-0", at(8389), at(8385), program(), &folder);
        let text = settings("vm-0", DATA_CENTRE_NAMES[0], at, endpoint.address);
        std::fs::write(gateway.settings(), text.to_string()).expect("a settings file");
        gateway.start().expect("the gateway starts");
        let site = Self {
            gateway,
            readiness: at(8384),
            servers,
            _store: store,
            _endpoint: endpoint,
            _stop: stop.drop_guard(),
        };
        let end = Instant::now() + TIMEOUT;
        while site.request("ready", true).await != Some(200) {
            assert!(Instant::now() < end, "the gateway does not start");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        site
    }

    fn caller(&self) -> Caller {
        let mut caller = Caller::new(0, self.gateway.callers);
        (caller.answer_timeout, caller.deadline) = (ANSWER_TIMEOUT, ANSWER_TIMEOUT);
        caller
    }

    /// Sends a request on a connection of its own; returns the status, or none without an answer.
    async fn request(&self, id: &str, repeatable: bool) -> Option<u16> {
        let seen = self.caller().request(id, route(repeatable), false).await;
        seen.answer.map(|(status, _, _)| status)
    }

    /// Sets the service time of all servers.
    fn set_service_time(&self, work: Duration) {
        for server in &self.servers {
            server.set(Behaviour {
                work,
                ..Behaviour::default()
            });
        }
    }

    fn terminate(&mut self) {
        self.gateway.signal(Signal::TERM).expect("a signal");
    }

    /// Waits until the gateway is no longer ready because its shutdown has begun.
    async fn wait_stopping(&self) {
        let target = Target {
            address: self.readiness,
            timeout: TIMEOUT,
            authorization: None,
        };
        let end = Instant::now() + TIMEOUT;
        loop {
            let answer = target.call(Method::GET, READINESS, Bytes::new()).await;
            if answer.is_ok_and(|answer| answer.status != StatusCode::OK) {
                return;
            }
            assert!(Instant::now() < end, "the shutdown does not begin");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns how often servers ran a request.
    fn runs(&self, id: &str) -> usize {
        let runs = self.servers.iter().flat_map(Server::runs);
        runs.filter(|run| *run.id == *id).count()
    }

    /// Waits until a server runs a request.
    async fn wait_running(&self, id: &str) {
        let end = Instant::now() + TIMEOUT;
        while self.runs(id) == 0 {
            assert!(Instant::now() < end, "{id} does not run");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until the gateway process has ended.
    async fn wait_ended(&mut self) {
        let end = Instant::now() + TIMEOUT;
        while self.gateway.is_running().expect("a state") {
            assert!(Instant::now() < end, "the gateway does not end");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Returns the status and the body of an answer.
fn status_and_body(seen: &RequestRecord) -> Option<(u16, &[u8])> {
    let (status, _, body) = seen.answer.as_ref()?;
    Some((*status, body))
}

/// Guards against requests that end without an answer because their server needs longer than the
/// remaining grace time.
#[rstest]
#[case::repeatable("outlasting-safe", true)]
#[case::once("outlasting-once", false)]
#[tokio::test]
async fn request_that_outlasts_the_grace_time_is_answered(
    #[case] name: &str,
    #[case] repeatable: bool,
) {
    let mut site = Site::start(name).await;
    site.set_service_time(LONG_SERVICE_TIME);
    let mut caller = site.caller();
    let long = tokio::spawn(async move { caller.request("long", route(repeatable), false).await });
    site.wait_running("long").await;
    let begin = Instant::now();
    site.terminate();
    let seen = long.await.expect("the caller ends");
    assert_eq!(status_and_body(&seen), Some((504, &b"stopping\n"[..])));
    assert!(
        seen.ended_at >= begin + SERVER_WAIT,
        "the gateway does not wait for the server"
    );
}

/// Guards against requests that a stopping gateway sends to a server although the answer may come
/// after its grace time, and against refusals of requests that ran.
#[rstest]
#[case::early_repeatable("early-safe", 0, true)]
#[case::early_once("early-once", 0, false)]
#[case::late_repeatable("late-safe", 600, true)]
#[case::late_once("late-once", 600, false)]
#[tokio::test]
async fn request_that_may_outlast_the_grace_time_is_not_run(
    #[case] name: &str,
    #[case] after_ms: u64,
    #[case] repeatable: bool,
) {
    let mut site = Site::start(name).await;
    site.set_service_time(LONG_SERVICE_TIME);
    site.terminate();
    site.wait_stopping().await;
    tokio::time::sleep(Duration::from_millis(after_ms)).await;
    let seen = site
        .caller()
        .request("late", route(repeatable), false)
        .await;
    assert_eq!(status_and_body(&seen), Some((503, &b"stopping\n"[..])));
    site.wait_ended().await;
    assert_eq!(site.runs("late"), 0);
}

/// Guards against a stopping gateway that refuses requests that it can still serve: those it
/// accepted before SIGTERM, and new ones whose deadline is within the grace time.
#[rstest]
#[case::repeatable("served-safe", true)]
#[case::once("served-once", false)]
#[tokio::test]
async fn request_that_ends_within_the_grace_time_is_served(
    #[case] name: &str,
    #[case] repeatable: bool,
) {
    let mut site = Site::start(name).await;
    site.set_service_time(Duration::from_millis(700));
    let mut caller = site.caller();
    let taken =
        tokio::spawn(async move { caller.request("taken", route(repeatable), false).await });
    site.wait_running("taken").await;
    site.set_service_time(Duration::from_millis(50));
    site.terminate();
    site.wait_stopping().await;
    let mut caller = site.caller();
    caller.deadline = Duration::from_millis(500);
    let short = caller.request("short", route(repeatable), false).await;
    assert_eq!(
        status_and_body(&short),
        Some((200, site.answer("short").as_bytes()))
    );
    let taken = taken.await.expect("the caller ends");
    assert_eq!(
        status_and_body(&taken),
        Some((200, site.answer("taken").as_bytes()))
    );
}

/// Guards against requests that are interrupted by a second SIGTERM.
#[rstest]
#[case::repeatable("twice-safe", true)]
#[case::once("twice-once", false)]
#[tokio::test]
async fn second_signal_interrupts_no_request(#[case] name: &str, #[case] repeatable: bool) {
    let mut site = Site::start(name).await;
    site.set_service_time(Duration::from_millis(700));
    let mut caller = site.caller();
    let taken =
        tokio::spawn(async move { caller.request("taken", route(repeatable), false).await });
    site.wait_running("taken").await;
    site.terminate();
    site.wait_stopping().await;
    site.terminate();
    let taken = taken.await.expect("the caller ends");
    assert_eq!(
        status_and_body(&taken),
        Some((200, site.answer("taken").as_bytes()))
    );
    site.wait_ended().await;
}

impl Site {
    /// Returns the expected answer of the server that ran a request.
    fn answer(&self, id: &str) -> String {
        let runs = |server: &&Server| server.runs().iter().any(|run| *run.id == *id);
        let server = self.servers.iter().find(runs).expect("a server ran it");
        format!("answer to {id} from {}", server.id)
    }
}

/// Guards against a request that ends without an answer because its body is incomplete when the
/// shutdown ends.
#[tokio::test]
async fn request_with_incomplete_body_is_refused() {
    let mut site = Site::start("body").await;
    let mut stream = TcpStream::connect(site.gateway.callers)
        .await
        .expect("a connection");
    let head = format!(
        "POST /once/x HTTP/1.1\r\nhost: soak.example\r\n{}: half\r\n{}: 12000\r\n{}: new\r\ncontent-length: 8\r\n\r\nhalf",
        header::REQUEST_ID,
        header::DEADLINE,
        header::KEY
    );
    stream.write_all(head.as_bytes()).await.expect("written");
    // The gateway has read the head once it has answered another request.
    assert_eq!(site.request("after", true).await, Some(200));
    site.terminate();
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer).await;
    assert!(read.is_ok(), "{read:?}");
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
    assert!(answer.to_lowercase().contains("\r\nconnection: close\r\n"));
    assert_eq!(site.runs("half"), 0);
}

/// Guards against a request that runs but gets no answer or a refusal, whenever it arrives during a
/// shutdown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_run_request_is_answered() {
    let mut site = Site::start("stream").await;
    site.set_service_time(Duration::from_millis(900));
    let seen: Arc<Mutex<Vec<RequestRecord>>> = Arc::default();
    let stop = CancellationToken::new();
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let (mut caller, seen, stop) = (site.caller(), seen.clone(), stop.clone());
        if number % 3 == 0 {
            caller.deadline = Duration::from_millis(400);
        }
        callers.push(tokio::spawn(async move {
            // Spreads the requests over the service time of 900 ms.
            tokio::time::sleep(Duration::from_millis(40) * number).await;
            for turn in 0_u32.. {
                if stop.is_cancelled() {
                    return;
                }
                let id = format!("r{number}-{turn}");
                let result = caller.request(&id, route(number % 2 == 0), false).await;
                lock(&seen).push(result);
                tokio::time::sleep(Duration::from_millis(3)).await;
            }
        }));
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    site.terminate();
    site.wait_ended().await;
    stop.cancel();
    for caller in callers {
        caller.await.expect("the caller ends");
    }
    let seen = lock(&seen).clone();
    let served = seen
        .iter()
        .filter(|seen| matches!(status_and_body(seen), Some((200, _))));
    assert!(
        served.count() >= CALLERS as usize / 4,
        "too few requests run for a test"
    );
    let violations = seen.iter().filter(|seen| {
        let status = status_and_body(seen).map(|(status, _)| status);
        matches!(status, None | Some(503)) && site.runs(&seen.id) > 0
    });
    let violations: Vec<_> = violations
        .map(|seen| (&seen.id, status_and_body(seen)))
        .collect();
    assert!(violations.is_empty(), "{violations:?}");
}
