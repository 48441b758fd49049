//! Start and stop of the gateway.

use crate::reader::Reader;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::{directory, pipeline, relay, reports, status, takeovers};
use adapter::store::Client;
use base::http::Body;
use base::http::server::{self, Limits};
use base::{metrics, program, settings};
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::error::Error;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::drain::{LOG_FLUSH_TIME, StopDeadlines};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Longest time for which a caller's connection may stay idle or send a head. Above the longest
/// idle time that configurations allow callers.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);
/// Descriptors for callers' connections; the rest is for servers.
const CONNECTIONS: usize = 2_500;
/// Largest request head in bytes, above what configurations allow callers.
const HEAD_BYTES: usize = 64 * 1024;

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
    let questions = TcpListener::bind(listen.peers).await?;
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
    let reader = Arc::new(Reader::new(shared.clone(), client.clone()));
    let closed = CancellationToken::new();

    // These tasks end with the process.
    let orders = reader.clone();
    tokio::spawn(async move { orders.follow_orders().await });
    let registrations = reader.clone();
    tokio::spawn(async move { registrations.follow_registrations().await });
    let members = reader.clone();
    tokio::spawn(async move { members.follow_members().await });
    tokio::spawn(relay::follow(shared.clone(), reader));
    tokio::spawn(reports::send(shared.clone(), socket.clone()));
    tokio::spawn(reports::receive(shared.clone(), socket));
    tokio::spawn(takeovers::drive(shared.clone(), client));
    tokio::spawn(reload(file));
    serve_known(readiness, &shared, &closed, directory::readiness);
    serve_known(lookups, &shared, &closed, directory::lookup);
    serve_known(questions, &shared, &closed, question);
    match TcpListener::bind(listen.metrics).await {
        Ok(listener) => {
            let registry = shared.metrics.registry();
            tokio::spawn(metrics::serve(listener, registry, closed.clone()));
        }
        // Serving callers matters more than being watched.
        Err(error) => log::warn!("event=metrics-unserved error=\"{error}\""),
    }

    let limits = Limits {
        connections: CONNECTIONS,
        head_bytes: HEAD_BYTES,
        head_timeout: HEAD_TIMEOUT,
        drain_timeout: grace,
        ..Limits::default()
    };
    let front = shared.clone();
    let closing = CancellationToken::new();
    let serving = tokio::spawn(server::serve(
        callers,
        limits,
        closing.clone(),
        move |request, _| pipeline::handle(request, front.clone()),
    ));
    stop.cancelled().await;
    let grace = StopDeadlines::begin(Instant::now(), grace);
    log::info!("event=stopping running={}", shared.running());
    shared.stop(grace);
    tokio::time::sleep_until(grace.accept_until.into()).await;
    closing.cancel();
    drain(serving, &grace, &shared).await;
    closed.cancel();
    log::info!(
        "event=stop running={} answers={:?}",
        shared.running(),
        shared.metrics.totals()
    );
    tokio::time::sleep(LOG_FLUSH_TIME).await;
    Ok(())
}

/// Waits for the requests in flight. Those that are unfinished when servers are waited for no longer
/// are answered by this VM; a connection that ends with the process would tell their callers nothing.
async fn drain(mut serving: JoinHandle<()>, grace: &StopDeadlines, shared: &Shared) {
    let mut served = tokio::time::timeout_at(grace.answers_until.into(), &mut serving).await;
    if served.is_err() {
        log::info!("event=ending running={}", shared.running());
        shared.ending.cancel();
        served = tokio::time::timeout_at(grace.write_until.into(), serving).await;
    }
    match served {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::error!("event=server-failed error=\"{error}\""),
        Err(_) => log::warn!("event=unfinished running={}", shared.running()),
    }
}

/// Answers requests that need nothing but what this VM knows, until `closed` is cancelled.
fn serve_known(
    listener: TcpListener,
    shared: &Arc<Shared>,
    closed: &CancellationToken,
    answer: fn(&Request<Incoming>, &Shared) -> Response<Body>,
) {
    let shared = shared.clone();
    tokio::spawn(server::serve(
        listener,
        Limits::default(),
        closed.clone(),
        move |request, _| std::future::ready(answer(&request, &shared)),
    ));
}

/// Answers an operator, or another VM.
fn question(request: &Request<Incoming>, shared: &Shared) -> Response<Body> {
    match request.uri().path() {
        operators::gateway::PATH => status::answer(shared),
        _ => relay::answer(request, shared),
    }
}

/// Checks the settings file on each SIGHUP. Addresses and bounds are those of the start: the
/// platform restarts a process whose addresses change.
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
