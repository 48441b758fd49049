//! Connections of a server that waits for requests on them.

use base::http::server::{Limits, Rest, Session, serve_resting, serve_sessions};
use base::http::text;
use hyper::StatusCode;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Connections that the server takes.
const CONNECTIONS: usize = 4;
/// Time within which a caller is answered.
const SOON: Duration = Duration::from_secs(1);
/// Time of a slow request.
const SLOW: Duration = Duration::from_millis(600);

/// Starts a server that rests connections for `rest`; requests of the path `/slow` take a while.
async fn server(rest: Duration) -> (SocketAddr, Arc<AtomicBool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let limits = Limits {
        connections: CONNECTIONS,
        ..Limits::default()
    };
    let is_full = Arc::new(AtomicBool::new(false));
    let rest = Rest {
        limit: move || rest,
        is_full: is_full.clone(),
    };
    let handler = |request: hyper::Request<_>, _| async move {
        match request.uri().path() {
            "/slow" => tokio::time::sleep(SLOW).await,
            "/slower" => tokio::time::sleep(SLOW * 4).await,
            _ => {}
        }
        text(StatusCode::OK, "done")
    };
    tokio::spawn(serve_resting(
        listener,
        limits,
        rest,
        CancellationToken::new(),
        handler,
    ));
    (address, is_full)
}

async fn open(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.expect("a connection")
}

/// Sends a request; returns whether it was answered whole, in time.
async fn request(stream: &mut TcpStream, path: &str) -> bool {
    let head = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
    let exchange = async {
        stream.write_all(head.as_bytes()).await.ok()?;
        let mut answer = Vec::new();
        while !answer.ends_with(b"done") {
            if stream.read_buf(&mut answer).await.ok()? == 0 {
                return None;
            }
        }
        Some(())
    };
    matches!(tokio::time::timeout(SOON, exchange).await, Ok(Some(())))
}

/// Returns whether the server closes a connection soon.
async fn is_closed(stream: &mut TcpStream) -> bool {
    let read = stream.read_u8();
    matches!(tokio::time::timeout(SOON / 4, read).await, Ok(Err(_)))
}

/// Guards against callers that rest on all connections and keep new ones out (review, case 5), and
/// against closing one that rested for less time.
#[tokio::test]
async fn longest_resting_connection_gives_way() {
    let (address, is_full) = server(Duration::from_secs(60)).await;
    let mut resting = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = open(address).await;
        assert!(request(&mut stream, "/").await);
        resting.push(stream);
    }
    // The first one has a request after the others, so the second has rested longest.
    assert!(request(&mut resting[0], "/").await);
    assert!(request(&mut open(address).await, "/").await);
    assert!(is_closed(&mut resting[1]).await);
    for number in [0, 2, 3] {
        assert!(request(&mut resting[number], "/").await, "{number}");
    }
    assert!(!is_full.load(Ordering::Relaxed));
}

/// Guards against connections that never send a request and keep new callers out.
#[tokio::test]
async fn connection_without_a_request_gives_way() {
    let (address, _) = server(Duration::from_secs(60)).await;
    let mut silent = Vec::new();
    for _ in 0..CONNECTIONS {
        silent.push(open(address).await);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(request(&mut open(address).await, "/").await);
    assert!(is_closed(&mut silent[0]).await);
}

/// Guards against a request that is cut because a new connection comes, and against a server that
/// says that it has room while it has none.
#[tokio::test]
async fn connection_with_a_request_does_not_give_way() {
    let (address, is_full) = server(Duration::from_secs(60)).await;
    let tasks: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            tokio::spawn(async move {
                let mut stream = open(address).await;
                request(&mut stream, "/slow").await
            })
        })
        .collect();
    tokio::time::sleep(SLOW / 3).await;
    let started = Instant::now();
    let mut late = open(address).await;
    let late = tokio::spawn(async move { request(&mut late, "/").await });
    tokio::time::sleep(SLOW / 6).await;
    assert!(is_full.load(Ordering::Relaxed));
    for task in tasks {
        assert!(task.await.expect("it ends"));
    }
    assert!(late.await.expect("it ends"));
    assert!(started.elapsed() < SOON && !is_full.load(Ordering::Relaxed));
}

/// Guards against connections that rest for longer than the configuration allows.
#[tokio::test]
async fn connection_that_rests_too_long_is_closed() {
    let (address, _) = server(Duration::from_millis(300)).await;
    let mut stream = open(address).await;
    assert!(request(&mut stream, "/").await);
    let mut byte = [0];
    let closed = tokio::time::timeout(SOON * 3, stream.read(&mut byte)).await;
    assert!(matches!(closed, Ok(Ok(0))));
}

/// Guards against a connection that is dropped because it waits for a place during a check of the
/// others, and against a server that says for good that it has no room.
#[tokio::test]
async fn connection_that_waits_long_for_a_place_is_served() {
    let (address, is_full) = server(Duration::from_secs(60)).await;
    for _ in 0..CONNECTIONS {
        tokio::spawn(async move {
            let mut stream = open(address).await;
            let _ = stream
                .write_all(b"GET /slower HTTP/1.1\r\nhost: a\r\n\r\n")
                .await;
            tokio::time::sleep(SLOW * 5).await;
        });
    }
    tokio::time::sleep(SLOW / 3).await;
    let mut late = open(address).await;
    tokio::time::sleep(SLOW * 4).await;
    assert!(request(&mut late, "/").await);
    assert!(!is_full.load(Ordering::Relaxed));
}

/// Guards against a connection that ends at a stop although its session has answers to give.
#[tokio::test]
async fn stopped_connection_ends_only_when_it_is_released() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let rest = Rest {
        limit: || SOON,
        is_full: Arc::default(),
    };
    let stop = CancellationToken::new();
    let (asked, released) = (CancellationToken::new(), CancellationToken::new());
    let (ask, release) = (asked.clone(), released.clone());
    let open = move |stream, _| {
        let (asked, released) = (ask.clone(), release.clone());
        Session {
            stream,
            handler: |_| async { Ok::<_, Infallible>(text(StatusCode::OK, "done")) },
            release: move || {
                asked.cancel();
                released.cancelled_owned()
            },
        }
    };
    let serving = serve_sessions(listener, Limits::default(), rest, stop.clone(), open);
    let serving = tokio::spawn(serving);
    let mut stream = open_and_request(address).await;
    stop.cancel();
    asked.cancelled().await;
    assert!(request(&mut stream, "/").await);
    released.cancel();
    assert!(is_closed(&mut stream).await);
    assert!(serving.await.is_ok());
}

async fn open_and_request(address: SocketAddr) -> TcpStream {
    let mut stream = open(address).await;
    assert!(request(&mut stream, "/").await);
    stream
}
