//! Runs one seed of the soak test.

use crate::addresses::{Addresses, DATA_CENTRE_NAMES, USAGE_LEASE, settings, with_usage};
use crate::caller::Caller;
use crate::invariants::{self, Disturbance, Execution, History, Period};
use crate::plan::{
    self, DATA_CENTRES, FAULT_PHASE, FIRST_NARROW, FIRST_USAGE, Fault, GATEWAYS, HolderFault,
    SERVERS, ServerFault, StoreFault,
};
use crate::process::Gateway;
use crate::proxy::{Mode, Proxy};
use crate::traffic::{ROUTES, SAFE, Traffic};
use adapter::store::REGISTRATIONS;
use indexmap::IndexMap;
use rustix::process::Signal;
use standin_site::cloud::Cloud;
use standin_site::operator::Desired;
use standin_site::server::{Behaviour, Entry, Server};
use standin_site::store::{Backup, Endpoint, Faults, Lost, Store};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Time from the end of the faults to the end of the run.
const RECOVERY_PHASE: Duration = Duration::from_secs(7);
/// Time from the end of the faults after which callers must be served. It covers gateway starts,
/// the timeout of silent connections, and the time until servers that were down are used again.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Interval at which gateways that ended are restarted.
const REPAIR_INTERVAL: Duration = Duration::from_millis(200);
/// Links of the first and the second gateway of a data centre in Mbit/s; the second one reads the store
/// after an outage until the other one takes that over.
const LINKS_MBPS: [f64; GATEWAYS / DATA_CENTRES] = [12.0, 1.0];
/// Time for the gateways to become ready.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(15);
/// Service time of a late server. It is twice the 640 ms after which gateways used to give up an
/// answer of a cold server (four times its service time of 1.6 objectives), and below the route
/// timeout.
const LATE_SERVICE_TIME: Duration = Duration::from_millis(1_300);
/// Result of one run.
#[derive(Debug)]
pub struct Outcome {
    /// Violated invariants.
    pub violations: Vec<String>,
    /// Requests that callers sent.
    pub sent: usize,
    /// Requests that were served.
    pub served: usize,
    /// Folder with settings and logs.
    pub folder: PathBuf,
}

struct Site {
    /// The platform that takes usage reports; none in runs without them.
    cloud: Option<Cloud>,
    /// Gateway that the last fault of the holder affected.
    faulty_holder: usize,
    store: Store,
    /// Copy of the store, and what it lacked when the store came back from it.
    backup: Option<Backup>,
    lost: Option<Lost>,
    store_endpoints: Vec<Endpoint>,
    store_proxies: Vec<Proxy>,
    servers: Vec<Server>,
    server_proxies: Vec<Proxy>,
    gateways: Vec<Gateway>,
    version: u32,
    withdrawn_at: Option<Instant>,
    sequence: u64,
    /// Start of the current run of each server.
    born: [u64; SERVERS],
    /// When each server began a new run.
    rejoined: Vec<Vec<Instant>>,
    /// Current disturbances with their begin.
    disturbances: IndexMap<Disturbance, Instant>,
    /// Disturbances that ended.
    periods: Vec<Period>,
}

/// Runs one seed with the gateway at `program`; settings and logs are written below `folder`.
///
/// # Errors
///
/// Fails if the store, servers or gateways can't be started, or a fault can't be applied.
pub async fn run(seed: u64, program: &Path, folder: &Path) -> io::Result<Outcome> {
    let folder = folder.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&folder)?;
    let stop = CancellationToken::new();
    let mut site = Site::start(program, &folder, seed, &stop).await?;
    site.publish();
    for gateway in &mut site.gateways {
        gateway.start()?;
    }
    site.wait_ready().await?;
    let traffic = Traffic::new(stop.clone());
    for (number, gateway) in site.gateways.iter().enumerate() {
        traffic.start(seed, number, gateway.callers);
    }
    site.wait_reported().await?;
    let begin = Instant::now();
    let mut log = Vec::new();
    for (at, fault) in plan::generate(seed) {
        tokio::time::sleep_until((begin + at).into()).await;
        log.push(format!("{:6} ms {fault:?}", begin.elapsed().as_millis()));
        site.apply_fault(&fault)?;
    }
    let faults_ended_at = Instant::now();
    // A gateway that got SIGTERM shortly before may end only now, and is restarted here.
    while begin.elapsed() < FAULT_PHASE + RECOVERY_PHASE {
        site.repair()?;
        tokio::time::sleep(REPAIR_INTERVAL).await;
    }
    stop.cancel();
    site.servers.iter().for_each(Server::stop);
    let disturbances: Vec<Disturbance> = site.disturbances.keys().copied().collect();
    disturbances
        .into_iter()
        .for_each(|disturbance| site.end_disturbance(disturbance));
    let history = History {
        requests: traffic.requests(),
        executions: site.executions(),
        arrivals: site.servers.iter().map(Server::arrivals).collect(),
        rejoined: site.rejoined,
        reports: site.cloud.as_ref().map(Cloud::reports),
        lease: USAGE_LEASE,
        periods: site.periods,
        timeout: Duration::from_millis(SAFE.timeout_ms.into()),
        faults_ended_at,
        withdrawn_at: site.withdrawn_at,
        recovery_time: RECOVERY_TIME,
    };
    std::fs::write(folder.join("faults.txt"), log.join("\n"))?;
    let requests = history
        .requests
        .iter()
        .map(|request| format!("{request:?}"));
    let reports = history.reports.iter().flatten();
    let observed = requests.chain(reports.map(|report| format!("{report:?}")));
    let observed: Vec<String> = observed.collect();
    std::fs::write(folder.join("observed.txt"), observed.join("\n"))?;
    let served = history
        .requests
        .iter()
        .filter(|s| matches!(&s.answer, Some((200, _, _))));
    Ok(Outcome {
        violations: invariants::violations(&history),
        sent: history.requests.len(),
        served: served.count(),
        folder,
    })
}

