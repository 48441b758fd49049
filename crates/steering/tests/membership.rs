//! Membership: gone VMs stay gone, restarts replace incarnations, roles are deterministic and
//! state is bounded.

use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use std::time::{Duration, Instant};
use steering::membership::{
    Heartbeat, HeartbeatBatch, Identity, ListedVm, Role, Settings, State, View, rendezvous,
};

fn listed(vm: &str, centre: &str, region: &str) -> ListedVm {
    ListedVm {
        vm: vm.into(),
        data_centre: centre.into(),
        region: region.into(),
        leaving: false,
    }
}

fn view(vm: &str, centre: &str, region: &str) -> View {
    let identity = Identity {
        vm: vm.into(),
        data_centre: centre.into(),
        region: region.into(),
        incarnation: 1,
    };
    View::new(identity, Settings::default())
}

fn heartbeat(vm: &str, incarnation: u64, counter: u64) -> Heartbeat {
    Heartbeat {
        vm: vm.into(),
        incarnation,
        counter,
        leaving: false,
    }
}

/// Returns the size of a message in tarpc's bincode encoding.
fn encoded_size(batch: &HeartbeatBatch) -> usize {
    use bincode::Options;
    bincode::DefaultOptions::new()
        .serialized_size(batch)
        .expect("encodable") as usize
}

/// Guards against trusting presence on the lagging list, and against a gone VM that becomes live
/// again with the incarnation whose resources were reclaimed.
#[test]
fn presence_proves_nothing_and_absence_is_final() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let mut view = view("a", "x", "r");
    let list = [
        listed("a", "x", "r"),
        listed("b", "x", "r"),
        listed("c", "x", "r"),
    ];
    assert!(view.apply_list(&list, at(0)).is_empty());
    assert_eq!(view.state("b", at(0)), Some(State::Suspected));
    view.record_heartbeats(&[heartbeat("b", 7, 5), heartbeat("new", 9, 1)], at(1));
    assert_eq!(view.state("b", at(2)), Some(State::Live));
    assert_eq!(view.state("b", at(12)), Some(State::Suspected));
    assert!(view.apply_list(&[], at(8)).is_empty());
    assert_eq!(
        view.apply_list(&list[..1], at(8)),
        ["b".into(), "c".into()] as [Box<str>; 2]
    );
    view.record_heartbeats(&[heartbeat("b", 7, 9), heartbeat("new", 9, 2)], at(9));
    assert_eq!(view.state("b", at(9)), Some(State::Gone));
    assert_eq!(
        view.state("new", at(9)),
        Some(State::Live),
        "not listed yet"
    );
    view.apply_list(&list, at(10));
    assert_eq!(view.state("b", at(10)), Some(State::Gone), "an older list");
    view.record_heartbeats(&[heartbeat("b", 8, 1), heartbeat("b", 7, 99)], at(11));
    assert_eq!(
        (view.state("b", at(11)), view.incarnation("b")),
        (Some(State::Live), Some(8))
    );
    view.record_gone("b", 7, at(11));
    assert_eq!(view.state("b", at(11)), Some(State::Live));
    view.record_gone("b", 8, at(11));
    assert_eq!(view.state("b", at(11)), Some(State::Gone));
}

/// Guards against repeated or late heartbeats that keep a stopped VM live.
#[test]
fn only_new_heartbeats_count() {
    let start = Instant::now();
    let mut view = view("a", "x", "r");
    for second in 0..20 {
        view.record_heartbeats(&[heartbeat("b", 7, 5)], start + Duration::from_secs(second));
    }
    assert_eq!(
        view.state("b", start + Duration::from_secs(20)),
        Some(State::Suspected)
    );
}

