//! Order of steps in a drain and in a VM's own stop.

mod fleet;
mod grace;
mod leaving;
mod plan;
mod stop;

pub use fleet::{Fleet, Refusal, Rollout, Spec};
pub use grace::{Grace, LOG_TIME};
pub use leaving::Leaving;
pub use plan::{Plan, Progress, Report, Settings, Target};
pub use stop::{Cached, Finished, Refusing, Stop, Times, Withdrawing};
