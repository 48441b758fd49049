//! Configuration versions, publications, exchanges between VMs and sets of marks.

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::{Duration, Instant};
use steering::config::publication::WriteResult;
use steering::config::tracker::{OfferOutcome, ReceiveOutcome, STARTUP_LISTEN};
use steering::config::{
    Adoption, FileChanges, Head, Manifest, Mark, MarkSet, PollIntervals, Publication, Readiness,
    Replica, Stage, head,
};
use steering::membership::Role;

fn manifest(files: &[(&str, &str)]) -> Manifest {
    let entry =
        |(name, content): &(&str, &str)| ((*name).into(), head::content_hash(content.as_bytes()));
    Manifest {
        files: files.iter().map(entry).collect(),
    }
}

fn publish(base: Option<&(Head, Manifest)>, to: &Manifest, operation: &str) -> (Head, Manifest) {
    let (head, old) = base.map_or((None, Manifest::default()), |(h, m)| (Some(h), m.clone()));
    let publication = Publication::propose(head, &old, to, "operator", operation.into());
    (publication.head().clone(), to.clone())
}

/// Publishes versions 1 to `count`; version n sets file `f{n % 5}` to `content n`.
fn history(count: usize) -> Vec<(Head, Manifest)> {
    let mut versions: Vec<(Head, Manifest)> = Vec::new();
    for n in 1..=count {
        let mut next = versions
            .last()
            .map_or_else(Manifest::default, |(_, m)| m.clone());
        let content = format!("content {n}");
        next.files.insert(
            format!("f{}", n % 5).into(),
            head::content_hash(content.as_bytes()),
        );
        versions.push(publish(versions.last(), &next, &format!("op{n}")));
    }
    versions
}

/// Returns the replica of a VM that has listened long enough.
fn replica<const N: usize>(peers: [&str; N]) -> Replica {
    let start = Instant::now();
    let mut replica = Replica::new(peers.map(Into::into), start);
    replica.tracker.tick(start + STARTUP_LISTEN);
    replica
}

fn fetch(replica: &mut Replica, head: &Head, last: usize) {
    replica
        .tracker
        .offer_head(head.clone(), head.base, &head.changed);
    for n in 1..=last {
        let content = format!("content {n}");
        replica
            .tracker
            .receive_object(&head::content_hash(content.as_bytes()), content.as_bytes());
    }
}

/// Gives a replica all versions in order.
fn fetch_all(replica: &mut Replica, versions: &[(Head, Manifest)]) {
    for (n, (head, _)) in versions.iter().enumerate() {
        fetch(replica, head, n + 1);
    }
}

/// A version must not come into force while it is incomplete, with corrupt content, or after a
/// higher one.
#[test]
fn a_version_is_in_force_only_when_complete_and_never_reverts() {
    let versions = history(3);
    let mut replica = replica([]);
    let (head, _) = &versions[0];
    assert_eq!(
        replica.tracker.offer_head(head.clone(), 0, &head.changed),
        OfferOutcome::Fetching
    );
    let wanted = replica.tracker.missing();
    assert_eq!(
        replica.tracker.receive_object(&wanted[0], b"forged"),
        ReceiveOutcome::Corrupt
    );
    assert_eq!(replica.tracker.version(), 0);
    assert_eq!(
        replica.tracker.receive_object(&wanted[0], b"content 1"),
        ReceiveOutcome::InForce
    );
    fetch(&mut replica, &versions[2].0, 3);
    assert_eq!(
        replica.tracker.version(),
        1,
        "version 3 can't be derived without its manifest"
    );
    let object = versions[2].1.to_bytes();
    assert_eq!(
        replica.tracker.missing(),
        vec![versions[2].0.manifest.clone()]
    );
    replica
        .tracker
        .receive_object(&versions[2].0.manifest, &object);
    fetch(&mut replica, &versions[2].0, 3);
    assert_eq!(replica.tracker.version(), 3);
    let (stale, _) = &versions[1];
    assert_eq!(
        replica.tracker.offer_head(stale.clone(), 1, &stale.changed),
        OfferOutcome::Stale
    );
    let forged = Head {
        operation: "other".into(),
        ..versions[2].0.clone()
    };
    assert_eq!(
        replica.tracker.offer_head(forged, 0, &FileChanges::new()),
        OfferOutcome::Contradiction
    );
    assert_eq!(replica.tracker.version(), 3);
    assert_eq!(&**replica.tracker.file("f3").unwrap(), b"content 3");
}