/// Guards against a leaving VM that is chosen as reader, and against a data centre without a
/// reader after the reader stopped.
#[test]
fn reader_is_unique_and_replaced_when_suspected() {
    let start = Instant::now();
    let names = ["a", "b", "c", "d", "e"];
    let mut views: Vec<View> = names.iter().map(|name| view(name, "x", "r")).collect();
    let roles = |views: &[View], now| -> Vec<Role> { views.iter().map(|v| v.role(now)).collect() };
    let count = |roles: &[Role], role| roles.iter().filter(|r| **r == role).count();
    assert_eq!(
        count(&roles(&views, start), Role::Reader),
        5,
        "each one reads before it knows others"
    );
    let heartbeats: Vec<Heartbeat> = names.iter().map(|name| heartbeat(name, 1, 1)).collect();
    views
        .iter_mut()
        .for_each(|view| view.record_heartbeats(&heartbeats, start));
    let before = roles(&views, start);
    assert_eq!(
        (count(&before, Role::Reader), count(&before, Role::Standby)),
        (1, 1)
    );
    let reader = before
        .iter()
        .position(|role| *role == Role::Reader)
        .unwrap();
    let standby = before
        .iter()
        .position(|role| *role == Role::Standby)
        .unwrap();
    let later = start + Settings::default().suspect_after + Duration::from_millis(1);
    let heartbeats: Vec<Heartbeat> = names.iter().map(|name| heartbeat(name, 1, 2)).collect();
    for (n, view) in views.iter_mut().enumerate().filter(|(n, _)| *n != reader) {
        let received: Vec<Heartbeat> = heartbeats
            .iter()
            .filter(|b| *b.vm != *names[reader])
            .cloned()
            .collect();
        view.record_heartbeats(&received, later);
        assert_eq!(view.role(later) == Role::Reader, n == standby);
    }
    views[standby].leave();
    assert_ne!(views[standby].role(later), Role::Reader);
}

/// Guards against state and messages that grow with the fleet: at 5,400 VMs in 144 data centres
/// a VM stores its own data centre and one contact per other one, and uses at most 6 KB/s.
#[rstest]
fn state_and_bytes_stay_bounded_at_the_target_size(#[values(3, 4, 5, 6)] seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let list: Vec<ListedVm> = (0..5_400)
        .map(|n| {
            let (centre, region) = (n % 144, n % 144 % 46);
            listed(
                &format!("vm-{n:04}"),
                &format!("dc-{centre}"),
                &format!("region-{region}"),
            )
        })
        .collect();
    let start = Instant::now();
    let mut views: Vec<View> = list
        .iter()
        .filter(|l| &*l.data_centre == "dc-0")
        .map(|l| view(&l.vm, "dc-0", "region-0"))
        .collect();
    for view in &mut views {
        view.apply_list(&list, start);
        assert!(view.tracked() <= 5_400 / 144 + 143, "{}", view.tracked());
        let far = view.random_contacts(4, &mut rng);
        assert_eq!(far.len(), 4);
        assert!(far.iter().all(|(centre, _)| &***centre != "dc-0"));
    }
    // One exchange each second inside the data centre and the answers to as many, encoded as on
    // the wire.
    let (mut bytes, mut slowest) = (0, 0);
    let seconds = 120;
    for second in 0..seconds {
        let now = start + Duration::from_secs(second);
        for n in 0..views.len() {
            let peer = views[n].random_members(1, &mut rng)[0].clone();
            let other = views
                .iter()
                .position(|view| view.identity().vm == peer)
                .unwrap();
            let request = views[n].next_batch(&[]);
            let answer = views[other].next_batch(&request.unknown);
            bytes += encoded_size(&request);
            bytes += encoded_size(&answer);
            views[other].record_batch(&request, now);
            views[n].record_batch(&answer, now);
        }
        if second >= 10 {
            let live = views
                .iter()
                .map(|view| view.members(State::Live, now).count());
            slowest = slowest.max(views.len() - live.min().unwrap());
        }
    }
    let mean = bytes as f64 / seconds as f64 / views.len() as f64;
    // The platform's entry of a VM with its five addresses takes about 330 bytes.
    let list_bytes = 5_400 * 330;
    let end = start + Duration::from_secs(seconds - 1);
    let intervals: Vec<_> = views
        .iter()
        .filter_map(|view| view.next_list(list_bytes, end, &mut rng))
        .collect();
    assert_eq!(
        intervals.len(),
        views.len() - 2,
        "all but the reader and its standby"
    );
    let interval = intervals.iter().min().unwrap();
    let total = 2.0 * mean + list_bytes as f64 / interval.as_secs_f64();
    assert!(
        total < 6_000.0,
        "{mean} B/s of heartbeats sent, {total} B/s in all"
    );
    assert_eq!(slowest, 0, "live VMs that some VM suspects");
    println!("heartbeats {mean:.0} B/s sent per VM, {total:.0} B/s in all");
}

