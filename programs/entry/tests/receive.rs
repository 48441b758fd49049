//! Splitting of request targets.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests unwrap as the tests do"
)]

use entry::receive::split_target;
use hyper::Uri;
use proptest::prelude::*;

proptest! {
    /// Guards against panics on unusual targets, and against a path or query that differs from the
    /// one the caller sent.
    #[test]
    fn target_is_split_without_loss(text in "/[!-~]{0,40}") {
        let Ok(uri) = text.parse::<Uri>() else {
            return Ok(());
        };
        let whole = uri.path_and_query().unwrap().as_str();
        match split_target(&uri) {
            Some((service, target)) => {
                prop_assert!(!service.is_empty() && !service.contains(['/', '?']));
                let target = target.path_and_query().unwrap().as_str();
                let joined = format!("/{service}{target}");
                let bare = format!("/{service}{}", target.strip_prefix('/').unwrap());
                prop_assert!(whole == joined || whole == bare, "{whole} became {joined}");
            }
            None => prop_assert!(whole.is_empty() || whole[1..].is_empty() || whole[1..].starts_with(['/', '?'])),
        }
    }

    /// Guards against panics on targets in other forms than a path.
    #[test]
    fn splitting_any_uri_does_not_panic(text in "\\PC{0,40}") {
        if let Ok(uri) = text.parse::<Uri>() {
            let _ = split_target(&uri);
        }
    }
}
