//! Explanations of where requests would go.

#[allow(dead_code, reason = "other tests use the rest of the site")]
mod site;

use hyper::StatusCode;
use operators::explain::{Explanation, Obstacle, Question, explain};
use rstest::rstest;
use site::{Gateway, Site, metrics, wait_until};
use standin_site::operator::{self, Desired, Route};
use standin_site::server::{Behaviour, Entry, Server};

/// Objects for which requests are sent.
const OBJECTS: usize = 12;
/// Burst of the workspace, more than the requests that are sent.
const BURST: f64 = 20.0;
/// Explanations that must not change any state.
const EXPLANATIONS: usize = 100;

/// The route of the requests, and one of another priority that competes with it.
const ROUTES: [Route; 2] = [
    Route {
        priority: 2,
        ..Route::PLAIN
    },
    Route {
        name: "b",
        priority: 1,
        ..Route::PLAIN
    },
];

/// Returns a configuration with a limit, and with both routes if they compete.
fn desired(is_competing: bool) -> Desired {
    const ONE: &[Route] = &[ROUTES[0]];
    const BOTH: &[Route] = &ROUTES;
    Desired {
        routes: if is_competing { BOTH } else { ONE },
        rate: 10,
        burst: BURST as u32,
        ..Desired::default()
    }
}

fn question(path: &str) -> Question {
    Question {
        host: "a.example".into(),
        path: path.into(),
        method: "GET".into(),
        workspace: Some("cooperative".into()),
        object: Some("17".into()),
    }
}

async fn ask(gateway: &Gateway, question: &Question) -> Explanation {
    let target = site::target(gateway.settings.listen.peers);
    explain(&target, question).await.expect("an explanation")
}

/// Returns the reason why a server can't be used; none if it can or is not known.
async fn obstacle(gateway: &Gateway, server: &str) -> Option<Obstacle> {
    let explanation = ask(gateway, &question("/a/")).await;
    let candidates = &explanation.decisions.first()?.candidates;
    candidates.iter().find(|c| *c.server == *server)?.obstacle
}

/// Returns the metrics of a gateway, without their descriptions.
async fn request_metrics(gateway: &Gateway) -> Vec<String> {
    let text = metrics(gateway).await;
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines.map(str::to_owned).collect()
}

/// Guards against an explanation that names another server than requests go to, reaches a server,
/// is charged to a limit, or counts in the metrics or in the admission of competing requests.
#[rstest]
#[case::fixed(false)]
#[case::competing_and_learned(true)]
#[tokio::test]
async fn explained_server_is_the_one_that_the_request_goes_to(#[case] is_competing: bool) {
    let site = Site::new();
    let door = site.store_endpoint().await;
    site.publish(&desired(is_competing));
    let mut servers: Vec<Server> = Vec::new();
    for id in ["i-1", "i-2", "i-3"] {
        let server = site.server(id, &Entry::default()).await;
        if is_competing {
            // A stated pace turns learned estimates on.
            server.set(Behaviour {
                load: "1,0,3,100",
                ..Behaviour::default()
            });
        }
        servers.push(server);
    }
    let gateway = site.gateway("vm-1", "nord-a", &door).await;
    gateway.wait_ready().await;
    let asked = question("/a/");
    let tokens = || async { ask(&gateway, &asked).await.limit.map(|l| l.fleet_tokens) };
    // The request that is explained would take one.
    wait_until("the limit is full", || async {
        tokens().await == Some(BURST - 1.0)
    })
    .await;
    let before = request_metrics(&gateway).await;
    let first = ask(&gateway, &asked).await;
    for _ in 0..EXPLANATIONS {
        let explanation = ask(&gateway, &asked).await;
        assert_eq!(explanation.decisions[0].choice, first.decisions[0].choice);
        assert_eq!(
            explanation.decisions[0].thinning,
            first.decisions[0].thinning
        );
    }
    assert_eq!(tokens().await, Some(BURST - 1.0));
    assert_eq!(request_metrics(&gateway).await, before);
    assert!(servers.iter().all(|server| server.arrivals().is_empty()));
    assert_eq!(first.decisions[0].estimate.as_deref(), Some("fixed"));
    assert_eq!(first.decisions[0].thinning.is_some(), is_competing);

    for number in 0..OBJECTS {
        let object = number.to_string();
        let explanation = ask(
            &gateway,
            &Question {
                object: Some(object.as_str().into()),
                ..asked.clone()
            },
        )
        .await;
        let choice = explanation.decisions[0].choice.as_ref().expect("a server");
        let id = format!("r{number}");
        let sent = gateway.request_for_object(&id, "/a/", Some("key-1"), &object);
        assert_eq!(sent.await.expect("an answer").0, StatusCode::OK);
        let mut ran = servers.iter().zip(["i-1", "i-2", "i-3"]);
        let ran = ran.find(|(server, _)| server.runs().iter().any(|run| *run.id == *id));
        assert_eq!(ran.map(|(_, name)| name), Some(&*choice.server));
    }
    let last = ask(&gateway, &asked).await;
    let estimate = if is_competing { "learned" } else { "fixed" };
    assert_eq!(last.decisions[0].estimate.as_deref(), Some(estimate));
}

