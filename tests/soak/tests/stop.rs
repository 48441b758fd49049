//! A gateway process under SIGTERM, beside servers that are slower than what is left of its grace
//! time. A gateway that runs as a task does not show a cut, because its connections outlive it.

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
use soak::caller::{Caller, Seen};
use soak::place::{Addresses, NAMES, settings};
use soak::process::Gateway;
use soak::promise;
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
const SOON: Duration = Duration::from_secs(10);
/// Time between two looks at a condition.
const LOOK: Duration = Duration::from_millis(10);
/// Time from SIGTERM before which a gateway ends nothing itself.
const OWN_END: Duration = promise::OWN_END;
/// Work that no grace time of these gateways (2 s) is long enough for.
const LONG: Duration = Duration::from_secs(8);
/// Time that callers wait at most. Longer than the life of a gateway that stops.
const PATIENCE: Duration = Duration::from_secs(12);
/// Requests that may run more than once, and those that may not. The route ends none of them.
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

/// Servers of a site; enough for a slot for each request.
const SERVERS: u8 = 12;
/// Callers of [`what_runs_is_answered`].
const CALLERS: u32 = 24;

/// One gateway process, its store and its servers.
struct Site {
    gateway: Gateway,
    readiness: SocketAddr,
    servers: Vec<Server>,
    _store: Store,
    _door: Endpoint,
    _stop: DropGuard,
}

