//! Answers that a backend server truncates after each byte, over loopback sockets.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests unwrap as the tests do"
)]

use backends::client::{Failure, Pool, Settings};
use base::http::full;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Limit that ends a hanging test; no test waits for it.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);
/// Most connections at the same time.
const MAX_CONNECTIONS: usize = 64;
/// Size of a request body that exceeds the socket buffers, so that the reset comes while it is
/// sent.
const LONG_BODY_BYTES: usize = 1024 * 1024;
/// Receive buffer of the server, in bytes.
const RECEIVE_BYTES: usize = 4096;
/// Answer to the earlier request of a kept connection.
const BEFORE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// How the end of an answer is marked.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    /// By a length, a last chunk, or a status without a body.
    Marked,
    /// By the orderly close of the connection.
    Connection,
}

/// Complete text of an answer, its body and the kind of its end.
#[derive(Debug, Clone, Copy)]
struct Framing {
    text: &'static str,
    body: &'static str,
    end: End,
}

/// State of the connection when the answer is truncated.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Connection {
    Fresh,
    Kept,
    /// Still sends the body of the request, which the server does not read.
    Sending,
}

const fn marked(text: &'static str, body: &'static str) -> Framing {
    Framing {
        text,
        body,
        end: End::Marked,
    }
}

const fn unmarked(text: &'static str, body: &'static str) -> Framing {
    Framing {
        text,
        body,
        end: End::Connection,
    }
}

const FRAMINGS: &[Framing] = &[
    marked("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello", "hello"),
    marked("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", ""),
    marked(
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nConnection: close\r\n\r\nhello, world",
        "hello, world",
    ),
    marked(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\n\r\n",
        "hello",
    ),
    marked(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nx-sum: 1\r\nx-end: 2\r\n\r\n",
        "hello",
    ),
    marked(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n0\r\n\r\n",
        "",
    ),
    marked(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello",
        "hello",
    ),
    marked(
        "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "hello",
    ),
    marked("HTTP/1.1 204 No Content\r\nx-a: b\r\n\r\n", ""),
    marked("HTTP/1.1 204 No Content\r\ncontent-length: 5\r\n\r\n", ""),
    marked("HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n", ""),
    marked(
        "HTTP/1.1 200 OK\nx-a: b\ncontent-length: 5\n\nhello",
        "hello",
    ),
    marked("HTTP/1.0 200 OK\r\ncontent-length: 5\r\n\r\nhello", "hello"),
    unmarked("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello", "hello"),
    unmarked("HTTP/1.1 200 OK\r\nx-a: b\r\n\r\nhello", "hello"),
    unmarked(
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhello",
        "hello",
    ),
    unmarked("HTTP/1.1 200 OK\nconnection: close\n\nhello", "hello"),
    unmarked("HTTP/1.0 200 OK\r\nx-a: b\r\n\r\nhello", "hello"),
    unmarked(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: xchunked\r\n\r\nhello",
        "hello",
    ),
];

/// Starts a server that answers `/FRAMING/BYTES/RESETS` with the first bytes of a framing and
/// closes the connection, and any other path with [`BEFORE`].
async fn server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let socket = socket2::SockRef::from(&listener);
    socket.set_recv_buffer_size(RECEIVE_BYTES).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream));
        }
    });
    address
}

async fn serve(mut stream: TcpStream) -> Option<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).unwrap();
        let path = head.split(' ').nth(1)?;
        let numbers: Vec<usize> = path.split('/').filter_map(|n| n.parse().ok()).collect();
        let [framing, bytes, resets] = numbers[..] else {
            stream.write_all(BEFORE).await.ok()?;
            continue;
        };
        let text = FRAMINGS[framing].text.as_bytes();
        stream.write_all(&text[..bytes]).await.ok()?;
        if resets == 1 {
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).unwrap();
        }
        return Some(());
    }
}

/// Returns the result of a send: a failure, or the body if the pool returned it as complete.
async fn send(
    pool: &Pool,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Option<Bytes>, Failure> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .body(full(body))
        .unwrap();
    let answer = pool.send(request, Instant::now() + HANG_TIMEOUT).await?;
    let body = answer.into_body().collect().await;
    Ok(body.ok().map(http_body_util::Collected::to_bytes))
}

/// Sends one request whose answer is truncated, and checks the result.
async fn cut(
    address: SocketAddr,
    settings: Settings,
    number: usize,
    bytes: usize,
    resets: bool,
    connection: Connection,
) {
    let framing = FRAMINGS[number];
    let accepts = settings.accept_unmarked;
    let pool = Pool::new(address, settings);
    if connection == Connection::Kept {
        let before = send(&pool, Method::GET, "/before", Bytes::new()).await;
        assert_eq!(before, Ok(Some("ok".into())));
    }
    let (method, body) = match connection {
        Connection::Sending => (Method::POST, vec![b'x'; LONG_BODY_BYTES]),
        _ => (Method::GET, Vec::new()),
    };
    let path = format!("/{number}/{bytes}/{}", u8::from(resets));
    let got = send(&pool, method, &path, body.into()).await;
    let reused = pool.counts().reused.load(Ordering::Relaxed);
    assert_eq!(reused, u64::from(connection == Connection::Kept));
    let case = format!("{connection:?}, {bytes} bytes, resets={resets}: {framing:?} gave {got:?}");
    let head = framing.text.len() - framing.body.len();
    match &got {
        Err(failure) => assert!(matches!(failure, Failure::After(_)), "{case}"),
        Ok(None) => assert!(bytes < framing.text.len() || resets || !accepts, "{case}"),
        Ok(Some(body)) => match framing.end {
            End::Marked => {
                assert_eq!(bytes, framing.text.len(), "{case}");
                assert_eq!(body, framing.body, "{case}");
            }
            End::Connection => {
                assert!(accepts && !resets && bytes >= head, "{case}");
                assert_eq!(body, &framing.body[..bytes - head], "{case}");
            }
        },
    }
    let is_whole = bytes == framing.text.len() && !resets;
    if is_whole && (framing.end == End::Marked || accepts) {
        assert!(matches!(got, Ok(Some(_))), "{case}");
    }
}

/// Guards against a truncated answer that is returned as complete: the server ends it in its head,
/// its framing or its body, by an orderly close or by a reset.
#[rstest::rstest]
#[case::of_the_entry(false)]
#[case::of_the_gateway(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_answer_never_looks_whole(
    #[case] accept_unmarked: bool,
    #[values(Connection::Fresh, Connection::Kept, Connection::Sending)] connection: Connection,
) {
    let address = server().await;
    let settings = Settings {
        accept_unmarked,
        connections: 1,
        ..Settings::default()
    };
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut cuts = JoinSet::new();
    for (number, framing) in FRAMINGS.iter().enumerate() {
        for bytes in 0..=framing.text.len() {
            for resets in [false, true] {
                // The kernel resets a connection that is closed with unread bytes, so there is no
                // orderly close here.
                if connection == Connection::Sending && !resets {
                    continue;
                }
                let permit = permits.clone().acquire_owned().await.unwrap();
                let settings = settings.clone();
                cuts.spawn(async move {
                    cut(address, settings, number, bytes, resets, connection).await;
                    drop(permit);
                });
            }
        }
    }
    while let Some(cut) = cuts.join_next().await {
        cut.unwrap();
    }
}
