//! What a server sees of a caller's head.

#[allow(dead_code, reason = "other tests use the rest of the site")]
mod site;

use adapter::header::{DEADLINE, EXPECTED_SERVER, KEY, REQUEST_ID, WORKSPACE};
use backends::client::Pool;
use gateway::receive::read_head;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, CONNECTION, HeaderName, HeaderValue, TRAILER};
use hyper::{HeaderMap, Request};
use proptest::prelude::*;
use rstest::rstest;
use site::Site;
use standin_site::operator::Desired;
use std::path::Path;
use std::time::Instant;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Key of the workspace `cooperative`.
const CALLER_KEY: &str = "key-1";

/// Sends a request with these fields through a gateway; returns what the server got.
async fn forwarded(fields: &[(HeaderName, HeaderValue)]) -> Option<HeaderMap> {
    let (_site, _, server, gateway) = Site::with_gateway(&Desired::default()).await;
    let mut request = Request::get("/a/");
    for (name, value) in fields {
        request = request.header(name, value);
    }
    let request = request
        .header("host", "a.example")
        .header(REQUEST_ID, "r-1")
        .header(KEY, CALLER_KEY)
        .body(Full::default())
        .expect("a request");
    site::send(gateway.settings.listen.callers, request).await;
    server.runs().first().map(|run| run.headers.clone())
}

/// Checks what must hold for every head.
fn check(headers: &HeaderMap) {
    let all = |name: &str| -> Vec<_> { headers.get_all(name).iter().collect() };
    assert_eq!(all(WORKSPACE), ["cooperative"]);
    assert_eq!(all(EXPECTED_SERVER), ["i-1"]);
    assert_eq!(all(REQUEST_ID), ["r-1"]);
    assert_eq!(all(DEADLINE).len(), 1);
    assert_eq!(all("host"), ["a.example"]);
    let has_key = |value: &HeaderValue| {
        value
            .as_bytes()
            .windows(5)
            .any(|w| w == CALLER_KEY.as_bytes())
    };
    assert!(!headers.contains_key(KEY) && !headers.values().any(has_key));
}

/// Guards against a caller whose `Connection` takes away what the gateway sets (review, case 2), and
/// against one who sets it himself.
#[rstest]
#[case::workspace(&[(CONNECTION.as_str(), WORKSPACE)])]
#[case::expected_server(&[(CONNECTION.as_str(), EXPECTED_SERVER)])]
#[case::id_and_host(&[(CONNECTION.as_str(), "host"), (CONNECTION.as_str(), REQUEST_ID)])]
#[case::deadline(&[(CONNECTION.as_str(), DEADLINE)])]
#[case::all(&[(CONNECTION.as_str(), "close"), (CONNECTION.as_str(), WORKSPACE), (CONNECTION.as_str(), KEY), (CONNECTION.as_str(), "TE, ,"), (CONNECTION.as_str(), EXPECTED_SERVER)])]
#[case::own_values(&[(WORKSPACE, "other"), (EXPECTED_SERVER, "i-9")])]
#[tokio::test]
async fn callers_fields_do_not_change_what_the_gateway_sets(#[case] fields: &[(&str, &str)]) {
    let fields = fields.iter().map(|(name, value)| {
        let name = HeaderName::from_bytes(name.as_bytes()).expect("a name");
        (name, HeaderValue::from_str(value).expect("a value"))
    });
    let fields: Vec<_> = fields.collect();
    check(&forwarded(&fields).await.expect("the request runs"));
}

/// Sends bytes to a gateway of a site with one server, closes the caller's side behind them, and
/// returns what the server got of each request.
async fn forwarded_bytes(bytes: &str) -> Vec<HeaderMap> {
    let (_site, _, server, gateway) = Site::with_gateway(&Desired::default()).await;
    let mut stream = TcpStream::connect(gateway.settings.listen.callers)
        .await
        .expect("a connection");
    stream.write_all(bytes.as_bytes()).await.expect("a write");
    let count = bytes.matches(" HTTP/1.1").count();
    site::wait_until("all requests run", || async {
        server.runs().len() == count
    })
    .await;
    server.runs().into_iter().map(|run| run.headers).collect()
}

/// Guards against a caller that adds or takes away fields by its trailers, by a second host, or on a
/// pipelined request, whose head is read by other code.
#[rstest]
#[case::trailers(
    "POST /a/ HTTP/1.1\r\nhost: a.example\r\n{own}trailer: {workspace}, {key}\r\ntransfer-encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n{workspace}: other\r\n{key}: key-1\r\n\r\n"
)]
#[case::two_hosts("GET /a/ HTTP/1.1\r\nhost: a.example\r\nhost: other.example\r\n{own}\r\n")]
#[case::pipelined(
    "GET /a/ HTTP/1.1\r\nhost: a.example\r\n{own}\r\nGET /a/ HTTP/1.1\r\nhost: a.example\r\nconnection: {workspace}, {expected}\r\n{workspace}: other\r\n{own}\r\n"
)]
#[tokio::test]
async fn other_parts_of_a_request_do_not_change_what_the_gateway_sets(#[case] bytes: &str) {
    let own = format!("{REQUEST_ID}: r-1\r\n{KEY}: {CALLER_KEY}\r\n");
    let bytes = bytes
        .replace("{own}", &own)
        .replace("{workspace}", WORKSPACE)
        .replace("{expected}", EXPECTED_SERVER)
        .replace("{key}", KEY);
    for headers in forwarded_bytes(&bytes).await {
        check(&headers);
        assert!(!headers.contains_key(TRAILER));
    }
}

