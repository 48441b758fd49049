//! Fault schedule of a seed, generated in advance.

use crate::proxy::Mode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

base::value! {
    /// Fault, with the index of the gateway, data centre or server that it affects.
    pub enum Fault {
        /// A gateway gets SIGKILL.
        Kill(usize),
        /// A gateway gets SIGTERM.
        Stop(usize),
        /// A gateway is paused by SIGSTOP until it is continued.
        Pause(usize),
        /// A paused gateway continues.
        Continue(usize),
        /// A gateway gets SIGHUP and reloads its settings.
        Reload(usize),
        /// A gateway is started if it does not run.
        Start(usize),
        /// The proxy between a data centre and the store changes its mode.
        StoreWay(usize, Mode),
        /// The store is down, silent, slow or loses answers at the address of one data centre.
        Store(usize, StoreFault),
        /// The store drops its history of changes.
        Forget,
        /// The store is copied.
        Backup,
        /// The store comes back from its copy.
        Restore,
        /// The operator and the servers write again what the store has lost.
        WriteAgain,
        /// The proxy in front of a server changes its mode.
        ServerWay(usize, Mode),
        /// A server becomes faulty or recovers.
        Server(usize, ServerFault),
        /// A server is registered as leaving.
        Leave(usize),
        /// A server is registered again under the same id.
        Rejoin(usize),
        /// The registration of a server is lost.
        Unlist(usize),
        /// It is written again, of the same run.
        List(usize),
        /// The operator publishes a new version of the configuration.
        Publish,
        /// The operator withdraws a key for good.
        Withdraw,
        /// The VM that sent the last usage report becomes faulty.
        Holder(HolderFault),
        /// The VM that a fault of the holder affected is sound again.
        HolderBack,
        /// Usage reports are recorded and get no answer, or get one again.
        Cloud(bool),
    }
}

base::label! {
    /// Fault of the VM that sends the usage reports.
    pub enum HolderFault {
        /// It gets SIGKILL.
        Kill,
        /// It is paused for longer than the lease.
        Pause,
        /// Its requests to the store are lost.
        CutForward,
        /// The store's answers to it are lost.
        CutBack,
    }

    /// Fault of the store at one address.
    pub enum StoreFault {
        /// None.
        Sound,
        /// Requests are refused.
        Down,
        /// Requests get no answer.
        Silent,
        /// Answers are delayed.
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
        /// It refuses requests without running them.
        Sheds,
        /// Its answers carry the ids of other requests.
        Confuses,
        /// Its answers lack the signature.
        Unsigned,
        /// Its answers have status 500.
        Fails,
        /// It answers slowly, but before callers give up.
        Late,
        /// It says in all answers that it leaves.
        Leaves,
        /// It turns requests away and wants nothing for a second.
        Rejects,
        /// It says both in ways that make no sense.
        Babbles,
        /// It names a limit of requests a second.
        Limits,
    }
}

/// Gateways.
pub const GATEWAYS: usize = 4;
/// Backend servers.
pub const SERVERS: usize = 4;
/// Data centres, each with its own proxy to the store.
pub const DATA_CENTRES: usize = 2;
/// Time from the start of a run within which faults begin and end.
pub const FAULT_PHASE: Duration = Duration::from_secs(6);
/// Pairs of begin and end of a fault in one run; pairs may overlap.
const FAULT_PAIRS: usize = 6;
/// First seed with late servers. Lower seeds generate no late servers, so that a seed kept as a
/// regression test still generates the same faults.
pub const FIRST_LATE: u64 = 1_000;

/// Proxy modes that disturb connections.
const MODES: [Mode; 5] = [
    Mode::Delay,
    Mode::CutForward,
    Mode::CutBack,
    Mode::SilenceOpen,
    Mode::Reset,
];
/// Faults of the store at one address.
const STORE_FAULTS: [StoreFault; 4] = [
    StoreFault::Down,
    StoreFault::Silent,
    StoreFault::Slow,
    StoreFault::LosesAnswers,
];
/// Server faults that every seed may use.
const SERVER_FAULTS: [ServerFault; 5] = [
    ServerFault::Silent,
    ServerFault::Sheds,
    ServerFault::Confuses,
    ServerFault::Unsigned,
    ServerFault::Fails,
];

