//! Failure of a data centre and a region at peak.
//!
//! 3 regions of 2 data centres at 60% load. Data centre 0 is down from 20 s to 80 s; its callers go
//! to data centre 1. Region 1 is down from 110 s to 170 s; its callers go to region 0. Data centres
//! see each other's state 3 s late. Requests that stay in their data centre are simulated as a
//! flow, forwarded ones one by one.

mod faults;
mod world;

pub use world::run;

use steering::spill::ServiceClass;

/// One service of a user.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Service {
    /// Name.
    pub name: &'static str,
    /// Whether its requests may wait.
    pub class: ServiceClass,
    /// Requests per second that the backend servers of one data centre can run.
    pub capacity: f64,
    /// Mean size of an answer in bytes.
    pub answer: f64,
}

/// A user's services and links.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct User {
    /// Name.
    pub name: &'static str,
    /// Services; capacities are slots of one data centre over an assumed service time.
    pub services: [Service; 3],
    /// Bits per second between two regions, each way.
    pub link: f64,
}

const fn service(name: &'static str, class: ServiceClass, capacity: f64, answer: f64) -> Service {
    Service {
        name,
        class,
        capacity,
        answer,
    }
}

/// Atlas: 6, 6 and 7 slots per data centre of 20, 50 and 200 ms.
pub const ATLAS: User = User {
    name: "Atlas",
    services: [
        service("lookup", ServiceClass::Prompt, 300.0, 120e3),
        service("booking", ServiceClass::Prompt, 120.0, 16e3),
        service("reconciliation", ServiceClass::Deferrable, 35.0, 800e3),
    ],
    link: 280e6,
};

/// El-Sherbiny: 16, 8 and 14 slots per data centre of 30, 50 and 500 ms.
pub const EL_SHERBINY: User = User {
    name: "El-Sherbiny",
    services: [
        service("map", ServiceClass::Prompt, 533.0, 1e6),
        service("order", ServiceClass::Prompt, 160.0, 20e3),
        service("archive", ServiceClass::Deferrable, 28.0, 16e6),
    ],
    link: 4e9,
};

/// How traffic is moved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Method {
    /// `steering::spill`.
    Steering,
    /// `steering::spill` with deferrable requests treated as prompt ones on the links.
    NoPriority,
    /// `steering::spill` that treats delayed measurements as current and doesn't count what other
    /// data centres forward to it.
    LagIgnored,
    /// `steering::spill` with moves that are made in full at once.
    Undamped,
    /// `steering::spill` that treats the caches of other regions as warm.
    ColdIgnored,
    /// Every second, traffic goes in proportion to the idle capacity that was measured.
    Proportional,
}

/// Every method, in the order of the report.
pub const METHODS: [Method; 6] = [
    Method::Steering,
    Method::NoPriority,
    Method::LagIgnored,
    Method::Undamped,
    Method::ColdIgnored,
    Method::Proportional,
];

/// What happens to the data centres.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Data centre 0 fails, later region 1.
    Failures,
    /// As `Failures`, but data centre 0 returns only together with region 1. The remaining data
    /// centres can't carry the load.
    Overlap,
    /// Regions 0 and 1 get twice their load, with answers of twice the size, while region 2 has
    /// half of it and cold caches, which are filled from the store in region 0.
    ColdSurge {
        /// Seconds of a data centre's full load after which a cache misses less by a factor of e.
        warming: u32,
    },
}

/// Figures of one run.
#[derive(Debug, Clone, PartialEq)]
pub struct Figures {
    /// Largest load of a data centre over 1 s against its capacity, by service.
    pub load: [f64; 3],
    /// Largest use of one direction of a link over 1 s, against its bandwidth.
    pub link: f64,
    /// Requests refused of those that reached an entry, by service.
    pub refused: [f64; 3],
    /// Largest number of waiting requests of the deferrable service.
    pub waiting: f64,
    /// Requests of the deferrable service that still wait at the end.
    pub unfinished: f64,
    /// Largest number of direction changes of one weight by 5 points or more, by service.
    pub turns: [usize; 3],
}

/// Runs all methods for both users with one seed.
pub fn report() -> Box<str> {
    let mut text =
        String::from("user        method        load (by service)  link refused (by service)");
    text += "       waiting left turns\n";
    for (user, scenario) in [
        (ATLAS, Scenario::Failures),
        (EL_SHERBINY, Scenario::Failures),
        (ATLAS, Scenario::Overlap),
        (EL_SHERBINY, Scenario::Overlap),
        (ATLAS, Scenario::ColdSurge { warming: 6 }),
        (EL_SHERBINY, Scenario::ColdSurge { warming: 6 }),
    ] {
        text += &format!("{scenario:?}\n");
        for method in METHODS {
            let f = run(&user, method, scenario, 1);
            let [a, b, c] = f.load;
            let [x, y, z] = f.refused;
            text += &format!(
                "{:11} {:13} {a:5.2} {b:5.2} {c:5.2} {:5.2} {x:7.4} {y:7.4} {z:7.4} {:7.0} {:4.0} {:?}\n",
                user.name,
                format!("{method:?}"),
                f.link,
                f.waiting,
                f.unfinished,
                f.turns
            );
        }
    }
    text.into()
}
