//! Consistency checks of steering files.

use crate::bundle::Bundle;
use crate::fleet::Fleet;
use crate::service::{Path, Service, Takeover};
use base::unit::Share;
use indexmap::IndexSet;
use serde_saphyr::Spanned;
use std::fmt;

base::message! {
    /// An error in a steering file.
    pub struct Finding {
        /// File name.
        pub file: Box<str>,
        /// Line, from 1; 0 if the finding concerns the whole file.
        pub line: u64,
        /// Error and accepted values.
        pub message: Box<str>,
    }
}

/// Largest difference from 100% that rounding may cause in a sum of shares.
const SHARE_TOLERANCE: f64 = 1e-6;

/// Most floors of a limit; all their claims are stored in one row of the platform's table.
const MAX_FLOOR_UNITS: u32 = 10_000;

impl Finding {
    /// Makes a finding.
    pub fn new(file: &str, line: u64, message: impl Into<Box<str>>) -> Self {
        Self {
            file: file.into(),
            line,
            message: message.into(),
        }
    }

    /// Makes a finding from a parser's message, which contains the line number.
    pub fn parse(file: &str, message: &str) -> Self {
        let line = message
            .split_once("line ")
            .and_then(|(_, rest)| rest.split(|c: char| !c.is_ascii_digit()).next())
            .and_then(|digits| digits.parse().ok())
            .unwrap_or(0);
        Self::new(file, line, message)
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

/// Findings of one file.
struct FileFindings<'a> {
    file: &'a str,
    findings: &'a mut Vec<Finding>,
}

impl FileFindings<'_> {
    fn add<T>(&mut self, at: &Spanned<T>, message: String) {
        self.findings
            .push(Finding::new(self.file, at.referenced.line(), message));
    }
}

/// Checks a parsed bundle and appends its findings.
pub fn bundle(bundle: &Bundle, findings: &mut Vec<Finding>) {
    let mut sink = FileFindings {
        file: crate::fleet::FILE,
        findings,
    };
    fleet(&bundle.fleet, &mut sink);
    let mut names = IndexSet::new();
    for (file, service) in &bundle.services {
        let mut sink = FileFindings {
            file,
            findings: sink.findings,
        };
        if !names.insert(&service.service.value) {
            let name = &service.service.value;
            sink.add(
                &service.service,
                format!("service `{name}` has another file already"),
            );
        }
        callers(service, &bundle.fleet, &mut sink);
        routes(service, &mut sink);
        spread(service, &bundle.fleet, &mut sink);
        if let Some(release) = &service.release {
            takeover(release, service, &mut sink);
        }
    }
}

fn fleet(fleet: &Fleet, sink: &mut FileFindings<'_>) {
    let mut centres = IndexSet::new();
    for centre in fleet.regions.iter().flat_map(|z| &z.data_centres) {
        if !centres.insert(&*centre.value) {
            sink.add(
                centre,
                format!("data centre `{}` is named twice", centre.value),
            );
        }
    }
    let mut names = IndexSet::new();
    for workspace in &fleet.workspaces {
        let tenant = &workspace.value;
        if !names.insert(&tenant.name) {
            sink.add(
                workspace,
                format!("workspace `{}` is named twice", tenant.name),
            );
        }
        if tenant.rate.0 <= 0.0 || tenant.burst == 0 {
            sink.add(workspace, "rate and burst must be above 0".into());
        } else if fleet.limits.settings().check_limit(tenant.limit()).is_err() {
            let message = format!(
                "burst {} of workspace `{}` is too small for {} floors; \
                 at least {} is accepted, twice `floor_units`",
                tenant.burst,
                tenant.name,
                fleet.limits.floor_units,
                u64::from(fleet.limits.floor_units) * 2,
            );
            sink.add(workspace, message);
        }
    }
    for block in &fleet.clients {
        if !centres.contains(&*block.value.data_centre) {
            sink.add(
                block,
                unknown("data centre", &block.value.data_centre, &centres),
            );
        }
    }
    for link in &fleet.links {
        for end in &link.value.between {
            if !fleet.regions.iter().any(|z| z.name == *end) {
                sink.add(link, format!("unknown region `{end}`"));
            }
        }
    }
    if !(1..=MAX_FLOOR_UNITS).contains(&fleet.limits.floor_units) {
        let message = format!("`floor_units` must be from 1 to {MAX_FLOOR_UNITS}");
        sink.findings.push(Finding::new(sink.file, 0, message));
    }
}

fn callers(service: &Service, fleet: &Fleet, sink: &mut FileFindings<'_>) {
    let known: IndexSet<_> = fleet.workspaces.iter().map(|w| &*w.value.name).collect();
    for caller in service
        .callers
        .iter()
        .filter(|c| !known.contains(&*c.value))
    {
        sink.add(caller, unknown("workspace", &caller.value, &known));
    }
}

fn routes(service: &Service, sink: &mut FileFindings<'_>) {
    for (index, route) in service.routes.iter().enumerate() {
        let path = &route.value;
        if !path.path.starts_with('/') {
            sink.add(route, format!("path `{}` must start with `/`", path.path));
        }
        if path.methods.is_empty() {
            sink.add(route, "at least one method is needed".into());
        }
        let earlier = &service.routes[..index];
        if let Some(other) = earlier.iter().find(|o| overlap(&o.value, path)) {
            let name = &other.value.name;
            sink.add(
                route,
                format!("route `{}` overlaps route `{name}`", path.name),
            );
        }
    }
}

/// Returns whether two routes have the same name, or the same path and a method in common.
fn overlap(a: &Path, b: &Path) -> bool {
    let same_path = a.path.trim_end_matches('/') == b.path.trim_end_matches('/');
    a.name == b.name || (same_path && a.methods.iter().any(|m| b.methods.contains(m)))
}

fn spread(service: &Service, fleet: &Fleet, sink: &mut FileFindings<'_>) {
    let known: IndexSet<_> = fleet.data_centres().map(|d| &**d).collect();
    for part in service
        .spread
        .iter()
        .filter(|p| !known.contains(&*p.value.data_centre))
    {
        sink.add(
            part,
            unknown("data centre", &part.value.data_centre, &known),
        );
    }
    let sum: f64 = service.spread.iter().map(|p| p.value.share.0).sum();
    if (sum - 1.0).abs() > SHARE_TOLERANCE {
        let message = format!(
            "the shares of `spread` sum to {}, expected 100%",
            Share(sum)
        );
        sink.add(&service.service, message);
    }
}

fn takeover(release: &Spanned<Takeover>, service: &Service, sink: &mut FileFindings<'_>) {
    let takeover = &release.value;
    if takeover.to == service.current {
        sink.add(
            release,
            format!("version `{}` is in service already", takeover.to),
        );
    }
    let rising = takeover.steps.windows(2).all(|pair| pair[0] < pair[1]);
    if !rising || takeover.steps.last() != Some(&Share(1.0)) {
        sink.add(release, "`steps` must rise and end with 100%".into());
    }
}

fn unknown(kind: &str, name: &str, known: &IndexSet<&str>) -> String {
    let names: Vec<&str> = known.iter().copied().collect();
    format!(
        "unknown {kind} `{name}`, expected one of {}",
        names.join(", ")
    )
}
