//! Reports between VMs at the size of the largest deployment, beside what their links carry.

#[allow(dead_code, reason = "other tests use the rest of the site")]
mod site;

use gateway::settings::Settings;
use peers::report::{self, Member, Report};
use site::{Gateway, Site, unused_address};
use standin_site::operator::Desired;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;

/// VMs of the largest data centre of the largest deployment.
const VMS: usize = 36;
/// Other data centres.
const DATA_CENTRES: usize = 8;
/// Bandwidth of the narrow VMs in Mbit/s.
const NARROW_MBPS: f64 = 12.0;
/// Bandwidth that reports of idle VMs fill as those of busy ones fill that of narrow VMs, in Mbit/s.
const IDLE_MBPS: f64 = 1.0;
/// Bytes per second of a megabit per second.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// Share of a link that reports may take; the rest is for callers, servers and orders.
const MAX_SHARE: f64 = 0.5;
/// The same for the reports of a VM on itself: a quarter, and a round that begins in the time.
const MAX_OWN_SHARE: f64 = 0.3;
/// Bytes of the summaries of the other data centres, and the time between two.
const SUMMARY_BYTES: usize = 8_000;
const SUMMARY_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two starts of VMs of a data centre while many are restarted.
const RESTART_INTERVAL: Duration = Duration::from_millis(20);
/// Most summaries in [`TIME`]: five a second, and one at its begin.
const MAX_SUMMARIES: usize = 16;
/// Time over which reports are counted.
const TIME: Duration = Duration::from_secs(3);

/// Presents a VM of `nord-a` that starts again and again; each start is reported at once.
async fn restart_often(gateways: Vec<SocketAddr>) {
    let address = SocketAddr::new(unused_address(), 7460);
    let socket = UdpSocket::bind(address).await.expect("a socket");
    let mut report = site::report_of("vm-z", "nord-a", address);
    loop {
        report.incarnation += 1;
        let bytes = report::encode(&report).expect("a report");
        for gateway in &gateways {
            let _ = socket.send_to(&bytes, gateway).await;
        }
        tokio::time::sleep(RESTART_INTERVAL).await;
    }
}

/// Stand-in for the VMs of another data centre, of which the first is its delegate.
struct Remote {
    sockets: Vec<UdpSocket>,
    report: Report,
}

impl Remote {
    async fn start(site: &Site, number: usize) -> Self {
        let data_centre = format!("dc-{number}");
        let ip = unused_address();
        let mut sockets = Vec::new();
        for (vm, port) in (0..VMS).zip(7460..) {
            let address = SocketAddr::new(ip, port);
            sockets.push(UdpSocket::bind(address).await.expect("a socket"));
            let entry = format!("{address} {data_centre} {NARROW_MBPS}");
            site.store
                .put("members", &format!("{data_centre}-{vm}"), entry);
        }
        let address = sockets[0].local_addr().expect("an address");
        let mut report = site::report_of(&format!("{data_centre}-0"), &data_centre, address);
        for vm in 0..VMS {
            let member = Member {
                vm: format!("{data_centre}-{vm}").into(),
                ..Member::of(&report)
            };
            report.members.push(member);
        }
        while report::encode(&report).expect("a report").len() < SUMMARY_BYTES {
            report.down.push(u32::MAX);
        }
        Self { sockets, report }
    }

    /// Sends summaries to the delegate of the gateways, all of them before it is known.
    async fn run(mut self, gateways: Vec<SocketAddr>) {
        let mut buffer = vec![0; report::MAX_REPORT_BYTES];
        let mut delegate = None;
        loop {
            self.report.sequence += 1;
            let bytes = report::encode(&self.report).expect("a report");
            let targets = delegate.map_or(gateways.clone(), |delegate| vec![delegate]);
            for target in targets {
                let _ = self.sockets[0].send_to(&bytes, target).await;
            }
            let next = tokio::time::Instant::now() + SUMMARY_INTERVAL;
            while let Ok(received) =
                tokio::time::timeout_at(next, self.sockets[0].recv_from(&mut buffer)).await
            {
                let (length, _) = received.expect("a datagram");
                if let Ok(report) = report::decode(&buffer[..length]) {
                    delegate = Some(report.address);
                }
            }
        }
    }
}

/// Returns the bytes of the reports that a gateway has sent.
async fn sent_bytes(gateway: &Gateway) -> u64 {
    let mut sum = 0;
    for kind in ["own", "summary", "passed-on"] {
        let name = format!("gateway_reports_sent_bytes_total{{kind=\"{kind}\"}}");
        sum += site::metric(gateway, &name).await;
    }
    sum
}

