//! Snapshots across restarts of the control process, and keys without confirmation.

use entry::snapshot::Snapshot;
use peers::local::State;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::path::Path;
use std::time::{Duration, Instant};
use steering::keys::ring::Entry;
use steering::keys::{Digest, Key, Pepper, Refusal};

fn digest(seed: u64) -> Digest {
    Key::generate(&mut StdRng::seed_from_u64(seed)).digest(&Pepper::derive("test secret"))
}

fn state(version: u64, keys: &[u64], isolated_keys: &str) -> State {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/atlas");
    let text = std::fs::read_to_string(directory.join("fleet.yaml")).expect("example");
    let policy = format!("isolated_keys: {isolated_keys}");
    let text = text.replace("isolated_keys: serve", &policy);
    let key = |seed: &u64| Entry {
        digest: digest(*seed),
        workspace: "toubkal".into(),
        until: None,
    };
    State {
        version,
        files: [("fleet.yaml".into(), text.into())].into(),
        keys: keys.iter().map(key).collect(),
        ..State::default()
    }
}

/// Guards against an entry that returns to an older version or its keys, or forgets a withdrawal,
/// when its control process restarts with empty memory.
#[test]
fn restarted_control_process_reverts_nothing() {
    let pool = backends::client::Settings::default();
    let mut first = state(2, &[1, 2], "serve");
    first.withdrawn.insert(digest(2));
    let mut snapshot = Snapshot::default().updated(&first, &pool);
    for later in [State::default(), state(1, &[3], "serve")] {
        snapshot = snapshot.updated(&later, &pool);
        let workspace = |seed| snapshot.workspace(&digest(seed), None).cloned();
        assert_eq!(snapshot.version, 2);
        assert_eq!(workspace(1), Ok("toubkal".into()));
        assert_eq!(workspace(2), Err(Refusal::Withdrawn));
        assert_eq!(workspace(3), Err(Refusal::Unknown));
    }
}

/// Guards against an entry that ignores `isolated_keys` and accepts keys without a recent
/// confirmation although the setting is `refuse`.
#[test]
fn keys_in_isolation_follow_the_setting() {
    let pool = backends::client::Settings::default();
    let now = Instant::now();
    let expired = now
        .checked_sub(Duration::from_secs(61))
        .expect("an instant");
    for (policy, unconfirmed) in [
        ("serve", Ok("toubkal".into())),
        ("refuse", Err(Refusal::NotConfirmed)),
    ] {
        let snapshot = Snapshot::default().updated(&state(1, &[1], policy), &pool);
        let workspace = |at| snapshot.workspace(&digest(1), at).cloned();
        assert_eq!(workspace(Some(now)), Ok("toubkal".into()));
        assert_eq!(workspace(Some(expired)), unconfirmed);
        assert_eq!(workspace(None), unconfirmed);
        assert_eq!(
            snapshot.workspace(&digest(2), Some(expired)),
            Err(Refusal::Unknown)
        );
    }
}
