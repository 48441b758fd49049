//! Use of the links between regions, and traffic of a data centre without live servers.

use base::settings::parse;
use entry::settings::Settings;
use entry::spill::Spill;
use indexmap::IndexMap;
use operators::fleet::Link;
use operators::service::Service;
use peers::share::Load;
use platform::list::{Node, State};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_saphyr::Spanned;
use std::time::{Duration, Instant};
use steering::spill::ServiceClass;

const REGIONS: [&str; 2] = ["north", "centre"];

fn node(name: &str, region: &str) -> Node {
    let address = "127.0.0.1:1".parse().expect("address");
    Node {
        name: name.into(),
        region: region.into(),
        data_centre: format!("{region}-1").into(),
        state: State::Live,
        entry: address,
        share: address,
        lookup: address,
        gossip: address,
        admin: address,
    }
}

fn settings(node: &Node) -> Settings {
    Settings {
        vm: node.name.clone(),
        region: node.region.clone(),
        data_centre: node.data_centre.clone(),
        ..Settings::default()
    }
}

fn links() -> Vec<Spanned<Link>> {
    let text = "[{ between: [north, centre], capacity: 280Mbit/s }]";
    parse("links", text).expect("links")
}

fn service() -> Service {
    let text = "\
service: lookup
current: v1
callers: []
routes: []
spread:
  - { data_centre: north-1, share: 60% }
  - { data_centre: north-2, share: 40% }
";
    parse("lookup.yaml", text).expect("service")
}

/// Guards against entries at both ends that together exceed the capacity of a link when callers
/// send more than fits.
#[test]
fn shares_of_all_entries_stay_within_the_link() {
    const SECONDS: u32 = 20;
    const ANSWER: usize = 50_000;
    let start = Instant::now();
    let nodes: Vec<_> = (0..5)
        .map(|index| node(&format!("vm-{index}"), REGIONS[index % 2]))
        .collect();
    let links = links();
    let mut bytes = 0;
    for (index, node) in nodes.iter().enumerate() {
        let spill = Spill::new(&settings(node));
        spill.update_links(&links, &nodes, start);
        let other_end = REGIONS[(index + 1) % 2];
        for millis in 0..u64::from(SECONDS) * 1000 {
            let now = start + Duration::from_millis(millis);
            for _ in 0..20 {
                if let Some(charge) =
                    spill.admit(other_end, "lookup", ServiceClass::Prompt, 1000, now)
                {
                    spill.settle(other_end, &charge, ServiceClass::Prompt, ANSWER, now);
                    bytes += 1000 + ANSWER;
                }
            }
        }
        assert!(
            spill
                .admit("south", "lookup", ServiceClass::Prompt, 1, start)
                .is_none()
        );
    }
    let capacity = links[0].value.capacity.0 / 8.0 * f64::from(SECONDS);
    assert!(bytes as f64 <= capacity, "{bytes} bytes of {capacity}");
    // The budgets are not too tight either: more than a quarter of the capacity is used.
    assert!(
        bytes as f64 >= capacity / 4.0,
        "{bytes} bytes of {capacity}"
    );
}

/// Guards against refused callers when all servers of their data centre are dead, and against
/// traffic that leaves a data centre that can serve it. Both data centres are in one region, so no
/// link limits the traffic.
#[test]
fn callers_of_a_dead_data_centre_are_served_by_the_others() {
    let start = Instant::now();
    let nodes = [node("vm-1", "north"), node("vm-2", "centre")];
    let spill = Spill::new(&settings(&nodes[0]));
    spill.update_links(&links(), &nodes, start);
    let service = service();
    let load = |healthy: bool| Load {
        healthy,
        capacity: if healthy { 1000.0 } else { 0.0 },
        demand: 100.0,
    };
    let mut rng = StdRng::seed_from_u64(1);
    let mut count_choices = |healthy: bool, seconds: std::ops::Range<u64>| {
        for half in seconds.start * 2..seconds.end * 2 {
            let now = start + Duration::from_millis(half * 500);
            spill.update_plan(&service, load(healthy), 0.0, 1.0, now);
            let location = ("north-2".into(), "north".into());
            spill.merge_load("lookup", location, &load(true), now);
        }
        let mut counts = IndexMap::<_, u32>::new();
        for _ in 0..1000 {
            *counts
                .entry(spill.choose_data_centre("lookup", &mut rng))
                .or_default() += 1;
        }
        counts
    };
    assert_eq!(count_choices(true, 0..10).get(&None), Some(&1000));
    let remote = Some("north-2".into());
    assert_eq!(count_choices(false, 10..30).get(&remote), Some(&1000));
    assert_eq!(count_choices(true, 30..40).get(&None), Some(&1000));
}
