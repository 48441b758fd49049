//! Servers that name in their answers how many requests a second they take from all VMs together.

#[allow(dead_code, reason = "other tests use the rest of the site")]
mod site;

use adapter::store::REGISTRATIONS;
use hyper::StatusCode;
use rstest::rstest;
use site::{Gateway, Site};
use standin_site::operator::Desired;
use standin_site::server::{Behaviour, Entry, Server};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Time after its first word from which a server's limit binds all VMs together.
const CONTACT: Duration = Duration::from_secs(3);
/// Length of the windows in which the operator counts requests.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from an answer with the limit after which its VM is bound by it.
const TOLD: Duration = Duration::from_millis(500);
/// Concurrent callers of each VM; together they ask several times what the limited server takes.
const CALLERS: usize = 4;
/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(40);

/// Number of the next request; each concerns an object of its own, so that no server is preferred.
static NEXT: AtomicUsize = AtomicUsize::new(0);

/// Sends requests to all VMs until `until`; returns the statuses that callers got, and the longest
/// time that one of them waited.
async fn send_until(gateways: &[Gateway], until: Instant) -> (Vec<StatusCode>, Duration) {
    let callers = gateways
        .iter()
        .flat_map(|gateway| (0..CALLERS).map(move |_| call_until(gateway, until)));
    let results = futures::future::join_all(callers).await;
    let longest = results.iter().map(|(_, longest)| *longest).max();
    let statuses = results.into_iter().flat_map(|(statuses, _)| statuses);
    (statuses.collect(), longest.unwrap_or_default())
}

async fn call_until(gateway: &Gateway, until: Instant) -> (Vec<StatusCode>, Duration) {
    let (mut statuses, mut longest) = (Vec::new(), Duration::ZERO);
    while Instant::now() < until {
        let id = NEXT.fetch_add(1, Ordering::Relaxed).to_string();
        let begin = Instant::now();
        let answer = gateway
            .request_for_object(&id, "/a/", Some("key-1"), &id)
            .await;
        longest = longest.max(begin.elapsed());
        statuses.extend(answer.map(|(status, _, _)| status));
        tokio::time::sleep(PAUSE).await;
    }
    (statuses, longest)
}

/// Returns the most requests that reached a server in any window from `from`.
fn most_in_window(server: &Server, from: Instant) -> usize {
    let arrivals: Vec<Instant> = server
        .arrivals()
        .iter()
        .map(|arrival| arrival.at)
        .filter(|at| *at >= from)
        .collect();
    let counts = arrivals.iter().map(|begin| {
        let window = *begin..*begin + WINDOW;
        arrivals.iter().filter(|at| window.contains(at)).count()
    });
    counts.max().unwrap_or_default()
}

/// Returns how many requests the operator allows in a window for a limit.
fn allowed(rate: f64) -> usize {
    (1.5 * rate * WINDOW.as_secs_f64()) as usize + 5
}

/// Data centres of the VMs.
const VMS: [(&str, &str); 4] = [
    ("vm-1", "nord-a"),
    ("vm-2", "nord-a"),
    ("vm-3", "nord-b"),
    ("vm-4", "sud-a"),
];

/// Starts a site of three servers and four VMs that know each other.
async fn site_of_four() -> (Site, [Server; 3], [Gateway; 4]) {
    let (site, door, servers) = Site::with_servers(&Desired::default()).await;
    let gateways = site.gateways(VMS, &door).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    (site, servers, gateways)
}

/// Guards against a server in need that gets more requests from all VMs together than it has named
/// (LIMIT, permis-parcs).
#[rstest]
#[case::low("1.4", Behaviour::default())]
#[case::medium("5", Behaviour::default())]
#[case::that_fails("2.2", Behaviour { status: 500, ..Behaviour::default() })]
#[case::that_turns_requests_away("2.2", Behaviour { sheds: true, ..Behaviour::default() })]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limited_server_gets_no_more_from_all_vms_together(
    #[case] limit: &'static str,
    #[case] behaviour: Behaviour,
) {
    let (_site, [limited, _first, _second], gateways) = site_of_four().await;
    limited.set(Behaviour { limit, ..behaviour });
    let bound_from = Instant::now() + CONTACT + TOLD;
    send_until(&gateways, bound_from).await;
    let end = bound_from + WINDOW + Duration::from_secs(1);
    let (statuses, longest) = send_until(&gateways, end).await;
    let rate: f64 = limit.parse().expect("a number");
    let most = most_in_window(&limited, bound_from);
    assert!(most <= allowed(rate), "{most}, {} allowed", allowed(rate));
    // The other servers take at once what this one can't.
    let others: Vec<_> = statuses.iter().filter(|s| **s != StatusCode::OK).collect();
    assert!(others.is_empty(), "{others:?}");
    assert!(longest < Duration::from_secs(1), "{longest:?}");
}

/// Guards against second sends, to a server in need while all others fail, that aren't counted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_sends_count_in_the_limit_of_a_server() {
    let (_site, [limited, first, second], gateways) = site_of_four().await;
    limited.set(Behaviour {
        limit: "1.4",
        ..Behaviour::default()
    });
    for server in [first, second] {
        server.set(Behaviour {
            status: 500,
            ..Behaviour::default()
        });
    }
    let bound_from = Instant::now() + CONTACT + TOLD;
    send_until(&gateways, bound_from + WINDOW + Duration::from_secs(1)).await;
    let most = most_in_window(&limited, bound_from);
    assert!(most <= allowed(1.4), "{most}, {} allowed", allowed(1.4));
}

/// Guards against VMs that forget a limit while the server drops out of the list for a moment.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn limit_outlives_a_moment_out_of_the_list() {
    let (site, [limited, _first, _second], gateways) = site_of_four().await;
    limited.set(Behaviour {
        limit: "1.4",
        work: Duration::from_millis(300),
        ..Behaviour::default()
    });
    let bound_from = Instant::now() + CONTACT + TOLD;
    send_until(&gateways, bound_from).await;
    for _ in 0..2 {
        site.store.remove(REGISTRATIONS, &limited.id);
        send_until(&gateways, Instant::now() + Duration::from_secs(1)).await;
        limited.register(&site.store, &Entry::default());
        send_until(&gateways, Instant::now() + Duration::from_secs(1)).await;
    }
    let most = most_in_window(&limited, bound_from);
    assert!(most <= allowed(1.4), "{most}, {} allowed", allowed(1.4));
}