impl Site {
    /// Starts a site; its gateway serves callers.
    async fn start(name: &str) -> Self {
        let addresses = Addresses::next();
        let stop = CancellationToken::new();
        let store = Store::default();
        let door = store.open(addresses.at(1, 8000), stop.clone());
        let door = door.await.expect("the store listens");
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
                data_centre: NAMES[0],
                ..Entry::default()
            };
            server.register(&store, &entry);
            servers.push(server);
        }
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("stop-{name}"));
        std::fs::create_dir_all(&folder).expect("a folder");
        let at = |port| addresses.at(41, port);
        let mut gateway = Gateway::new("vm-0", at(8389), at(8385), program(), &folder);
        let text = settings("vm-0", NAMES[0], at, door.address);
        std::fs::write(gateway.settings(), text).expect("a settings file");
        gateway.start().expect("the gateway starts");
        let site = Self {
            gateway,
            readiness: at(8384),
            servers,
            _store: store,
            _door: door,
            _stop: stop.drop_guard(),
        };
        let end = Instant::now() + SOON;
        while site.ask("ready", true).await != Some(200) {
            assert!(Instant::now() < end, "the gateway does not start");
            tokio::time::sleep(LOOK).await;
        }
        site
    }

    fn caller(&self) -> Caller {
        let mut caller = Caller::new(0, self.gateway.callers);
        (caller.patience, caller.deadline) = (PATIENCE, PATIENCE);
        caller
    }

    /// Sends a request on a connection of its own; returns the status, or none without an answer.
    async fn ask(&self, id: &str, repeatable: bool) -> Option<u16> {
        let seen = self.caller().ask(id, route(repeatable), false).await;
        seen.answer.map(|(status, _, _)| status)
    }

    /// Makes all servers work so long on each request.
    fn work(&self, work: Duration) {
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

    /// Waits until the gateway is no longer ready, because its stop has begun.
    async fn until_stopping(&self) {
        let target = Target {
            address: self.readiness,
            timeout: SOON,
            authorization: None,
        };
        let end = Instant::now() + SOON;
        loop {
            let answer = target.call(Method::GET, READINESS, Bytes::new()).await;
            if answer.is_ok_and(|answer| answer.status != StatusCode::OK) {
                return;
            }
            assert!(Instant::now() < end, "the stop does not begin");
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Returns how often servers ran a request.
    fn runs(&self, id: &str) -> usize {
        let runs = self.servers.iter().flat_map(Server::runs);
        runs.filter(|run| *run.id == *id).count()
    }

    /// Waits until a server runs a request.
    async fn until_runs(&self, id: &str) {
        let end = Instant::now() + SOON;
        while self.runs(id) == 0 {
            assert!(Instant::now() < end, "{id} does not run");
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Waits until the gateway has ended.
    async fn until_ended(&mut self) {
        let end = Instant::now() + SOON;
        while self.gateway.is_running().expect("a state") {
            assert!(Instant::now() < end, "the gateway does not end");
            tokio::time::sleep(LOOK).await;
        }
    }
}

/// Returns the status and the text of an answer.
fn told(seen: &Seen) -> Option<(u16, &[u8])> {
    let (status, _, body) = seen.answer.as_ref()?;
    Some((*status, body))
}

/// Guards against requests that are cut without an answer because their server works for longer
/// than the grace time that is left.
#[rstest]
#[case::repeatable("outlasting-safe", true)]
#[case::once("outlasting-once", false)]
#[tokio::test]
async fn request_that_outlasts_the_grace_is_answered(#[case] name: &str, #[case] repeatable: bool) {
    let mut site = Site::start(name).await;
    site.work(LONG);
    let mut caller = site.caller();
    let asked = tokio::spawn(async move { caller.ask("long", route(repeatable), false).await });
    site.until_runs("long").await;
    let begin = Instant::now();
    site.terminate();
    let seen = asked.await.expect("the caller ends");
    assert_eq!(told(&seen), Some((504, &b"stopping\n"[..])));
    assert!(
        seen.ended >= begin + OWN_END,
        "its server is not waited for"
    );
}

/// Guards against requests that a stopping gateway passes on although it may not live to see their
/// answer, and against refusals of requests that ran.
#[rstest]
#[case::early_repeatable("early-safe", 0, true)]
#[case::early_once("early-once", 0, false)]
#[case::late_repeatable("late-safe", 600, true)]
#[case::late_once("late-once", 600, false)]
#[tokio::test]
async fn request_that_may_outlast_the_grace_is_refused_untouched(
    #[case] name: &str,
    #[case] after_ms: u64,
    #[case] repeatable: bool,
) {
    let mut site = Site::start(name).await;
    site.work(LONG);
    site.terminate();
    site.until_stopping().await;
    tokio::time::sleep(Duration::from_millis(after_ms)).await;
    let seen = site.caller().ask("late", route(repeatable), false).await;
    assert_eq!(told(&seen), Some((503, &b"stopping\n"[..])));
    site.until_ended().await;
    assert_eq!(site.runs("late"), 0);
}

/// Guards against a stopping gateway that refuses what it can still serve: what it has taken, and
/// what ends before it does.
#[rstest]
#[case::repeatable("served-safe", true)]
#[case::once("served-once", false)]
#[tokio::test]
async fn request_that_ends_within_the_grace_is_served(
    #[case] name: &str,
    #[case] repeatable: bool,
) {
    let mut site = Site::start(name).await;
    site.work(Duration::from_millis(700));
    let mut caller = site.caller();
    let taken = tokio::spawn(async move { caller.ask("taken", route(repeatable), false).await });
    site.until_runs("taken").await;
    site.work(Duration::from_millis(50));
    site.terminate();
    site.until_stopping().await;
    let mut caller = site.caller();
    caller.deadline = Duration::from_millis(500);
    let short = caller.ask("short", route(repeatable), false).await;
    assert_eq!(told(&short), Some((200, site.answer("short").as_bytes())));
    let taken = taken.await.expect("the caller ends");
    assert_eq!(told(&taken), Some((200, site.answer("taken").as_bytes())));
}

/// Guards against requests that are cut because the process is asked to stop a second time.
#[rstest]
#[case::repeatable("twice-safe", true)]
#[case::once("twice-once", false)]
#[tokio::test]
async fn second_signal_cuts_no_request(#[case] name: &str, #[case] repeatable: bool) {
    let mut site = Site::start(name).await;
    site.work(Duration::from_millis(700));
    let mut caller = site.caller();
    let taken = tokio::spawn(async move { caller.ask("taken", route(repeatable), false).await });
    site.until_runs("taken").await;
    site.terminate();
    site.until_stopping().await;
    site.terminate();
    let taken = taken.await.expect("the caller ends");
    assert_eq!(told(&taken), Some((200, site.answer("taken").as_bytes())));
    site.until_ended().await;
}

impl Site {
    /// Returns the answer of the server that ran a request.
    fn answer(&self, id: &str) -> String {
        let runs = |server: &&Server| server.runs().iter().any(|run| *run.id == *id);
        let server = self.servers.iter().find(runs).expect("a server ran it");
        format!("answer to {id} from {}", server.id)
    }
}

/// Guards against a request that is cut because its body is still on its way when the drain ends.
#[tokio::test]
async fn request_whose_body_does_not_end_is_refused() {
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
    assert_eq!(site.ask("after", true).await, Some(200));
    site.terminate();
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer).await;
    assert!(read.is_ok(), "{read:?}");
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
    assert!(answer.to_lowercase().contains("\r\nconnection: close\r\n"));
    assert_eq!(site.runs("half"), 0);
}

/// Guards against any request, at whatever moment of a stop it comes, that runs and gets no answer,
/// or runs and is refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_runs_is_answered() {
    let mut site = Site::start("stream").await;
    site.work(Duration::from_millis(900));
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let stop = CancellationToken::new();
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let (mut caller, seen, stop) = (site.caller(), seen.clone(), stop.clone());
        if number % 3 == 0 {
            caller.deadline = Duration::from_millis(400);
        }
        callers.push(tokio::spawn(async move {
            // Spreads their requests over the time that a server works on one.
            tokio::time::sleep(Duration::from_millis(40) * number).await;
            for turn in 0_u32.. {
                if stop.is_cancelled() {
                    return;
                }
                let id = format!("r{number}-{turn}");
                let result = caller.ask(&id, route(number % 2 == 0), false).await;
                lock(&seen).push(result);
                tokio::time::sleep(Duration::from_millis(3)).await;
            }
        }));
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    site.terminate();
    site.until_ended().await;
    stop.cancel();
    for caller in callers {
        caller.await.expect("the caller ends");
    }
    let seen = lock(&seen).clone();
    let served = seen
        .iter()
        .filter(|seen| matches!(told(seen), Some((200, _))));
    assert!(
        served.count() >= CALLERS as usize / 4,
        "too few requests run for a test"
    );
    let broken = seen.iter().filter(|seen| {
        let status = told(seen).map(|(status, _)| status);
        matches!(status, None | Some(503)) && site.runs(&seen.id) > 0
    });
    let broken: Vec<_> = broken.map(|seen| (&seen.id, told(seen))).collect();
    assert!(broken.is_empty(), "{broken:?}");
}
