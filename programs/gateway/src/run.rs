//! Start and shutdown of the gateway.

use crate::pipelining::Connection;
use crate::reader::StoreReader;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::{crashes, directory, explain, relay, reports, status, takeovers, traffic, usage};
use adapter::store::Client;
use base::http::Body;
use base::http::server::{self, Limits, Rest, Session};
use base::{metrics, program, settings};
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use std::error::Error;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::drain::{LOG_FLUSH_TIME, StopDeadlines};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Longest time for which a caller's connection may stay idle or send a head; above the longest
/// idle time that configurations allow.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Most connections of callers; the other file descriptors are for servers.
const MAX_CONNECTIONS: usize = 2_500;
/// Largest request head in bytes; above the largest that configurations allow.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Most fields of a request head. The parser holds room for all of them while it reads a head.
const MAX_FIELDS: usize = 512;

/// Runs the gateway until `stop` is cancelled.
///
/// # Errors
///
/// Fails if an address can't be listened on.
pub async fn run(
    settings: Settings,
    file: PathBuf,
    stop: CancellationToken,
) -> Result<(), Box<dyn Error>> {
    let listen = settings.listen.clone();
    let grace = Duration::from_secs_f64(settings.bounds.grace_s);
    let callers = TcpListener::bind(listen.callers).await?;
    let readiness = TcpListener::bind(listen.readiness).await?;
    let lookups = TcpListener::bind(listen.lookup).await?;
    let peer_requests = TcpListener::bind(listen.peers).await?;
    let socket = Arc::new(UdpSocket::bind(listen.peers).await?);
    let incarnation = rand::random();
    log::info!(
        "event=start vm={} incarnation={incarnation} data_centre={} callers={} store={}",
        settings.vm,
        settings.data_centre,
        listen.callers,
        settings.store
    );
    let client = Client::new(settings.store);
    let shared = Arc::new(Shared::new(settings, incarnation));
    let reader = Arc::new(StoreReader::new(shared.clone(), client.clone()));
    let closed = CancellationToken::new();

    // These tasks run until the process ends.
    let orders = reader.clone();
    tokio::spawn(async move { orders.watch_desired_state().await });
    let registrations = reader.clone();
    tokio::spawn(async move { registrations.poll_registrations().await });
    let members = reader.clone();
    tokio::spawn(async move { members.maintain_membership().await });
    tokio::spawn(relay::sync_from_peers(shared.clone(), reader));
    tokio::spawn(reports::send(shared.clone(), socket.clone()));
    tokio::spawn(reports::receive(shared.clone(), socket));
    tokio::spawn(crashes::run(shared.clone(), client.clone()));
    tokio::spawn(takeovers::run(shared.clone(), client.clone()));
    tokio::spawn(traffic::watch(shared.clone(), client.clone()));
    tokio::spawn(usage::catch_up(shared.clone()));
    tokio::spawn(usage::run(shared.clone(), client));
    tokio::spawn(reload(file));
    serve_local(readiness, &shared, &closed, directory::readiness);
    serve_local(lookups, &shared, &closed, directory::lookup);
    let state = shared.clone();
    tokio::spawn(server::serve(
        peer_requests,
        Limits::default(),
        closed.clone(),
        move |request, _| {
            let state = state.clone();
            async move { handle_peer(request, &state).await }
        },
    ));
    match TcpListener::bind(listen.metrics).await {
        Ok(listener) => {
            let registry = shared.metrics.registry();
            tokio::spawn(metrics::serve(listener, registry, closed.clone()));
        }
        // The gateway also serves callers when it can't serve metrics.
        Err(error) => log::warn!("event=metrics-unserved error=\"{error}\""),
    }

    let limits = Limits {
        connections: MAX_CONNECTIONS,
        head_bytes: MAX_HEAD_BYTES,
        headers: MAX_FIELDS,
        head_timeout: HEAD_TIMEOUT,
        drain_timeout: grace,
    };
    let state = shared.clone();
    let stop_accepting = CancellationToken::new();
    let bounds = shared.clone();
    let rest = Rest {
        limit: move || bounds.idle_timeout().unwrap_or(HEAD_TIMEOUT),
        is_full: shared.is_full.clone(),
    };
    let serving = tokio::spawn(server::serve_sessions(
        callers,
        limits,
        rest,
        stop_accepting.clone(),
        move |stream, _| {
            let connection = Connection::new(stream, state.clone());
            let released = connection.clone();
            Session {
                stream: connection.stream(),
                handler: move |request| connection.answer(request),
                release: move || released.release(),
            }
        },
    ));
    stop.cancelled().await;
    let grace = StopDeadlines::begin(Instant::now(), grace);
    log::info!("event=stopping running={}", shared.requests_in_flight());
    shared.begin_shutdown(grace);
    tokio::time::sleep_until(grace.accept_until.into()).await;
    stop_accepting.cancel();
    finish_requests(serving, &grace, &shared).await;
    // The last counts of the usage reports.
    shared.report_requested.notify_one();
    closed.cancel();
    log::info!(
        "event=stop running={} answers={:?}",
        shared.requests_in_flight(),
        shared.metrics.answers_by_status()
    );
    tokio::time::sleep(LOG_FLUSH_TIME).await;
    Ok(())
}

/// Waits for the requests in flight. This VM answers those that are unfinished when the time for
/// servers is over: if their connections ended with the process, their callers would learn nothing.
async fn finish_requests(mut serving: JoinHandle<()>, grace: &StopDeadlines, shared: &Shared) {
    let mut served = tokio::time::timeout_at(grace.answers_until.into(), &mut serving).await;
    if served.is_err() {
        log::info!("event=ending running={}", shared.requests_in_flight());
        shared.grace_token.cancel();
        served = tokio::time::timeout_at(grace.write_until.into(), serving).await;
    }
    match served {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::error!("event=server-failed error=\"{error}\""),
        Err(_) => log::warn!("event=unfinished running={}", shared.requests_in_flight()),
    }
}

/// Serves requests that are answered from the state of this VM, until `closed` is cancelled.
fn serve_local(
    listener: TcpListener,
    shared: &Arc<Shared>,
    closed: &CancellationToken,
    handle: fn(&Request<Incoming>, &Shared) -> Response<Body>,
) {
    let shared = shared.clone();
    tokio::spawn(server::serve(
        listener,
        Limits::default(),
        closed.clone(),
        move |request, _| std::future::ready(handle(&request, &shared)),
    ));
}

/// Answers an operator's request, or a request of another VM.
async fn handle_peer(request: Request<Incoming>, shared: &Shared) -> Response<Body> {
    let path = request.uri().path();
    if let Some(digest) = path.strip_prefix(operators::gateway::ALLOW_PATH)
        && request.method() == Method::POST
    {
        return crashes::allow(digest, shared);
    }
    match path {
        operators::gateway::PATH => status::handle(shared),
        operators::explain::PATH => explain::handle(request, shared).await,
        usage::PATH => usage::answer(&request, shared),
        _ => relay::handle(request, shared).await,
    }
}

/// Checks the settings file on each SIGHUP and logs its problems. Changes take effect at the next
/// start only: the platform restarts a process whose addresses change.
async fn reload(file: PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            log::error!("event=reload-unavailable error=\"{error}\"");
            return;
        }
    };
    while hangup.recv().await.is_some() {
        match settings::load::<Settings>(&file) {
            Ok(settings) => {
                let problem = program::Settings::problem(&settings);
                log::info!("event=reload problem={problem:?}");
            }
            Err(error) => log::warn!("event=reload-failed error=\"{error}\""),
        }
    }
}
