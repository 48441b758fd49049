//! Store data and reports between the VMs of a data centre, at the size of the largest deployment.

#[path = "relay/reader.rs"]
mod reader;
#[allow(dead_code, reason = "other tests use the rest of the site")]
mod site;

use gateway::listing::{Delta, Position};
use gateway::reader::StoreReader;
use gateway::settings::Settings;
use gateway::shared::Shared;
use hyper::StatusCode;
use peers::report::{self, Member, Report};
use reader::{Link, Reader};
use site::{Gateway, Site, unused_address};
use standin_site::operator::{Desired, Route};
use standin_site::server::Entry;
use standin_site::store::Faults;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::affinity;
use steering::registry::RECOVERY_GRACE;
use steering::routing::Registration;
use steering::usage::Progress;
use tokio::net::UdpSocket;

/// VMs of the largest data centre of the largest deployment, without the one that reads the store.
const VMS: usize = 36;
/// Servers of that deployment.
const SERVERS: u16 = 973;
/// Servers that leave at the same time, and with each step of a release.
const LEAVING: [u16; 4] = [62, 13, 13, 13];
/// Time between two steps of a release.
const RELEASE_STEP: Duration = Duration::from_millis(920);
/// Routes of its largest configuration.
const ROUTES: usize = 1_900;
/// Bandwidth of its narrow VMs in bytes per second: 12 Mbit/s.
const NARROW_LINK: f64 = 1_500_000.0;
/// Its limits for ending sends to a leaving server and for applying a configuration.
const IN_FORCE: Duration = Duration::from_secs(3);

/// Returns an id without a pattern, as the platform draws them: patterns would compress well.
fn drawn_id(number: usize) -> String {
    format!("{:016x}", affinity::digest(&number.to_string()))
}

/// Returns a configuration with [`ROUTES`] routes.
fn large_configuration(version: u32, keys: &'static [&'static str]) -> Desired {
    let route = |number| Route {
        name: Box::leak(drawn_id(number).into()),
        ..Route::PLAIN
    };
    let routes: Vec<Route> = (0..ROUTES).map(route).chain([Route::PLAIN]).collect();
    Desired {
        version,
        keys,
        routes: routes.leak(),
        ..Desired::default()
    }
}

/// Registers a server of another service.
fn register_other(site: &Site, number: u16, leaving: bool) {
    let drawn = affinity::digest(&number.to_string());
    let [_, a, b, c, ..] = drawn.to_be_bytes();
    let entry = Entry {
        service: ["search", "orders", "history"][usize::from(number % 3)],
        data_centre: ["nord-a", "nord-b", "sud-a"][usize::from(a % 3)],
        leaving,
        sequence: drawn % 100 + u64::from(leaving),
        born: 1_777_830_000_000 + drawn % 60_000,
        ..Entry::default()
    };
    let id = format!("i-{}", drawn_id(number.into()));
    let address = SocketAddr::new(Ipv4Addr::new(127, a, b, c).into(), 8080);
    entry.publish(&site.store, &id[..12], address);
}

