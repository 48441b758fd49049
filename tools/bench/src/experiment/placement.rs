//! Placement of objects compared with an oracle that knows all requests and caches in advance.
//!
//! Servers of three regions, cold at the start, with the sizes of a service of the smaller site; a
//! sixth of the requests may run in the smallest region only. Steering chooses by what VMs reported
//! to each other. The oracle knows the whole day: it assigns servers to each object in advance,
//! leaves out what does not fit into the caches of the smallest region, and refuses what would be
//! late; its result is close to the best possible. The baseline takes the least loaded server.

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};
use steering::affinity::{Digest, digest};
use steering::locality::{self, PinnedShares};
use steering::placement::{
    Candidate, Choice, Estimate, Overload, PlacementRequest, ServiceTime, Settings, Terms, choose,
};
use steering::warmth::{ObjectUse, WarmObjects, short_digest};

const REGIONS: [&str; 3] = ["north", "centre", "south"];
/// Region of each server; the last one is the smallest.
const SERVERS: [usize; 12] = [0, 0, 0, 0, 1, 1, 1, 1, 1, 1, 2, 2];
const SLOTS: usize = 3;
/// Objects that a server caches; the least recently used one is evicted.
const CACHE_OBJECTS: usize = 25;
/// Objects that the callers of each region request.
const OBJECTS: usize = 24;
/// Requests per second.
const REQUESTS_PER_SECOND: f64 = 68.0;
/// One request in this number is pinned to the smallest region.
const PINNED_EVERY: u32 = 6;
/// Largest deviation of a request's service time, as a fraction of the mean.
const SERVICE_TIME_SPREAD: f64 = 0.15;
const OBJECTIVE: Duration = Duration::from_millis(400);
const SERVICE_TIME: ServiceTime = ServiceTime {
    warm: Duration::from_millis(190),
    cold: Duration::from_millis(640),
};
/// Seconds in which all servers warm up; counted apart from the rest.
const WARM_UP_SECONDS: f64 = 6.0;
const END_SECONDS: f64 = 32.0;

/// How a server is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// By what VMs reported to each other.
    Steering,
    /// With full knowledge of the present and the future.
    Oracle,
    /// Least loaded.
    Baseline,
}

/// Shares of requests answered in the objective.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// Share while servers warm up.
    pub start: f64,
    /// Share after the warm-up.
    pub steady: f64,
    /// Share after the warm-up, of requests pinned to the smallest region.
    pub pinned: f64,
}

struct Request {
    at: f64,
    from: usize,
    is_pinned: bool,
    object: usize,
    /// Factor on the mean service time.
    factor: f64,
}

#[derive(Default)]
struct Server {
    ends: Vec<f64>,
    /// Cached objects, the most recently used one last.
    cached: Vec<usize>,
}

impl Server {
    /// Returns when a request that arrives now gets a slot.
    fn start_at(&self, now: f64) -> f64 {
        let mut ends = self.ends.clone();
        ends.sort_by(f64::total_cmp);
        ends.len().checked_sub(SLOTS).map_or(now, |at| ends[at])
    }

    fn service_time(&self, request: &Request) -> f64 {
        let mean = match self.cached.contains(&request.object) {
            true => SERVICE_TIME.warm,
            false => SERVICE_TIME.cold,
        };
        mean.as_secs_f64() * request.factor
    }
}

fn round_trip(request: &Request, server: usize) -> Duration {
    Duration::from_millis(if SERVERS[server] == request.from {
        1
    } else {
        25
    })
}

fn may_run(request: &Request, server: usize) -> bool {
    !request.is_pinned || SERVERS[server] == 2
}

fn requests(seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut at = 0.0;
    let next = std::iter::from_fn(|| {
        at += -(1.0 - rng.random::<f64>()).ln() / REQUESTS_PER_SECOND;
        let from = rng.random_range(0..REGIONS.len());
        Some(Request {
            at,
            from,
            is_pinned: rng.random_range(0..PINNED_EVERY) == 0,
            object: from * OBJECTS + rng.random_range(0..OBJECTS),
            factor: 1.0 + SERVICE_TIME_SPREAD * (2.0 * rng.random::<f64>() - 1.0),
        })
    });
    next.take_while(|request| request.at < END_SECONDS)
        .collect()
}

fn name(server: usize) -> Digest {
    digest(&format!("server-{server}"))
}

/// State of the steering decisions, which all VMs share without delay.
struct Knowledge {
    start: Instant,
    warmth: WarmObjects,
    pinned_shares: [PinnedShares; 3],
    overload: [Overload; 2],
}