/// Guards against a field of the caller that is taken for the gateway's own key and removed.
#[tokio::test]
async fn authorization_of_callers_is_passed_on() {
    let fields = [(AUTHORIZATION, HeaderValue::from_static("Basic YTpi"))];
    let headers = forwarded(&fields).await.expect("the request runs");
    check(&headers);
    assert_eq!(headers.get(AUTHORIZATION), Some(&fields[0].1));
}

/// Guards against heads with many short fields that are refused although they are within the limit
/// of bytes.
#[tokio::test]
async fn many_fields_within_the_limit_are_served() {
    let fields: Vec<_> = (0..400)
        .map(|number| {
            let name = HeaderName::from_bytes(format!("x-{number}").as_bytes());
            (name.expect("a name"), HeaderValue::from_static("1"))
        })
        .collect();
    let headers = forwarded(&fields).await.expect("the request runs");
    check(&headers);
    assert!(headers.len() > 400);
}

/// Returns what a server gets of a head, by the code of the path without sockets.
fn server_view(fields: &[(HeaderName, HeaderValue)]) -> HeaderMap {
    let mut request = Request::get("http://a.example/a/")
        .body(())
        .expect("a request");
    for (name, value) in fields {
        request.headers_mut().append(name, value.clone());
    }
    let headers = request.headers_mut();
    headers.insert("host", HeaderValue::from_static("a.example"));
    headers.insert(REQUEST_ID, HeaderValue::from_static("r-1"));
    headers.insert(KEY, HeaderValue::from_static(CALLER_KEY));
    let head = read_head(request, Instant::now());
    let outgoing = head.request.outgoing(Some("cooperative"), "i-1");
    let pool = Pool::new(
        ([127, 0, 0, 1], 80).into(),
        backends::client::Settings::default(),
    );
    let mut headers = pool.preview(outgoing).headers().clone();
    // The names of the pool's defaults are another system's.
    headers.insert(DEADLINE, HeaderValue::from_static("1"));
    headers
}

/// Names that this system or HTTP gives a meaning, and others.
const NAMES: [&str; 14] = [
    "connection",
    "proxy-connection",
    "keep-alive",
    "te",
    "upgrade",
    "transfer-encoding",
    "cookie",
    "authorization",
    WORKSPACE,
    EXPECTED_SERVER,
    DEADLINE,
    REQUEST_ID,
    KEY,
    "x-a",
];

fn field() -> impl Strategy<Value = (HeaderName, HeaderValue)> {
    let token = prop::sample::select(NAMES.to_vec()).prop_map(str::to_owned);
    let odd = "[ ,;=a-zA-Z0-9\\-\\xe9]{0,12}";
    let part = prop_oneof![3 => token, 1 => odd];
    let value = prop::collection::vec(part, 0..4).prop_map(|parts| parts.join(","));
    (prop::sample::select(NAMES.to_vec()), value).prop_filter_map("no value", |(name, value)| {
        let value = HeaderValue::from_bytes(value.as_bytes()).ok()?;
        Some((HeaderName::from_static(name), value))
    })
}

/// Returns whether a caller's own fields repeat the key, which nothing removes.
fn names_key(fields: &[(HeaderName, HeaderValue)]) -> bool {
    let has_key = |value: &HeaderValue| {
        value
            .as_bytes()
            .windows(5)
            .any(|w| w == CALLER_KEY.as_bytes())
    };
    fields.iter().any(|(_, value)| has_key(value))
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Guards against any head that takes the workspace or the expected server away, or passes the
    /// key on.
    #[test]
    fn every_head_keeps_what_the_gateway_sets(fields in prop::collection::vec(field(), 0..12)) {
        prop_assume!(!names_key(&fields));
        check(&server_view(&fields));
    }
}

/// Heads that found a fault, or come close to one: one field a line.
#[test]
fn kept_heads_keep_what_the_gateway_sets() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus/heads");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("the corpus") {
        let text = std::fs::read_to_string(entry.expect("an entry").path()).expect("a head");
        let fields = text.lines().filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            Some((name, HeaderValue::from_str(value.trim()).ok()?))
        });
        let fields: Vec<_> = fields.collect();
        check(&server_view(&fields));
        count += 1;
    }
    assert!(count >= 4);
}
