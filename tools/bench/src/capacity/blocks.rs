//! Cost of the map from client address blocks to sites.

use super::{Point, Slope, memory};
use ipnet::{IpNet, Ipv4Net};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;
use steering::lookup::AddressMap;

/// Numbers of client blocks; the last one is the number that the system must support.
const BLOCK_COUNTS: [usize; 3] = [600_000, 1_200_000, 1_800_000];

/// Number of sites to which the blocks are mapped.
const SITE_COUNT: u16 = 2_300;

/// Lookups per measurement.
const LOOKUPS: usize = 2_000_000;

/// Prefix length of a block; 1.8 million such blocks fit into the IPv4 addresses with gaps between.
const PREFIX_LENGTH: u8 = 24;

/// Odd factor, by which consecutive numbers map to distinct 24-bit networks in a scattered order.
const SCATTER_FACTOR: u32 = 0x9e_3779 | 1;

pub fn measure() -> Vec<Slope> {
    let mut map = AddressMap::default();
    let (mut bytes, mut nanos, mut inserts) = (Vec::new(), Vec::new(), Vec::new());
    let (mut built, mut resident) = (0, 0.0);
    for size in BLOCK_COUNTS {
        let begin = Instant::now();
        let (_, grown) = memory::growth(|| (built..size).for_each(|n| insert(&mut map, n)));
        let micros = begin.elapsed().as_secs_f64() * 1e6 / (size - built) as f64;
        resident += grown;
        built = size;
        bytes.push(Point {
            size,
            value: resident / 1e6,
        });
        inserts.push(Point {
            size,
            value: micros,
        });
        nanos.push(Point {
            size,
            value: lookup_nanos(&map),
        });
    }
    let slope = |quantity, points| Slope {
        quantity,
        unit: "client block",
        points,
    };
    vec![
        slope("look-up map, resident MB", bytes),
        slope("look-up in the map, ns", nanos),
        slope("insertion of a block, us", inserts),
    ]
}

fn insert(map: &mut AddressMap, n: usize) {
    let network = (n as u32).wrapping_mul(SCATTER_FACTOR) & 0x00ff_ffff;
    let address = Ipv4Addr::from(network << 8);
    if let Ok(block) = Ipv4Net::new(address, PREFIX_LENGTH) {
        map.insert(IpNet::V4(block), (n % usize::from(SITE_COUNT)) as u16);
    }
}

fn lookup_nanos(map: &AddressMap) -> f64 {
    let mut rng = StdRng::seed_from_u64(1);
    let clients: Vec<IpAddr> = (0..LOOKUPS)
        .map(|_| IpAddr::V4(Ipv4Addr::from(rng.random::<u32>())))
        .collect();
    let begin = Instant::now();
    for client in &clients {
        black_box(map.location(black_box(*client)));
    }
    begin.elapsed().as_secs_f64() * 1e9 / LOOKUPS as f64
}
