//! Requests of different priority that compete for the servers of a gateway.

#[allow(dead_code, reason = "other tests use the rest of the site")]
mod site;

use adapter::header;
use bytes::Bytes;
use futures::future::join_all;
use http_body_util::Full;
use hyper::header::RETRY_AFTER;
use hyper::{Request, StatusCode};
use rstest::rstest;
use serde_json::json;
use site::{Site, metrics};
use standin_site::server::{Behaviour, Entry, Server};
use std::time::Duration;

/// Requests of each kind that are sent at once.
const REQUESTS: usize = 40;

/// Writes a configuration with reads below `/a/` and orders below `/b/` for one service.
fn publish(site: &Site, priorities: [u32; 2]) {
    let rule = |name: &str, priority: u32, objective_ms: u32| {
        json!({
            "name": name, "routeType": "safe", "targetLatencyMs": objective_ms,
            "priority": priority, "match": {"prefix": format!("/{name}/")},
            "action": {"service": "lookup", "timeoutMs": 4000, "maxAttempts": 1},
        })
    };
    let config = json!({
        "version": "00000001",
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536},
        "tenants": [{"name": "cooperative", "apiKeys": ["key-1"], "ratePerS": 0, "burst": 0}],
        "listeners": [{
            "hostname": "a.example",
            "rules": [rule("a", priorities[0], 400), rule("b", priorities[1], 1200)],
        }],
        "clusters": [
            {"name": "lookup", "maxConnections": 100, "warmupS": 1.0, "warmupPerS": 2.6},
        ],
    });
    site.store.put("op", "config", config.to_string());
}

/// Guards against orders with a long objective that take the queues of the servers, against a
/// refusal of a request that ran, and against a change where all routes have the same priority.
#[rstest]
#[case::competing([1, 2])]
#[case::equal([1, 1])]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reads_go_before_orders_where_priorities_differ(#[case] priorities: [u32; 2]) {
    let site = Site::new();
    let door = site.store_endpoint().await;
    publish(&site, priorities);
    let mut servers: Vec<Server> = Vec::new();
    for id in ["i-1", "i-2"] {
        let server = site.server(id, &Entry::default()).await;
        server.set(Behaviour {
            work: Duration::from_millis(300),
            ..Behaviour::default()
        });
        servers.push(server);
    }
    let gateway = site.gateway("vm-1", "nord-a", &door).await;
    gateway.wait_ready().await;
    let send = |number: usize| {
        let path = ["/a/", "/b/"][number % 2];
        let request = Request::get(path)
            .header("host", "a.example")
            .header(header::REQUEST_ID, format!("r-{number}"))
            .header(header::DEADLINE, "3000")
            .header(header::KEY, "key-1")
            .body(Full::new(Bytes::new()));
        site::send(gateway.settings.listen.callers, request.expect("a request"))
    };
    let answers = join_all((0..2 * REQUESTS).map(send)).await;
    let mut served = [0, 0];
    for (number, answer) in answers.into_iter().enumerate() {
        let (status, headers, body) = answer.expect("an answer");
        if status == StatusCode::OK {
            served[number % 2] += 1;
            continue;
        }
        assert_eq!(
            (status, &*body),
            (StatusCode::SERVICE_UNAVAILABLE, &b"overloaded\n"[..])
        );
        let wait = headers[RETRY_AFTER]
            .to_str()
            .ok()
            .and_then(|wait| wait.parse().ok());
        assert!((0.05..=1.0).contains(&wait.unwrap_or(0.0)), "{wait:?}");
    }
    let ran: usize = servers.iter().map(|server| server.runs().len()).sum();
    assert_eq!(ran, served.iter().sum::<usize>(), "a refused request ran");
    let text = metrics(&gateway).await;
    let counts = |result: &str, priority: u32| {
        let labels = format!(
            r#"gateway_competing_total{{service="lookup",priority="{priority}",result="{result}"}} "#
        );
        let line = text.lines().find_map(|line| line.strip_prefix(&*labels));
        line.map_or(0, |count| count.parse::<usize>().expect("a number"))
    };
    println!("served {served:?}");
    if priorities[0] == priorities[1] {
        assert!(!text.contains("gateway_competing_total{"), "{text}");
        assert!(served[0] < 2 * served[1], "{served:?}");
        return;
    }
    assert!(served[1] > 0 && served[0] >= 2 * served[1], "{served:?}");
    for (kind, priority) in priorities.into_iter().enumerate() {
        let refused = counts("refused", priority) + counts("thinned", priority);
        assert_eq!(refused, REQUESTS - served[kind], "{text}");
        let ended = counts("in-time", priority) + counts("late", priority);
        assert_eq!(ended, served[kind], "{text}");
    }
}
