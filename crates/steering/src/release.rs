//! Share, verdict and pacing of a new version.

mod evidence;
mod halt;
mod plan;
mod quota;
mod record;
mod verdict;
mod watch;

pub use evidence::{BUCKETS, Cell, EDGES, Evidence, Pair, Side};
pub use halt::{Halt, Reason};
pub use plan::{
    Answer, Hold, Input, Load, Next, Owned, Pending, Plan, Planned, SOAK_MILLIS, Settled, Stepping,
};
pub use quota::{Cap, Quota};
pub use record::{Put, Record, Refusal, State};
pub use verdict::{Settings, Test, Verdict};
pub use watch::{Beat, CONTACT, Confirmed, Watch};
