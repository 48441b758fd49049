//! Changes that need no permission: they only grow, and are in force at once on this VM.

use super::{Admin, Refusal};
use crate::reader;
use base::http::{self, Body};
use hyper::{Response, StatusCode};
use operators::admin::{Done, Drain, Halt};
use std::time::{Duration, Instant};
use steering::config::Mark;

/// Longest wait for a peer to have a change that the store can't record.
const SHARE_WAIT: Duration = Duration::from_secs(2);
/// Interval of looks at whether a peer has it.
const SHARE_LOOK: Duration = Duration::from_millis(20);

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
        Ok(self
            .mark(drain.servers.into_iter().map(Mark::Drained))
            .await)
    }

    pub(super) async fn halt(&self, halt: Halt) -> Response<Body> {
        log::info!("release {} halted: {}", halt.release, halt.reason);
        let release = halt.release.clone();
        self.shared
            .change(|known| known.reasons.entry(release).or_insert(halt.reason).clone());
        self.mark([Mark::Halted(halt.release)]).await
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
