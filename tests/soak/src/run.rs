//! One run of the soak.

use crate::caller::{Caller, Seen};
use crate::place::{Addresses, NAMES, settings};
use crate::plan::{self, CENTRES, FAULT_TIME, Fault, GATEWAYS, SERVERS, ServerFault, StoreFault};
use crate::process::Gateway;
use crate::promise::{self, Disturbance, History, Period, Run};
use crate::proxy::{Mode, Proxy};
use base::sync::lock;
use indexmap::IndexMap;
use rustix::process::Signal;
use standin_site::operator::{Desired, Route};
use standin_site::server::{Behaviour, Entry, Server};
use standin_site::store::{Endpoint, Faults, Store};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio_util::sync::CancellationToken;

/// Time from the end of the faults to the end of the run.
const CALM_TIME: Duration = Duration::from_secs(7);
/// Time from the end of the faults from which callers are served: starts, the time-out of silent
/// connections, and the forgetting of servers that were down.
const RECOVERY: Duration = Duration::from_secs(5);
/// Time between two requests of a caller.
const GAP: Duration = Duration::from_millis(40);
/// Time after which a gateway that ended is started again.
const RESTART: Duration = Duration::from_millis(200);
/// Time for the gateways to become ready.
const START: Duration = Duration::from_secs(15);
/// Work of a late server: twice the wait of 640 ms after which an answer of a cold server used to be
/// given up (four times its work, 1.6 objectives), and below the time-out of the routes.
const LATE_WORK: Duration = Duration::from_millis(1_300);
/// Latency objective of the routes in milliseconds.
const OBJECTIVE_MS: u32 = 100;
/// Routes: requests that may run more than once, those that may not, and those that may, but have one
/// attempt. No second server hides it if a gateway gives the last up while their server is at work.
const ROUTES: [Route; 3] = [SAFE, ONCE, SINGLE];
const SAFE: Route = Route {
    name: "safe",
    service: "service",
    objective_ms: OBJECTIVE_MS,
    ..Route::PLAIN
};
const ONCE: Route = Route {
    name: "once",
    repeatable: false,
    ..SAFE
};
const SINGLE: Route = Route {
    name: "single",
    attempts: 1,
    ..SAFE
};
/// Result of one run.
#[derive(Debug)]
pub struct Outcome {
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// Requests that callers sent.
    pub asked: usize,
    /// Requests that were served.
    pub served: usize,
    /// Folder with settings and logs.
    pub folder: PathBuf,
}

struct World {
    store: Store,
    doors: Vec<Endpoint>,
    store_ways: Vec<Proxy>,
    servers: Vec<Server>,
    server_ways: Vec<Proxy>,
    gateways: Vec<Gateway>,
    version: u32,
    withdrawn: Option<Instant>,
    sequence: u64,
    /// Touches that last, and since when.
    disturbances: IndexMap<Disturbance, Instant>,
    /// Touches that ended.
    periods: Vec<Period>,
}

/// Plays one seed with the gateway at `program`; settings and logs go below `folder`.
///
/// # Errors
///
/// Fails if the world can't be set up.
pub async fn run(seed: u64, program: &Path, folder: &Path) -> io::Result<Outcome> {
    let folder = folder.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&folder)?;
    let stop = CancellationToken::new();
    let mut world = World::start(program, &folder, &stop).await?;
    world.publish();
    for gateway in &mut world.gateways {
        gateway.start()?;
    }
    world.wait_ready().await?;
    let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
    let next = Arc::new(AtomicU64::new(0));
    for (number, gateway) in world.gateways.iter().enumerate() {
        for _ in 0..3 {
            tokio::spawn(call(
                Caller::new(number, gateway.callers),
                seen.clone(),
                next.clone(),
                stop.clone(),
            ));
        }
    }
    let begin = Instant::now();
    let mut log = Vec::new();
    for (at, fault) in plan::draw(seed) {
        tokio::time::sleep_until((begin + at).into()).await;
        log.push(format!("{:6} ms {fault:?}", begin.elapsed().as_millis()));
        world.strike(&fault)?;
    }
    let calm = Instant::now();
    // A gateway that was asked to stop just before ends a while later, and is started then.
    while begin.elapsed() < FAULT_TIME + CALM_TIME {
        world.mend()?;
        tokio::time::sleep(RESTART).await;
    }
    stop.cancel();
    world.servers.iter().for_each(Server::stop);
    let disturbances: Vec<Disturbance> = world.disturbances.keys().copied().collect();
    disturbances
        .into_iter()
        .for_each(|disturbance| world.end(disturbance));
    let history = History {
        seen: lock(&seen).clone(),
        runs: world.runs(),
        periods: world.periods,
        time_out: Duration::from_millis(SAFE.timeout_ms.into()),
        calm,
        withdrawn: world.withdrawn,
        recovery: RECOVERY,
    };
    std::fs::write(folder.join("faults.txt"), log.join("\n"))?;
    let served = history
        .seen
        .iter()
        .filter(|s| matches!(&s.answer, Some((200, _, _))));
    Ok(Outcome {
        broken: promise::broken(&history),
        asked: history.seen.len(),
        served: served.count(),
        folder,
    })
}

