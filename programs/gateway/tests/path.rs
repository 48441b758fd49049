//! Handling of requests by a gateway: routes, keys, checks of answers, and repeated sends.

#[path = "site/raw.rs"]
mod raw;
#[allow(dead_code, reason = "other tests use the rest of the site")]
mod site;

use adapter::call::READINESS;
use adapter::header;
use hyper::StatusCode;
use rstest::rstest;
use site::{Site, wait_until};
use standin_site::operator::{Desired, Route};
use standin_site::server::{Behaviour, Entry};
use std::time::Duration;
use steering::crashes::MAX_CRASHES;

/// Guards against headers or bodies that change on the way, and a key that is passed on.
#[tokio::test]
async fn request_and_answer_pass_unchanged() {
    let (_site, _, server, gateway) = Site::with_gateway(&Desired::default()).await;
    let (status, headers, body) = gateway
        .request("id-1", "/a/x?y=z")
        .await
        .expect("an answer");
    assert_eq!(status, StatusCode::OK);
    assert_eq!(headers[header::SIGNATURE], "i-1.id-1");
    assert_eq!(body, "answer to id-1 from i-1");
    let runs = server.runs();
    assert_eq!(runs.len(), 1);
    let seen = &runs[0].headers;
    assert_eq!(seen[header::REQUEST_ID], "id-1");
    assert_eq!(seen[header::WORKSPACE], "cooperative");
    assert_eq!(seen[header::EXPECTED_SERVER], "i-1");
    assert!(!seen.contains_key(header::KEY));
    let left: u64 = seen[header::DEADLINE]
        .to_str()
        .expect("text")
        .parse()
        .expect("a number");
    // The route allows 2 s of the caller's 3 s.
    assert!((1_000..=2_000).contains(&left), "{left} ms left");
}

/// Guards against requests that run without a route or a valid key.
#[tokio::test]
async fn unknown_routes_and_keys_are_refused() {
    let (_site, _, server, gateway) = Site::with_gateway(&Desired::default()).await;
    let status = |answer: Option<(StatusCode, _, _)>| answer.map(|(status, _, _)| status);
    assert_eq!(
        status(gateway.request("1", "/b/").await),
        Some(StatusCode::NOT_FOUND)
    );
    let unknown = gateway.request_with_key("2", "/a/", Some("other")).await;
    assert_eq!(status(unknown), Some(StatusCode::UNAUTHORIZED));
    let none = gateway.request_with_key("3", "/a/", None).await;
    assert_eq!(status(none), Some(StatusCode::UNAUTHORIZED));
    assert!(server.runs().is_empty());
}

/// Guards against a gateway without a configuration that answers 404 or 401 instead of "not run".
#[tokio::test]
async fn without_a_configuration_requests_are_refused_as_not_run() {
    let site = Site::new();
    let door = site.store_endpoint().await;
    let gateway = site.gateway("vm-1", "nord-a", &door).await;
    wait_until("the gateway answers", || async {
        let answer = gateway.request("1", "/a/").await;
        answer.is_some_and(|(status, headers, _)| {
            status == StatusCode::SERVICE_UNAVAILABLE && headers.contains_key("retry-after")
        })
    })
    .await;
    let readiness = site::get(gateway.settings.listen.readiness, READINESS).await;
    assert_eq!(
        readiness.map(|a| a.status),
        Some(StatusCode::SERVICE_UNAVAILABLE)
    );
}

