//! Bundle of all steering files of a deployment, which is published as one version.

use crate::check::{self, Finding};
use crate::fleet::{self, Fleet};
use crate::service::Service;
use base::settings;
use indexmap::IndexMap;

/// Texts of steering files by file name.
pub type Files = IndexMap<Box<str>, Box<str>>;

/// Largest steering file, in bytes.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;

/// The steering files of one configuration version, parsed and checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Bundle {
    /// The fleet's file.
    pub fleet: Fleet,
    /// The services' files by file name.
    pub services: IndexMap<Box<str>, Service>,
}

impl Bundle {
    /// Parses and checks steering files.
    ///
    /// # Errors
    ///
    /// Returns all findings; a bundle with any finding is refused as a whole.
    pub fn parse(files: &Files) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        let mut fleet = None;
        let mut services = IndexMap::new();
        for (name, text) in files {
            if text.len() > MAX_FILE_BYTES {
                findings.push(Finding::new(name, 0, "the file is larger than 1 MiB"));
            } else if &**name == fleet::FILE {
                fleet = record_error(settings::parse(name, text), name, &mut findings);
            } else if let Some(service) =
                record_error(settings::parse(name, text), name, &mut findings)
            {
                services.insert(name.clone(), service);
            }
        }
        let Some(fleet) = fleet else {
            if !files.contains_key(fleet::FILE) {
                findings.push(Finding::new(fleet::FILE, 0, "the file is missing"));
            }
            return Err(findings);
        };
        let bundle = Self { fleet, services };
        check::bundle(&bundle, &mut findings);
        if findings.is_empty() {
            Ok(bundle)
        } else {
            Err(findings)
        }
    }

    /// Returns a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.values().find(|s| &*s.service.value == name)
    }
}

/// Returns the content hash of a file or object in hexadecimal.
pub fn hash(bytes: impl AsRef<[u8]>) -> Box<str> {
    blake3::hash(bytes.as_ref()).to_hex().as_str().into()
}

fn record_error<T>(
    parsed: Result<T, settings::Error>,
    name: &str,
    findings: &mut Vec<Finding>,
) -> Option<T> {
    match parsed {
        Ok(value) => Some(value),
        Err(settings::Error::Parse(_, message)) => {
            findings.push(Finding::parse(name, &message));
            None
        }
        Err(error) => {
            findings.push(Finding::new(name, 0, error.to_string()));
            None
        }
    }
}
