//! Changes that need no permission: they only grow, and are in force at once on this VM.

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

/// Longest wait for a peer to have a change that the store can't record.
const SHARE_WAIT: Duration = Duration::from_secs(2);
/// Interval of looks at whether a peer has it.
const SHARE_LOOK: Duration = Duration::from_millis(20);

impl Admin {
    pub(super) async fn drain(&self, drain: Drain) -> Result<Response<Body>, Refusal> {
        let accepted = drain::accept(&self.shared, &self.client, &drain.servers).await;
        let id = accepted.map_err(refused)?;
        log::info!("drain {id} of {} accepted", drain.servers.join(", "));
        Ok(http::json(StatusCode::OK, &Drained { id }))
    }

    pub(super) async fn undrain(&self, undrain: &Undrain) -> Result<Response<Body>, Refusal> {
        let ended = drain::end(&self.shared, &self.client, &undrain.id).await;
        if !ended.map_err(refused)? {
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
        let halted = self.shared.change(|known| {
            let halted = known.board.stop(&release, &text);
            if halted {
                known.look(Instant::now());
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
        Ok(self.mark([Mark::Halted(release)]).await)
    }

    /// Puts changes in force on this VM, and answers once the store or a peer has them too:
    /// before that, they would be lost if this VM restarted.
    pub(super) async fn mark(&self, marks: impl IntoIterator<Item = Mark>) -> Response<Body> {
        let count = self.shared.change(|known| known.mark(marks));
        let durable = reader::record_now(&self.shared, &self.client).await;
        let shared = durable || self.shared_with_peer(count).await;
        http::json(StatusCode::OK, &Done { durable, shared })
    }

    async fn shared_with_peer(&self, count: u32) -> bool {
        let deadline = Instant::now() + SHARE_WAIT;
        while self.shared.read(|known| known.shared < count) {
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(SHARE_LOOK).await;
        }
        true
    }
}

fn refused(failure: Failure) -> Refusal {
    match failure {
        Failure::Refused(reason @ Headroom::Unknown(_)) => {
            Refusal::new(StatusCode::NOT_FOUND, reason.to_string())
        }
        Failure::Refused(reason) => Refusal::new(StatusCode::CONFLICT, reason.to_string()),
        Failure::Store(error) => Refusal::new(StatusCode::SERVICE_UNAVAILABLE, error.to_string()),
    }
}
