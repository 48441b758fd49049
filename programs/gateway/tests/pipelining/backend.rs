//! Backend servers whose requests end when the test says so.

use crate::site::{Gateway, Site, unused_address, wait_until};
use adapter::header;
use base::http::server::{Limits, serve};
use base::http::{Body, full};
use base::sync::lock;
use gateway::settings::Bounds;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response};
use standin_site::operator::{Desired, Route};
use standin_site::server::Entry;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Servers at the address; each has a few slots.
const SERVERS: usize = 8;
/// Bytes of an answer to a path that ends in `long`; above what is read before its turn.
pub const LONG_BYTES: usize = 300 * 1024;

/// Route whose requests may run more than once, but are sent to one server only.
const READS: Route = Route {
    timeout_ms: 20_000,
    objective_ms: 10_000,
    attempts: 1,
    ..Route::PLAIN
};
/// Route whose requests may run only once.
const ONCE: Route = Route {
    name: "b",
    repeatable: false,
    ..READS
};

/// Something that a request did at its server.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    Arrived(String),
    Answered(String),
    Dropped,
}

/// Which requests end.
#[derive(Debug, Clone, Default)]
struct Finish {
    ids: Vec<String>,
    all_after: Option<Duration>,
}

#[derive(Debug, Clone)]
pub struct Backend {
    events: Arc<Mutex<Vec<Event>>>,
    finish: Arc<watch::Sender<Finish>>,
}

/// Records a request that ends without an answer.
struct Guard<'a>(&'a Backend, bool);

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        if !self.1 {
            lock(&self.0.events).push(Event::Dropped);
        }
    }
}

/// Starts a site with one gateway; requests of route `a` may run more than once, of `b` only once.
pub async fn site() -> (Site, Backend, Gateway) {
    let site = Site::new();
    let door = site.store_endpoint().await;
    site.publish(&Desired {
        routes: &[READS, ONCE],
        ..Desired::default()
    });
    let backend = Backend {
        events: Arc::default(),
        finish: Arc::new(watch::Sender::default()),
    };
    let address = SocketAddr::new(unused_address(), 8080);
    let listener = TcpListener::bind(address).await.expect("an address");
    let own = backend.clone();
    let handler = move |request, _| {
        let own = own.clone();
        async move { own.run(request).await }
    };
    let stop = CancellationToken::new();
    tokio::spawn(serve(listener, Limits::default(), stop, handler));
    for number in 0..SERVERS {
        Entry::default().publish(&site.store, &format!("i-{number}"), address);
    }
    let settings = Site::gateway_settings("vm-1", "nord-a", &door);
    let bounds = Bounds {
        grace_s: 8.0,
        ..settings.bounds.clone()
    };
    let gateway = site.run_gateway(gateway::settings::Settings { bounds, ..settings });
    gateway.wait_ready().await;
    (site, backend, gateway)
}

impl Backend {
    async fn run(&self, request: Request<Incoming>) -> Response<Body> {
        let id = request.headers().get(header::REQUEST_ID).cloned();
        let id = id.expect("an id");
        let text = id.to_str().expect("text").to_owned();
        let is_long = request.uri().path().ends_with("long");
        lock(&self.events).push(Event::Arrived(text.clone()));
        let mut guard = Guard(self, false);
        let body = request.into_body().collect().await.expect("a body");
        let mut finish = self.finish.subscribe();
        let may_end = |finish: &Finish| finish.all_after.is_some() || finish.ids.contains(&text);
        let work = finish.wait_for(may_end).await.expect("a test").all_after;
        tokio::time::sleep(work.unwrap_or_default()).await;
        let mut answer = format!("{text}:{}", String::from_utf8_lossy(&body.to_bytes()));
        if is_long {
            answer += &"x".repeat(LONG_BYTES);
        }
        lock(&self.events).push(Event::Answered(text));
        guard.1 = true;
        let mut response = Response::new(full(answer));
        let headers = response.headers_mut();
        headers.insert(header::REQUEST_ID, id);
        headers.insert(header::LOAD, "1,0,3".parse().expect("a value"));
        headers.insert(header::SIGNATURE, "1".parse().expect("a value"));
        response
    }

    /// Ends a request, now or when it arrives.
    pub fn finish(&self, id: &str) {
        self.finish.send_modify(|finish| finish.ids.push(id.into()));
    }

    /// Ends all requests, each after this time.
    pub fn finish_all(&self, work: Duration) {
        self.finish
            .send_modify(|finish| finish.all_after = Some(work));
    }

    pub async fn wait(&self, event: Event) {
        let has = || async { lock(&self.events).contains(&event) };
        wait_until(&format!("{event:?}"), has).await;
    }

    pub fn position(&self, event: &Event) -> usize {
        let events = lock(&self.events);
        let position = events.iter().position(|other| other == event);
        position.unwrap_or_else(|| panic!("no {event:?} in {events:?}"))
    }

    pub fn arrived(&self) -> Vec<String> {
        let events = lock(&self.events);
        let ids = events.iter().filter_map(|event| match event {
            Event::Arrived(id) => Some(id.clone()),
            _ => None,
        });
        ids.collect()
    }

    pub fn dropped(&self) -> usize {
        let events = lock(&self.events);
        events.iter().filter(|e| **e == Event::Dropped).count()
    }

    pub fn forget(&self) {
        lock(&self.events).clear();
    }
}
