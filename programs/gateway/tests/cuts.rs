//! Answers that a backend server cuts: their callers see an error, or an answer that ends early.

#[allow(dead_code, reason = "other tests use the rest of the site")]
mod site;

use adapter::header;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request, StatusCode};
use rstest::rstest;
use site::{Gateway, Site};
use standin_site::operator::{Desired, Route};
use standin_site::server::Entry;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Route whose requests may run only once, so that the caller sees each failure.
const ONCE: Route = Route {
    repeatable: false,
    ..Route::PLAIN
};

/// Answers by number, without the id and the signature: status line, other headers, body with its
/// framing, and the body.
const ANSWERS: &[(&str, &str, &str, &str)] = &[
    ("HTTP/1.1 200 OK", "content-length: 2\r\n", "ok", "ok"),
    ("HTTP/1.1 200 OK", "content-length: 5\r\n", "hello", "hello"),
    (
        "HTTP/1.1 200 OK",
        "transfer-encoding: chunked\r\n",
        "5\r\nhello\r\n0\r\nx-sum: 1\r\n\r\n",
        "hello",
    ),
    ("HTTP/1.1 200 OK", "connection: close\r\n", "hello", "hello"),
    ("HTTP/1.0 200 OK", "", "hello", "hello"),
    (
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK",
        "content-length: 5\r\n",
        "hello",
        "hello",
    ),
    ("HTTP/1.1 204 No Content", "content-length: 5\r\n", "", ""),
    ("HTTP/1.1 304 Not Modified", "content-length: 5\r\n", "", ""),
];
/// Indices of [`ANSWERS`] that end with their connection.
const CLOSE_DELIMITED: std::ops::Range<usize> = 3..5;

/// Returns an answer and the length of its head.
fn answer(number: usize, id: &str) -> (String, usize) {
    let (status, fields, framed, _) = ANSWERS[number];
    let id = format!(
        "{}: {id}\r\n{}: 1\r\n",
        header::REQUEST_ID,
        header::SIGNATURE
    );
    let head = format!("{status}\r\n{id}{fields}\r\n");
    (format!("{head}{framed}"), head.len())
}

/// Answers `/a/ANSWER/BYTES/RESETS` with this many bytes and closes; if `BYTES` is `all`, sends the
/// whole answer and reads the next request.
async fn serve(mut stream: TcpStream) -> Option<()> {
    loop {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).ok()?;
        let path: Vec<&str> = head.split(' ').nth(1)?.split('/').collect();
        let [_, _, number, bytes, resets] = path[..] else {
            return None;
        };
        let prefix = format!("{}: ", header::REQUEST_ID).to_lowercase();
        let mut lines = head.lines();
        let id = lines.find(|line| line.to_lowercase().starts_with(&prefix))?;
        let (text, _) = answer(number.parse().ok()?, &id[prefix.len()..]);
        let Ok(bytes) = bytes.parse::<usize>() else {
            stream.write_all(text.as_bytes()).await.ok()?;
            continue;
        };
        stream.write_all(&text.as_bytes()[..bytes]).await.ok()?;
        if resets == "true" {
            let linger = Some(Duration::ZERO);
            socket2::SockRef::from(&stream).set_linger(linger).ok()?;
        }
        return Some(());
    }
}

async fn start() -> (Site, Gateway) {
    let site = Site::new();
    let door = site.store_endpoint().await;
    site.publish(&Desired {
        routes: &[ONCE],
        ..Desired::default()
    });
    let address = SocketAddr::new(site::unused_address(), 8080);
    let listener = TcpListener::bind(address).await.expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    Entry::default().publish(&site.store, "i-1", address);
    let gateway = site.gateway("vm-1", "nord-a", &door).await;
    gateway.wait_ready().await;
    (site, gateway)
}

/// Sends a request; returns none if its answer visibly ends early.
async fn send_request(
    gateway: &Gateway,
    method: Method,
    id: &str,
    path: &str,
) -> Option<(StatusCode, HeaderMap, Bytes)> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "a.example")
        .header(header::REQUEST_ID, id)
        .header(header::KEY, "key-1")
        .body(Full::new(Bytes::new()))
        .expect("a request");
    site::send(gateway.settings.listen.callers, request).await
}

/// Guards against a cut answer that looks complete to its caller: a 200 with an empty or short body
/// after the server closed in the middle of its head.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_answer_is_no_success(
    #[values(1, 2, 3, 4, 5, 6, 7)] number: usize,
    #[values(false, true)] is_kept: bool,
) {
    let (_site, gateway) = start().await;
    let mut reached = 0;
    for resets in [false, true] {
        for bytes in 0..=answer(number, "100000").0.len() {
            let id = format!("{}", 100_000 + 2 * bytes + usize::from(resets));
            if is_kept {
                let (status, _, body) = send_request(&gateway, Method::GET, "1", "/a/0/all/-")
                    .await
                    .expect("an answer");
                assert!(status != StatusCode::OK || body == "ok", "{body:?}");
            }
            let path = format!("/a/{number}/{bytes}/{resets}");
            let got = send_request(&gateway, Method::GET, &id, &path).await;
            let (text, head) = answer(number, &id);
            let case = format!("{bytes} of {text:?}, resets={resets}, gave {got:?}");
            let Some((status, headers, body)) = got else {
                continue;
            };
            reached += usize::from(!matches!(status.as_u16(), 429 | 503));
            if !headers.contains_key(header::SIGNATURE) {
                assert!(status.is_server_error(), "{case}");
                continue;
            }
            let whole = ANSWERS[number].3;
            match CLOSE_DELIMITED.contains(&number) {
                true => {
                    assert!(!resets && bytes >= head, "{case}");
                    assert_eq!(body, whole[..bytes - head], "{case}");
                }
                false => {
                    assert_eq!(bytes, text.len(), "{case}");
                    assert_eq!(body, whole, "{case}");
                }
            }
        }
    }
    assert!(reached > answer(number, "100000").0.len(), "{reached} sent");
}

/// Guards against a content length that is passed on with an answer that has no body: the caller
/// would wait for the body.
#[rstest]
#[case::head(Method::HEAD, 1, StatusCode::OK)]
#[case::no_content(Method::GET, 6, StatusCode::NO_CONTENT)]
#[case::not_modified(Method::GET, 7, StatusCode::NOT_MODIFIED)]
#[tokio::test]
async fn answer_without_a_body_has_no_content_length(
    #[case] method: Method,
    #[case] number: usize,
    #[case] expected: StatusCode,
) {
    let (_site, gateway) = start().await;
    // The server closes after the head, so a caller that waits for a body would see a cut.
    let (_, head) = answer(number, "1");
    let path = format!("/a/{number}/{head}/false");
    let got = send_request(&gateway, method, "1", &path).await;
    let (status, headers, body) = got.expect("a whole answer");
    assert_eq!(status, expected);
    assert!(body.is_empty());
    assert!(!headers.contains_key("content-length"), "{headers:?}");
}
