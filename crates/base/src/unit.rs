//! Quantities with their units, as written in YAML files.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use std::time::{Duration, SystemTime};

/// Events per second, written `50/s` or `600/m`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

/// A part of a whole from 0 to 1, written as a percentage: `5%`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Share(pub f64);

/// A time span, written `250ms`, `2s` or `1h 30m`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Span(pub Duration);

/// A point in time, written as in RFC 3339: `2026-12-05T06:00:00Z`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Moment(pub SystemTime);

/// Link capacity in bits per second, written `280Mbit/s` or `4Gbit/s`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Bandwidth(pub f64);

const SECONDS_PER_MINUTE: f64 = 60.0;
const PERCENT: f64 = 100.0;
/// Reciprocal of the smallest fraction of a percent that is displayed.
const DISPLAY_SCALE: f64 = 1e6;
const BITS_PER_MEGABIT: f64 = 1e6;
const BITS_PER_GIGABIT: f64 = 1e9;

fn non_negative(text: &str) -> Option<f64> {
    text.trim()
        .parse()
        .ok()
        .filter(|n: &f64| n.is_finite() && *n >= 0.0)
}

impl Rate {
    fn parse(text: &str) -> Option<Self> {
        let (number, unit) = text.split_once('/')?;
        let per_second = match unit.trim() {
            "s" => 1.0,
            "m" => SECONDS_PER_MINUTE,
            _ => return None,
        };
        non_negative(number).map(|n| Self(n / per_second))
    }
}

impl Share {
    fn parse(text: &str) -> Option<Self> {
        let percent = non_negative(text.strip_suffix('%')?)?;
        (percent <= PERCENT).then_some(Self(percent / PERCENT))
    }
}

impl Bandwidth {
    fn parse(text: &str) -> Option<Self> {
        let mega = text.strip_suffix("Mbit/s").map(|n| (n, BITS_PER_MEGABIT));
        let (number, scale) =
            mega.or_else(|| text.strip_suffix("Gbit/s").map(|n| (n, BITS_PER_GIGABIT)))?;
        non_negative(number).map(|n| Self(n * scale))
    }
}

impl Span {
    fn parse(text: &str) -> Option<Self> {
        humantime::parse_duration(text).ok().map(Self)
    }
}

impl Moment {
    fn parse(text: &str) -> Option<Self> {
        humantime::parse_rfc3339(text).ok().map(Self)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Hides the rounding error of sums such as 70% + 40%.
        write!(
            f,
            "{}%",
            (self.0 * PERCENT * DISPLAY_SCALE).round() / DISPLAY_SCALE
        )
    }
}

impl fmt::Display for Bandwidth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}Mbit/s", self.0 / BITS_PER_MEGABIT)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.0).fmt(f)
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_rfc3339_seconds(self.0).fmt(f)
    }
}

/// Implements serde for a quantity in its text form, which `$accepted` describes in errors.
macro_rules! text_form {
    ($name:ident, $accepted:literal) => {
        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = Box::<str>::deserialize(deserializer)?;
                Self::parse(&text).ok_or_else(|| {
                    D::Error::custom(format_args!(
                        "invalid value `{text}`, expected {}",
                        $accepted
                    ))
                })
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }
    };
}

text_form!(Rate, "a rate such as `50/s` or `600/m`");
text_form!(Share, "a percentage from `0%` to `100%`");
text_form!(Span, "a time span such as `250ms`, `2s` or `1h 30m`");
text_form!(Moment, "a time such as `2026-12-05T06:00:00Z`");
text_form!(Bandwidth, "a bandwidth such as `280Mbit/s` or `4Gbit/s`");

impl std::str::FromStr for Span {
    type Err = Box<str>;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::parse(text).ok_or_else(|| "expected a time span such as `250ms` or `2s`".into())
    }
}
