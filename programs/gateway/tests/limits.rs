//! Answers that the gateway refuses or reads slowly because of its memory limits.

#[path = "site/raw.rs"]
mod raw;
#[allow(dead_code, reason = "other tests use the rest of the site")]
mod site;

use adapter::header;
use bytes::Bytes;
use futures::future::join_all;
use gateway::answer_memory::{MAX_ANSWER_BYTES, MAX_SHARED_BYTES};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use rstest::rstest;
use site::{Gateway, Site};
use standin_site::operator::{Desired, Route};
use standin_site::server::Entry;
use std::net::SocketAddr;
use std::sync::Arc;
use steering::crashes::MAX_CRASHES;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Barrier;

/// Route whose requests may run only once, with the timeout of the caller.
const ONCE: Route = Route {
    repeatable: false,
    timeout_ms: 20_000,
    ..Route::PLAIN
};
/// Length of each of the concurrent answers.
const LENGTH: usize = MAX_ANSWER_BYTES - 1;
/// Concurrent answers; together they have twice the length that may be held.
const CONCURRENT: usize = 2 * MAX_SHARED_BYTES / LENGTH;
/// Bytes of a chunk.
const CHUNK: usize = 64 * 1024;

async fn send_request(gateway: &Gateway, id: &str) -> Option<(StatusCode, Bytes)> {
    let request = Request::get("/a/")
        .header("host", "a.example")
        .header(header::REQUEST_ID, id)
        .header(header::DEADLINE, "20000")
        .header(header::KEY, "key-1")
        .body(Full::new(Bytes::new()))
        .expect("a request");
    let answer = site::send(gateway.settings.listen.callers, request).await;
    answer.map(|(status, _, body)| (status, body))
}

/// Guards against a request that is quarantined because its answer is above the maximum length: the
/// cut answer counted as a crash of the server.
#[rstest]
#[case::declared(
    "HTTP/1.1 200 OK\r\n{signature}: 1\r\ncontent-length: 16777217\r\nconnection: close\r\n\r\n",
    ""
)]
#[case::unmarked(
    "HTTP/1.1 200 OK\r\n{signature}: 1\r\nconnection: close\r\n\r\n",
    "0123456789abcdef"
)]
#[case::chunks(
    "HTTP/1.1 200 OK\r\n{signature}: 1\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n",
    "40\r\n0123456701234567012345670123456701234567012345670123456701234567\r\n"
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_above_the_limit_is_refused_without_quarantine(
    #[case] answer: &'static str,
    #[case] endless: &'static str,
) {
    let (_site, gateway) = raw::site(answer, endless).await;
    for number in 0..=MAX_CRASHES {
        let (status, body) = send_request(&gateway, &number.to_string())
            .await
            .expect("an answer");
        assert_eq!(status, StatusCode::BAD_GATEWAY, "send {number}: {body:?}");
        assert_eq!(body, "answer-too-large\n");
    }
    let metrics = site::get(gateway.settings.listen.metrics, "/metrics").await;
    let text = String::from_utf8_lossy(&metrics.expect("metrics").body).into_owned();
    assert!(text.contains(r#"reason="answer-too-large"} 4"#), "{text}");
}

/// Answers with [`LENGTH`] bytes once all requests have arrived.
async fn serve(mut stream: TcpStream, is_chunked: bool, all: Arc<Barrier>) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let prefix = format!("{}: ", header::REQUEST_ID).to_lowercase();
    let mut lines = head.lines();
    let id = lines.find(|line| line.to_lowercase().starts_with(&prefix))?;
    let framing = match is_chunked {
        true => "transfer-encoding: chunked".to_owned(),
        false => format!("content-length: {LENGTH}"),
    };
    let signature = header::SIGNATURE;
    let head = format!("HTTP/1.1 200 OK\r\n{id}\r\n{signature}: 1\r\n{framing}\r\n\r\n");
    all.wait().await;
    stream.write_all(head.as_bytes()).await.ok()?;
    let mut left = LENGTH;
    while left > 0 {
        let bytes = vec![b'x'; left.min(CHUNK)];
        left -= bytes.len();
        if is_chunked {
            let size = format!("{:x}\r\n", bytes.len());
            stream.write_all(size.as_bytes()).await.ok()?;
        }
        stream.write_all(&bytes).await.ok()?;
        if is_chunked {
            stream.write_all(b"\r\n").await.ok()?;
        }
    }
    if is_chunked {
        stream.write_all(b"0\r\n\r\n").await.ok()?;
    }
    stream.read_u8().await.ok().map(drop)
}

/// Guards against an answer that fails because others are read at the same time, and against a
/// deadlock of answers that wait for memory.
#[rstest]
#[case::declared(false)]
#[case::chunked(true)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_answers_above_the_memory_limit_all_complete(#[case] is_chunked: bool) {
    let site = Site::new();
    let door = site.store_endpoint().await;
    site.publish(&Desired {
        routes: &[ONCE],
        ..Desired::default()
    });
    let all = Arc::new(Barrier::new(CONCURRENT));
    for number in 0..CONCURRENT {
        let address = SocketAddr::new(site::unused_address(), 8080);
        let listener = TcpListener::bind(address).await.expect("an address");
        let all = all.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, is_chunked, all.clone()));
            }
        });
        Entry::default().publish(&site.store, &format!("i-{number}"), address);
    }
    let gateway = site.gateway("vm-1", "nord-a", &door).await;
    gateway.wait_ready().await;
    let ids: Vec<String> = (0..CONCURRENT).map(|number| number.to_string()).collect();
    let answers = join_all(ids.iter().map(|id| send_request(&gateway, id))).await;
    for answer in answers {
        let (status, body) = answer.expect("a whole answer");
        assert_eq!(status, StatusCode::OK, "{body:?}");
        assert_eq!(body.len(), LENGTH);
    }
}
