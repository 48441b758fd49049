//! Issues, rotates and withdraws keys.

use super::{Admin, Refusal};
use crate::publish::{self, Outcome};
use base::clock;
use base::http::{self, Body};
use hyper::{Response, StatusCode};
use operators::admin::{Issue, Issued, Rotate, Withdraw};
use steering::config::Mark;
use steering::keys::{Digest, Key, Pepper, Ring};

impl Admin {
    pub(super) async fn issue(&self, issue: Issue) -> Result<Response<Body>, Refusal> {
        let known = self.shared.read(|known| {
            let active = known.active.as_ref();
            active.is_some_and(|a| a.bundle.fleet.workspace(&issue.workspace).is_some())
        });
        if !known {
            let message = format!(
                "workspace `{}` is not in the configuration",
                issue.workspace
            );
            return Err(Refusal::new(StatusCode::NOT_FOUND, message));
        }
        let (key, digest) = self.generate();
        self.edit_keys(|ring| {
            ring.issue(issue.workspace.clone(), digest);
            true
        })
        .await?;
        log::info!("key {} issued to {}", digest.id(), issue.workspace);
        Ok(issued(&key, &digest))
    }

    /// Issues a key that replaces another one, which expires after the overlap.
    pub(super) async fn rotate(&self, rotate: Rotate) -> Result<Response<Body>, Refusal> {
        let old = self.find_digest(&rotate.id)?;
        let overlap = rotate.overlap_ms;
        let until = clock::unix_millis().saturating_add(overlap);
        let (key, digest) = self.generate();
        self.edit_keys(|ring| ring.replace(&old, digest, until))
            .await?;
        log::info!(
            "key {} replaces {}, which ends in {overlap} ms",
            digest.id(),
            rotate.id
        );
        Ok(issued(&key, &digest))
    }

    /// Withdraws a key on this VM at once, then on other VMs and in the table.
    pub(super) async fn withdraw(&self, withdraw: &Withdraw) -> Result<Response<Body>, Refusal> {
        let digest = self.find_digest(&withdraw.id)?;
        log::info!("key {} withdrawn", withdraw.id);
        Ok(self.add_marks([Mark::Withdrawn(digest)]).await)
    }

    fn generate(&self) -> (Key, Digest) {
        let key = Key::generate(&mut rand::rng());
        let digest = key.digest(&Pepper::derive(&self.shared.settings.key_secret));
        (key, digest)
    }

    fn find_digest(&self, id: &str) -> Result<Digest, Refusal> {
        self.shared.read(|known| {
            let Some(active) = &known.active else {
                let error = "this VM does not know the keys yet";
                return Err(Refusal::new(StatusCode::SERVICE_UNAVAILABLE, error));
            };
            let mut entries = active.ring.entries();
            let found = entries.find(|entry| *entry.digest.id() == *id);
            found
                .map(|entry| entry.digest)
                .ok_or_else(|| Refusal::new(StatusCode::NOT_FOUND, "no key has this id"))
        })
    }

    async fn edit_keys(&self, change: impl Fn(&mut Ring) -> bool) -> Result<(), Refusal> {
        let refused = |error: String| Refusal::new(StatusCode::SERVICE_UNAVAILABLE, error);
        match publish::publish_keys(&self.shared, &self.client, change).await {
            Ok(Outcome::Accepted(_)) => Ok(()),
            Ok(Outcome::Conflict(version)) => Err(refused(format!(
                "other publications came first, the last one as version {version}"
            ))),
            Ok(Outcome::Unknown(reason)) => Err(refused(reason.into())),
            Err(error) => Err(refused(error.to_string())),
        }
    }
}

fn issued(key: &Key, digest: &Digest) -> Response<Body> {
    let issued = Issued {
        id: digest.id(),
        key: key.expose().into(),
    };
    http::json(StatusCode::OK, &issued)
}
