//! Explains to operators where a request would go, without sending it and without changing any
//! state.

use crate::admit;
use crate::forward::{self, Demand, ForwardError};
use crate::pipeline::Denial;
use crate::servers::{Placement, ServerCriteria};
use crate::shared::Shared;
use base::http::{Body, json, text};
use base::sync::lock;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, Uri};
use operators::explain::{Decision, Explanation, Limit, Question, Refusal, Route};
use std::time::{Duration, Instant};
use steering::affinity;
use steering::attempt;
use steering::routing::{self, Account, Table};

/// Maximum size of a question in bytes: that of the largest request head.
const MAX_QUESTION_BYTES: usize = 64 * 1024;

/// Answers an operator's question.
pub async fn handle(request: Request<Incoming>, shared: &Shared) -> Response<Body> {
    let body = Limited::new(request.into_body(), MAX_QUESTION_BYTES);
    let Ok(body) = body.collect().await else {
        return text(StatusCode::BAD_REQUEST, "the question is incomplete\n");
    };
    let question: Question = match serde_json::from_slice(&body.to_bytes()) {
        Ok(question) => question,
        Err(error) => return text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    let Ok(uri) = question.path.parse::<Uri>() else {
        return text(StatusCode::BAD_REQUEST, "the path is not valid\n");
    };
    let explanation = explain(&question, &uri, shared, Instant::now());
    json(StatusCode::OK, &explanation)
}

fn explain(question: &Question, uri: &Uri, shared: &Shared, now: Instant) -> Explanation {
    let mut explanation = Explanation {
        vm: shared.settings.vm.clone(),
        ..Explanation::default()
    };
    let Some(table) = shared.table() else {
        let reason = attempt::Refusal::NoServer;
        explanation.refusal = Some(refusal(reason, None, Duration::MAX));
        return explanation;
    };
    let Ok(route) = table.route(&question.host, uri.path()) else {
        let reason = attempt::Refusal::NoRoute;
        explanation.refusal = Some(refusal(reason, None, Duration::MAX));
        return explanation;
    };
    explanation.route = Some(Route {
        name: route.name.clone(),
        host: route.host.clone(),
        prefix: route.prefix.clone(),
        idempotent: route.idempotent,
        objective_ms: millis(route.objective),
        timeout_ms: millis(route.timeout),
    });
    let time_left = route.timeout;
    let account = match account(question, &table, route) {
        Ok(account) => account,
        Err(reason) => {
            explanation.refusal = Some(refusal(reason, None, time_left));
            None
        }
    };
    let object = question.object.as_deref().map(affinity::digest);
    let digest = admit::head_digest(route, account, &question.method, uri, object);
    if lock(&shared.crashes).is_refused(digest, now) {
        let reason = attempt::Refusal::Quarantined;
        let own = || refusal(reason, None, time_left);
        explanation.refusal.get_or_insert_with(own);
    }
    if !shared.admits(now + time_left) {
        let reason = attempt::Refusal::Stopping;
        let own = || refusal(reason, Some(admit::STOPPING_RETRY_AFTER), time_left);
        explanation.refusal.get_or_insert_with(own);
    }
    if let Some((account, rate)) = account.and_then(|account| Some((account, account.rate?))) {
        let limit = admit::limit(account, rate);
        let reach = shared.coverage(now);
        let preview = lock(&shared.ledger).preview(&account.name, &limit, &reach, now);
        if let Some(wait) = preview.wait {
            let reason = attempt::Refusal::RateLimited;
            let own = || refusal(reason, Some(wait), time_left);
            explanation.refusal.get_or_insert_with(own);
        }
        explanation.limit = Some(Limit {
            workspace: account.name.clone(),
            rate,
            burst: limit.burst,
            is_admitted: preview.wait.is_none(),
            fleet_tokens: preview.fleet_tokens,
            local_tokens: preview.local_tokens,
            share: preview.share,
        });
    }
    let decisions = route.parts.iter().map(|part| {
        let demand = Demand {
            route,
            account,
            service: &part.service,
            object,
            time_left,
        };
        Decision {
            weight: part.weight,
            ..decision(&demand, shared, now)
        }
    });
    explanation.decisions = decisions.collect();
    explanation
}

/// Returns the workspace that the request counts to.
fn account<'a>(
    question: &Question,
    table: &'a Table,
    route: &routing::Route,
) -> Result<Option<&'a Account>, attempt::Refusal> {
    let accounts = &table.configuration().accounts;
    if route.open || accounts.is_empty() {
        return Ok(None);
    }
    let is_named = |account: &&Account| question.workspace.as_ref() == Some(&account.name);
    let account = accounts.iter().find(is_named);
    account.map(Some).ok_or(attempt::Refusal::Unauthorised)
}

/// Explains the choice among the servers of one service.
fn decision(demand: &Demand<'_>, shared: &Shared, now: Instant) -> Decision {
    let Some(servers) = shared.services.server_set(demand.service) else {
        return Decision {
            service: demand.service.into(),
            priority: demand.priority(),
            refusal: Some(refusal(attempt::Refusal::NoServer, None, demand.time_left)),
            ..Decision::default()
        };
    };
    let workspace = demand.account.map_or("", |account| &account.name);
    let explain = |criteria: &ServerCriteria<'_>| {
        let is_allowed_in = |region: &str| demand.is_allowed_in(region);
        servers.explain(criteria, workspace, is_allowed_in, &shared.parts(now), now)
    };
    let is_placed =
        |(_, placement): &(_, Placement<()>)| matches!(placement, Placement::Server(()));
    let (mut decision, placement) =
        forward::place_by_version(demand, shared, &servers, &[], explain, is_placed);
    let is_thinned = decision.thinning.as_ref().is_some_and(|t| !t.is_admitted);
    let placed = match is_thinned {
        true => Err((attempt::Refusal::Overloaded, Some(Duration::ZERO))),
        false => forward::placed_or_refused(placement, now),
    };
    if let Err((reason, wait)) = placed {
        let wait = match reason {
            attempt::Refusal::Overloaded => {
                wait.map(|wait| servers.retry_after(wait, demand.time_left))
            }
            _ => wait,
        };
        decision.choice = None;
        decision.refusal = Some(refusal(reason, wait, demand.time_left));
    }
    decision.service = demand.service.into();
    decision
}

/// Returns what a caller would be told.
fn refusal(
    reason: attempt::Refusal,
    retry_after: Option<Duration>,
    time_left: Duration,
) -> Refusal {
    let error = ForwardError::from(admit::Rejection {
        reason,
        retry_after,
    });
    let denial = Denial::new(&error, time_left);
    Refusal {
        status: denial.status.as_u16(),
        reason: denial.reason.into(),
        retry_ms: denial.retry_after.map(millis),
    }
}

/// Returns a time in whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
