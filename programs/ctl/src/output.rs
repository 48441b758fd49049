//! Text and JSON output.

use crate::diff::Change;
use crate::orders::Orders;
use base::unit::Moment;
use operators::admin::{Issued, KeyState, Stage, Status, Verdict};
use operators::check::Finding;
use operators::gateway::{Notice, State};
use serde::Serialize;
use steering::notice::Origin;
use steering::takeover;

/// Prints a value as JSON, or as the text that `text` returns for it.
pub fn print<T: Serialize>(json: bool, value: &T, text: impl FnOnce(&T) -> String) {
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(value).unwrap_or_default()
        );
    } else {
        println!("{}", text(value).trim_end());
    }
}

/// Formats findings, one per line.
pub fn findings(findings: &[Finding]) -> String {
    findings
        .iter()
        .map(|finding| format!("{finding}\n"))
        .collect()
}

/// Formats differences, one block per file.
pub fn changes(changes: &[Change]) -> String {
    let lines = |sign: char, lines: &[Box<str>]| -> String {
        lines
            .iter()
            .map(|line| format!("  {sign} {line}\n"))
            .collect()
    };
    let block = |change: &Change| {
        let (removed, added) = (lines('-', &change.removed), lines('+', &change.added));
        format!("{}\n{removed}{added}", change.file)
    };
    changes.iter().map(block).collect()
}

/// Formats the outcome of a publication.
pub fn verdict(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted { version } => format!("accepted as version {version}"),
        Verdict::Conflict { version } => {
            format!("conflict: version {version} is in force now; review it and publish again")
        }
        Verdict::Refused { findings: found } => format!("refused:\n{}", findings(found)),
        Verdict::Unavailable { reason } => format!("not published: {reason}"),
        Verdict::Unknown { reason } => format!("outcome unknown: {reason}; see `status`"),
    }
}

/// Formats the state of the fleet as reported by the administration API.
pub fn status(status: &Status) -> String {
    let confirmed = Moment(base::clock::from_millis(status.confirmed_by_store));
    let keys = &status.keys;
    let mut lines = vec![progress(status)];
    lines.extend(names("missing", &status.missing));
    lines.extend(names("draining", &status.draining));
    lines.extend(
        status
            .releases
            .iter()
            .map(|(id, state)| format!("release {id}: {state}")),
    );
    let drains = status.drains.iter();
    lines.extend(drains.map(|(id, text)| format!("drain {id}: {text}")));
    lines.push(format!(
        "keys: {} valid, {} withdrawn",
        keys.valid, keys.withdrawn
    ));
    if let Some(since) = keys.since {
        let since = Moment(base::clock::from_millis(since));
        let accepted = match keys.state {
            KeyState::Refused => "refused",
            KeyState::Confirmed | KeyState::NotConfirmed => "accepted",
        };
        lines.push(format!(
            "keys not confirmed since {since}, {accepted} on {}",
            status.vm
        ));
    }
    lines.push(format!("last read of the store at {confirmed}"));
    lines.join("\n")
}

/// Formats the orders in the store of the users' platform.
pub fn orders(orders: &Orders) -> String {
    let mut lines = vec![match orders.version {
        None => "no configuration that can be read".into(),
        Some(version) => format!(
            "version {version:08x}: {} routes, {} workspaces, {} services",
            orders.routes, orders.workspaces, orders.services
        ),
    }];
    let releases = orders.releases.iter();
    lines.extend(releases.map(|release| {
        format!(
            "release of {} to {} within {} s",
            release.service, release.label, release.term_s
        )
    }));
    lines.extend(names("evacuated", &orders.evacuated));
    let unreadable = orders.unreadable.iter();
    lines.extend(unreadable.map(|row| {
        format!(
            "row {} at version {} can't be read: {}",
            row.key, row.version, row.reason
        )
    }));
    lines.join("\n")
}

/// Formats the state of the fleet as reported by a gateway.
pub fn state(state: &State) -> String {
    let mut lines = vec![match state.version {
        0 => "no configuration yet".into(),
        version => format!(
            "version {version:08x} in force on {} of {}",
            state.on, state.of
        ),
    }];
    lines.extend(names("missing", &state.missing));
    lines.extend(state.releases.iter().map(|release| {
        let stage = match (release.stage, release.is_final) {
            (None, _) => "not begun".into(),
            (Some(stage), true) => format!("{}, final", stage_name(stage)),
            (Some(stage), false) => stage_name(stage).into(),
        };
        format!(
            "release of {} to {}: {stage}",
            release.service, release.label
        )
    }));
    lines.extend(names("evacuated", &state.evacuated));
    lines.extend(state.notices.iter().flat_map(notice));
    lines.extend(state.refused.iter().map(|request| {
        format!(
            "request {} crashed {} servers: refused for {} s",
            request.digest,
            request.crashes,
            request.left_ms / 1_000
        )
    }));
    lines.extend(state.usage.as_ref().map(|usage| match usage.token {
        0 => "no VM reports usage yet".into(),
        token => format!(
            "{} reports usage with token {token}: window {} fixed, {} sent",
            usage.holder, usage.fixed, usage.sent
        ),
    }));
    lines.push(match state.age_ms {
        Some(age) => format!("{} read the store {age} ms ago", state.vm),
        None => format!("{} has not read the store yet", state.vm),
    });
    lines.join("\n")
}

/// Formats what a server has said of itself.
fn notice(notice: &Notice) -> Vec<String> {
    let server = &notice.server;
    let leaves = notice.leaves.as_ref().map(|departure| {
        let (origin, age) = (origin(departure.origin), departure.age_ms);
        format!("server {server} leaves, from {origin} {age} ms ago")
    });
    let rejects = notice.rejects_ms.map(|left| match left {
        0 => format!("server {server} wants few requests yet"),
        left => format!("server {server} wants no requests for {left} ms"),
    });
    let limit = notice.limit.as_ref().map(|limit| {
        let (origin, rate, age) = (origin(limit.origin), limit.rate, limit.age_ms);
        format!(
            "server {server} takes {rate} requests a second from all VMs together, from {origin} {age} ms ago"
        )
    });
    leaves.into_iter().chain(rejects).chain(limit).collect()
}

fn origin(origin: Origin) -> &'static str {
    match origin {
        Origin::Answer => "its answer",
        Origin::Store => "the store",
        Origin::Peer => "another VM",
    }
}

fn stage_name(stage: takeover::Stage) -> &'static str {
    match stage {
        takeover::Stage::Sampling => "sampling",
        takeover::Stage::Moving => "moving",
        takeover::Stage::Completed => "completed",
        takeover::Stage::RolledBack => "rolled back",
    }
}

fn progress(status: &Status) -> String {
    let Status {
        version, on, of, ..
    } = status;
    match status.stage {
        Stage::NoVersion => "no configuration yet".into(),
        Stage::Accepted => format!("version {version} accepted, in force on 0 of {of}"),
        Stage::InForce => format!("version {version} in force on {on} of {of}"),
        Stage::Done => format!("version {version} in force on {on} of {of}: done"),
    }
}

/// Formats a new key.
pub fn issued(issued: &Issued) -> String {
    format!("id {}\nkey {}", issued.id, issued.key)
}

fn names(title: &str, names: &[Box<str>]) -> Option<String> {
    (!names.is_empty()).then(|| format!("{title}: {}", names.join(", ")))
}
