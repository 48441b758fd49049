//! Headers, outcomes and answers for callers.
#![allow(
    clippy::unwrap_used,
    reason = "helpers of tests unwrap as the tests do"
)]

use callers::answer::{Answer, Entry};
use callers::{header, outcome};
use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, HeaderValue};
use proptest::prelude::*;
use rstest::rstest;
use std::time::{Duration, Instant};
use steering::attempt::{Attempt, Outcome, Refusal, Uncertainty};

fn headers(name: &'static str, values: &[&str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(name, HeaderValue::from_str(value).unwrap());
    }
    headers
}

/// Guards against a key that stays in the headers and reaches a backend server.
#[rstest]
#[case(&["Bearer abc"], Ok(Some("abc".into())))]
#[case(&[], Ok(None))]
#[case(&["Basic abc"], Err(header::Error::Key))]
#[case(&["Bearer "], Err(header::Error::Key))]
#[case(&["Bearer a", "Bearer b"], Err(header::Error::Key))]
fn key_is_removed(
    #[case] values: &[&str],
    #[case] expected: Result<Option<Box<str>>, header::Error>,
) {
    let mut headers = headers("authorization", values);
    assert_eq!(header::key(&mut headers), expected);
    assert!(!headers.contains_key(AUTHORIZATION));
}

/// Guards against ids that are unbounded or ambiguous.
#[rstest]
#[case(&["vm-1.00ff.x"], true)]
#[case(&["a b"], false)]
#[case(&[""], false)]
#[case(&["a", "a"], false)]
fn request_id_is_bounded(#[case] values: &[&str], #[case] valid: bool) {
    let result = header::request_id(&headers(header::REQUEST_ID, values));
    assert_eq!(result.is_ok(), valid);
    let long = "x".repeat(header::MAX_ID_BYTES + 1);
    assert!(header::request_id(&headers(header::REQUEST_ID, &[&long])).is_err());
}

/// Guards against requests without a bound on their deadline.
#[rstest]
#[case(&["250"], Ok(Duration::from_millis(250)))]
#[case(&["99999999999"], Ok(header::MAX_DEADLINE))]
#[case(&[], Ok(header::DEFAULT_DEADLINE))]
#[case(&["-1"], Err(header::Error::Deadline))]
fn deadline_is_bounded(#[case] values: &[&str], #[case] expected: Result<Duration, header::Error>) {
    let now = Instant::now();
    let deadline = header::deadline(&headers(header::DEADLINE, values), now);
    assert_eq!(deadline, expected.map(|left| now + left));
}

/// Guards against a refusal with a success status, or without outcome and reason.
#[test]
fn each_refusal_is_marked_not_run() {
    for &reason in Refusal::ALL {
        let response = outcome::response(&Attempt::new(false).refuse(reason));
        assert!(!response.status().is_success(), "{reason}");
        assert_eq!(response.headers()[header::OUTCOME], outcome::NOT_RUN);
        assert_eq!(response.headers()[header::REASON], reason.as_str());
    }
}

/// Guards against an unknown outcome that makes clients retry blindly.
#[test]
fn unknown_names_no_retry_time() {
    for &cause in Uncertainty::ALL {
        let response = outcome::response(&Outcome::Unknown(cause));
        assert_eq!(response.headers()[header::OUTCOME], outcome::UNKNOWN);
        assert!(!response.headers().contains_key("retry-after"));
    }
}

/// Guards against a change of the published JSON form.
#[test]
fn answer_keeps_its_json_form() {
    let answer = Answer {
        entries: vec![Entry {
            vm: "vm-1".into(),
            address: "127.0.0.1:80".parse().unwrap(),
            id_prefix: Some("vm-1.00ff.".into()),
        }],
        ttl_ms: 5000,
    };
    let json = serde_json::to_string(&answer).unwrap();
    let expected = concat!(
        r#"{"entries":[{"vm":"vm-1","address":"127.0.0.1:80","#,
        r#""id_prefix":"vm-1.00ff."}],"ttl_ms":5000}"#
    );
    assert_eq!(json, expected);
    assert_eq!(serde_json::from_str::<Answer>(&json).unwrap(), answer);
}

proptest! {
    /// Guards against an id that is changed when it is accepted.
    #[test]
    fn request_id_is_unchanged(bytes in prop::collection::vec(any::<u8>(), 0..160)) {
        let Ok(value) = HeaderValue::from_bytes(&bytes) else {
            return Ok(());
        };
        let mut headers = HeaderMap::new();
        headers.insert(header::REQUEST_ID, value);
        let graphic = bytes.iter().all(u8::is_ascii_graphic);
        let valid = graphic && (1..=header::MAX_ID_BYTES).contains(&bytes.len());
        match header::request_id(&headers) {
            Ok(Some(id)) => prop_assert!(valid && id.as_bytes() == bytes),
            other => prop_assert!(!valid && other.is_err()),
        }
    }

    /// Guards against a key that stays in the headers, and a panic, for any header value.
    #[test]
    fn any_key_header_is_removed(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let Ok(value) = HeaderValue::from_bytes(&bytes) else {
            return Ok(());
        };
        let mut headers = HeaderMap::new();
        headers.insert(AUTHORIZATION, value);
        let _ = header::key(&mut headers);
        prop_assert!(!headers.contains_key(AUTHORIZATION));
    }

    /// Guards against an overflow while a deadline is computed.
    #[test]
    fn any_deadline_is_bounded(text in "[0-9]{1,24}|\\PC{0,12}") {
        let Ok(value) = HeaderValue::from_str(&text) else {
            return Ok(());
        };
        let mut headers = HeaderMap::new();
        headers.insert(header::DEADLINE, value);
        let now = Instant::now();
        if let Ok(deadline) = header::deadline(&headers, now) {
            prop_assert!(deadline <= now + header::MAX_DEADLINE);
        }
    }
}