/// Sends requests of all kinds until the run ends.
async fn call(
    mut caller: Caller,
    seen: Arc<Mutex<Vec<Seen>>>,
    next: Arc<AtomicU64>,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let id = format!("r{number}");
        let result = tokio::select! {
            result = caller.ask(&id, route(number), number.is_multiple_of(5)) => result,
            () = stop.cancelled() => return,
        };
        lock(&seen).push(result);
        tokio::time::sleep(GAP).await;
    }
}

/// Returns the route of a request by its number.
fn route(number: u64) -> &'static Route {
    match number % 6 {
        1 | 3 | 5 => &ONCE,
        4 => &SINGLE,
        _ => &SAFE,
    }
}

impl World {
    async fn start(program: &Path, folder: &Path, stop: &CancellationToken) -> io::Result<Self> {
        let addresses = Addresses::next();
        let address = |number, port| addresses.at(number, port);
        let store = Store::default();
        let (mut doors, mut store_ways) = (Vec::new(), Vec::new());
        for number in 0..CENTRES as u8 {
            let door = store.open(address(1 + number, 8000), stop.clone()).await?;
            let way = Proxy::start(address(11 + number, 8000), door.address, stop.clone());
            store_ways.push(way.await?);
            doors.push(door);
        }
        let (mut servers, mut server_ways) = (Vec::new(), Vec::new());
        for number in 0..SERVERS as u8 {
            let server = Server::start(&format!("i-{number}"), address(21 + number, 8080)).await?;
            let way = Proxy::start(address(31 + number, 8080), server.address, stop.clone());
            server_ways.push(way.await?);
            servers.push(server);
        }
        let mut gateways = Vec::new();
        for number in 0..GATEWAYS {
            let at = |port| address(41 + number as u8, port);
            let vm = format!("vm-{number}");
            let gateway = Gateway::new(&vm, at(8389), at(8385), program, folder);
            let centre = number % CENTRES;
            let text = settings(&vm, NAMES[centre], at, store_ways[centre].address);
            std::fs::write(gateway.settings(), text)?;
            gateways.push(gateway);
        }
        let mut world = Self {
            store,
            doors,
            store_ways,
            servers,
            server_ways,
            gateways,
            version: 0,
            withdrawn: None,
            sequence: 0,
            disturbances: IndexMap::new(),
            periods: Vec::new(),
        };
        (0..SERVERS).for_each(|server| world.register(server, false));
        Ok(world)
    }