/// A restarted VM must not serve an old version that it got first from a stale read of the store or
/// from a stale peer.
#[test]
fn a_new_vm_waits_for_the_highest_version_it_can_learn() {
    let versions = history(2);
    let mut new_vm = replica(["a", "b"]);
    assert_eq!(new_vm.tracker.readiness(), Readiness::Asking);
    new_vm.tracker.record_store_answer(Some(1));
    fetch(&mut new_vm, &versions[0].0, 1);
    assert_eq!(
        (new_vm.tracker.version(), new_vm.tracker.readiness()),
        (1, Readiness::Asking)
    );
    new_vm.tracker.record_peer_answer("a", Some(2));
    new_vm.tracker.record_peer_answer("b", None);
    assert_eq!(new_vm.tracker.readiness(), Readiness::Fetching(2));
    let mut second = replica(["a"]);
    second.tracker.record_store_answer(Some(1));
    fetch(&mut second, &versions[0].0, 1);
    second.apply("a", replica([]).delta_for(&second.digest()));
    assert_eq!(
        second.tracker.readiness(),
        Readiness::Asking,
        "a peer that just started"
    );
    assert!(!second.tracker.has_peer_answer());
    second.tracker.replace_peers(["b".into()]);
    assert_eq!(
        second.tracker.readiness(),
        Readiness::Asking,
        "another peer is asked"
    );
    second.tracker.record_peer_answer("b", Some(1));
    assert_eq!(second.tracker.readiness(), Readiness::Ready(1));
    fetch(&mut new_vm, &versions[1].0, 2);
    assert_eq!(new_vm.tracker.readiness(), Readiness::Ready(2));
    let start = Instant::now();
    let mut early = Replica::new([], start);
    early.tracker.record_store_answer(Some(1));
    fetch(&mut early, &versions[0].0, 1);
    early
        .tracker
        .tick(start + STARTUP_LISTEN - Duration::from_millis(1));
    assert_eq!(early.tracker.readiness(), Readiness::Asking);
    early.tracker.tick(start + STARTUP_LISTEN);
    assert_eq!(early.tracker.readiness(), Readiness::Ready(1));
    let mut alone = replica(["a"]);
    alone.tracker.record_store_answer(None);
    alone.tracker.replace_peers([]);
    assert_eq!(alone.tracker.readiness(), Readiness::Unknown);
}

/// A new VM must not serve before it knows the withdrawn keys of its peers.
#[test]
fn a_new_vm_waits_for_the_marks_of_its_peers() {
    let versions = history(1);
    let (mut source, mut new_vm) = (replica([]), replica(["a"]));
    source.marks = mark_set(&(0..100).collect::<Vec<u8>>());
    for vm in [&mut source, &mut new_vm] {
        vm.tracker.record_store_answer(Some(1));
        fetch(vm, &versions[0].0, 1);
    }
    assert!(
        new_vm
            .apply("a", source.delta_for(&new_vm.digest()))
            .incomplete
    );
    assert_eq!(new_vm.tracker.readiness(), Readiness::Asking);
    assert!(
        !new_vm
            .apply("a", source.delta_for(&new_vm.digest()))
            .incomplete
    );
    assert_eq!(new_vm.marks.summary(), source.marks.summary());
    assert_eq!(new_vm.tracker.readiness(), Readiness::Ready(1));
}

/// A peer must get a delta when its version is recent, and otherwise a full copy, since it couldn't
/// use a delta.
#[test]
fn peers_get_deltas_and_a_full_copy_as_fallback() {
    let versions = history(90);
    let mut source = replica([]);
    fetch_all(&mut source, &versions);
    assert_eq!(source.tracker.version(), 90);
    for (known, files) in [(89, 1), (88, 2), (80, 5), (3, 5), (0, 5)] {
        let mut peer = replica([]);
        fetch_all(&mut peer, &versions[..known]);
        let delta = source.delta_for(&peer.digest());
        let change = delta.change.clone().unwrap();
        assert_eq!(change.files.len(), files, "peer at {known}");
        assert_eq!(change.since, if known < 26 { 0 } else { known as u64 });
        let mut applied = peer.apply("peer", delta);
        if applied.incomplete {
            assert_eq!(known, 3, "only a lagging peer asks for objects");
            applied = peer.apply("peer", source.delta_for(&peer.digest()));
        }
        assert!(applied.in_force && !applied.incomplete);
        assert_eq!(peer.tracker.active(), source.tracker.active());
        assert_eq!(source.delta_for(&peer.digest()).objects, []);
    }
}

