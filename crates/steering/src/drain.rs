//! Drains of backend servers, and the shutdown of a VM's own process.

mod deadlines;
mod fleet;
mod leaving;
mod plan;
mod stop;

pub use deadlines::{LOG_FLUSH_TIME, StopDeadlines};
pub use fleet::{Fleet, Refusal, Rollout, ServerSpec};
pub use leaving::LeavingServers;
pub use plan::{Plan, Progress, Report, Settings, Target};
pub use stop::{AwaitingCacheExpiry, Finished, Refusing, Stop, StopTimes, Withdrawing};
