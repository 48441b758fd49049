//! The steering file of a service.

use base::id::{DataCentre, Label, Release, Route, Workspace};
use base::unit::{Moment, Share, Span};
use serde::Deserialize;
use serde_saphyr::Spanned;
use std::time::Duration;

/// Content of a service's steering file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub service: Spanned<base::id::Service>,
    /// Software version in service.
    pub current: Label,
    /// Workspaces that may call the service.
    pub callers: Vec<Spanned<Workspace>>,
    /// Routes; the one with the longest matching path prefix applies.
    pub routes: Vec<Spanned<Path>>,
    /// Distribution of the traffic over data centres; shares sum to 100%.
    pub spread: Vec<Spanned<Part>>,
    /// Largest share of the traffic that may be sent elsewhere than the spread says.
    #[serde(default = "default_spill")]
    pub spill: Share,
    /// Whether other services take precedence when capacity is short.
    #[serde(default)]
    pub deferrable: bool,
    /// New version that takes over.
    #[serde(default)]
    pub release: Option<Spanned<Takeover>>,
}

fn default_spill() -> Share {
    Share(0.5)
}

/// A route of a service.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Path {
    /// Name of the route.
    pub name: Route,
    /// Path prefix, matched at segment boundaries.
    pub path: Box<str>,
    /// HTTP methods.
    pub methods: Vec<Method>,
    /// Whether running a request twice has the effect of running it once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether requests need no key.
    #[serde(default)]
    pub open: bool,
    /// Time within which a request is to be answered.
    #[serde(default = "default_deadline")]
    pub deadline: Span,
}

fn default_deadline() -> Span {
    Span(Duration::from_secs(5))
}

/// HTTP method of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
#[allow(missing_docs)]
pub enum Method {
    Get,
    Head,
    Post,
    Put,
    Patch,
    Delete,
}

impl Method {
    /// Returns the method's name in HTTP.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Head => "HEAD",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Patch => "PATCH",
            Self::Delete => "DELETE",
        }
    }
}

/// Share of a service's traffic that a data centre serves.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Data centre.
    pub data_centre: DataCentre,
    /// Share of the traffic.
    pub share: Share,
}

/// Takeover of a service by a new version.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Takeover {
    /// Id of the release; never reused after the release was halted.
    pub id: Release,
    /// New version.
    pub to: Label,
    /// Largest share of the traffic that the new version gets at each step.
    pub steps: Vec<Share>,
    /// Time by which the new version must have taken over.
    pub finish_by: Moment,
}

impl Path {
    /// Returns whether the route serves `method` on `path`.
    pub fn serves(&self, method: &str, path: &str) -> bool {
        self.methods.iter().any(|m| m.as_str() == method) && self.covers(path)
    }

    /// Returns whether `path` is under the route's prefix.
    pub fn covers(&self, path: &str) -> bool {
        path.strip_prefix(self.path.trim_end_matches('/'))
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}

impl Service {
    /// Returns the route with the longest prefix that serves `method` on `path`.
    pub fn route(&self, method: &str, path: &str) -> Option<&Path> {
        self.routes
            .iter()
            .map(|r| &r.value)
            .filter(|r| r.serves(method, path))
            .max_by_key(|r| r.path.len())
    }

    /// Returns whether a workspace may call the service.
    pub fn allows(&self, workspace: &str) -> bool {
        self.callers.iter().any(|c| &*c.value == workspace)
    }
}
