//! Text output of an explanation.

use operators::explain::{Candidate, Decision, Explanation, Figures, Limit, Obstacle, Refusal};

/// Formats where a request would go.
pub fn text(explanation: &Explanation) -> String {
    let mut lines = vec![match &explanation.route {
        None => "no route".into(),
        Some(route) => format!(
            "route {} of {}{}: objective {} ms, timeout {} ms{}",
            route.name,
            route.host,
            route.prefix,
            route.objective_ms,
            route.timeout_ms,
            if route.idempotent { ", idempotent" } else { "" }
        ),
    }];
    lines.extend(explanation.limit.as_ref().map(limit));
    lines.extend(explanation.refusal.as_ref().map(refusal));
    for decision in &explanation.decisions {
        lines.extend(self::decision(decision, explanation.decisions.len() > 1));
    }
    lines.push(format!("explained by {}", explanation.vm));
    lines.join("\n")
}

fn limit(limit: &Limit) -> String {
    format!(
        "workspace {}: {}, {:.1} requests left of {}/s and burst {}, {:.1} of them on this VM",
        limit.workspace,
        if limit.is_admitted {
            "admitted"
        } else {
            "over its limit"
        },
        limit.fleet_tokens,
        limit.rate,
        limit.burst,
        limit.local_tokens
    )
}

fn refusal(refusal: &Refusal) -> String {
    let retry = refusal.retry_ms.map(|wait| format!(", retry in {wait} ms"));
    let retry = retry.unwrap_or_default();
    format!("refused with {}: {}{retry}", refusal.status, refusal.reason)
}

fn decision(decision: &Decision, is_split: bool) -> Vec<String> {
    let weight = match is_split {
        true => format!(" (weight {})", decision.weight),
        false => String::new(),
    };
    let mut lines = vec![format!(
        "service {}{weight}: priority {}",
        decision.service, decision.priority
    )];
    lines.extend(decision.thinning.as_ref().map(|thinning| {
        let this = match thinning.is_admitted {
            true => "admitted",
            false => "not admitted",
        };
        let share = thinning.share * 100.0;
        format!("  {share:.0}% of this priority is admitted; this request is {this}")
    }));
    lines.extend(decision.estimate.as_ref().map(|estimate| {
        format!(
            "  {estimate} estimate: {} ms warm, {} ms cold, at most {} ms until the answer",
            decision.warm_ms, decision.cold_ms, decision.limit_ms
        )
    }));
    if decision.overload > 0.0 {
        lines.push(format!("  overload {:.2}", decision.overload));
    }
    let max_wait = decision.max_wait_ms;
    lines.extend(max_wait.map(|wait| format!("  may leave a wait of at most {wait} ms")));
    if decision.is_warm_only {
        lines.push("  only warm servers, or free ones if none is warm".into());
    }
    if !decision.candidates.is_empty() {
        lines.push(HEADINGS.into());
    }
    lines.extend(decision.candidates.iter().map(candidate));
    if decision.omitted > 0 {
        lines.push(format!("  {} further servers", decision.omitted));
    }
    let unusable = decision.unusable.iter();
    let unusable: Vec<String> = unusable
        .map(|(reason, count)| format!("{count} {}", obstacle(*reason)))
        .collect();
    if !unusable.is_empty() {
        lines.push(format!("  not usable: {}", unusable.join(", ")));
    }
    let choice = decision.choice.as_ref().map(|choice| {
        format!(
            "  goes to {}, answer expected after {} ms",
            choice.server, choice.expected_ms
        )
    });
    lines.extend(choice);
    let refused = decision.refusal.as_ref().map(refusal);
    lines.extend(refused.map(|line| format!("  {line}")));
    lines
}

/// Headings of the columns of [`candidate`]; times in milliseconds.
const HEADINGS: &str = "  server           data centre  region   load  warm  wait  pace  slowdown  \
                        failed  trip  score";

fn candidate(candidate: &Candidate) -> String {
    let Candidate {
        server,
        data_centre,
        region,
        label,
        ..
    } = candidate;
    let figures = candidate.figures.as_ref().map(figures).unwrap_or_default();
    let reason = match candidate.obstacle {
        None => String::new(),
        Some(Obstacle::Version) => format!("  {} ({label})", obstacle(Obstacle::Version)),
        Some(reason) => format!("  {}", obstacle(reason)),
    };
    format!("  {server:<15}  {data_centre:<11}  {region:<7}{figures}{reason}")
}

fn figures(figures: &Figures) -> String {
    let load = format!("{}/{}", figures.load, figures.slots);
    let warm = if figures.warm { "yes" } else { "no" };
    let pace = figures.pace.map(|pace| format!("{pace}%"));
    format!(
        "  {load:>4}  {warm:>4}  {:>4}  {:>4}  {:>8.2}  {:>6.2}  {:>4}  {:>5}",
        figures.wait_ms,
        pace.as_deref().unwrap_or("-"),
        figures.slowdown,
        figures.failure_rate,
        figures.round_trip_ms,
        figures.score_ms
    )
}

fn obstacle(obstacle: Obstacle) -> &'static str {
    match obstacle {
        Obstacle::Leaving => "leaving",
        Obstacle::Version => "version not in service",
        Obstacle::Evacuated => "data centre evacuated",
        Obstacle::RefusesConnections => "refused connections",
        Obstacle::Region => "region not allowed",
        Obstacle::Tried => "tried before",
        Obstacle::Silent => "silent",
        Obstacle::WantsNothing => "wants nothing",
        Obstacle::Limited => "limited and not this VM's turn",
        Obstacle::Cold => "cold and not this VM's to warm now",
    }
}
