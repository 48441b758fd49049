//! At-most-once execution of requests on non-idempotent routes.

mod table;

use crate::authorise::Grant;
use crate::metrics::Metrics;
use crate::receive::Call;
use crate::settings::Settings;
use crate::snapshot::Snapshot;
use base::http::client::Target;
use base::id::{Incarnation, Request, Vm, Workspace};
use callers::{header, outcome};
use peers::link::Links;
use peers::share::{Answer, Question, ShareClient};
use peers::wire::Frame;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use steering::attempt::{Attempt, Outcome, Refusal, Uncertainty};
use steering::claims::{self, Claim, Id, Register};
use table::ClaimTable;

/// Longest wait for the VM that a request id names.
const ASK_TIMEOUT: Duration = Duration::from_secs(1);

/// Claims of this VM's incarnation, and the ways to those of others.
#[derive(Debug)]
pub struct Claims {
    register: Arc<Register>,
    rows: ClaimTable,
    links: Links<ShareClient>,
    retention: Duration,
    metrics: Arc<Metrics>,
}

/// The claim of one request; records an outcome when it is dropped.
#[derive(Debug)]
pub struct ClaimGuard {
    claim: Option<(Arc<Register>, Workspace, Request)>,
    sent: AtomicBool,
}

impl Claims {
    /// Starts without claims.
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
            rows: ClaimTable::new(platform),
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
        if grant.path.idempotent || !call.named {
            return Ok(ClaimGuard::none());
        }
        let workspace = grant.workspace.clone().unwrap_or_default();
        // Only the named VM itself knows for certain whether the incarnation is still its own.
        let listed = |vm: &str| snapshot.nodes().iter().any(|node| *node.name == *vm);
        let named = |vm: &str| Id::parse(&call.id).filter(|_| listed(vm));
        let run = |vm: &str| named(vm).map(|id| id.incarnation);
        let claim = self.register.claim(&workspace, &call.id, run, seconds());
        match claim {
            Claim::Run => Ok(ClaimGuard {
                claim: Some((self.register.clone(), workspace, call.id.clone())),
                sent: AtomicBool::new(false),
            }),
            Claim::Known(outcome) => Err(outcome),
            Claim::Query(vm) => Err(self.ask(&vm, workspace, call, snapshot).await),
            Claim::Table => self.table(&workspace, call).await,
        }
    }

    async fn ask(
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
        let limit = ASK_TIMEOUT.min(call.deadline.saturating_duration_since(Instant::now()));
        let ask =
            |client: ShareClient, context| async move { client.claim(context, question).await };
        match self.links.call(node.share, limit, ask).await {
            Ok(frame) => match frame.open() {
                Ok(Some(answer)) => {
                    parse_outcome(&answer.outcome, &answer.reason).unwrap_or(unreachable)
                }
                _ => unreachable,
            },
            Err(error) => {
                log::debug!("request {}: vm {vm} can't be asked: {error}", call.id);
                unreachable
            }
        }
    }

    async fn table(&self, workspace: &str, call: &Call) -> Result<ClaimGuard, Outcome> {
        let resend = call.headers.contains_key(header::RESEND);
        let expires = seconds() + self.retention.as_secs();
        let claimed = self.rows.claim(workspace, &call.id, expires, resend);
        match tokio::time::timeout_at(call.deadline.into(), claimed).await {
            Ok(Ok(())) => Ok(ClaimGuard::none()),
            Ok(Err(outcome)) => Err(outcome),
            Err(_) if resend => Err(Outcome::Unknown(Uncertainty::ClaimsUnavailable)),
            Err(_) => Err(Attempt::new(false).refuse(Refusal::DeadlinePassed)),
        }
    }

    /// Answers another VM's question about an id of this incarnation.
    pub fn settle(&self, question: &Question) -> Answer {
        let Question { workspace, request } = question;
        let settled = self.register.settle(workspace, request, seconds());
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

    /// Records the outcome.
    pub fn record_outcome(&mut self, outcome: &Outcome) {
        if let Some((register, workspace, request)) = self.claim.take() {
            register.finish(&workspace, &request, outcome);
        }
    }
}

/// The caller left, or its connection ended, before the outcome was known.
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

/// Reads an outcome as another VM told it.
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

fn seconds() -> u64 {
    base::clock::unix_millis() / 1000
}
