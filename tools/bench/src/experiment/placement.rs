//! Placement of objects beside an oracle that knows all demand, work and caches in advance.
//!
//! Servers of three regions, cold at the start, with the sizes of a service of the smaller site; a
//! sixth of the requests may run in the smallest region only. Steering chooses by what VMs told each
//! other. The oracle knows the whole day: it gives each object its servers in advance, leaves out what
//! does not fit into the caches of the smallest region, and refuses what would be late; what it gets is
//! about what a choice can reach. The baseline takes the least loaded server.

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};
use steering::affinity::{Digest, digest};
use steering::locality::{self, PinnedShares};
use steering::placement::{
    Candidate, Choice, Overload, PlacementRequest, ServiceTime, Settings, choose,
};
use steering::warmth::{ObjectUse, WarmObjects, short_digest};

const REGIONS: [&str; 3] = ["north", "centre", "south"];
/// Region of each server; the last one is the smallest.
const SERVERS: [usize; 12] = [0, 0, 0, 0, 1, 1, 1, 1, 1, 1, 2, 2];
const SLOTS: usize = 3;
/// Objects that a server keeps, the one used least recently gives way.
const KEPT: usize = 25;
/// Objects that each region asks for.
const OBJECTS: usize = 24;
/// Requests a second.
const LOAD: f64 = 68.0;
/// One of so many requests is bound to the smallest region.
const BOUND: u32 = 6;
/// Part by which the work of a request varies.
const SPREAD: f64 = 0.15;
const OBJECTIVE: Duration = Duration::from_millis(400);
const WORK: ServiceTime = ServiceTime {
    warm: Duration::from_millis(190),
    cold: Duration::from_millis(640),
};
/// Time in which all servers warm up; told apart from the rest.
const START: f64 = 6.0;
const END: f64 = 32.0;

/// How a server is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// By what VMs know.
    Steering,
    /// With full knowledge of the present and the future.
    Oracle,
    /// Least loaded.
    Baseline,
}

/// Shares of requests answered in the objective.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// While servers warm up.
    pub start: f64,
    /// Afterwards.
    pub steady: f64,
    /// Afterwards, of requests bound to the smallest region.
    pub bound: f64,
}

struct Request {
    at: f64,
    from: usize,
    is_bound: bool,
    object: usize,
    /// Its work against the mean.
    factor: f64,
}

#[derive(Default)]
struct Server {
    ends: Vec<f64>,
    /// Objects kept, the one used last at the end.
    kept: Vec<usize>,
}

impl Server {
    /// Returns when a request that arrives now gets a slot.
    fn begin(&self, now: f64) -> f64 {
        let mut ends = self.ends.clone();
        ends.sort_by(f64::total_cmp);
        ends.len().checked_sub(SLOTS).map_or(now, |at| ends[at])
    }

    fn work(&self, request: &Request) -> f64 {
        let work = match self.kept.contains(&request.object) {
            true => WORK.warm,
            false => WORK.cold,
        };
        work.as_secs_f64() * request.factor
    }
}

fn distance(request: &Request, server: usize) -> Duration {
    Duration::from_millis(if SERVERS[server] == request.from {
        1
    } else {
        25
    })
}

fn may_run(request: &Request, server: usize) -> bool {
    !request.is_bound || SERVERS[server] == 2
}

fn requests(seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut at = 0.0;
    let next = std::iter::from_fn(|| {
        at += -(1.0 - rng.random::<f64>()).ln() / LOAD;
        let from = rng.random_range(0..REGIONS.len());
        Some(Request {
            at,
            from,
            is_bound: rng.random_range(0..BOUND) == 0,
            object: from * OBJECTS + rng.random_range(0..OBJECTS),
            factor: 1.0 + SPREAD * (2.0 * rng.random::<f64>() - 1.0),
        })
    });
    next.take_while(|request| request.at < END).collect()
}

fn name(server: usize) -> Digest {
    digest(&format!("server-{server}"))
}

/// What VMs know, all of it at once.
struct Knowledge {
    start: Instant,
    warmth: WarmObjects,
    bounds: [PinnedShares; 3],
    pressure: [Overload; 2],
}

impl Knowledge {
    fn choose(&mut self, request: &Request, servers: &[Server]) -> Option<usize> {
        let now = self.start + Duration::from_secs_f64(request.at);
        let object = digest(&format!("object-{}", request.object));
        let bound = &mut self.bounds[request.from];
        match request.is_bound {
            true => bound.record(&["south"]),
            false => bound.record(&[]),
        }
        let slots: IndexMap<&str, f64> = (0..REGIONS.len())
            .map(|region| {
                let number = SERVERS.iter().filter(|r| **r == region).count();
                (REGIONS[region], (number * SLOTS) as f64)
            })
            .collect();
        let own = REGIONS[request.from];
        let weights = locality::weights(own, &slots, REGIONS.len(), bound);
        let candidates: Vec<Candidate> = (0..servers.len())
            .map(|server| Candidate {
                server: name(server),
                slots: SLOTS as u32,
                load: servers[server].ends.len() as u32,
                round_trip: distance(request, server),
                weight: match request.is_bound {
                    true => 1.0,
                    false => weights[REGIONS[SERVERS[server]]],
                },
                slowdown: 1.0,
                failure_rate: 0.0,
                warm: self
                    .warmth
                    .is_warm(short_digest(name(server)), short_digest(object)),
                has_cache_room: self.warmth.has_room(short_digest(name(server))),
            })
            .collect();
        let allowed: Vec<usize> = (0..servers.len())
            .filter(|server| may_run(request, *server))
            .collect();
        let own: Vec<Candidate> = allowed.iter().map(|server| candidates[*server]).collect();
        let pressure = &mut self.pressure[usize::from(request.is_bound)];
        let demand = PlacementRequest {
            object: Some(object),
            objective: OBJECTIVE,
            time_left: Duration::from_secs(3),
            overload: pressure.level(),
        };
        let choice = choose(&Settings::default(), &demand, &WORK, &own, |_| true);
        pressure.record(matches!(choice, Choice::Late(_)), now);
        let Choice::Server { index, .. } = choice else {
            return None;
        };
        let server = allowed[index];
        let pair = ObjectUse {
            server: short_digest(name(server)),
            object: short_digest(object),
        };
        self.warmth.record(pair, now);
        Some(server)
    }
}

