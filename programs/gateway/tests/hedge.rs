//! Requests whose server has not answered yet: the server that has one stays a way to its answer.

mod site;

use hyper::StatusCode;
use rstest::rstest;
use site::{Gateway, Site, wait_until};
use standin_site::operator::{Desired, Route};
use standin_site::server::{Behaviour, Server};
use std::time::Duration;

/// Work of a server that is cold, new or slow: above four times the cold work that this latency
/// objective makes expected (1.24 s), below the deadline of 3 s.
const SLOW: Duration = Duration::from_millis(1_700);
/// Route whose requests may be repeated and may take all of the caller's 3 s.
const PATIENT: Route = Route {
    timeout_ms: 3_000,
    objective_ms: 200,
    ..Route::PLAIN
};

fn slow() -> Behaviour {
    Behaviour {
        work: SLOW,
        ..Behaviour::default()
    }
}

/// Starts a site with two servers and a gateway that has retries to spend; returns the server that
/// gets the requests first, the other one and the gateway.
async fn pair(route: Route) -> (Site, Server, Server, Gateway) {
    let (site, door, [a, b]) = Site::with_servers::<2>(&Desired {
        routes: Box::leak(Box::new([route])),
        ..Desired::default()
    })
    .await;
    let [gateway] = site.gateways([("vm-1", "nord-a")], &door).await;
    for number in 0..20 {
        let answer = gateway.request(&format!("warm-{number}"), "/a/").await;
        assert_eq!(answer.map(|(status, _, _)| status), Some(StatusCode::OK));
    }
    match a.runs().len() > b.runs().len() {
        true => (site, a, b, gateway),
        false => (site, b, a, gateway),
    }
}

async fn status(gateway: &Gateway) -> (StatusCode, String) {
    let (status, _, body) = gateway.request("1", "/a/").await.expect("an answer");
    (status, String::from_utf8_lossy(&body).into_owned())
}

/// Returns how many requests were sent to a second server because the answer of the first was overdue.
async fn hedged(gateway: &Gateway) -> Option<u32> {
    let metrics = site::get(gateway.settings.listen.metrics, "/metrics").await?;
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    let line = text
        .lines()
        .find(|line| line.contains("reason=\"silent\""))?;
    line.rsplit(' ').next()?.parse().ok()
}

fn ran(server: &Server) -> bool {
    server.runs().iter().any(|run| &*run.id == "1")
}

/// Guards against a 502 for a request whose only server is still at work (users' record of issue 19).
#[rstest]
#[case::running(None)]
#[case::stopping(Some(Duration::from_millis(700)))]
#[tokio::test]
async fn request_waits_for_its_server_if_no_other_is_left(#[case] stop_after: Option<Duration>) {
    let (_site, _, server, gateway) = Site::with_gateway(&Desired {
        routes: &[PATIENT],
        ..Desired::default()
    })
    .await;
    server.set(slow());
    let (answer, ()) = tokio::join!(gateway.request("1", "/a/"), async {
        wait_until("the request runs", || async { !server.runs().is_empty() }).await;
        if let Some(after) = stop_after {
            tokio::time::sleep(after).await;
            gateway.stop.cancel();
        }
    });
    let (status, _, _) = answer.expect("an answer");
    assert_eq!(status, StatusCode::OK);
    assert_eq!(server.runs().len(), 1);
}

/// Guards against a 502 for a request whose server is at work because all its sends are used.
#[tokio::test]
async fn request_waits_for_its_server_if_its_attempts_are_used() {
    let (_site, first, second, gateway) = pair(Route {
        attempts: 1,
        ..PATIENT
    })
    .await;
    first.set(slow());
    let (status, body) = status(&gateway).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    assert!(!ran(&second));
}

