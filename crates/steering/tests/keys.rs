//! Keys: issue, rotation, withdrawal, isolation, and secrecy in all output.

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use std::time::{Duration, Instant};
use steering::keys::ring::Entry;
use steering::keys::{
    Confirmation, Digest, Isolated, Key, KeyStatus, Pepper, Policy, Refusal, Ring, Withdrawn,
};

fn pepper() -> Pepper {
    Pepper::derive("test secret")
}

fn digest(n: u64) -> Digest {
    Key::generate(&mut StdRng::seed_from_u64(n)).digest(&pepper())
}

/// Guards against keys in logs, errors or messages.
#[test]
fn a_key_is_never_shown() {
    let key = Key::generate(&mut StdRng::seed_from_u64(1));
    let secret = key.expose();
    assert_eq!(secret.len(), "chk_".len() + 64);
    let digest = key.digest(&pepper());
    let shown = format!("{key:?} {key} {key:#?} {:?} {digest} {digest:?}", pepper());
    assert!(!shown.contains(&secret[4..12]) && !shown.contains("test secret"));
    let pasted = serde_json::from_str::<Digest>(&format!("\"{secret}\"")).unwrap_err();
    assert!(!pasted.to_string().contains(&secret[4..12]), "{pasted}");
}

/// Guards against equal keys from one generator, and against digests that don't depend on the
/// secret of the installation.
#[test]
fn keys_and_digests_differ() {
    let mut rng = StdRng::seed_from_u64(2);
    let (one, two) = (Key::generate(&mut rng), Key::generate(&mut rng));
    assert_ne!(one.digest(&pepper()), two.digest(&pepper()));
    assert_ne!(
        one.digest(&pepper()),
        one.digest(&Pepper::derive("another"))
    );
    let again = Key::parse(one.expose()).unwrap();
    assert_eq!(again.digest(&pepper()), one.digest(&pepper()));
    assert!(Key::parse("").is_none() && Key::parse(&"k".repeat(129)).is_none());
    let text = serde_json::to_string(&one.digest(&pepper())).unwrap();
    assert_eq!(
        serde_json::from_str::<Digest>(&text).unwrap(),
        one.digest(&pepper())
    );
}

/// Guards against a rotation that ends the old key before or after the deadline, and against a
/// second rotation that extends it.
#[test]
fn rotation_overlaps_until_the_deadline() {
    let (old, new, newest) = (digest(1), digest(2), digest(3));
    let mut ring = Ring::default();
    ring.issue("atlas", old);
    ring.issue("other", digest(9));
    ring.rotate("atlas", new, 1_000);
    ring.rotate("atlas", newest, 5_000);
    let none = Withdrawn::default();
    assert_eq!(&**ring.authorise(&old, &none, 999).unwrap(), "atlas");
    assert_eq!(ring.authorise(&old, &none, 1_000), Err(Refusal::Expired));
    assert_eq!(&**ring.authorise(&new, &none, 4_999).unwrap(), "atlas");
    assert_eq!(ring.authorise(&new, &none, 5_000), Err(Refusal::Expired));
    assert_eq!(
        &**ring.authorise(&newest, &none, u64::MAX).unwrap(),
        "atlas"
    );
    assert_eq!(
        &**ring.authorise(&digest(9), &none, u64::MAX).unwrap(),
        "other"
    );
}

/// Guards against a replacement that ends other keys of the workspace, extends one that is ending,
/// or issues a key in place of an unknown one.
#[test]
fn replacement_ends_one_key_only() {
    let mut ring = Ring::default();
    ring.issue("atlas", digest(1));
    ring.issue("atlas", digest(2));
    assert!(ring.replace(&digest(1), digest(3), 1_000));
    assert!(ring.replace(&digest(1), digest(4), 5_000));
    assert!(!ring.replace(&digest(8), digest(9), 1_000));
    let none = Withdrawn::default();
    let authorised = |n, now| ring.authorise(&digest(n), &none, now).map(|name| &**name);
    assert_eq!(authorised(1, 999), Ok("atlas"));
    assert_eq!(authorised(1, 1_000), Err(Refusal::Expired));
    assert!(
        [2, 3, 4]
            .iter()
            .all(|n| authorised(*n, u64::MAX) == Ok("atlas"))
    );
    assert_eq!(authorised(9, 0), Err(Refusal::Unknown));
}

/// Guards against a withdrawn key that still authorises, and against a key that is reassigned to
/// another workspace.
#[test]
fn withdrawn_key_is_refused_and_its_workspace_fixed() {
    let mut ring = Ring::default();
    ring.issue("atlas", digest(1));
    ring.issue("thief", digest(1));
    let mut withdrawn = Withdrawn::default();
    assert_eq!(
        &**ring.authorise(&digest(1), &withdrawn, 0).unwrap(),
        "atlas"
    );
    assert!(withdrawn.add(digest(1)) && !withdrawn.add(digest(1)));
    assert_eq!(
        ring.authorise(&digest(1), &withdrawn, 0),
        Err(Refusal::Withdrawn)
    );
    assert_eq!(
        ring.authorise(&digest(2), &withdrawn, 0),
        Err(Refusal::Unknown)
    );
}

proptest! {
    /// Guards against a grouped look-up that finds another workspace's entry or misses one.
    #[test]
    fn look_up_finds_exactly_the_issued_key(keys in 1_u64..200, asked in 0_u64..400) {
        let entry = |n| Entry { digest: digest(n), workspace: n.to_string().into(), until: None };
        let ring: Ring = (0..keys).map(entry).collect();
        prop_assert_eq!(ring.entries().count() as u64, keys);
        let found = ring.authorise(&digest(asked), &Withdrawn::default(), 0).ok().cloned();
        prop_assert_eq!(found, (asked < keys).then(|| asked.to_string().into()));
    }
}

/// Guards against an isolated VM that ignores the setting, or whose status shows confirmed keys.
#[rstest]
#[case(Isolated::Accept, true)]
#[case(Isolated::Refuse, false)]
fn isolation_follows_the_setting(#[case] isolated_keys: Isolated, #[case] accepts: bool) {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let policy = Policy {
        isolated_keys,
        key_staleness: Duration::from_mins(1),
    };
    let mut confirmation = Confirmation::new(policy, start);
    confirmation.confirm(at(10));
    confirmation.confirm(at(5));
    assert_eq!(confirmation.status(at(14)), KeyStatus::Confirmed);
    assert_eq!(confirmation.status(at(70)), KeyStatus::NotConfirmed(at(10)));
    assert!(confirmation.accepts(at(70)));
    assert_eq!(confirmation.accepts(at(71)), accepts);
    confirmation.confirm(at(71));
    assert_eq!(confirmation.status(at(72)), KeyStatus::Confirmed);
}
