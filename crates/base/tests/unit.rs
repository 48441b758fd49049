//! Parsing of quantities with units.

use base::unit::{Bandwidth, Rate, Share};
use rstest::rstest;

#[rstest]
#[case("50/s", Some(50.0))]
#[case("600/m", Some(10.0))]
#[case("50", None)]
#[case("-1/s", None)]
#[case("nan/s", None)]
fn rate_is_parsed(#[case] text: &str, #[case] expected: Option<f64>) {
    let rate: Option<Rate> = serde_json::from_value(text.into()).ok();
    assert_eq!(rate.map(|rate| rate.0), expected);
}

#[rstest]
#[case("5%", Some(0.05))]
#[case("100.1%", None)]
#[case("0.05", None)]
fn share_is_parsed(#[case] text: &str, #[case] expected: Option<f64>) {
    let share: Option<Share> = serde_json::from_value(text.into()).ok();
    assert_eq!(share.map(|share| share.0), expected);
}

#[rstest]
#[case("280Mbit/s", Some(280e6))]
#[case("4Gbit/s", Some(4e9))]
#[case("4GB/s", None)]
fn bandwidth_is_parsed(#[case] text: &str, #[case] expected: Option<f64>) {
    let bandwidth: Option<Bandwidth> = serde_json::from_value(text.into()).ok();
    assert_eq!(bandwidth.map(|bandwidth| bandwidth.0), expected);
}
