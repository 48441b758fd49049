//! Handling of keys on a VM that can't receive withdrawals.

use std::time::{Duration, Instant};

/// Time for which a confirmation counts as current: the time within which a withdrawal has to reach
/// every VM.
const CONFIRMATION_VALIDITY: Duration = Duration::from_secs(4);

base::label! {
    /// Handling of keys on an isolated VM.
    #[serde(rename_all = "kebab-case")]
    pub enum Isolated {
        /// Continues to accept keys, since refusing all callers does more harm than a withdrawal
        /// that arrives late.
        Accept,
        /// Refuses all keys that have not been confirmed for `key_staleness`.
        Refuse,
    }
}

base::value! {
    /// Settings `isolated_keys` and `key_staleness`.
    #[derive(Copy)]
    pub struct Policy {
        /// Handling of keys on an isolated VM.
        pub isolated_keys: Isolated,
        /// Time without confirmation after which a VM counts as isolated.
        pub key_staleness: Duration,
    }

    /// Whether keys are confirmed, as shown in the status.
    #[derive(Copy)]
    pub enum KeyStatus {
        /// Withdrawals arrive.
        Confirmed,
        /// Keys are accepted, but not confirmed since this time.
        NotConfirmed(Instant),
        /// Keys are refused, because they aren't confirmed since this time.
        Refused(Instant),
    }

    /// Time at which the withdrawn keys were last confirmed.
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

    /// Records that the store or a VM of another data centre answered a request sent at `at`, or
    /// that a VM of the local data centre relayed such a confirmation from that time. A VM that
    /// reaches other data centres isn't isolated even if the store is down, because gossip
    /// carries withdrawals.
    pub fn confirm(&mut self, at: Instant) {
        self.at = self.at.max(at);
    }

    /// Returns the age of the confirmation, which a VM relays inside its data centre.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.at)
    }

    /// Returns whether keys are confirmed, not confirmed or refused.
    pub fn status(&self, now: Instant) -> KeyStatus {
        let age = self.age(now);
        match self.policy.isolated_keys {
            _ if age <= CONFIRMATION_VALIDITY => KeyStatus::Confirmed,
            Isolated::Refuse if age > self.policy.key_staleness => KeyStatus::Refused(self.at),
            _ => KeyStatus::NotConfirmed(self.at),
        }
    }

    /// Reports whether keys are accepted.
    pub fn accepts(&self, now: Instant) -> bool {
        !matches!(self.status(now), KeyStatus::Refused(_))
    }
}
