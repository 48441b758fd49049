//! At-most-once execution of requests on non-idempotent routes.

mod table;

use crate::authorise::Grant;
use crate::metrics::Metrics;
use crate::receive::Call;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use base::http::client::Target;
use base::id::{Incarnation, Request, Vm, Workspace};
use callers::outcome;
use peers::link::Links;
use peers::share::{Answer, Question, ShareClient};
use peers::wire::Frame;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use steering::attempt::{Attempt, Outcome, Refusal, Uncertainty};
use steering::claims::{self, Claim, Id, Register};
use table::ClaimTable;

/// Longest wait for the answer of the VM that a request id names.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);

/// Claims of this VM's incarnation, and connections to the VMs and the table that hold others.
#[derive(Debug)]
pub struct Claims {
    register: Arc<Register>,
    table: ClaimTable,
    links: Links<ShareClient>,
    retention: Duration,
    metrics: Arc<Metrics>,
}

/// The claim of one request; records the outcome of a cancelled request when it is dropped.
#[derive(Debug)]
pub struct ClaimGuard {
    claim: Option<(Arc<Register>, Workspace, Request)>,
    sent: AtomicBool,
}

impl Claims {
    /// Creates an empty register of claims.
    pub fn new(settings: &Settings, incarnation: Incarnation, metrics: Arc<Metrics>) -> Self {
        let bounds = claims::Settings::default();
        let retention = bounds.retention;
        let platform = platform::Client::new(Target {
            address: settings.platform,
            timeout: settings.platform_timeout.0,
            authorization: None,
        });
        Self {
            register: Arc::new(Register::new(settings.vm.clone(), incarnation, bounds)),
            table: ClaimTable::new(platform),
            links: Links::default(),
            retention,
            metrics,
        }
    }

    /// Claims the request's id, unless its route is idempotent or the caller gave no id.
    ///
    /// # Errors
    ///
    /// Returns the outcome if the request must not run.
    pub async fn claim(
        &self,
        call: &Call,
        grant: &Grant<'_>,
        snapshot: &Snapshot,
    ) -> Result<ClaimGuard, Outcome> {
        if grant.route.idempotent || !call.has_caller_id {
            return Ok(ClaimGuard::none());
        }
        let workspace = grant.workspace.clone().unwrap_or_default();
        // Only the VM that the id names knows for certain whether it still runs that incarnation.
        let is_listed = |vm: &str| snapshot.nodes().iter().any(|node| *node.name == *vm);
        let parse_id = |vm: &str| Id::parse(&call.id).filter(|_| is_listed(vm));
        let incarnation_of = |vm: &str| parse_id(vm).map(|id| id.incarnation);
        let claim = self
            .register
            .claim(&workspace, &call.id, incarnation_of, unix_seconds());
        match claim {
            Claim::Run => Ok(ClaimGuard {
                claim: Some((self.register.clone(), workspace, call.id.clone())),
                sent: AtomicBool::new(false),
            }),
            Claim::Known(outcome) => Err(outcome),
            Claim::Query(vm) => Err(self.query_vm(&vm, workspace, call, snapshot).await),
            Claim::Table => self.claim_in_table(&workspace, call).await,
        }
    }

    async fn query_vm(
        &self,
        vm: &Vm,
        workspace: Workspace,
        call: &Call,
        snapshot: &Snapshot,
    ) -> Outcome {
        let unreachable = Outcome::Unknown(Uncertainty::VmUnreachable);
        let Some(node) = snapshot.nodes().iter().find(|node| node.name == *vm) else {
            return unreachable;
        };
        self.metrics.record_claim_query();
        let question = Frame::new(Question {
            workspace,
            request: call.id.clone(),
        });
        let limit = QUERY_TIMEOUT.min(call.deadline.saturating_duration_since(Instant::now()));
        let query =
            |client: ShareClient, context| async move { client.claim(context, question).await };
        match self.links.call(node.share, limit, query).await {
            Ok(frame) => match frame.open() {
                Ok(Some(answer)) => {
                    parse_outcome(&answer.outcome, &answer.reason).unwrap_or(unreachable)
                }
                _ => unreachable,
            },
            Err(error) => {
                log::debug!("request {}: query to vm {vm} failed: {error}", call.id);
                unreachable
            }
        }
    }

    async fn claim_in_table(&self, workspace: &str, call: &Call) -> Result<ClaimGuard, Outcome> {
        let resend = call.is_resend;
        let expires = unix_seconds() + self.retention.as_secs();
        let claimed = self.table.claim(workspace, &call.id, expires, resend);
        match tokio::time::timeout_at(call.deadline.into(), claimed).await {
            Ok(Ok(())) => Ok(ClaimGuard::none()),
            Ok(Err(outcome)) => Err(outcome),
            Err(_) if resend => Err(Outcome::Unknown(Uncertainty::ClaimsUnavailable)),
            Err(_) => Err(Attempt::new(false).refuse(Refusal::DeadlinePassed)),
        }
    }

    /// Answers another VM's query about an id of this incarnation.
    pub fn settle(&self, question: &Question) -> Answer {
        let Question { workspace, request } = question;
        let settled = self.register.settle(workspace, request, unix_seconds());
        Answer {
            outcome: outcome::name(&settled).into(),
            reason: outcome::reason(&settled).unwrap_or_default().into(),
        }
    }
}

impl ClaimGuard {
    fn none() -> Self {
        Self {
            claim: None,
            sent: AtomicBool::new(false),
        }
    }

    /// Records whether a backend server may run the request from now on.
    pub fn record_sent(&self, sent: bool) {
        self.sent.store(sent, Ordering::Release);
    }

    /// Records the outcome of the request.
    pub fn record_outcome(&mut self, outcome: &Outcome) {
        if let Some((register, workspace, request)) = self.claim.take() {
            register.finish(&workspace, &request, outcome);
        }
    }
}

/// Records a cancelled request: the caller left, or its connection ended, before the outcome was
/// known.
impl Drop for ClaimGuard {
    fn drop(&mut self) {
        let outcome = if self.sent.load(Ordering::Acquire) {
            Outcome::Unknown(Uncertainty::Cancelled)
        } else {
            Attempt::new(false).refuse(Refusal::Cancelled)
        };
        self.record_outcome(&outcome);
    }
}

/// Parses an outcome and its reason as another VM reported them.
pub fn parse_outcome(outcome: &str, reason: &str) -> Option<Outcome> {
    match outcome {
        outcome::SERVED => Some(Outcome::ServedBefore),
        outcome::NOT_RUN => Refusal::ALL
            .iter()
            .find(|known| known.as_str() == reason)
            .map(|known| Attempt::new(false).refuse(*known)),
        outcome::UNKNOWN => Uncertainty::ALL
            .iter()
            .find(|known| known.as_str() == reason)
            .map(|known| Outcome::Unknown(*known)),
        _ => None,
    }
}

fn unix_seconds() -> u64 {
    base::clock::unix_millis() / 1000
}
