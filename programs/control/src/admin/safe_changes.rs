//! Drains, and changes that need no permission and are in force at once on this VM.

use super::{Admin, Refusal};
use crate::drain::{self, Failure};
use crate::reader;
use base::http::{self, Body};
use hyper::{Response, StatusCode};
use operators::admin::{Done, Drain, Drained, Halt, Undrain};
use std::time::{Duration, Instant};
use steering::config::Mark;
use steering::drain::Refusal as Headroom;
use steering::release::Reason;

/// Longest wait for a peer to have a change that can't be written to the table.
const REPLICATION_TIMEOUT: Duration = Duration::from_secs(2);
const REPLICATION_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Admin {
    pub(super) async fn drain(&self, drain: Drain) -> Result<Response<Body>, Refusal> {
        let accepted = drain::accept(&self.shared, &self.client, &drain.servers).await;
        let id = accepted.map_err(to_refusal)?;
        log::info!("drain {id} of {} accepted", drain.servers.join(", "));
        Ok(http::json(StatusCode::OK, &Drained { id }))
    }

    pub(super) async fn undrain(&self, undrain: &Undrain) -> Result<Response<Body>, Refusal> {
        let ended = drain::remove(&self.shared, &self.client, &undrain.id).await;
        if !ended.map_err(to_refusal)? {
            let error = format!("no drain `{}`", undrain.id);
            return Err(Refusal::new(StatusCode::NOT_FOUND, error));
        }
        log::info!("drain {} ended", undrain.id);
        Ok(http::json(
            StatusCode::OK,
            &Done {
                durable: true,
                shared: true,
            },
        ))
    }

    pub(super) async fn halt(&self, halt: Halt) -> Result<Response<Body>, Refusal> {
        let Halt { release, reason } = halt;
        let text = Reason::Operator(reason);
        let halted = self.shared.update_and_publish(|known| {
            let halted = known.progress.halt_release(&release, &text);
            if halted {
                known.evaluate_releases(Instant::now());
            }
            halted
        });
        if !halted {
            let error = format!(
                "release `{release}` is complete or in its confirmed last step; \
                 publish a release of the old version"
            );
            return Err(Refusal::new(StatusCode::CONFLICT, error));
        }
        log::info!("release {release} halted: {text}");
        Ok(self.add_marks([Mark::Halted(release)]).await)
    }

    /// Puts changes in force on this VM, and answers once the table or a peer has them too, since a
    /// restart of this VM would lose them before.
    pub(super) async fn add_marks(&self, marks: impl IntoIterator<Item = Mark>) -> Response<Body> {
        let count = self
            .shared
            .update_and_publish(|known| known.add_marks(marks));
        let durable = reader::write_marks_now(&self.shared, &self.client).await;
        let shared = durable || self.wait_replicated(count).await;
        http::json(StatusCode::OK, &Done { durable, shared })
    }

    async fn wait_replicated(&self, count: u32) -> bool {
        let deadline = Instant::now() + REPLICATION_TIMEOUT;
        while self.shared.read(|known| known.replicated_marks < count) {
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(REPLICATION_CHECK_INTERVAL).await;
        }
        true
    }
}

fn to_refusal(failure: Failure) -> Refusal {
    match failure {
        Failure::Refused(reason @ Headroom::Unknown(_)) => {
            Refusal::new(StatusCode::NOT_FOUND, reason.to_string())
        }
        Failure::Refused(reason) => Refusal::new(StatusCode::CONFLICT, reason.to_string()),
        Failure::Store(error) => Refusal::new(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
    }
}
