//! Reads and publishes the configuration.

use super::Admin;
use crate::record::{self, Head};
use crate::{reader, table};
use base::http::{self, Body};
use hyper::{Response, StatusCode};
use operators::admin::{Config, Proposal, Verdict};
use operators::bundle::{self, Bundle};
use platform::Error;

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
        let author = proposal.author.clone();
        let verdict = match Bundle::parse(&proposal.files) {
            Err(findings) => Verdict::Refused { findings },
            Ok(_) => self.accept(proposal).await.unwrap_or_else(verdict),
        };
        if let Verdict::Accepted { version } = &verdict {
            log::info!("configuration version {version} published by {author}");
        }
        http::json(StatusCode::OK, &verdict)
    }

    /// Stores the files, then writes the head row against the version that was reviewed.
    async fn accept(&self, proposal: Proposal) -> Result<Verdict, Error> {
        let mut head = Head {
            author: proposal.author,
            files: Default::default(),
        };
        for (name, text) in &proposal.files {
            let hash = bundle::hash(&**text);
            self.client.put(&hash, text.to_string()).await?;
            head.files.insert(name.clone(), hash);
        }
        let write = table::write(proposal.base, &head)?;
        let version = self.client.write(record::HEAD, &write).await?;
        reader::activate(&self.shared, version, proposal.files);
        Ok(Verdict::Accepted { version })
    }
}

fn verdict(error: Error) -> Verdict {
    match error {
        Error::Conflict(version) => Verdict::Conflict { version },
        Error::Lost(reason) => Verdict::Unknown { reason },
        other => Verdict::Unavailable {
            reason: other.to_string().into(),
        },
    }
}