/// Guards against a data centre that learns nothing from a new reader with a narrow link, since all
/// its VMs request whole answers at once (large/permis-parcs-large, incident inc1, DRAIN).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn narrow_reader_informs_its_data_centre_in_time() {
    let (site, door, [leaving, other]) = Site::with_servers(&Desired::default()).await;
    for number in 0..SERVERS {
        register_other(&site, number, false);
    }
    let refused = site.store_endpoint().await;
    let vms: Vec<Settings> = (0..VMS)
        .map(|number| Settings {
            link_mbps: 12.0,
            ..Site::gateway_settings(&format!("vm-{number:02}"), "nord-a", &refused)
        })
        .collect();
    let targets: Vec<SocketAddr> = vms.iter().map(|vm| vm.listen.peers).collect();
    let sources = [("vm-a", 120.0), ("vm-b", 13.0)].map(|(vm, link_mbps)| Settings {
        list_period_ms: 100,
        link_mbps,
        ..Site::gateway_settings(vm, "nord-b", &door)
    });
    let wide = Link {
        vm: "reader-1",
        mbps: 120,
        bytes_per_s: f64::INFINITY,
    };
    let narrow = Link {
        vm: "reader-2",
        mbps: 13,
        bytes_per_s: NARROW_LINK,
    };
    let first = Reader::start(&site, sources[0].listen.peers, wide, &targets).await;
    let _second = Reader::start(&site, sources[1].listen.peers, narrow, &targets).await;
    for source in sources {
        site.run_gateway(source).wait_ready().await;
    }
    let gateways: Vec<Gateway> = vms.into_iter().map(|vm| site.run_gateway(vm)).collect();
    for gateway in &gateways {
        gateway.wait_ready().await;
    }
    refused.set(Faults {
        down: true,
        ..Faults::default()
    });
    // The sources do not know these VMs as members of the fleet, so all data comes over the links.
    for gateway in &gateways {
        site.store.remove("members", &gateway.settings.vm);
    }
    let entry = Entry {
        leaving: true,
        sequence: 2,
        ..Entry::default()
    };
    leaving.register(&site.store, &entry);
    first.stop();
    site.publish(&large_configuration(2, &["key-1"]));
    let left_at = Instant::now();
    let limit = left_at + IN_FORCE;
    let mut others = 0..SERVERS;
    for (step, count) in (0..).zip(LEAVING) {
        tokio::time::sleep_until((left_at + RELEASE_STEP * step).into()).await;
        let step = others.by_ref().take(count.into());
        step.for_each(|number| register_other(&site, number, true));
    }
    tokio::time::sleep_until(limit.into()).await;
    let mut old_key = 0;
    for gateway in &gateways {
        for object in ["1", "2", "3", "4"] {
            gateway
                .request_for_object(object, "/a/", Some("key-1"), object)
                .await;
        }
        let answer = gateway.request_with_key("5", "/a/", Some("key-2")).await;
        let is_refused = answer.is_some_and(|(status, ..)| status == StatusCode::UNAUTHORIZED);
        old_key += usize::from(!is_refused);
    }
    let late = leaving.runs().iter().filter(|run| run.at > limit).count();
    assert_eq!((late, old_key), (0, 0), "late runs, VMs with the old keys");
    assert!(!other.runs().is_empty());
}

