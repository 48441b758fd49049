//! Wall-clock time in messages.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch.
pub type Millis = u64;

/// Returns the wall-clock time now, in milliseconds since the Unix epoch.
pub fn unix_millis() -> Millis {
    to_millis(SystemTime::now())
}

/// Converts a wall-clock time to milliseconds since the Unix epoch; zero before it.
pub fn to_millis(time: SystemTime) -> Millis {
    time.duration_since(UNIX_EPOCH).map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Converts milliseconds since the Unix epoch to a wall-clock time.
pub fn from_millis(millis: Millis) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(millis)
}
