//! Release of a new version in steps: share of requests, verdict and pacing.

mod evidence;
mod halt;
mod monitor;
mod plan;
mod quota;
mod record;
mod verdict;

pub use evidence::{
    Evidence, LATENCY_BUCKETS, LATENCY_EDGES_MS, RequestCounts, Side, VersionCounts,
};
pub use halt::{HaltSet, Reason};
pub use monitor::{CONTACT_TIMEOUT, Confirmations, Heartbeat, Monitor};
pub use plan::{
    Decision, DecisionInput, Load, OwnedRelease, PendingWrite, Plan, Planned, RowReply,
    SOAK_MILLIS, Stepping, WaitReason, WriteOutcome,
};
pub use quota::{Cap, Quota};
pub use record::{Put, Record, Refusal, State};
pub use verdict::{SequentialTest, Settings, Verdict};
