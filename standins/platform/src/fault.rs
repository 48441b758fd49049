//! Faults that the stand-in shows on request.

use std::time::Duration;

base::message! {
    /// Faults in force; `PUT /switch` replaces them.
    #[derive(Default)]
    #[serde(deny_unknown_fields, default)]
    pub struct Fault {
        /// Delay of each answer, in milliseconds.
        pub delay_ms: u64,
        /// Whether every call is answered with status 503, without effect.
        pub outage: bool,
        /// Number of writes whose answers are dropped after they took effect.
        pub lose_answers: u32,
        /// Age of the VM list that is answered, in milliseconds.
        pub list_lag_ms: u64,
    }
}

impl Fault {
    /// Delay of each answer.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }

    /// Age of the VM list that is answered.
    pub fn list_lag(&self) -> Duration {
        Duration::from_millis(self.list_lag_ms)
    }
}