/// A peer at a version that this VM skipped must get a delta that leads to the version in force,
/// also if a file changed back within the skipped step.
#[test]
fn a_peer_at_a_skipped_version_gets_a_delta() {
    let mut versions = history(8);
    let mut back = versions[7].1.clone();
    let old = versions[6].1.files["f3"].clone();
    back.files.insert("f3".into(), old);
    versions.push(publish(Some(&versions[7]), &back, "op9"));
    let (mut source, mut peer) = (replica([]), replica([]));
    fetch_all(&mut source, &versions[..7]);
    fetch_all(&mut peer, &versions[..8]);
    source.tracker.offer_head(
        versions[8].0.clone(),
        7,
        &versions[8].1.diff_from(&versions[6].1),
    );
    assert_eq!((source.tracker.version(), peer.tracker.version()), (9, 8));
    let delta = source.delta_for(&peer.digest());
    assert_eq!(delta.change.as_ref().map(|change| change.since), Some(8));
    assert!(!peer.apply("peer", delta).in_force);
    for _ in 0..2 {
        let delta = source.delta_for(&peer.digest());
        peer.apply("peer", delta);
    }
    assert_eq!(peer.tracker.active(), source.tracker.active());
}

/// Objects that exceed the size of one message must arrive over several exchanges.
#[test]
fn large_objects_arrive_over_several_exchanges() {
    let contents: Vec<String> = (0..5).map(|n| n.to_string().repeat(150_000)).collect();
    let names = ["a", "b", "c", "d", "e"];
    let files: Vec<_> = names
        .into_iter()
        .zip(contents.iter().map(String::as_str))
        .collect();
    let (head, _) = publish(None, &manifest(&files), "op");
    let (mut source, mut peer) = (replica([]), replica([]));
    source.tracker.offer_head(head.clone(), 0, &head.changed);
    for content in &contents {
        source
            .tracker
            .receive_object(&head::content_hash(content.as_bytes()), content.as_bytes());
    }
    let rounds = (1..10).find(|_| {
        let delta = source.delta_for(&peer.digest());
        peer.apply("peer", delta).in_force
    });
    assert_eq!(rounds, Some(5));
}

/// Of two concurrent publications only one may succeed; the other must name the version to review.
#[test]
fn of_two_publications_one_succeeds_and_the_other_names_the_version_to_review() {
    let base = history(1).remove(0);
    let propose = |content, op: &str| {
        let to = manifest(&[("a", content)]);
        Publication::propose(Some(&base.0), &base.1, &to, "o", op.into())
    };
    let (mut one, mut two) = (propose("x", "one"), propose("y", "two"));
    one.record_write(&WriteResult::Written);
    two.record_write(&WriteResult::Conflict);
    two.read_back(Some(one.head()));
    assert_eq!(
        (one.stage(), two.stage()),
        (&Stage::Accepted, &Stage::Conflict { review: 2 })
    );
    let vms: [Box<str>; 3] = ["a".into(), "b".into(), "c".into()];
    let mut adoption = Adoption::count(2, vms.iter().take(2).zip([2, 1]));
    adoption.merge(Adoption::count(2, [(&vms[2], 3)]));
    one.record_adoption(adoption.clone());
    assert_eq!(
        (adoption.adopted, adoption.total, &*adoption.missing[0]),
        (2, 3, "b")
    );
    assert_eq!(one.stage(), &Stage::InForce(adoption));
    one.record_adoption(Adoption {
        adopted: 3,
        total: 3,
        ..Adoption::default()
    });
    assert_eq!(one.stage(), &Stage::Done);
}

