//! Faults of the stand-in, which tests change while it runs.

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
        /// Age of the VM list in answers, in milliseconds.
        pub list_lag_ms: u64,
    }
}

impl Fault {
    /// Returns the delay of each answer.
    pub fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }

    /// Returns the age of the VM list in answers.
    pub fn list_lag(&self) -> Duration {
        Duration::from_millis(self.list_lag_ms)
    }
}