impl Knowledge {
    fn choose(&mut self, request: &Request, servers: &[Server]) -> Option<usize> {
        let now = self.start + Duration::from_secs_f64(request.at);
        let object = digest(&format!("object-{}", request.object));
        let pinned = &mut self.pinned_shares[request.from];
        match request.is_pinned {
            true => pinned.record(&["south"]),
            false => pinned.record(&[]),
        }
        let slots: IndexMap<&str, f64> = (0..REGIONS.len())
            .map(|region| {
                let number = SERVERS.iter().filter(|r| **r == region).count();
                (REGIONS[region], (number * SLOTS) as f64)
            })
            .collect();
        let own = REGIONS[request.from];
        let weights = locality::weights(own, &slots, REGIONS.len(), pinned);
        let candidates: Vec<Candidate> = (0..servers.len())
            .map(|server| Candidate {
                server: name(server),
                slots: SLOTS as u32,
                load: servers[server].ends.len() as u32,
                round_trip: round_trip(request, server),
                weight: match request.is_pinned {
                    true => 1.0,
                    false => weights[REGIONS[SERVERS[server]]],
                },
                slowdown: 1.0,
                failure_rate: 0.0,
                warm: self
                    .warmth
                    .is_warm(short_digest(name(server)), short_digest(object)),
                has_cache_room: self.warmth.has_room(short_digest(name(server))),
                wait: Duration::ZERO,
            })
            .collect();
        let allowed: Vec<usize> = (0..servers.len())
            .filter(|server| may_run(request, *server))
            .collect();
        let own: Vec<Candidate> = allowed.iter().map(|server| candidates[*server]).collect();
        let overload = &mut self.overload[usize::from(request.is_pinned)];
        let placement = PlacementRequest {
            object: Some(object),
            objective: OBJECTIVE,
            time_left: Duration::from_secs(3),
            overload: overload.level(),
            terms: Terms::default(),
            estimate: Estimate::Fixed,
        };
        let choice = choose(
            &Settings::default(),
            &placement,
            &SERVICE_TIME,
            &own,
            |_| true,
        );
        overload.record(matches!(choice, Choice::Late(_)), now);
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

/// Server of each object, assigned with the whole day known.
struct Plan {
    /// For requests that may run anywhere.
    free: Vec<usize>,
    /// For requests pinned to the smallest region; none for objects that do not fit into its
    /// caches.
    pinned: Vec<Option<usize>>,
}

impl Plan {
    /// Reserves the smallest region for the requests pinned to it, and its caches for the objects
    /// that these request most; spreads all objects for other requests over the other servers, in
    /// their own region if it has any.
    fn new(requests: &[Request]) -> Self {
        let objects = REGIONS.len() * OBJECTS;
        let mut asked = vec![0_u32; objects];
        let pinned = requests.iter().filter(|request| request.is_pinned);
        pinned.for_each(|request| asked[request.object] += 1);
        let mut by_demand: Vec<usize> = (0..objects).collect();
        by_demand.sort_by_key(|object| std::cmp::Reverse(asked[*object]));
        let (others, last): (Vec<usize>, Vec<usize>) =
            (0..SERVERS.len()).partition(|server| SERVERS[*server] != 2);
        let mut pinned = vec![None; objects];
        let fitting = by_demand.into_iter().take(last.len() * CACHE_OBJECTS);
        for (place, object) in fitting.enumerate() {
            pinned[object] = Some(last[place % last.len()]);
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
            pinned,
        }
    }

    /// Returns the server of a request; none if the answer would be late although it is cached.
    fn server(&self, request: &Request, servers: &[Server]) -> Option<usize> {
        let server = match request.is_pinned {
            true => self.pinned[request.object]?,
            false => self.free[request.object],
        };
        let state = &servers[server];
        let end = state.start_at(request.at) + state.service_time(request);
        let took = end - request.at + round_trip(request, server).as_secs_f64();
        let is_cached = state.cached.contains(&request.object);
        (!is_cached || took <= OBJECTIVE.as_secs_f64()).then_some(server)
    }
}

/// Simulates one day.
pub fn run(method: Method, seed: u64) -> Figures {
    let requests = requests(seed);
    let mut servers: Vec<Server> = SERVERS.iter().map(|_| Server::default()).collect();
    let start = Instant::now();
    let plan = Plan::new(&requests);
    let mut knowledge = Knowledge {
        start,
        warmth: WarmObjects::default(),
        pinned_shares: std::array::from_fn(|_| PinnedShares::default()),
        overload: std::array::from_fn(|_| Overload::new(start)),
    };
    // Requests sent and requests answered within the objective: during the warm-up, then of those
    // that may run anywhere, then of those pinned to the smallest region.
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
        let part = match (now < WARM_UP_SECONDS, request.is_pinned) {
            (true, _) => 0,
            (false, false) => 1,
            (false, true) => 2,
        };
        counts[part].0 += 1;
        let Some(server) = chosen else {
            continue;
        };
        let state = &mut servers[server];
        let end = state.start_at(now) + state.service_time(request);
        state.ends.push(end);
        state.cached.retain(|cached| *cached != request.object);
        state.cached.push(request.object);
        if state.cached.len() > CACHE_OBJECTS {
            state.cached.remove(0);
        }
        let took = end - now + round_trip(request, server).as_secs_f64();
        counts[part].1 += u32::from(took <= OBJECTIVE.as_secs_f64());
    }
    let share = |(asked, served): (u32, u32)| f64::from(served) / f64::from(asked.max(1));
    let [start, free, pinned] = counts;
    Figures {
        start: share(start),
        steady: share((free.0 + pinned.0, free.1 + pinned.1)),
        pinned: share(pinned),
    }
}

/// Simulates three days with each method and returns the mean shares.
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
            mean(|f| f.pinned)
        );
    }
    text.into()
}