/// Guards against a second run of a request that may run only once, and against "not run" for one
/// that may have run, after an answer with a wrong id or without a signature.
#[rstest]
#[case::confused(Behaviour { wrong_id: true, ..Behaviour::default() })]
#[case::unsigned(Behaviour { unsigned: true, ..Behaviour::default() })]
#[tokio::test]
async fn invalid_answer_is_not_passed_on(#[case] behaviour: Behaviour) {
    let (site, door, servers) = Site::with_servers::<2>(&Desired {
        routes: &[Route {
            repeatable: false,
            ..Route::PLAIN
        }],
        ..Desired::default()
    })
    .await;
    servers
        .iter()
        .for_each(|server| server.set(behaviour.clone()));
    let [gateway] = site.gateways([("vm-1", "nord-a")], &door).await;
    let (status, headers, _) = gateway.request("1", "/a/").await.expect("an answer");
    assert_eq!(status, StatusCode::BAD_GATEWAY);
    assert!(!headers.contains_key(header::SIGNATURE));
    let runs: usize = servers.iter().map(|server| server.runs().len()).sum();
    assert_eq!(runs, 1);
}

/// Guards against a repeatable request that fails although another server could answer it.
#[tokio::test]
async fn repeatable_request_goes_to_another_server() {
    let (site, door, servers) = Site::with_servers::<2>(&Desired::default()).await;
    let [gateway] = site.gateways([("vm-1", "nord-a")], &door).await;
    // Successes fill the retry budget; all requests have the same object, so the same first server.
    for number in 0..20 {
        gateway.request(&format!("warm-{number}"), "/a/").await;
    }
    let first = servers
        .iter()
        .max_by_key(|server| server.runs().len())
        .expect("a server");
    first.set(Behaviour {
        status: 500,
        ..Behaviour::default()
    });
    let (status, _, body) = gateway.request("1", "/a/").await.expect("an answer");
    assert_eq!(status, StatusCode::OK, "{body:?}");
}

/// Guards against a refusal by all servers that is reported as a failure although nothing ran.
#[tokio::test]
async fn refusal_of_all_servers_is_not_run() {
    let (_site, _, server, gateway) = Site::with_gateway(&Desired {
        routes: &[Route {
            repeatable: false,
            ..Route::PLAIN
        }],
        ..Desired::default()
    })
    .await;
    server.set(Behaviour {
        sheds: true,
        ..Behaviour::default()
    });
    let (status, headers, _) = gateway.request("1", "/a/").await.expect("an answer");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(headers.contains_key("retry-after"));
    assert!(server.runs().is_empty());
}

/// Guards against refused callers after a server with free slots refused one request: it counted as
/// full, and so as too busy for any request, for 0.3 s.
#[tokio::test]
async fn server_that_refuses_with_free_slots_is_asked_again() {
    let (_site, _, server, gateway) = Site::with_gateway(&Desired::default()).await;
    server.set(Behaviour {
        sheds: true,
        load: "0,0,3",
        ..Behaviour::default()
    });
    let (refused, _, _) = gateway.request("1", "/a/").await.expect("an answer");
    server.set(Behaviour::default());
    let (answered, _, _) = gateway.request("2", "/a/").await.expect("an answer");
    assert_eq!(refused, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answered, StatusCode::OK);
}

/// Guards against a caller that waits beyond the timeout of the route for a silent server.
#[tokio::test]
async fn answer_comes_at_the_timeout_of_the_route() {
    let (_site, _, server, gateway) = Site::with_gateway(&Desired {
        routes: &[Route {
            repeatable: false,
            timeout_ms: 600,
            ..Route::PLAIN
        }],
        ..Desired::default()
    })
    .await;
    server.set(Behaviour {
        silent: true,
        ..Behaviour::default()
    });
    let answer =
        tokio::time::timeout(Duration::from_millis(1_100), gateway.request("1", "/a/")).await;
    let (status, _, _) = answer.expect("in time").expect("an answer");
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
}

/// Guards against a request that runs outside its home regions.
#[tokio::test]
async fn request_stays_in_its_home_regions() {
    let site = Site::new();
    let door = site.store_endpoint().await;
    site.publish(&Desired {
        routes: &[Route {
            regions: &["sud"],
            ..Route::PLAIN
        }],
        ..Desired::default()
    });
    let outside_home = site.server("i-1", &Entry::default()).await;
    let home = Entry {
        data_centre: "sud-a",
        ..Entry::default()
    };
    let home = site.server("i-2", &home).await;
    let [gateway] = site.gateways([("vm-1", "nord-a")], &door).await;
    for number in 0..10 {
        let (status, _, _) = gateway
            .request(&number.to_string(), "/a/")
            .await
            .expect("an answer");
        assert_eq!(status, StatusCode::OK);
    }
    assert!(outside_home.runs().is_empty());
    assert_eq!(home.runs().len(), 10);
}

