//! Issues and withdraws keys.

use super::{Admin, Refusal};
use crate::record::{self, Key, Keys};
use crate::{reader, table};
use base::http::{self, Body};
use hyper::{Response, StatusCode};
use operators::admin::{Done, Issue, Issued, Withdraw};
use operators::key;

impl Admin {
    pub(super) async fn issue(&self, issue: Issue) -> Result<Response<Body>, Refusal> {
        let known = self.shared.read(|known| {
            known
                .active
                .as_ref()
                .is_some_and(|a| a.bundle.fleet.workspace(&issue.workspace).is_some())
        });
        if !known {
            let message = format!(
                "workspace `{}` is not in the configuration",
                issue.workspace
            );
            return Err(Refusal::new(StatusCode::NOT_FOUND, message));
        }
        let key = base::id::random(&mut rand::rng());
        let digest = key::digest(&self.shared.settings.key_secret, &key);
        let record = Key {
            workspace: issue.workspace,
            expires: None,
        };
        let written = table::update(&self.client, record::KEYS, |row: &mut Keys| {
            row.keys.insert(digest.clone(), record.clone());
        });
        if let Err(error) = written.await {
            return Err(Refusal::new(
                StatusCode::SERVICE_UNAVAILABLE,
                error.to_string(),
            ));
        }
        self.shared
            .change(|known| known.keys.insert(digest.clone(), record));
        let id = key::id(&digest).into();
        Ok(http::json(StatusCode::OK, &Issued { id, key }))
    }

    /// Withdraws a key at once on this VM; the table and the other VMs follow.
    pub(super) async fn withdraw(&self, withdraw: &Withdraw) -> Result<Response<Body>, Refusal> {
        let found = self.shared.change(|known| {
            let digest = known
                .keys
                .keys()
                .find(|digest| key::id(digest) == &*withdraw.id)
                .cloned();
            digest
                .map(|digest| known.growing.withdrawn.insert(digest))
                .is_some()
        });
        if !found {
            return Err(Refusal::new(StatusCode::NOT_FOUND, "no key has this id"));
        }
        log::info!("key {} withdrawn", withdraw.id);
        let durable = reader::record_now(&self.shared, &self.client).await;
        Ok(http::json(StatusCode::OK, &Done { durable }))
    }
}