/// Servers of each object, made with the whole day known.
struct Plan {
    /// For requests that may run anywhere.
    free: Vec<usize>,
    /// For requests bound to the smallest region; none for objects that do not fit into its caches.
    bound: Vec<Option<usize>>,
}

impl Plan {
    /// Leaves the smallest region to the requests bound to it, and to these the objects that they ask
    /// for most; spreads the other objects over the other servers, in their own region if it has any.
    fn new(requests: &[Request]) -> Self {
        let objects = REGIONS.len() * OBJECTS;
        let mut asked = vec![0_u32; objects];
        let bound = requests.iter().filter(|request| request.is_bound);
        bound.for_each(|request| asked[request.object] += 1);
        let mut by_demand: Vec<usize> = (0..objects).collect();
        by_demand.sort_by_key(|object| std::cmp::Reverse(asked[*object]));
        let (others, last): (Vec<usize>, Vec<usize>) =
            (0..SERVERS.len()).partition(|server| SERVERS[*server] != 2);
        let mut bound = vec![None; objects];
        let fitting = by_demand.into_iter().take(last.len() * KEPT);
        for (place, object) in fitting.enumerate() {
            bound[object] = Some(last[place % last.len()]);
        }
        let mut load = vec![0_usize; SERVERS.len()];
        let free = (0..objects).map(|object| {
            let region = object / OBJECTS;
            let own = others.iter().filter(|server| SERVERS[**server] == region);
            let own: Vec<usize> = own.copied().collect();
            let from = if own.is_empty() { &others } else { &own };
            let least = from.iter().copied().min_by_key(|server| load[*server]);
            let server = least.unwrap_or_default();
            load[server] += 1;
            server
        });
        Self {
            free: free.collect(),
            bound,
        }
    }

    /// Returns the server of a request; none if the answer would be late although the object is kept.
    fn server(&self, request: &Request, servers: &[Server]) -> Option<usize> {
        let server = match request.is_bound {
            true => self.bound[request.object]?,
            false => self.free[request.object],
        };
        let state = &servers[server];
        let end = state.begin(request.at) + state.work(request);
        let took = end - request.at + distance(request, server).as_secs_f64();
        let is_kept = state.kept.contains(&request.object);
        (!is_kept || took <= OBJECTIVE.as_secs_f64()).then_some(server)
    }
}

/// Plays one day.
pub fn run(method: Method, seed: u64) -> Figures {
    let requests = requests(seed);
    let mut servers: Vec<Server> = SERVERS.iter().map(|_| Server::default()).collect();
    let start = Instant::now();
    let plan = Plan::new(&requests);
    let mut knowledge = Knowledge {
        start,
        warmth: WarmObjects::default(),
        bounds: std::array::from_fn(|_| PinnedShares::default()),
        pressure: std::array::from_fn(|_| Overload::new(start)),
    };
    // Requests asked and answered in the objective: at the start, then free, then bound.
    let mut counts = [(0_u32, 0_u32); 3];
    for request in &requests {
        let now = request.at;
        servers
            .iter_mut()
            .for_each(|s| s.ends.retain(|end| *end > now));
        let chosen = match method {
            Method::Steering => knowledge.choose(request, &servers),
            Method::Oracle => plan.server(request, &servers),
            Method::Baseline => (0..servers.len())
                .filter(|server| may_run(request, *server))
                .min_by_key(|server| servers[*server].ends.len()),
        };
        let part = match (now < START, request.is_bound) {
            (true, _) => 0,
            (false, false) => 1,
            (false, true) => 2,
        };
        counts[part].0 += 1;
        let Some(server) = chosen else {
            continue;
        };
        let state = &mut servers[server];
        let end = state.begin(now) + state.work(request);
        state.ends.push(end);
        state.kept.retain(|kept| *kept != request.object);
        state.kept.push(request.object);
        if state.kept.len() > KEPT {
            state.kept.remove(0);
        }
        let took = end - now + distance(request, server).as_secs_f64();
        counts[part].1 += u32::from(took <= OBJECTIVE.as_secs_f64());
    }
    let share = |(asked, served): (u32, u32)| f64::from(served) / f64::from(asked.max(1));
    let [start, free, bound] = counts;
    Figures {
        start: share(start),
        steady: share((free.0 + bound.0, free.1 + bound.1)),
        bound: share(bound),
    }
}

/// Plays three days by each method and returns the mean shares.
pub fn report() -> Box<str> {
    let mut text = String::from("method start steady bound\n");
    for method in [Method::Steering, Method::Oracle, Method::Baseline] {
        let days = [1, 2, 3].map(|seed| run(method, seed));
        let mean = |of: fn(&Figures) -> f64| days.iter().map(of).sum::<f64>() / days.len() as f64;
        text += &format!(
            "{:8} {:.3} {:.3} {:.3}\n",
            format!("{method:?}"),
            mean(|f| f.start),
            mean(|f| f.steady),
            mean(|f| f.bound)
        );
    }
    text.into()
}