/// Guards against a 502 for a request whose server is at work because the retry budget is spent.
#[tokio::test]
async fn request_waits_for_its_server_if_the_retry_budget_is_spent() {
    let (site, door, servers) = Site::with_servers::<2>(&Desired {
        routes: &[PATIENT],
        ..Desired::default()
    })
    .await;
    servers.iter().for_each(|server| server.set(slow()));
    let [gateway] = site.gateways([("vm-1", "nord-a")], &door).await;
    let (status, body) = status(&gateway).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    let runs: usize = servers.iter().map(|server| server.runs().len()).sum();
    assert_eq!(runs, 1);
}

/// Guards against a request that waits for a dead server until its deadline although another one
/// would serve it.
#[tokio::test]
async fn request_of_a_silent_server_is_served_by_another() {
    let (_site, first, second, gateway) = pair(PATIENT).await;
    first.set(Behaviour {
        silent: true,
        ..Behaviour::default()
    });
    let (status, body) = status(&gateway).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    assert!(ran(&second));
}

/// Guards against an answer that is thrown away because the request was sent to a second server.
#[rstest]
#[case::second_is_slower(Behaviour { work: Duration::from_millis(2_500), ..Behaviour::default() })]
#[case::second_is_silent(Behaviour { silent: true, ..Behaviour::default() })]
#[case::second_refuses(Behaviour { sheds: true, ..Behaviour::default() })]
#[case::second_fails(Behaviour { status: 500, ..Behaviour::default() })]
#[case::second_confuses(Behaviour { confuses: true, ..Behaviour::default() })]
#[tokio::test]
async fn first_server_may_still_answer_after_a_second_send(#[case] behaviour: Behaviour) {
    let (_site, first, second, gateway) = pair(PATIENT).await;
    first.set(slow());
    second.set(behaviour);
    let (status, body) = status(&gateway).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    assert!(body.contains(&*first.id), "{body}");
    assert_eq!(hedged(&gateway).await, Some(1));
}

/// Guards against a failure of the first server that ends a request at which the second is at work.
#[tokio::test]
async fn second_server_may_still_answer_after_the_first_failed() {
    let (_site, first, second, gateway) = pair(PATIENT).await;
    first.set(Behaviour {
        status: 500,
        ..slow()
    });
    second.set(Behaviour {
        work: Duration::from_millis(900),
        ..Behaviour::default()
    });
    let (status, body) = status(&gateway).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    assert!(body.contains(&*second.id), "{body}");
    assert_eq!(hedged(&gateway).await, Some(1));
}

/// Guards against a second run of a request that may run once, whatever its server does.
#[tokio::test]
async fn request_that_may_run_once_waits_for_its_server() {
    let (_site, first, second, gateway) = pair(Route {
        repeatable: false,
        ..PATIENT
    })
    .await;
    first.set(slow());
    let (status, body) = status(&gateway).await;
    assert_eq!(status, StatusCode::OK, "{body}");
    assert!(!ran(&second));
}

/// Guards against an answer of a server that is replaced by one of the gateway, at the deadline or at the
/// end of a stop, or that comes when its caller has left.
#[rstest]
#[case::deadline(false)]
#[case::stop(true)]
#[tokio::test]
async fn failure_of_a_server_is_passed_on_if_no_other_answers_in_time(#[case] stops: bool) {
    let (_site, first, second, gateway) = pair(PATIENT).await;
    first.set(Behaviour {
        status: 500,
        ..Behaviour::default()
    });
    second.set(Behaviour {
        silent: true,
        ..Behaviour::default()
    });
    // The caller waits for as long as it said.
    let asked = tokio::time::timeout(Duration::from_secs(3), status(&gateway));
    let (answer, ()) = tokio::join!(asked, async {
        wait_until("the second server has the request", || async {
            ran(&second)
        })
        .await;
        if stops {
            gateway.stop.cancel();
        }
    });
    let (status, body) = answer.expect("an answer in time");
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR, "{body}");
    assert!(body.contains(&*first.id), "{body}");
}
