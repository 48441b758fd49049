//! What a VM does about keys while it can't learn of withdrawals.

use std::time::{Duration, Instant};

/// Time without confirmation that is normal between two polls or exchanges. It equals the time
/// within which a withdrawal has to reach every VM.
const CONFIRMED_FOR: Duration = Duration::from_secs(4);

base::label! {
    /// What an isolated VM does about keys.
    #[serde(rename_all = "kebab-case")]
    pub enum Isolated {
        /// Goes on accepting keys. A refused permit look-up at dawn harms more callers than a
        /// withdrawal that arrives late.
        Accept,
        /// Refuses all keys once they have not been confirmed for `key_staleness`.
        Refuse,
    }
}

base::value! {
    /// Settings `isolated_keys` and `key_staleness`.
    #[derive(Copy)]
    pub struct Policy {
        /// What an isolated VM does.
        pub isolated_keys: Isolated,
        /// Time without confirmation after which a VM counts as isolated.
        pub key_staleness: Duration,
    }

    /// State of the keys, shown in status.
    #[derive(Copy)]
    pub enum KeyStatus {
        /// Withdrawals arrive.
        Confirmed,
        /// Keys are accepted, not confirmed since this time.
        NotConfirmed(Instant),
        /// Keys are refused, not confirmed since this time.
        Refused(Instant),
    }

    /// When the withdrawn keys were last confirmed.
    #[derive(Copy)]
    pub struct Confirmation {
        policy: Policy,
        at: Instant,
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            isolated_keys: Isolated::Accept,
            key_staleness: Duration::from_mins(10),
        }
    }
}

impl Confirmation {
    /// Starts with the time at which the VM became ready.
    pub fn new(policy: Policy, now: Instant) -> Self {
        Self { policy, at: now }
    }

    /// Notes that the store or a VM of another data centre answered a request sent at `at`, or
    /// that a VM of the own data centre passed on such a confirmation from that time. A VM that
    /// reaches other data centres isn't isolated even if the store is down, because gossip
    /// carries withdrawals.
    pub fn confirm(&mut self, at: Instant) {
        self.at = self.at.max(at);
    }

    /// Returns the age of the confirmation, which a VM passes on inside its data centre.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }

    /// Returns the state of the keys.
    pub fn status(&self, now: Instant) -> KeyStatus {
        let age = self.age(now);
        match self.policy.isolated_keys {
            _ if age <= CONFIRMED_FOR => KeyStatus::Confirmed,
            Isolated::Refuse if age > self.policy.key_staleness => KeyStatus::Refused(self.at),
            _ => KeyStatus::NotConfirmed(self.at),
        }
    }

    /// Returns whether keys authorise.
    pub fn accepts(&self, now: Instant) -> bool {
        !matches!(self.status(now), KeyStatus::Refused(_))
    }
}