/// When the answer to its write is lost, a publication must not be applied twice or get a wrong
/// result, also if others published in the meantime.
#[test]
fn a_lost_answer_is_resolved_by_reading_back() {
    let versions = history(14);
    let propose = || {
        let (head, old) = &versions[0];
        Publication::propose(Some(head), old, &versions[1].1, "operator", "op2".into())
    };
    let resolve = |row: Option<&Head>| {
        let mut publication = propose();
        publication.record_write(&WriteResult::Lost);
        assert_eq!(publication.stage(), &Stage::Unknown);
        publication.read_back(row);
        publication.stage().clone()
    };
    assert_eq!(resolve(None), Stage::Proposed);
    assert_eq!(resolve(Some(&versions[0].0)), Stage::Proposed);
    assert_eq!(resolve(Some(&versions[1].0)), Stage::Accepted);
    assert_eq!(resolve(Some(&versions[9].0)), Stage::Accepted);
    assert_eq!(
        resolve(Some(&versions[10].0)),
        Stage::Unsettled { review: 11 }
    );
    let other = Head {
        operation: "other".into(),
        ..versions[1].0.clone()
    };
    assert_eq!(resolve(Some(&other)), Stage::Conflict { review: 2 });
}

fn mark(n: u8) -> Mark {
    match n % 3 {
        0 => Mark::Halted(format!("release {n}").into()),
        _ => Mark::Drained(format!("vm {n}").into()),
    }
}

fn mark_set(marks: &[u8]) -> MarkSet {
    let mut sets = MarkSet::default();
    for n in marks {
        sets.add(mark(*n));
    }
    sets
}

fn merged(one: &MarkSet, two: &MarkSet) -> MarkSet {
    let mut sets = one.clone();
    sets.merge(two);
    sets
}

proptest! {
    /// Merged sets must not depend on the order, grouping or repetition of messages.
    #[test]
    fn merge_is_associative_commutative_and_idempotent(a: Vec<u8>, b: Vec<u8>, c: Vec<u8>) {
        let (a, b, c) = (mark_set(&a), mark_set(&b), mark_set(&c));
        let left = merged(&merged(&a, &b), &c);
        let same = |one: &MarkSet, two: &MarkSet| {
            one.summary() == two.summary() && one.marks().all(|mark| two.contains(mark))
        };
        prop_assert!(same(&left, &merged(&a, &merged(&b, &c))));
        prop_assert!(same(&merged(&a, &b), &merged(&b, &a)));
        prop_assert!(same(&merged(&left, &a), &left));
        prop_assert_eq!(a.summary() == b.summary(), a.marks().all(|m| b.contains(m))
            && b.marks().all(|m| a.contains(m)));
    }

    /// Exchanges must make the marks of two VMs equal.
    #[test]
    fn marks_are_equal_after_three_exchanges(a: Vec<u8>, b: Vec<u8>) {
        let (mut one, mut two) = (replica([]), replica([]));
        (one.marks, two.marks) = (mark_set(&a), mark_set(&b));
        for _ in 0..3 {
            let delta = two.delta_for(&one.digest());
            one.apply("peer", delta);
            let delta = one.delta_for(&two.digest());
            two.apply("peer", delta);
        }
        prop_assert_eq!(one.marks.summary(), two.marks.summary());
        prop_assert_eq!(one.digest().sums.len(), 0);
    }
}

/// Polling must not exceed the capacity of the store: several hundred writes and about 2,000 reads
/// a second at 144 data centres. Each data centre has a reader, a stand-by and, after a
/// disagreement, a second reader. 8,500 changes a day come as a burst of one a second, and each VM
/// that doesn't wait for gossip fetches three objects for each.
#[test]
fn polls_stay_within_the_capacity_of_the_store() {
    const SECONDS: usize = 60;
    let mut rng = StdRng::seed_from_u64(7);
    let mut reads = [0_u32; SECONDS];
    for _ in 0..144 {
        for role in [Role::Reader, Role::Standby, Role::Reader] {
            let mut at = Duration::ZERO;
            while at < Duration::from_secs(SECONDS as u64) {
                reads[at.as_secs() as usize] += 1;
                at += PollIntervals::default().next_delay(role, &mut rng).unwrap();
            }
            let fetches = PollIntervals::default().fetch_delay(role).is_zero();
            reads
                .iter_mut()
                .for_each(|reads| *reads += if fetches { 3 } else { 0 });
        }
    }
    let busiest = *reads.iter().max().unwrap();
    // This is the limit of all reads; the VM list and the lease rows need a part of it.
    assert!(busiest <= 2_000, "{busiest} reads in one second");
    assert!(
        PollIntervals::default()
            .next_delay(Role::Member, &mut rng)
            .is_none()
    );
}