/// First seed with servers that say that they leave or want nothing.
pub const FIRST_NOTICE: u64 = 6_000;
/// First seed with callers that pipeline.
pub const FIRST_PIPELINED: u64 = 7_000;
/// First seed with usage reports and faults of their holder.
pub const FIRST_USAGE: u64 = 8_000;
/// First seed with servers that name a limit of requests.
pub const FIRST_LIMITED: u64 = 9_000;
/// First seed with a store that comes back from an older copy.
pub const FIRST_RESTORED: u64 = 10_000;
/// First seed with narrow links of unequal bandwidth.
pub const FIRST_NARROW: u64 = 11_000;
/// Faults of the holder of the usage reports.
const HOLDER_FAULTS: [HolderFault; 4] = [
    HolderFault::Kill,
    HolderFault::Pause,
    HolderFault::CutForward,
    HolderFault::CutBack,
];

/// Returns a random element.
fn pick<T: Copy, const N: usize>(rng: &mut StdRng, values: [T; N]) -> T {
    values[rng.random_range(0..N)]
}

/// Generates the faults of a seed, sorted by time.
pub fn generate(seed: u64) -> Vec<(Duration, Fault)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let ms = |ms: u64| Duration::from_millis(ms);
    for _ in 0..FAULT_PAIRS {
        let at = ms(rng.random_range(0..4_500));
        let length = ms(rng.random_range(300..2_500)).min(FAULT_PHASE - at);
        let (gateway, server, centre) = (
            rng.random_range(0..GATEWAYS),
            rng.random_range(0..SERVERS),
            rng.random_range(0..DATA_CENTRES),
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
        plan.extend(stop_with_late_servers(&mut rng));
    }
    if seed >= FIRST_NOTICE {
        plan.extend(noticing_servers(&mut rng));
    }
    if seed >= FIRST_USAGE {
        plan.extend(faulty_holders(&mut rng));
    }
    if seed >= FIRST_LIMITED {
        plan = limited_server(&mut rng);
    }
    if seed >= FIRST_RESTORED {
        plan.extend(restored_store(&mut rng));
    }
    // At the end of the fault phase, paused gateways continue and servers that left rejoin.
    plan.extend((0..GATEWAYS).map(|gateway| (FAULT_PHASE, Fault::Continue(gateway))));
    plan.extend((0..SERVERS).map(|server| (FAULT_PHASE, Fault::Rejoin(server))));
    plan.sort_by_key(|(at, _)| *at);
    plan
}

/// Generates a period in which one server is late.
fn late_server(rng: &mut StdRng) -> [(Duration, Fault); 2] {
    let at = Duration::from_millis(rng.random_range(0..3_500));
    let length = Duration::from_millis(rng.random_range(300..2_500));
    let server = rng.random_range(0..SERVERS);
    [
        (at, Fault::Server(server, ServerFault::Late)),
        (at + length, Fault::Server(server, ServerFault::Sound)),
    ]
}

/// Generates the stop of a gateway while one server, or every server, is late.
fn stop_with_late_servers(rng: &mut StdRng) -> Vec<(Duration, Fault)> {
    let ms = |ms: u64| Duration::from_millis(ms);
    let at = ms(rng.random_range(0..2_500));
    let stop = at + ms(rng.random_range(200..1_200));
    let end = stop + ms(rng.random_range(300..1_500));
    let gateway = rng.random_range(0..GATEWAYS);
    let late = rng.random_range(0..SERVERS);
    let is_every_server = rng.random_bool(0.5);
    let mut plan = vec![
        (stop, Fault::Stop(gateway)),
        // Later than the end of the 2 s grace time.
        (stop + ms(2_200), Fault::Start(gateway)),
    ];
    for server in (0..SERVERS).filter(|server| is_every_server || *server == late) {
        plan.push((at, Fault::Server(server, ServerFault::Late)));
        plan.push((end, Fault::Server(server, ServerFault::Sound)));
    }
    plan
}

