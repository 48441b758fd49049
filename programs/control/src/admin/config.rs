//! Reads and publishes the configuration.

use super::Admin;
use crate::metrics::PublicationResult;
use crate::publish::{self, Outcome};
use base::http::{self, Body};
use hyper::{Response, StatusCode};
use operators::admin::{Config, Proposal, Verdict};
use operators::bundle::{self, Bundle};

impl Admin {
    pub(super) fn config(&self) -> Response<Body> {
        let config = self.shared.read(|known| match &known.active {
            Some(active) => Config {
                version: active.version,
                files: active.files.clone(),
            },
            None => Config {
                version: 0,
                files: bundle::Files::new(),
            },
        });
        http::json(StatusCode::OK, &config)
    }

    pub(super) async fn publish(&self, proposal: Proposal) -> Response<Body> {
        let verdict = self.verdict(proposal).await;
        self.shared.metrics.record_publication(match &verdict {
            Verdict::Accepted { .. } => PublicationResult::Accepted,
            Verdict::Conflict { .. } => PublicationResult::Conflict,
            Verdict::Refused { .. } => PublicationResult::Refused,
            Verdict::Unavailable { .. } => PublicationResult::Unavailable,
            Verdict::Unknown { .. } => PublicationResult::Unknown,
        });
        http::json(StatusCode::OK, &verdict)
    }

    async fn verdict(&self, proposal: Proposal) -> Verdict {
        if let Err(findings) = Bundle::parse(&proposal.files) {
            return Verdict::Refused { findings };
        }
        let Proposal {
            base,
            author,
            files,
        } = proposal;
        let outcome =
            publish::publish_files(&self.shared, &self.client, base, author.clone(), &files).await;
        match outcome {
            Ok(Outcome::Accepted(version)) => {
                log::info!("configuration version {version} published by {author}");
                Verdict::Accepted { version }
            }
            Ok(Outcome::Conflict(version)) => Verdict::Conflict { version },
            Ok(Outcome::Unknown(reason)) => Verdict::Unknown { reason },
            Err(error) => Verdict::Unavailable {
                reason: error.to_string().into(),
            },
        }
    }
}
