//! Common parts of all packages: ids, units, settings, logs, metrics, HTTP and shutdown.

pub mod clock;
pub mod derive;
pub mod http;
pub mod id;
pub mod logging;
pub mod metrics;
pub mod program;
pub mod settings;
pub mod shutdown;
pub mod sync;
pub mod unit;