/// Waits until a gateway refuses `key-2`; returns whether it does so in time.
async fn refuses_old_key(gateway: &Gateway) -> bool {
    let refused = async {
        loop {
            let answer = gateway.request_with_key("1", "/a/", Some("key-2")).await;
            if answer.is_some_and(|(status, ..)| status == StatusCode::UNAUTHORIZED) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(IN_FORCE, refused).await.is_ok()
}

/// Guards against a VM that gets no orders since the VM that it follows gives no answer, though
/// others hold them (large/permis-parcs-large trouble-3, CONFIG).
#[tokio::test]
async fn orders_reach_a_vm_whose_reader_gives_no_answers() {
    let (site, door, [_server]) = Site::with_servers(&Desired::default()).await;
    let refused = site.store_endpoint().await;
    let vm = Site::gateway_settings("vm-1", "nord-a", &refused);
    let targets = [vm.listen.peers];
    let sources = [("vm-a", 120), ("vm-b", 13)].map(|(vm, mbps)| Settings {
        link_mbps: mbps.into(),
        ..Site::gateway_settings(vm, "nord-b", &door)
    });
    let mut readers = Vec::new();
    for (source, name) in sources.iter().zip(["reader-1", "reader-2"]) {
        let link = Link {
            vm: name,
            mbps: source.link_mbps(),
            bytes_per_s: f64::INFINITY,
        };
        readers.push(Reader::start(&site, source.listen.peers, link, &targets).await);
    }
    for source in sources {
        site.run_gateway(source).wait_ready().await;
    }
    let gateway = site.run_gateway(vm);
    gateway.wait_ready().await;
    refused.set(Faults {
        down: true,
        ..Faults::default()
    });
    site.store.remove("members", "vm-1");
    tokio::time::sleep(Duration::from_secs(2)).await;
    readers[0].mute();
    register_other(&site, 1, false);
    site.publish(&Desired {
        version: 2,
        keys: &["key-1"],
        ..Desired::default()
    });
    assert!(refuses_old_key(&gateway).await, "the old key is accepted");
}

/// Guards against a VM that counts as reading and asks nobody while its read of the orders hangs
/// (large/permis-parcs-large trouble-3, CONFIG).
#[tokio::test]
async fn orders_reach_a_vm_whose_read_of_them_hangs() {
    let (site, door, _server, _other) = Site::with_gateway(&Desired::default()).await;
    let slow = site.store_endpoint().await;
    let gateway = site.gateway("vm-2", "nord-b", &slow).await;
    gateway.wait_ready().await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    slow.set(Faults {
        read_delay: Duration::from_secs(10),
        ..Faults::default()
    });
    site.publish(&Desired {
        version: 2,
        keys: &["key-1"],
        ..Desired::default()
    });
    assert!(refuses_old_key(&gateway).await, "the old key is accepted");
    assert_ne!(door.address, slow.address);
}

/// Returns the summary of a data centre that has one VM, at `address`.
fn summary(address: SocketAddr) -> Report {
    let own = site::report_of("remote", "sud-a", address);
    Report {
        members: vec![Member::of(&own)],
        ..own
    }
}

/// Guards against reports that grow where there are no usage reports, and against a part that is lost
/// on the way.
#[test]
fn usage_does_not_change_the_other_parts_of_a_report() {
    let plain = summary(([127, 0, 0, 1], 1).into());
    let counted = Report {
        usage: Some(report::Usage {
            clock_ms: 1_767_225_600_000,
            ahead_ms: vec![-4_000, 7],
            progress: Progress::default(),
            newest: 353_445_120,
            shares: Vec::new(),
        }),
        ..plain.clone()
    };
    let [short, long] = [&plain, &counted].map(|report| report::encode(report).expect("bytes"));
    assert!(long.len() > short.len() && long.starts_with(&short));
    assert_eq!(report::decode(&short).expect("a report"), plain);
    assert_eq!(report::decode(&long).expect("a report"), counted);
}

/// Guards against a storm of datagrams in a data centre whose delegate is silent: the other data
/// centres then send their summaries to all its VMs, and each of these passed them on to all others
/// (24 MB in a second at 33 VMs).
#[tokio::test]
async fn summary_for_all_vms_is_passed_on_by_one_at_most() {
    let (site, door, [_server]) = Site::with_servers(&Desired::default()).await;
    let names = [
        "vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8",
    ];
    let gateways = site.gateways(names.map(|vm| (vm, "nord-a")), &door).await;
    // Until one of them reads the store for all.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let address = SocketAddr::new(unused_address(), 7460);
    let socket = UdpSocket::bind(address).await.expect("a socket");
    let bytes = report::encode(&summary(address)).expect("a report");
    for gateway in &gateways {
        let sent = socket.send_to(&bytes, gateway.settings.listen.peers).await;
        sent.expect("the report is sent");
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut passed_on = 0;
    for gateway in &gateways {
        let name = "gateway_reports_sent_total{kind=\"passed-on\"}";
        passed_on += site::metric(gateway, name).await;
    }
    let others = names.len() as u64 - 1;
    assert!(passed_on <= others, "{passed_on} datagrams");
}

/// Guards against a server that is removed while a VM that read the store again keeps missing
/// entries: the changes of the VM that it follows name the removal once.
#[tokio::test]
async fn entry_that_is_removed_after_an_outage_does_not_stay_in_a_followers_list() {
    let site = Site::new();
    let door = site.store_endpoint().await;
    let settings = Site::gateway_settings("vm-1", "nord-a", &door);
    let shared = Arc::new(Shared::new(settings, 1));
    let client = adapter::store::Client::new(door.address);
    let reader = StoreReader::new(shared.clone(), client);
    let registration = |server: &str| Registration {
        server: server.into(),
        service: "lookup".into(),
        address: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 80),
        data_centre: "nord-a".into(),
        label: "v1".into(),
        slots: 3,
        leaving: false,
        warmup_left: Duration::ZERO,
        sequence: 1,
        born: 1_000,
    };
    let both = vec![registration("i-1"), registration("i-2")];
    let outage = Instant::now().checked_sub(Duration::from_secs(5));
    reader.apply_registrations(both.clone(), outage);
    reader.apply_registrations(both, Some(Instant::now()));
    let follow = |removed: &[&str], number| {
        let delta = Delta {
            position: Position { run: 2, number },
            is_whole: false,
            servers: removed.iter().map(|id| ((*id).into(), None)).collect(),
        };
        let registrations = base::sync::lock(&shared.listing).apply(delta);
        reader.apply_registrations(registrations, None);
    };
    follow(&["i-1"], 1);
    tokio::time::sleep(RECOVERY_GRACE + Duration::from_millis(100)).await;
    follow(&[], 2);
    let listed = base::sync::lock(&shared.listing).registrations();
    let listed: Vec<_> = listed.iter().map(|r| &*r.server).collect();
    assert_eq!(listed, ["i-2"]);
}
