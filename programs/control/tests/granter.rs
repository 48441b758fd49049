//! Leases of granter shards, and floors, against the platform stand-in.

use base::http::client::Target;
use base::id::Incarnation;
use control::settings::Settings;
use control::state::{Active, Shared};
use control::{granter, reader};
use hyper::Method;
use operators::bundle::{Bundle, Files};
use platform::list::{List, Node, State};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};
use steering::keys::Ring;
use steering::limits::{Allocation, Renew};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

const FLEET: &str = "\
fleet: test
regions:
  - name: north
    data_centres: [north-1]
workspaces:
  - { name: toubkal, rate: 100/s, burst: 40 }
limits: { floor_units: 4 }
";

/// Longest wait for a condition, so that a failed test ends; no bound of the system.
const TIMEOUT: Duration = Duration::from_secs(60);

struct Platform {
    address: SocketAddr,
    stop: CancellationToken,
    list_lag: Duration,
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Platform {
    async fn start(port: u16, vms: &[&str]) -> Self {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let listener = TcpListener::bind(address).await.expect("a free port");
        let stop = CancellationToken::new();
        let list = list(vms, address);
        tokio::spawn(standin_platform::server::run(listener, list, stop.clone()));
        Self {
            address,
            stop,
            list_lag: Duration::from_millis(300),
        }
    }

    async fn call(&self, method: Method, path: &str, body: serde_json::Value) {
        let answer = self.target().call_json(method, path, &body).await;
        let status = answer.expect("an answer").status;
        assert!(status.is_success(), "{path}: {status}");
    }

    fn target(&self) -> Target {
        Target {
            address: self.address,
            timeout: Duration::from_secs(2),
            authorization: None,
        }
    }

    /// Runs the granter of a VM whose entry has the incarnation `entry`.
    fn vm(&self, name: &str, entry: Incarnation) -> (Shared, JoinHandle<()>) {
        self.vm_until(name, entry, self.stop.clone())
    }

    fn vm_until(
        &self,
        name: &str,
        entry: Incarnation,
        stop: CancellationToken,
    ) -> (Shared, JoinHandle<()>) {
        let interval = Duration::from_millis(50);
        self.vm_every(interval, name, entry, stop)
    }

    /// Runs the granter of a VM that reads the row `floors` every `interval`.
    fn vm_every(
        &self,
        interval: Duration,
        name: &str,
        entry: Incarnation,
        stop: CancellationToken,
    ) -> (Shared, JoinHandle<()>) {
        let span = base::unit::Span;
        let shared = Shared::new(Settings {
            vm: name.into(),
            granter_interval: span(interval),
            list_lag: span(self.list_lag),
            ..Settings::default()
        });
        let files: Files = [("fleet.yaml".into(), FLEET.into())].into_iter().collect();
        let active = Active {
            version: 1,
            bundle: Bundle::parse(&files).expect("valid files"),
            files,
            ring: Ring::default(),
        };
        shared.update_and_publish(|known| known.active = Some(active));
        shared.record_entry(entry);
        let client = platform::Client::new(self.target());
        let running = shared.clone();
        let task = tokio::spawn(async move {
            tokio::join!(
                reader::run(running.clone(), client.clone(), stop.clone()),
                granter::run(running, client, stop),
            );
        });
        (shared, task)
    }
}

/// Lists VMs whose gossip addresses are the ports after that of `platform`.
fn list(vms: &[&str], platform: SocketAddr) -> List {
    let nodes = (platform.port() + 1..).zip(vms);
    List {
        nodes: nodes
            .map(|(port, vm)| Node {
                gossip: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
                ..node(vm, platform)
            })
            .collect(),
        backends: Vec::new(),
    }
}

fn node(vm: &str, address: SocketAddr) -> Node {
    Node {
        name: vm.into(),
        region: "north".into(),
        data_centre: "north-1".into(),
        state: State::Live,
        entry: address,
        share: address,
        lookup: address,
        gossip: address,
        admin: address,
    }
}

async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "gave up waiting until {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn has_floor(shared: &Shared) -> bool {
    shared.read(|known| known.owns_floor)
}

fn renewal(number: u64) -> Renew {
    Renew {
        workspace: "toubkal".into(),
        vm: "vm-01".into(),
        incarnation: 1,
        number,
        applied: 0,
        holding: Allocation::default(),
        returned: 0,
        demand: 0,
        spare: 0,
        version: 1,
    }
}

/// Sends renewals until they are granted, or until they are not, as `wanted` says.
async fn wait_granted(shared: &Shared, wanted: bool) {
    let number = std::sync::atomic::AtomicU64::new(1);
    wait_until("the renewal has the wanted answer", || {
        let number = number.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        granter::renew(shared, &renewal(number + if wanted { 0 } else { 1 << 32 })).is_some()
            == wanted
    })
    .await;
}

/// A VM that joins when all floors are claimed or pooled gets one: the granters have to free it.
#[tokio::test(flavor = "multi_thread")]
async fn pooled_floor_is_freed_for_a_new_vm() {
    let mut platform = Platform::start(25_900, &["vm-01"]).await;
    // The new VMs are not listed yet and must keep their floors all the same.
    platform.list_lag = TIMEOUT;
    let (first, _) = platform.vm("vm-01", 1);
    wait_until("the first VM has a floor", || has_floor(&first)).await;
    let (second, _) = platform.vm("vm-02", 2);
    wait_until("the second VM has the floor that was kept", || {
        has_floor(&second)
    })
    .await;
    let (third, _) = platform.vm("vm-03", 3);
    wait_until("the third VM has a floor of the pool", || has_floor(&third)).await;
    assert!(has_floor(&first) && has_floor(&second));
}