impl Site {
    async fn start(
        program: &Path,
        folder: &Path,
        seed: u64,
        stop: &CancellationToken,
    ) -> io::Result<Self> {
        let addresses = Addresses::next();
        let address = |number, port| addresses.at(number, port);
        let store = Store::default();
        let (mut store_endpoints, mut store_proxies) = (Vec::new(), Vec::new());
        for number in 0..DATA_CENTRES as u8 {
            let endpoint = store.open(address(1 + number, 8000), stop.clone()).await?;
            let proxy = Proxy::start(address(11 + number, 8000), endpoint.address, stop.clone());
            store_proxies.push(proxy.await?);
            store_endpoints.push(endpoint);
        }
        let (mut servers, mut server_proxies) = (Vec::new(), Vec::new());
        for number in 0..SERVERS as u8 {
            let server = Server::start(&format!("i-{number}"), address(21 + number, 8080)).await?;
            let proxy = Proxy::start(address(31 + number, 8080), server.address, stop.clone());
            server_proxies.push(proxy.await?);
            servers.push(server);
        }
        let cloud = match seed >= FIRST_USAGE {
            true => Some(Cloud::start(address(3, 8529), stop.clone()).await?),
            false => None,
        };
        let mut gateways = Vec::new();
        for number in 0..GATEWAYS {
            let at = |port| address(41 + number as u8, port);
            let vm = format!("vm-{number}");
            let gateway = Gateway::new(&vm, at(8389), at(8385), program, folder);
            let data_centre = number % DATA_CENTRES;
            let mut settings = settings(
                &vm,
                DATA_CENTRE_NAMES[data_centre],
                at,
                store_proxies[data_centre].address,
            );
            if seed >= FIRST_NARROW {
                settings["link_mbps"] = LINKS_MBPS[number / DATA_CENTRES].into();
            }
            let settings = match &cloud {
                Some(cloud) => with_usage(settings, cloud.address),
                None => settings,
            };
            std::fs::write(gateway.settings(), settings.to_string())?;
            gateways.push(gateway);
        }
        let mut site = Self {
            cloud,
            faulty_holder: 0,
            store,
            backup: None,
            lost: None,
            store_endpoints,
            store_proxies,
            servers,
            server_proxies,
            gateways,
            version: 0,
            withdrawn_at: None,
            sequence: 0,
            born: [0; SERVERS],
            rejoined: vec![Vec::new(); SERVERS],
            disturbances: IndexMap::new(),
            periods: Vec::new(),
        };
        (0..SERVERS).for_each(|server| site.register(server, false));
        Ok(site)
    }

