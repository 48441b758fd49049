//! Faults of one seed, drawn in advance.

use crate::proxy::Mode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

base::value! {
    /// A fault, with the things that it strikes by number.
    pub enum Fault {
        /// A gateway is killed.
        Kill(usize),
        /// A gateway is asked to stop.
        Stop(usize),
        /// A gateway is paused until it is continued.
        Pause(usize),
        /// A paused gateway goes on.
        Continue(usize),
        /// A gateway is told that its settings changed.
        Reload(usize),
        /// A gateway is started, if it does not run.
        Start(usize),
        /// A data centre's way to the store is disturbed.
        StoreWay(usize, Mode),
        /// The store is down, silent, slow or loses answers at one address.
        Store(usize, StoreFault),
        /// The store forgets its history.
        Forget,
        /// The way to a server is disturbed.
        ServerWay(usize, Mode),
        /// A server misbehaves.
        Server(usize, ServerFault),
        /// A server leaves.
        Leave(usize),
        /// A server joins again under its id.
        Rejoin(usize),
        /// The operator publishes a new version of the configuration.
        Publish,
        /// The operator withdraws a key for good.
        Withdraw,
    }
}

base::label! {
    /// Fault of one address of the store.
    pub enum StoreFault {
        /// None.
        Sound,
        /// Calls are refused.
        Down,
        /// Calls get no answer.
        Silent,
        /// Answers come late.
        Slow,
        /// Answers to writes are lost.
        LosesAnswers,
    }

    /// Fault of a server.
    pub enum ServerFault {
        /// None.
        Sound,
        /// It runs requests and never answers.
        Silent,
        /// It refuses requests as not run.
        Sheds,
        /// It answers with ids of other requests.
        Confuses,
        /// Its answers lack the signature.
        Unsigned,
        /// Its answers are failures.
        Fails,
        /// It works long, and answers before callers give up.
        Late,
    }
}

/// Things that faults can strike.
pub const GATEWAYS: usize = 4;
/// Backend servers.
pub const SERVERS: usize = 4;
/// Data centres, each with its own way to the store.
pub const CENTRES: usize = 2;
/// Time in which faults begin.
pub const FAULT_TIME: Duration = Duration::from_secs(6);
/// Series of faults in one run; each may overlap the others.
const SERIES: usize = 6;
/// First seed that also draws late servers. Those below play what they played before there were any,
/// so that a seed kept for its failure still plays it.
pub const FIRST_LATE: u64 = 1_000;

/// Disturbances of a way.
const MODES: [Mode; 5] = [
    Mode::Delay,
    Mode::CutForward,
    Mode::CutBack,
    Mode::SilenceOpen,
    Mode::Reset,
];
/// Faults of an address of the store.
const STORE_FAULTS: [StoreFault; 4] = [
    StoreFault::Down,
    StoreFault::Silent,
    StoreFault::Slow,
    StoreFault::LosesAnswers,
];
/// Faults of a server.
const SERVER_FAULTS: [ServerFault; 5] = [
    ServerFault::Silent,
    ServerFault::Sheds,
    ServerFault::Confuses,
    ServerFault::Unsigned,
    ServerFault::Fails,
];

/// Draws one of several values.
fn pick<T: Copy, const N: usize>(rng: &mut StdRng, values: [T; N]) -> T {
    values[rng.random_range(0..N)]
}

/// Draws the faults of a seed, in order of time.
pub fn draw(seed: u64) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let ms = |ms: u64| Duration::from_millis(ms);
    for _ in 0..SERIES {
        let at = ms(rng.random_range(0..4_500));
        let length = ms(rng.random_range(300..2_500)).min(FAULT_TIME - at);
        let (gateway, server, centre) = (
            rng.random_range(0..GATEWAYS),
            rng.random_range(0..SERVERS),
            rng.random_range(0..CENTRES),
        );
        let mode = pick(&mut rng, MODES);
        let store = pick(&mut rng, STORE_FAULTS);
        let fault = pick(&mut rng, SERVER_FAULTS);
        let pair = match rng.random_range(0..11) {
            0 => [Fault::Kill(gateway), Fault::Start(gateway)],
            1 => [Fault::Stop(gateway), Fault::Start(gateway)],
            2 => [Fault::Pause(gateway), Fault::Continue(gateway)],
            3 => [
                Fault::StoreWay(centre, mode),
                Fault::StoreWay(centre, Mode::Pass),
            ],
            4 => [
                Fault::Store(centre, store),
                Fault::Store(centre, StoreFault::Sound),
            ],
            5 => [
                Fault::ServerWay(server, mode),
                Fault::ServerWay(server, Mode::Pass),
            ],
            6 => [
                Fault::Server(server, fault),
                Fault::Server(server, ServerFault::Sound),
            ],
            7 => [Fault::Leave(server), Fault::Rejoin(server)],
            8 => [Fault::Publish, Fault::Publish],
            9 => [Fault::Withdraw, Fault::Forget],
            _ => [Fault::Reload(gateway), Fault::Stop(gateway)],
        };
        let [begin, end] = pair;
        plan.push((at, begin));
        plan.push((at + length, end));
    }
    if seed >= FIRST_LATE {
        plan.extend(late_server(&mut rng));
        plan.extend(stop_beside_late_servers(&mut rng));
    }
    // All gateways run again, and everything is sound, when the faults are over.
    plan.extend((0..GATEWAYS).map(|gateway| (FAULT_TIME, Fault::Continue(gateway))));
    plan.extend((0..SERVERS).map(|server| (FAULT_TIME, Fault::Rejoin(server))));
    plan.sort_by_key(|(at, _)| *at);
    plan
}

/// Draws a time in which one server is late.
fn late_server(rng: &mut StdRng) -> [(Duration, Fault); 2] {
    let at = Duration::from_millis(rng.random_range(0..3_500));
    let length = Duration::from_millis(rng.random_range(300..2_500));
    let server = rng.random_range(0..SERVERS);
    [
        (at, Fault::Server(server, ServerFault::Late)),
        (at + length, Fault::Server(server, ServerFault::Sound)),
    ]
}

/// Draws the stop of a gateway while one server, or each, works long on its requests.
fn stop_beside_late_servers(rng: &mut StdRng) -> Vec<(Duration, Fault)> {
    let ms = |ms: u64| Duration::from_millis(ms);
    let at = ms(rng.random_range(0..2_500));
    let stop = at + ms(rng.random_range(200..1_200));
    let end = stop + ms(rng.random_range(300..1_500));
    let gateway = rng.random_range(0..GATEWAYS);
    let one = rng.random_range(0..SERVERS);
    let is_each = rng.random_bool(0.5);
    let mut plan = vec![
        (stop, Fault::Stop(gateway)),
        // The grace time is over then.
        (stop + ms(2_200), Fault::Start(gateway)),
    ];
    for server in (0..SERVERS).filter(|server| is_each || *server == one) {
        plan.push((at, Fault::Server(server, ServerFault::Late)));
        plan.push((end, Fault::Server(server, ServerFault::Sound)));
    }
    plan
}
