//! What must be recorded of one request, however it ends.

use super::{Admitted, Assignment, Quarantine};
use crate::claims::ClaimGuard;
use crate::server::{RequestGuard, Server};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;
use steering::attempt::Outcome;
use steering::quarantine::Digest;

/// Claim and trial of one request; both end when it is dropped.
#[derive(Debug)]
pub struct RequestTracker {
    quarantine: Arc<Quarantine>,
    admitted: Admitted,
    claimed: Option<ClaimGuard>,
    interrupted: AtomicBool,
    /// Whether the request was ever handed to a server.
    ran: AtomicBool,
}

impl RequestTracker {
    /// Starts to track an admitted request.
    pub fn new(quarantine: Arc<Quarantine>, admitted: Admitted) -> Self {
        Self {
            quarantine,
            admitted,
            claimed: None,
            interrupted: AtomicBool::new(false),
            ran: AtomicBool::new(false),
        }
    }

    /// Adds the claim.
    pub fn set_claim(&mut self, claimed: ClaimGuard) {
        self.claimed = Some(claimed);
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

    /// Returns the address of the entry that must run the request, if another one must.
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
        self.ran.fetch_or(sent, Ordering::AcqRel);
        if let Some(claimed) = &self.claimed {
            claimed.record_sent(sent);
        }
    }

    /// Finds out whether a server crashed under the request, and holds the reply in that case.
    pub async fn record_interruption(&self, running: &RequestGuard) -> bool {
        let again = self.interrupted.swap(true, Ordering::AcqRel);
        let Some(hold) = self.quarantine.record_interruption(running, again).await else {
            return false;
        };
        tokio::time::sleep_until(hold.into()).await;
        true
    }

    /// Records the outcome of a request that got no whole answer.
    pub fn record_outcome(&mut self, outcome: &Outcome) {
        if let Some(mut claimed) = self.claimed.take() {
            claimed.record_outcome(outcome);
        }
    }

    /// Records that the caller got the whole answer of a backend server.
    pub fn record_served(&mut self) {
        self.record_outcome(&Outcome::Served);
        self.quarantine.record_served(self.admitted.digest);
        if self.trial_server().is_some() {
            self.admitted.assignment = Assignment::AnyServer;
            self.quarantine.completed(&self.admitted.digest);
        }
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        if let Some(server) = self.trial_server() {
            // A request that its claim refused says nothing about the trial server.
            let failed = self.ran.load(Ordering::Acquire).then_some(&**server);
            self.quarantine.release(&self.admitted.digest, failed);
        }
    }
}