    /// Waits until every gateway serves a request.
    async fn wait_ready(&self) -> io::Result<()> {
        let end = Instant::now() + STARTUP_TIMEOUT;
        for gateway in &self.gateways {
            while !is_ready(gateway.callers).await {
                if Instant::now() > end {
                    return Err(io::Error::other(format!("{} does not start", gateway.vm)));
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Waits until usage was reported, in runs with usage reports.
    async fn wait_reported(&self) -> io::Result<()> {
        let end = Instant::now() + STARTUP_TIMEOUT;
        while self
            .cloud
            .as_ref()
            .is_some_and(|cloud| cloud.reports().is_empty())
        {
            if Instant::now() > end {
                return Err(io::Error::other("no usage is reported"));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Returns the gateway that sent the last usage report.
    fn holder(&self) -> usize {
        let reports = self.cloud.as_ref().map(Cloud::reports);
        let last = reports.as_ref().and_then(|reports| reports.last());
        let is_holder = |gateway: &Gateway| last.is_some_and(|last| last.holder == gateway.vm);
        self.gateways.iter().position(is_holder).unwrap_or_default()
    }

    /// Registers a new run of a server.
    fn register(&mut self, server: usize, leaving: bool) {
        self.born[server] = self.sequence + 1;
        self.write_entry(server, leaving);
    }

    /// Writes the registration of the current run of a server.
    fn write_entry(&mut self, server: usize, leaving: bool) {
        self.sequence += 1;
        let entry = Entry {
            service: "service",
            data_centre: DATA_CENTRE_NAMES[server % DATA_CENTRES],
            leaving,
            sequence: self.sequence,
            born: self.born[server],
            ..Entry::default()
        };
        let proxy = self.server_proxies[server].address;
        self.servers[server].register_at(&self.store, &entry, proxy);
    }

    fn publish(&mut self) {
        self.version += 1;
        let desired = Desired {
            version: self.version,
            host: "soak.example",
            keys: match self.withdrawn_at {
                Some(_) => &["new"],
                None => &["new", "old"],
            },
            routes: &ROUTES,
            ..Desired::default()
        };
        desired.publish(&self.store);
    }

    fn apply_fault(&mut self, fault: &Fault) -> io::Result<()> {
        match *fault {
            Fault::Kill(gateway) => {
                self.begin_disturbance(Disturbance::Kill(gateway));
                self.gateways[gateway].signal(Signal::KILL)?;
            }
            Fault::Stop(gateway) => {
                self.begin_disturbance(Disturbance::Stop(gateway));
                self.gateways[gateway].signal(Signal::TERM)?;
            }
            Fault::Pause(gateway) => {
                self.begin_disturbance(Disturbance::Pause(gateway));
                self.gateways[gateway].signal(Signal::STOP)?;
            }
            Fault::Continue(gateway) => self.resume(gateway)?,
            Fault::Reload(gateway) => self.gateways[gateway].signal(Signal::HUP)?,
            Fault::Start(gateway) => self.restart(gateway)?,
            Fault::StoreWay(data_centre, mode) => self.store_proxies[data_centre].set(mode),
            Fault::Store(data_centre, fault) => {
                self.store_endpoints[data_centre].set(store_faults(fault));
            }
            Fault::Forget => self.store.forget_history(),
            Fault::Backup => self.backup = Some(self.store.backup()),
            Fault::Restore => {
                self.lost = self.backup.take().map(|backup| self.store.restore(backup));
            }
            Fault::WriteAgain => {
                if let Some(lost) = self.lost.take() {
                    self.store.write_again(lost);
                }
            }
            Fault::ServerWay(server, mode) => {
                if mode != Mode::Pass {
                    self.begin_disturbance(Disturbance::Link(server));
                }
                self.server_proxies[server].set(mode);
                if mode == Mode::Pass {
                    self.end_disturbance(Disturbance::Link(server));
                }
            }
            Fault::Server(server, fault) => {
                let is_sound = matches!(
                    fault,
                    ServerFault::Sound
                        | ServerFault::Late
                        | ServerFault::Leaves
                        | ServerFault::Rejects
                        | ServerFault::Babbles
                        | ServerFault::Limits
                );
                if !is_sound {
                    self.begin_disturbance(Disturbance::Server(server));
                }
                self.servers[server].set(server_behaviour(fault));
                if is_sound {
                    self.end_disturbance(Disturbance::Server(server));
                }
            }
            Fault::Leave(server) => self.register(server, true),
            Fault::Rejoin(server) => {
                self.rejoined[server].push(Instant::now());
                self.register(server, false);
            }
            Fault::Unlist(server) => self.store.remove(REGISTRATIONS, &self.servers[server].id),
            Fault::List(server) => self.write_entry(server, false),
            Fault::Publish => self.publish(),
            Fault::Withdraw => {
                self.withdrawn_at.get_or_insert(Instant::now());
                self.publish();
            }
            Fault::Holder(fault) => {
                let holder = self.holder();
                self.faulty_holder = holder;
                let centre = holder % DATA_CENTRES;
                self.apply_fault(&match fault {
                    HolderFault::Kill => Fault::Kill(holder),
                    HolderFault::Pause => Fault::Pause(holder),
                    HolderFault::CutForward => Fault::StoreWay(centre, Mode::CutForward),
                    HolderFault::CutBack => Fault::StoreWay(centre, Mode::CutBack),
                })?;
            }
            Fault::HolderBack => {
                let holder = self.faulty_holder;
                self.resume(holder)?;
                self.restart(holder)?;
                self.store_proxies[holder % DATA_CENTRES].set(Mode::Pass);
            }
            Fault::Cloud(is_silent) => {
                if let Some(cloud) = &self.cloud {
                    cloud.set_silent(is_silent);
                }
            }
        }
        Ok(())
    }

    /// Ends all faults and starts gateways that do not run.
    fn repair(&mut self) -> io::Result<()> {
        self.store_endpoints
            .iter()
            .for_each(|endpoint| endpoint.set(Faults::default()));
        if let Some(cloud) = &self.cloud {
            cloud.set_silent(false);
        }
        let proxies = self.store_proxies.iter().chain(&self.server_proxies);
        proxies.for_each(|proxy| proxy.set(Mode::Pass));
        self.servers
            .iter()
            .for_each(|s| s.set(Behaviour::default()));
        for server in 0..SERVERS {
            self.end_disturbance(Disturbance::Link(server));
            self.end_disturbance(Disturbance::Server(server));
        }
        for gateway in 0..GATEWAYS {
            self.resume(gateway)?;
            self.restart(gateway)?;
        }
        Ok(())
    }

    /// Continues a gateway if it is paused.
    fn resume(&mut self, gateway: usize) -> io::Result<()> {
        self.gateways[gateway].signal(Signal::CONT)?;
        self.end_disturbance(Disturbance::Pause(gateway));
        Ok(())
    }

    /// Starts a gateway if it does not run.
    fn restart(&mut self, gateway: usize) -> io::Result<()> {
        if !self.gateways[gateway].is_running()? {
            self.end_disturbance(Disturbance::Stop(gateway));
            self.end_disturbance(Disturbance::Kill(gateway));
            self.gateways[gateway].start()?;
        }
        Ok(())
    }

    fn begin_disturbance(&mut self, disturbance: Disturbance) {
        self.disturbances
            .entry(disturbance)
            .or_insert_with(Instant::now);
    }

    fn end_disturbance(&mut self, disturbance: Disturbance) {
        let begin = self.disturbances.swap_remove(&disturbance);
        self.periods.extend(begin.map(|begin| Period {
            disturbance,
            begin,
            end: Instant::now(),
        }));
    }

    /// Returns the executions of all servers.
    fn executions(&self) -> Vec<Execution> {
        let servers = self.servers.iter().enumerate();
        servers
            .flat_map(|(server, own)| {
                own.runs()
                    .into_iter()
                    .map(move |run| Execution { id: run.id, server })
            })
            .collect()
    }
}

fn store_faults(fault: StoreFault) -> Faults {
    match fault {
        StoreFault::Sound => Faults::default(),
        StoreFault::Down => Faults {
            down: true,
            ..Faults::default()
        },
        StoreFault::Silent => Faults {
            silent: true,
            ..Faults::default()
        },
        StoreFault::Slow => Faults {
            delay: Duration::from_millis(400),
            ..Faults::default()
        },
        StoreFault::LosesAnswers => Faults {
            loses_answers: true,
            ..Faults::default()
        },
    }
}

fn server_behaviour(fault: ServerFault) -> Behaviour {
    let sound = Behaviour::default();
    match fault {
        ServerFault::Sound => sound,
        ServerFault::Silent => Behaviour {
            silent: true,
            ..sound
        },
        ServerFault::Sheds => Behaviour {
            sheds: true,
            ..sound
        },
        ServerFault::Confuses => Behaviour {
            wrong_id: true,
            ..sound
        },
        ServerFault::Unsigned => Behaviour {
            unsigned: true,
            ..sound
        },
        ServerFault::Fails => Behaviour {
            status: 500,
            ..sound
        },
        ServerFault::Late => Behaviour {
            work: LATE_SERVICE_TIME,
            ..sound
        },
        ServerFault::Leaves => Behaviour {
            leaving: &["1"],
            ..sound
        },
        ServerFault::Rejects => Behaviour {
            turns_away: &["1"],
            ..sound
        },
        ServerFault::Limits => Behaviour {
            limit: invariants::LIMIT,
            ..sound
        },
        ServerFault::Babbles => Behaviour {
            leaving: &["0", "soon"],
            turns_away: &["-1", "tomorrow"],
            ..sound
        },
    }
}

async fn is_ready(callers: SocketAddr) -> bool {
    let request = Caller::new(0, callers).request("ready", &SAFE, false).await;
    matches!(request.answer, Some((200, _, _)))
}
