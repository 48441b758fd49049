//! Share, verdict and pacing of a new version.

mod evidence;
mod halt;
mod plan;
mod quota;
mod record;
mod verdict;
mod watch;

pub use evidence::{
    Evidence, LATENCY_BUCKETS, LATENCY_EDGES_MS, RequestCounts, Side, VersionCounts,
};
pub use halt::{HaltSet, Reason};
pub use plan::{
    Decision, DecisionInput, Load, OwnedRelease, PendingWrite, Plan, Planned, RowReply,
    SOAK_MILLIS, Stepping, WaitReason, WriteOutcome,
};
pub use quota::{Cap, Quota};
pub use record::{Put, Record, Refusal, State};
pub use verdict::{SequentialTest, Settings, Verdict};
pub use watch::{CONTACT_TIMEOUT, Confirmations, Heartbeat, Monitor};