/// Guards against a shutdown that cuts requests, and a stopping VM that counts as ready.
#[tokio::test]
async fn shutdown_finishes_accepted_requests() {
    let (_site, _, server, gateway) = Site::with_gateway(&Desired::default()).await;
    server.set(Behaviour {
        work: Duration::from_millis(700),
        ..Behaviour::default()
    });
    let (answer, ()) = tokio::join!(gateway.request("1", "/a/"), async {
        wait_until("the request runs", || async { !server.runs().is_empty() }).await;
        gateway.stop.cancel();
    });
    let (status, headers, _) = answer.expect("an answer");
    assert_eq!(status, StatusCode::OK);
    assert_eq!(headers["connection"], "close");
    let readiness = site::get(gateway.settings.listen.readiness, READINESS).await;
    assert_ne!(readiness.map(|a| a.status), Some(StatusCode::OK));
}

/// Guards against "not run" for a request that ran, because the server wrote an earlier refusal a
/// second time on the kept connection.
#[rstest]
#[case::without_id(
    "HTTP/1.1 503 Busy\r\n{not-run}: full\r\n{load}: 0,0,3\r\ncontent-length: 0\r\n\r\n"
)]
#[case::with_its_id(
    "HTTP/1.1 503 Busy\r\n{not-run}: full\r\n{load}: 0,0,3\r\n{id}: 1\r\ncontent-length: 0\r\n\r\n"
)]
#[case::other_server("HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n")]
#[tokio::test]
async fn repeated_refusal_is_not_accepted(#[case] refusal: &'static str) {
    let (_site, gateway) = raw::site(refusal, "").await;
    let (first, _, _) = gateway.request("1", "/a/").await.expect("an answer");
    assert_eq!(first, StatusCode::SERVICE_UNAVAILABLE);
    let (second, _, _) = gateway.request("2", "/a/").await.expect("an answer");
    assert_eq!(second, StatusCode::BAD_GATEWAY);
}

/// Guards against a request that is quarantined because its server sent an answer that the gateway
/// can't parse: the answer counted as a crash of the server.
#[rstest]
#[case::no_answer("no answer\r\n\r\n".to_owned())]
#[case::fields(format!("HTTP/1.1 200 OK\r\n{}content-length: 0\r\n\r\n", "x-a: b\r\n".repeat(200)))]
#[case::head(format!("HTTP/1.1 200 OK\r\nx-a: {}\r\ncontent-length: 0\r\n\r\n", "b".repeat(1_000_000)))]
#[tokio::test]
async fn unreadable_answer_is_no_crash(#[case] answer: String) {
    let (_site, gateway) = raw::site(answer.leak(), "").await;
    for number in 0..=MAX_CRASHES {
        let answer = gateway.request(&number.to_string(), "/a/").await;
        let (status, _, body) = answer.expect("an answer");
        assert_eq!(status, StatusCode::BAD_GATEWAY, "send {number}: {body:?}");
    }
}