/// Guards against an order that reassigns many keys when one VM leaves.
#[test]
fn rendezvous_moves_only_the_keys_of_the_lost_vm() {
    let vms: Vec<Box<str>> = (0..10).map(|n| format!("vm-{n}").into()).collect();
    for key in 0..500 {
        let key = format!("key-{key}");
        let before = rendezvous::order(&key, &vms);
        let after = rendezvous::order(&key, &vms[..9]);
        assert_eq!(
            before
                .iter()
                .filter(|vm| ***vm != vms[9])
                .collect::<Vec<_>>(),
            after.iter().collect::<Vec<_>>()
        );
        assert_eq!(rendezvous::rank(&key, before[3], &vms), 3);
    }
}

/// Guards against keeping a contact that doesn't answer.
#[test]
fn unresponsive_contact_is_replaced() {
    let start = Instant::now();
    let list = [
        listed("a", "x", "r"),
        listed("b", "y", "r"),
        listed("c", "y", "r"),
    ];
    let mut view = view("a", "x", "r");
    view.apply_list(&list, start);
    let first = view.contacts()["y"].vm.clone();
    view.record_contact("y", true);
    view.apply_list(&list, start);
    assert_eq!(view.contacts()["y"].vm, first);
    view.record_contact("y", false);
    view.apply_list(&list, start);
    assert_ne!(view.contacts()["y"].vm, first);
}

/// Guards against wasting exchanges on data centres behind a partition, and against never trying
/// them again after it ends.
#[test]
fn responsive_contacts_are_preferred_and_others_retried() {
    let mut rng = StdRng::seed_from_u64(9);
    let list = [
        listed("a", "x", "r"),
        listed("b", "y", "s"),
        listed("c", "z", "s"),
    ];
    let mut view = view("a", "x", "r");
    view.apply_list(&list, Instant::now());
    view.record_contact("y", false);
    let drawn = |view: &View, rng: &mut StdRng| {
        let draws = (0..1_000).flat_map(|_| {
            view.random_contacts(1, rng)
                .into_iter()
                .map(|(dc, _)| dc.clone())
                .collect::<Vec<_>>()
        });
        draws.filter(|dc| &**dc == "y").count()
    };
    let silent = drawn(&view, &mut rng);
    assert!((50..250).contains(&silent), "{silent}");
    view.record_contact("y", true);
    let healed = drawn(&view, &mut rng);
    assert!((400..600).contains(&healed), "{healed}");
}

/// Guards against a leaving VM that is taken for live, and against a VM whose tag is never
/// resolved to its name.
#[test]
fn tags_propagate_new_incarnations_and_leaving() {
    let now = Instant::now();
    let (mut a, mut b, mut c) = (
        view("a", "x", "r"),
        view("b", "x", "r"),
        view("c", "x", "r"),
    );
    b.record_batch(&a.next_batch(&[]), now);
    for _ in 0..20 {
        b.next_batch(&[]);
    }
    let batch = b.next_batch(&[]);
    assert_eq!(
        (batch.beats.len(), batch.ticks.len()),
        (1, 1),
        "only the sender is named"
    );
    c.record_batch(&batch, now);
    assert_eq!(c.state("a", now), None);
    let asked = c.next_batch(&[]).unknown;
    assert_eq!(asked.len(), 1);
    c.record_batch(&b.next_batch(&asked), now);
    assert_eq!(c.state("a", now), Some(State::Live));
    a.leave();
    b.record_batch(&a.next_batch(&[]), now);
    c.record_batch(&b.next_batch(&[]), now);
    assert_eq!(c.state("a", now), Some(State::Leaving));
}