/// Guards against a server that gets no requests without a reason that the operator can see.
#[tokio::test]
async fn unusable_servers_are_named_with_their_reasons() {
    const IN_NORD: Route = Route {
        regions: &["nord"],
        ..Route::PLAIN
    };
    let site = Site::new();
    let door = site.store_endpoint().await;
    site.publish(&Desired {
        routes: &[IN_NORD],
        ..Desired::default()
    });
    let entry = |data_centre, leaving| Entry {
        data_centre,
        leaving,
        ..Entry::default()
    };
    let mut servers = vec![
        site.server("i-1", &entry("nord-a", false)).await,
        site.server("i-2", &entry("nord-a", true)).await,
        site.server("i-3", &entry("nord-b", false)).await,
        site.server("i-4", &entry("sud-a", false)).await,
    ];
    let gateway = site.gateway("vm-1", "nord-a", &door).await;
    gateway.wait_ready().await;
    operator::order_evacuation(&site.store, "nord-b");
    let new = Entry {
        label: "v2",
        ..Entry::default()
    };
    servers.push(site.server("i-5", &new).await);
    wait_until("the evacuation and the new version are known", || async {
        obstacle(&gateway, "i-3").await == Some(Obstacle::Evacuated)
            && obstacle(&gateway, "i-5").await == Some(Obstacle::Version)
    })
    .await;
    assert_eq!(obstacle(&gateway, "i-1").await, None);
    assert_eq!(obstacle(&gateway, "i-2").await, Some(Obstacle::Leaving));
    assert_eq!(obstacle(&gateway, "i-4").await, Some(Obstacle::Region));
    let explanation = ask(&gateway, &question("/a/")).await;
    let decision = &explanation.decisions[0];
    assert_eq!(
        decision.choice.as_ref().map(|c| &*c.server),
        Some("i-1"),
        "{explanation:?}"
    );
    assert_eq!(decision.unusable.values().sum::<usize>(), 4);

    servers[0].register(&site.store, &entry("nord-a", true));
    wait_until("no server is left", || async {
        obstacle(&gateway, "i-1").await == Some(Obstacle::Leaving)
    })
    .await;
    assert_refused_as_explained(&gateway, question("/a/"), "no-server").await;
}

/// Guards against an explained refusal that differs from what callers are told.
#[rstest]
#[case::route("/unknown/", Some("cooperative"), "no-route")]
#[case::key("/a/", None, "unauthorised")]
#[tokio::test]
async fn refusal_is_the_one_that_callers_get(
    #[case] path: &str,
    #[case] workspace: Option<&str>,
    #[case] reason: &str,
) {
    let (_site, _door, server, gateway) = Site::with_gateway(&Desired::default()).await;
    let question = Question {
        workspace: workspace.map(Into::into),
        ..question(path)
    };
    assert_refused_as_explained(&gateway, question, reason).await;
    assert!(server.arrivals().is_empty());
}

async fn assert_refused_as_explained(gateway: &Gateway, question: Question, reason: &str) {
    let explanation = ask(gateway, &question).await;
    let of_decision = explanation.decisions.first().map(|d| d.refusal.clone());
    let refusal = explanation.refusal.or(of_decision.flatten());
    let refusal = refusal.expect("a refusal");
    assert_eq!(&*refusal.reason, reason);
    let key = question.workspace.map(|_| "key-1");
    let sent = gateway.request_with_key("r", &question.path, key).await;
    let (status, headers, body) = sent.expect("an answer");
    assert_eq!(status.as_u16(), refusal.status);
    assert_eq!(body, format!("{reason}\n"));
    let retry = headers.get("retry-after").is_some();
    assert_eq!(retry, refusal.retry_ms.is_some());
}