/// Floors of VMs that left the list are reclaimed; otherwise they would be lost for good.
#[tokio::test(flavor = "multi_thread")]
async fn floor_of_a_removed_vm_is_reclaimed() {
    let names = ["vm-01", "vm-02", "vm-03", "vm-04", "vm-05"];
    let platform = Platform::start(25_910, &names).await;
    let mut fleet: Vec<_> = names[..4].iter().zip(1..).collect();
    let last = fleet.split_off(3);
    let running: Vec<_> = fleet.iter().map(|(vm, i)| platform.vm(vm, *i)).collect();
    let (fourth, fourth_task) = platform.vm(last[0].0, last[0].1);
    for (shared, _) in &running {
        wait_until("a VM has a floor", || has_floor(shared)).await;
    }
    wait_until("the fourth VM has the last floor", || has_floor(&fourth)).await;
    let (fifth, _) = platform.vm("vm-05", 5);
    wait_until("the fifth VM knows the division", || {
        fifth.read(|known| known.division.is_some())
    })
    .await;
    assert!(!has_floor(&fifth), "four floors have four owners");
    fourth_task.abort();
    let remove = serde_json::json!({ "name": "vm-04" });
    platform.call(Method::POST, "/vms", remove).await;
    wait_until("the fifth VM has the reclaimed floor", || has_floor(&fifth)).await;
}

/// Leases and claims whose write took effect but whose answer was lost are recognised by a read.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_are_read_back() {
    let platform = Platform::start(25_920, &["vm-01"]).await;
    let lose = serde_json::json!({ "lose_answers": 12 });
    platform.call(Method::PUT, "/switch", lose).await;
    let (shared, _) = platform.vm("vm-01", 1);
    wait_until("the VM has a floor", || has_floor(&shared)).await;
    wait_granted(&shared, true).await;
}

/// A granter that was paused past its lease deadline must check the deadline when it grants, since
/// the task that maintains the lease has not run.
#[tokio::test(flavor = "multi_thread")]
async fn paused_granter_grants_nothing_after_its_lease_expired() {
    let platform = Platform::start(25_930, &["vm-01"]).await;
    let (shared, task) = platform.vm("vm-01", 1);
    wait_granted(&shared, true).await;
    task.abort();
    wait_granted(&shared, false).await;
}

/// In a store outage the holder's lease expires and nobody grants, but the floor stays.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_ends_grants_but_not_the_floor() {
    let platform = Platform::start(25_940, &["vm-01", "vm-02"]).await;
    let (shared, _) = platform.vm("vm-01", 1);
    wait_granted(&shared, true).await;
    let outage = serde_json::json!({ "outage": true });
    platform.call(Method::PUT, "/switch", outage).await;
    let (late, _) = platform.vm("vm-02", 2);
    wait_granted(&shared, false).await;
    assert!(has_floor(&shared));
    assert!(granter::renew(&late, &renewal(1)).is_none());
}

/// A planned stop releases the leases; otherwise other VMs would wait for their term.
#[tokio::test(flavor = "multi_thread")]
async fn stopping_granter_releases_its_leases() {
    let platform = Platform::start(25_950, &["vm-01"]).await;
    let stop = CancellationToken::new();
    let (shared, task) = platform.vm_until("vm-01", 1, stop.clone());
    wait_granted(&shared, true).await;
    stop.cancel();
    task.await.expect("the granter ends");
    assert!(granter::renew(&shared, &renewal(u64::MAX)).is_none());
    let client = platform::Client::new(platform.target());
    let rows = client.scan("granter/").await.expect("rows");
    assert_eq!(rows.len(), 4);
    for row in rows {
        assert!(row.value["holder"].is_null(), "{row:?}");
    }
}

/// A VM that restarts while the store is down gets its floor from other VMs, even if none of them
/// has read the row since its claim: without its announcement, their copies would not name it.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_vm_gets_its_floor_from_announcements() {
    let names = ["vm-01", "vm-02", "vm-03"];
    let platform = Platform::start(25_960, &names).await;
    let gossip = async |shared: &Shared, port| {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, port)).await;
        let listener = listener.expect("a free port");
        let stop = platform.stop.clone();
        drop(tokio::spawn(control::gossip::run(
            listener,
            shared.clone(),
            stop,
        )));
    };
    // The other VMs read the row only before the claim.
    let rarely = |vm, entry| platform.vm_every(10 * TIMEOUT, vm, entry, platform.stop.clone());
    let (first, _) = rarely("vm-01", 1);
    let (third, _) = rarely("vm-03", 3);
    wait_until("the other VMs have floors", || {
        has_floor(&first) && has_floor(&third)
    })
    .await;
    gossip(&first, 25_961).await;
    gossip(&third, 25_963).await;
    let (second, task) = platform.vm("vm-02", 2);
    wait_until("the second VM has a floor", || has_floor(&second)).await;
    wait_until("another VM knows of the floor", || {
        let knows = |shared: &Shared| {
            let answer =
                shared.read(|known| granter::floor_exchange::handle(known, &"vm-02".into()));
            answer.is_some_and(|floor| floor.owned)
        };
        knows(&first) && knows(&third)
    })
    .await;
    let outage = serde_json::json!({ "outage": true });
    platform.call(Method::PUT, "/switch", outage).await;
    task.abort();

    let (again, _) = platform.vm("vm-02", 4);
    let now = Instant::now();
    let list = list(&names, platform.address);
    again.update_and_publish(|known| known.apply_list(list, now, now));
    wait_until("the restarted VM has its floor", || has_floor(&again)).await;
}
