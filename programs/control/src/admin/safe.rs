//! Drains backend servers and halts releases.

use super::{Admin, Refusal};
use crate::drain::{self, Failure};
use crate::reader;
use base::http::{self, Body};
use hyper::{Response, StatusCode};
use operators::admin::{Done, Drain, Drained, Halt, Undrain};
use std::time::Instant;
use steering::drain::Refusal as Headroom;
use steering::release::Reason;

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
        Ok(http::json(StatusCode::OK, &Done { durable: true }))
    }

    pub(super) async fn halt(&self, halt: Halt) -> Result<Response<Body>, Refusal> {
        let Halt { release, reason } = halt;
        let text = Reason::Operator(reason);
        let halted = self.shared.change(|known| {
            let halted = known.board.stop(&release, &text);
            if halted {
                let text = serde_json::to_string(&text).unwrap_or_default();
                let set = &mut known.growing.halted;
                set.entry(release.clone()).or_insert(text.into());
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
        Ok(self.done().await)
    }

    async fn done(&self) -> Response<Body> {
        let durable = reader::record_now(&self.shared, &self.client).await;
        http::json(StatusCode::OK, &Done { durable })
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
