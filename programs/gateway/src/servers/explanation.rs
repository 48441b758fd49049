//! Explanation of the choice of a server; changes no state.

use super::Parts;
use super::server::Server;
use super::server_set::{Placement, ServerCriteria, ServerSet, State};
use super::survey::{Selected, Survey};
use crate::explain::millis;
use base::sync::lock;
use indexmap::IndexMap;
use operators::explain::{Candidate, Choice, Decision, Figures, Obstacle, Thinning};
use std::time::{Duration, Instant};
use steering::placement::ColdPolicy;

/// Maximum number of servers in an explanation.
const MAX_CANDIDATES: usize = 20;

impl ServerSet {
    /// Returns where a request of a workspace would go, as [`ServerSet::admit`] and
    /// [`ServerSet::place`] decide.
    pub fn explain(
        &self,
        criteria: &ServerCriteria<'_>,
        workspace: &str,
        is_allowed_in: impl Fn(&str) -> bool,
        parts: &impl Parts,
        now: Instant,
    ) -> (Decision, Placement<()>) {
        let state = lock(&self.state);
        // The request counts as offered only in this copy.
        let mut admission = state.admission.clone();
        let thinning = admission.as_mut().map(|admission| {
            let is_admitted = admission.admit(criteria.priority, workspace, now);
            let shares = admission.shares(now).0;
            let own = shares
                .iter()
                .find(|(other, ..)| *other == criteria.priority);
            Thinning {
                share: own.map_or(1.0, |(_, admitted, _)| *admitted),
                is_admitted,
            }
        });
        let survey = self.survey(
            &state,
            admission.as_ref(),
            criteria,
            is_allowed_in,
            parts,
            now,
        );
        let (choice, placement) = match survey.choose(criteria.sample) {
            Placement::Server(Selected { index, time, .. }) => {
                let server = &state.servers[survey.servers[index]].registration.server;
                let choice = Choice {
                    server: server.clone(),
                    expected_ms: millis(time),
                };
                (Some(choice), Placement::Server(()))
            }
            Placement::Late(excess) => (None, Placement::Late(excess)),
            Placement::Rejected(first) => (None, Placement::Rejected(first)),
            Placement::NoServer => (None, Placement::NoServer),
        };
        let mut candidates = candidates(&state, &survey, now);
        let mut unusable: IndexMap<Obstacle, usize> = IndexMap::new();
        for obstacle in candidates.iter().filter_map(|server| server.obstacle) {
            *unusable.entry(obstacle).or_default() += 1;
        }
        let omitted = candidates.len().saturating_sub(MAX_CANDIDATES);
        candidates.truncate(MAX_CANDIDATES);
        let demand = &survey.demand;
        let decision = Decision {
            priority: criteria.priority,
            thinning,
            estimate: Some(demand.estimate.as_str().into()),
            warm_ms: millis(survey.service_time.warm),
            cold_ms: millis(survey.service_time.cold),
            limit_ms: millis(survey.time_limit()),
            max_wait_ms: demand.terms.max_wait.map(millis),
            is_warm_only: demand.terms.cold == ColdPolicy::IfNoneIsWarm,
            overload: demand.overload,
            candidates,
            omitted,
            unusable,
            choice,
            ..Decision::default()
        };
        (decision, placement)
    }
}

/// Returns all servers, the usable ones first and by score.
fn candidates(state: &State, survey: &Survey, now: Instant) -> Vec<Candidate> {
    let candidate = |index: usize, obstacle, figures| {
        let server: &Server = &state.servers[index];
        let registration = &server.registration;
        Candidate {
            server: registration.server.clone(),
            data_centre: registration.data_centre.clone(),
            region: server.region.clone(),
            label: registration.label.clone(),
            obstacle,
            figures,
        }
    };
    let mut order: Vec<(usize, Duration)> = survey.scores().into_iter().enumerate().collect();
    order.sort_by_key(|(row, score)| (survey.obstacles[*row].is_some(), *score));
    let compared = order.into_iter().map(|(row, score)| {
        let index = survey.servers[row];
        let figures = figures(survey, row, &state.servers[index], score, now);
        candidate(index, survey.obstacles[row], Some(figures))
    });
    let excluded = survey.excluded.iter();
    let excluded = excluded.map(|(index, obstacle)| candidate(*index, Some(*obstacle), None));
    compared.chain(excluded).collect()
}

fn figures(survey: &Survey, row: usize, server: &Server, score: Duration, now: Instant) -> Figures {
    let candidate = &survey.candidates[row];
    let wait = candidate.queue_wait(&survey.service_time, survey.demand.estimate);
    let pace = server.backlog.stated_pace(now);
    Figures {
        slots: candidate.slots,
        load: candidate.load,
        warm: candidate.warm,
        wait_ms: millis(wait),
        pace: pace.map(|(pace, _)| pace.percent),
        slowdown: candidate.slowdown,
        failure_rate: candidate.failure_rate,
        round_trip_ms: millis(candidate.round_trip),
        score_ms: millis(score),
    }
}