    /// Waits until every gateway names itself in its look-ups.
    async fn wait_ready(&self) -> io::Result<()> {
        let end = Instant::now() + START;
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

    fn register(&mut self, server: usize, leaving: bool) {
        self.sequence += 1;
        let entry = Entry {
            service: "service",
            data_centre: NAMES[server % CENTRES],
            leaving,
            sequence: self.sequence,
            born: self.sequence,
            ..Entry::default()
        };
        let way = self.server_ways[server].address;
        self.servers[server].register_at(&self.store, &entry, way);
    }

    fn publish(&mut self) {
        self.version += 1;
        let desired = Desired {
            version: self.version,
            host: "soak.example",
            keys: match self.withdrawn {
                Some(_) => &["new"],
                None => &["new", "old"],
            },
            routes: &ROUTES,
        };
        desired.publish(&self.store);
    }

    fn strike(&mut self, fault: &Fault) -> io::Result<()> {
        match *fault {
            Fault::Kill(gateway) => {
                self.begin(Disturbance::Kill(gateway));
                self.gateways[gateway].signal(Signal::KILL)?;
            }
            Fault::Stop(gateway) => {
                self.begin(Disturbance::Stop(gateway));
                self.gateways[gateway].signal(Signal::TERM)?;
            }
            Fault::Pause(gateway) => {
                self.begin(Disturbance::Pause(gateway));
                self.gateways[gateway].signal(Signal::STOP)?;
            }
            Fault::Continue(gateway) => self.go_on(gateway)?,
            Fault::Reload(gateway) => self.gateways[gateway].signal(Signal::HUP)?,
            Fault::Start(gateway) => self.start_again(gateway)?,
            Fault::StoreWay(centre, mode) => self.store_ways[centre].set(mode),
            Fault::Store(centre, fault) => self.doors[centre].set(faults(fault)),
            Fault::Forget => self.store.forget_history(),
            Fault::ServerWay(server, mode) => {
                if mode != Mode::Pass {
                    self.begin(Disturbance::Way(server));
                }
                self.server_ways[server].set(mode);
                if mode == Mode::Pass {
                    self.end(Disturbance::Way(server));
                }
            }
            Fault::Server(server, fault) => {
                let is_sound = matches!(fault, ServerFault::Sound | ServerFault::Late);
                if !is_sound {
                    self.begin(Disturbance::Server(server));
                }
                self.servers[server].set(behaviour(fault));
                if is_sound {
                    self.end(Disturbance::Server(server));
                }
            }
            Fault::Leave(server) => self.register(server, true),
            Fault::Rejoin(server) => self.register(server, false),
            Fault::Publish => self.publish(),
            Fault::Withdraw => {
                self.withdrawn.get_or_insert(Instant::now());
                self.publish();
            }
        }
        Ok(())
    }

    /// Ends all faults and starts what does not run.
    fn mend(&mut self) -> io::Result<()> {
        self.doors
            .iter()
            .for_each(|door| door.set(Faults::default()));
        let ways = self.store_ways.iter().chain(&self.server_ways);
        ways.for_each(|way| way.set(Mode::Pass));
        self.servers
            .iter()
            .for_each(|s| s.set(Behaviour::default()));
        for server in 0..SERVERS {
            self.end(Disturbance::Way(server));
            self.end(Disturbance::Server(server));
        }
        for gateway in 0..GATEWAYS {
            self.go_on(gateway)?;
            self.start_again(gateway)?;
        }
        Ok(())
    }

    /// Continues a gateway, if it is paused.
    fn go_on(&mut self, gateway: usize) -> io::Result<()> {
        self.gateways[gateway].signal(Signal::CONT)?;
        self.end(Disturbance::Pause(gateway));
        Ok(())
    }

    /// Starts a gateway, if it does not run.
    fn start_again(&mut self, gateway: usize) -> io::Result<()> {
        if !self.gateways[gateway].is_running()? {
            self.end(Disturbance::Stop(gateway));
            self.end(Disturbance::Kill(gateway));
            self.gateways[gateway].start()?;
        }
        Ok(())
    }

    fn begin(&mut self, disturbance: Disturbance) {
        self.disturbances
            .entry(disturbance)
            .or_insert_with(Instant::now);
    }

    fn end(&mut self, disturbance: Disturbance) {
        let begin = self.disturbances.swap_remove(&disturbance);
        self.periods.extend(begin.map(|begin| Period {
            disturbance,
            begin,
            end: Instant::now(),
        }));
    }

    /// Returns what the servers ran.
    fn runs(&self) -> Vec<Run> {
        let servers = self.servers.iter().enumerate();
        servers
            .flat_map(|(server, own)| {
                own.runs()
                    .into_iter()
                    .map(move |run| Run { id: run.id, server })
            })
            .collect()
    }
}

fn faults(fault: StoreFault) -> Faults {
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

fn behaviour(fault: ServerFault) -> Behaviour {
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
            work: LATE_WORK,
            ..sound
        },
    }
}

async fn is_ready(callers: SocketAddr) -> bool {
    let seen = Caller::new(0, callers).ask("ready", &SAFE, false).await;
    matches!(seen.answer, Some((200, _, _)))
}