/// Starts a data centre of narrow VMs.
async fn narrow_data_centre(site: &Site, link_mbps: f64) -> Vec<Gateway> {
    let door = site.store_endpoint().await;
    let settings = (0..VMS).map(|number| Settings {
        link_mbps,
        ..Site::gateway_settings(&format!("vm-{number:02}"), "nord-a", &door)
    });
    let gateways: Vec<Gateway> = settings.map(|vm| site.run_gateway(vm)).collect();
    for gateway in &gateways {
        gateway.wait_ready().await;
    }
    gateways
}

/// Returns the addresses for reports.
fn peer_addresses(gateways: &[Gateway]) -> Vec<SocketAddr> {
    let settings = gateways.iter().map(|gateway| &gateway.settings);
    settings.map(|settings| settings.listen.peers).collect()
}

/// Returns the largest share of its link that a gateway uses for reports.
async fn largest_share(gateways: &[Gateway]) -> f64 {
    let mut before = Vec::new();
    for gateway in gateways {
        before.push(sent_bytes(gateway).await);
    }
    tokio::time::sleep(TIME).await;
    let mut most = 0;
    for (gateway, before) in gateways.iter().zip(before) {
        most = most.max(sent_bytes(gateway).await - before);
    }
    most as f64 / TIME.as_secs_f64() / (gateways[0].settings.link_mbps * BYTES_PER_MBIT)
}

/// Guards against a delegate whose narrow link is filled by the summaries that it passes on, so that
/// orders wait behind them (large/permis-parcs-large trouble-3, CONFIG).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn summaries_reach_all_vms_without_filling_a_narrow_link() {
    let (site, _door, [_server]) = Site::with_servers(&Desired::default()).await;
    let mut remotes = Vec::new();
    for number in 0..DATA_CENTRES {
        remotes.push(Remote::start(&site, number).await);
    }
    let gateways = narrow_data_centre(&site, NARROW_MBPS).await;
    for remote in remotes {
        tokio::spawn(remote.run(peer_addresses(&gateways)));
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let share = largest_share(&gateways).await;
    assert!(share < MAX_SHARE, "{share:.2} of a link");
    for gateway in &gateways {
        let target = site::target(gateway.settings.listen.peers);
        let state = operators::gateway::state(&target).await.expect("a state");
        assert_eq!(state.missing, [], "{} misses VMs", gateway.settings.vm);
    }
}

/// Guards against a delegate that fills its narrow link with summaries to all VMs of data centres
/// whose delegates are silent (large/permis-parcs-large trouble-3, CONFIG).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_data_centres_do_not_fill_a_narrow_link() {
    let (site, _door, [_server]) = Site::with_servers(&Desired::default()).await;
    let mut silent = Vec::new();
    for number in 0..DATA_CENTRES {
        silent.push(Remote::start(&site, number).await);
    }
    let gateways = narrow_data_centre(&site, NARROW_MBPS).await;
    tokio::spawn(restart_often(peer_addresses(&gateways)));
    tokio::time::sleep(Duration::from_secs(2)).await;
    let share = largest_share(&gateways).await;
    assert!(share < MAX_SHARE, "{share:.2} of a link");
    let mut buffer = vec![0; report::MAX_DATAGRAM_BYTES];
    for remote in silent {
        let heard = remote
            .sockets
            .iter()
            .filter(|vm| vm.try_recv(&mut buffer).is_ok());
        assert!(
            heard.count() > 0,
            "{} heard nothing",
            remote.report.data_centre
        );
    }
}

/// Guards against reports at each start of another VM that fill narrow links while many VMs are
/// restarted (large/permis-parcs-large trouble-3, CONFIG).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarts_of_other_vms_do_not_fill_a_narrow_link() {
    let (site, _door, [_server]) = Site::with_servers(&Desired::default()).await;
    let gateways = narrow_data_centre(&site, IDLE_MBPS).await;
    tokio::spawn(restart_often(peer_addresses(&gateways)));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let share = largest_share(&gateways).await;
    assert!(share < MAX_OWN_SHARE, "{share:.2} of a link");
}

/// Guards against summaries at each start of another VM, which are passed on to all VMs of all other
/// data centres (large/permis-parcs-large trouble-3, 10 MB in a second through a wide link).
#[tokio::test]
async fn restarts_of_other_vms_do_not_multiply_summaries() {
    let (site, _door, [_server]) = Site::with_servers(&Desired::default()).await;
    let remote = Remote::start(&site, 0).await;
    let door = site.store_endpoint().await;
    let gateway = site.gateway("vm-1", "nord-a", &door).await;
    gateway.wait_ready().await;
    tokio::spawn(restart_often(vec![gateway.settings.listen.peers]));
    let mut count = 0;
    let mut buffer = vec![0; report::MAX_DATAGRAM_BYTES];
    let end = tokio::time::Instant::now() + TIME;
    while let Ok(received) =
        tokio::time::timeout_at(end, remote.sockets[0].recv_from(&mut buffer)).await
    {
        received.expect("a datagram");
        count += 1;
    }
    assert!((1..=MAX_SUMMARIES).contains(&count), "{count} summaries");
}
