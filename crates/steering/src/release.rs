//! Share, verdict and pacing of a new version.

mod evidence;
mod halt;
mod plan;
mod quota;
mod verdict;

pub use evidence::{BUCKETS, Cell, EDGES, Evidence, Pair, Side};
pub use halt::{Halt, Reason};
pub use plan::{
    Answer, Hold, Input, Load, Next, Owned, Pending, Plan, Planned, Put, Record, Refusal, Settled,
    State, Stepping,
};
pub use quota::{Cap, Quota};
pub use verdict::{Settings, Test, Verdict};