/// Guards against an answer that reaches the caller although its status is none of an answer (MIXED).
#[rstest]
#[case::zero("000")]
#[case::below("099")]
#[case::switch("101")]
#[case::above("600")]
#[case::highest("999")]
#[case::short("20")]
#[case::sign("-20")]
#[tokio::test]
async fn answer_without_a_valid_status_is_not_passed_on(
    #[case] status: &str,
    #[values("content-length: 2", "transfer-encoding: chunked", "connection: close")] framing: &str,
) {
    let body = match framing {
        "transfer-encoding: chunked" => "2\r\nok\r\n0\r\n\r\n",
        _ => "ok",
    };
    let answer = format!(
        "HTTP/1.1 {status} Trouble\r\n{{id}}: 1\r\n{{signature}}: 1\r\n{framing}\r\n\r\n{body}"
    );
    let (_site, gateway) = raw::site(answer.leak(), "").await;
    let (status, headers, body) = gateway.request("1", "/a/").await.expect("an answer");
    assert!(
        matches!(
            status,
            StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT
        ),
        "{status} {body:?}"
    );
    assert!(!headers.contains_key(header::SIGNATURE));
    assert_ne!(&*body, b"ok");
}

/// Guards against a body in another transfer coding that is passed on as if it were decoded.
#[rstest]
#[case::one_field("transfer-encoding: gzip, chunked")]
#[case::two_fields("transfer-encoding: gzip\r\ntransfer-encoding: chunked")]
#[tokio::test]
async fn answer_in_another_transfer_coding_is_not_passed_on(#[case] coding: &str) {
    let answer =
        format!("HTTP/1.1 200 OK\r\n{{signature}}: 1\r\n{coding}\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
    let (_site, gateway) = raw::site(answer.leak(), "").await;
    let (status, headers, body) = gateway.request("1", "/a/").await.expect("an answer");
    assert_eq!(status, StatusCode::BAD_GATEWAY, "{body:?}");
    assert!(!headers.contains_key(header::SIGNATURE));
}

/// Guards against an answer whose `Connection` removes what the gateway reads: a request that did not
/// run was reported as one that may have, and a signed answer as none of the server's.
#[rstest]
#[case::not_run(
    "HTTP/1.1 503 Busy\r\n{id}: 1\r\n{not-run}: full\r\nconnection: keep-alive, {not-run}\r\ncontent-length: 0\r\n\r\n",
    StatusCode::SERVICE_UNAVAILABLE,
    false
)]
#[case::signature(
    "HTTP/1.1 200 OK\r\n{id}: 1\r\n{signature}: 1\r\nconnection: {signature}, {id}\r\ncontent-length: 0\r\n\r\n",
    StatusCode::OK,
    true
)]
#[tokio::test]
async fn answer_keeps_what_the_gateway_reads(
    #[case] answer: &'static str,
    #[case] expected: StatusCode,
    #[case] is_servers: bool,
) {
    let (_site, gateway) = raw::site(answer, "").await;
    let (status, headers, body) = gateway.request("1", "/a/").await.expect("an answer");
    assert_eq!(status, expected);
    // The gateway's own answers have a reason in their body.
    assert_eq!(body.is_empty(), is_servers);
    assert_eq!(headers.contains_key(header::SIGNATURE), is_servers);
}

/// Guards against an endless head or body that keeps a request until its deadline or fills the
/// memory of the gateway.
#[rstest]
#[case::head("HTTP/1.1 200 OK\r\n", "x-field: 0123456789abcdef\r\n")]
#[case::line("HTTP/1.1 200 OK\r\nx-field: ", "0123456789abcdef")]
#[case::no_answer("", "0123456789abcdef")]
#[case::information("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::body("HTTP/1.1 200 OK\r\n{signature}: 1\r\n\r\n", "0123456789abcdef")]
#[case::chunks(
    "HTTP/1.1 200 OK\r\n{signature}: 1\r\ntransfer-encoding: chunked\r\n\r\n",
    "8\r\n01234567\r\n"
)]
#[case::refusal("HTTP/1.1 503 Busy\r\n{not-run}: full\r\n\r\n", "0123456789abcdef")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_answer_fails_only_its_request(
    #[case] answer: &'static str,
    #[case] endless: &'static str,
) {
    let (_site, gateway) = raw::site(answer, endless).await;
    let (status, headers, _) = gateway.request("1", "/a/").await.expect("an answer");
    assert!(status.is_server_error(), "{status}");
    assert!(!headers.contains_key(header::SIGNATURE));
}
