//! Records the outcome of one request for its claim and its trial.

use super::{Admitted, Assignment, Quarantine};
use crate::claims::ClaimGuard;
use crate::server::{RequestGuard, Server};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;
use steering::attempt::Outcome;
use steering::quarantine::Digest;

/// Claim and trial of one request; both end when the tracker is dropped.
#[derive(Debug)]
pub struct RequestTracker {
    quarantine: Arc<Quarantine>,
    admitted: Admitted,
    claim: Option<ClaimGuard>,
    interrupted: AtomicBool,
    /// Whether the request was ever sent to a server.
    was_sent: AtomicBool,
}

impl RequestTracker {
    /// Tracks an admitted request.
    pub fn new(quarantine: Arc<Quarantine>, admitted: Admitted) -> Self {
        Self {
            quarantine,
            admitted,
            claim: None,
            interrupted: AtomicBool::new(false),
            was_sent: AtomicBool::new(false),
        }
    }

    /// Sets the claim on the request id.
    pub fn set_claim(&mut self, claim: ClaimGuard) {
        self.claim = Some(claim);
    }

    /// Returns the digest of the request.
    pub fn digest(&self) -> Digest {
        self.admitted.digest
    }

    /// Returns the only server that the request may run on, if it is a trial.
    pub fn trial_server(&self) -> Option<&Arc<Server>> {
        match &self.admitted.assignment {
            Assignment::Trial(server) => Some(server),
            _ => None,
        }
    }

    /// Returns the address of the trial coordinator if the request must be passed to it.
    pub fn coordinator(&self) -> Option<SocketAddr> {
        match self.admitted.assignment {
            Assignment::Coordinator(address) => Some(address),
            _ => None,
        }
    }

    /// Returns the time by which the request must end.
    pub fn deadline(&self, deadline: Instant) -> Instant {
        match self.trial_server() {
            Some(_) => deadline.min(Instant::now() + self.quarantine.settings.trial),
            None => deadline,
        }
    }

    /// Records whether a backend server may run the request from now on.
    pub fn record_sent(&self, sent: bool) {
        self.was_sent.fetch_or(sent, Ordering::AcqRel);
        if let Some(claim) = &self.claim {
            claim.record_sent(sent);
        }
    }

    /// Detects whether the server crashed, and holds the reply in that case.
    pub async fn record_interruption(&self, running: &RequestGuard) -> bool {
        let interrupted_before = self.interrupted.swap(true, Ordering::AcqRel);
        let Some(hold_until) = self
            .quarantine
            .record_interruption(running, interrupted_before)
            .await
        else {
            return false;
        };
        tokio::time::sleep_until(hold_until.into()).await;
        true
    }

    /// Records the outcome of the request in its claim.
    pub fn record_outcome(&mut self, outcome: &Outcome) {
        if let Some(mut claim) = self.claim.take() {
            claim.record_outcome(outcome);
        }
    }

    /// Records that the caller got the whole answer of a backend server.
    pub fn record_served(&mut self) {
        self.record_outcome(&Outcome::Served);
        self.quarantine.record_served(self.admitted.digest);
        if self.trial_server().is_some() {
            self.admitted.assignment = Assignment::AnyServer;
            self.quarantine.record_trial_answer(&self.admitted.digest);
        }
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        if let Some(server) = self.trial_server() {
            // If the claim refused the request, the trial server never received it and stays
            // reserved.
            let failed = self.was_sent.load(Ordering::Acquire).then_some(&**server);
            self.quarantine.end_trial(&self.admitted.digest, failed);
        }
    }
}
