//! Drains backend servers and halts releases.

use super::{Admin, Refusal};
use crate::reader;
use base::http::{self, Body};
use hyper::{Response, StatusCode};
use operators::admin::{Done, Drain, Halt};

impl Admin {
    pub(super) async fn drain(&self, drain: Drain) -> Result<Response<Body>, Refusal> {
        let unknown = self.shared.read(|known| {
            let listed = |name: &str| known.list.backends.iter().any(|b| &*b.name == name);
            drain.servers.iter().find(|name| !listed(name)).cloned()
        });
        if let Some(name) = unknown {
            return Err(Refusal::new(
                StatusCode::NOT_FOUND,
                format!("no backend server `{name}` is listed"),
            ));
        }
        log::info!("draining {}", drain.servers.join(", "));
        self.shared
            .change(|known| known.growing.draining.extend(drain.servers));
        Ok(self.done().await)
    }

    pub(super) async fn halt(&self, halt: Halt) -> Response<Body> {
        log::info!("release {} halted: {}", halt.release, halt.reason);
        self.shared.change(|known| {
            known
                .growing
                .halted
                .entry(halt.release)
                .or_insert(halt.reason)
                .clone()
        });
        self.done().await
    }

    async fn done(&self) -> Response<Body> {
        let durable = reader::record_now(&self.shared, &self.client).await;
        http::json(StatusCode::OK, &Done { durable })
    }
}