/// Generates servers that leave one after the other by their own word, with or without the store's,
/// and one that wants nothing, while a gateway is paused, stopped, or cut off from the store.
fn noticing_servers(rng: &mut StdRng) -> Vec<(Duration, Fault)> {
    let ms = |ms: u64| Duration::from_millis(ms);
    let first = rng.random_range(0..SERVERS);
    let step = rng.random_range(200..900);
    let mut plan = Vec::new();
    for number in 0..3 {
        let server = (first + number as usize) % SERVERS;
        let at = ms(300 + number * step);
        plan.push((at, Fault::Server(server, ServerFault::Leaves)));
        if rng.random_bool(0.5) {
            plan.push((at + ms(100), Fault::Leave(server)));
        }
        let back = at + ms(rng.random_range(2_400..3_400));
        plan.push((back, Fault::Server(server, ServerFault::Sound)));
        plan.push((back, Fault::Rejoin(server)));
    }
    let other = (first + 3) % SERVERS;
    let said = pick(rng, [ServerFault::Rejects, ServerFault::Babbles]);
    let at = ms(rng.random_range(0..2_500));
    plan.push((at, Fault::Server(other, said)));
    let length = ms(rng.random_range(500..2_500));
    plan.push((at + length, Fault::Server(other, ServerFault::Sound)));
    let gateway = rng.random_range(0..GATEWAYS);
    let centre = gateway % DATA_CENTRES;
    let at = ms(rng.random_range(200..2_500));
    let end = at + ms(rng.random_range(400..2_500));
    plan.extend(match rng.random_range(0..3) {
        0 => [(at, Fault::Pause(gateway)), (end, Fault::Continue(gateway))],
        1 => [(at, Fault::Kill(gateway)), (end, Fault::Start(gateway))],
        _ => [
            (at, Fault::Store(centre, StoreFault::Silent)),
            (end, Fault::Store(centre, StoreFault::Sound)),
        ],
    });
    plan
}

/// Generates a server that names a limit until the end, drops out of the list for a moment, and two
/// faults of gateways, of which each may come twice.
fn limited_server(rng: &mut StdRng) -> Vec<(Duration, Fault)> {
    let ms = |ms: u64| Duration::from_millis(ms);
    let server = rng.random_range(0..SERVERS);
    let at = ms(rng.random_range(0..600));
    let mut plan = vec![(at, Fault::Server(server, ServerFault::Limits))];
    let unlisted = ms(rng.random_range(1_500..4_500));
    let listed = unlisted + ms(rng.random_range(300..1_400));
    plan.push((unlisted, Fault::Unlist(server)));
    plan.push((listed, Fault::List(server)));
    for _ in 0..2 {
        let gateway = rng.random_range(0..GATEWAYS);
        let centre = gateway % DATA_CENTRES;
        let at = ms(rng.random_range(500..4_000));
        let end = at + ms(rng.random_range(300..2_000));
        plan.extend(match rng.random_range(0..5) {
            0 => [(at, Fault::Pause(gateway)), (end, Fault::Continue(gateway))],
            1 => [(at, Fault::Kill(gateway)), (end, Fault::Start(gateway))],
            2 => [(at, Fault::Stop(gateway)), (end, Fault::Start(gateway))],
            3 => [
                (at, Fault::Store(centre, StoreFault::Silent)),
                (end, Fault::Store(centre, StoreFault::Sound)),
            ],
            _ => {
                let other = (server + 1) % SERVERS;
                [
                    (at, Fault::Server(other, ServerFault::Fails)),
                    (end, Fault::Server(other, ServerFault::Sound)),
                ]
            }
        });
    }
    plan
}

/// Generates a store that comes back from an older copy after changes of the configuration, the last of
/// which withdraws a key, and one more change after the others were written again.
fn restored_store(rng: &mut StdRng) -> Vec<(Duration, Fault)> {
    let mut between = |from: u64, to: u64| Duration::from_millis(rng.random_range(from..to));
    let copied = between(0, 1_000);
    let restored = copied + between(800, 2_500);
    let rewritten = restored + between(100, 1_300);
    vec![
        (copied, Fault::Backup),
        (copied + between(50, 300), Fault::Publish),
        (copied + between(300, 500), Fault::Publish),
        (copied + between(500, 700), Fault::Withdraw),
        (restored, Fault::Restore),
        (rewritten, Fault::WriteAgain),
        (rewritten + between(50, 500), Fault::Publish),
    ]
}

/// Generates two faults of the holder of the usage reports, each longer than the lease of 1 s, and
/// a period in which reports get no answer. The first fault is mostly long enough for a successor,
/// which notices an overdue window 1.35 s after its end and then waits for the lease.
fn faulty_holders(rng: &mut StdRng) -> [(Duration, Fault); 6] {
    let mut between = |from: u64, to: u64| Duration::from_millis(rng.random_range(from..to));
    let first = between(0, 800);
    let first_end = first + between(1_500, 3_000);
    let second = between(3_800, 4_200);
    let second_end = second + between(1_200, 1_800);
    let silence = between(0, 4_000);
    let silence_end = silence + between(300, 2_000);
    let mut fault = || Fault::Holder(pick(rng, HOLDER_FAULTS));
    [
        (first, fault()),
        (first_end, Fault::HolderBack),
        (second, fault()),
        (second_end, Fault::HolderBack),
        (silence, Fault::Cloud(true)),
        (silence_end, Fault::Cloud(false)),
    ]
}
