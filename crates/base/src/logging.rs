//! Log setup: one line per record, prefixed with the crate that logs it.

mod bounded;

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;
use std::io::Write;

/// Starts logging to standard error.
///
/// `level` is a flexi_logger specification such as `info` or `info, entry=debug`.
///
/// # Errors
///
/// Fails if the specification does not parse or a logger is already set.
pub fn start(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(level)?
        .format(line)
        .log_to_stderr()
        .start()
}

/// Starts logging to standard output through a bounded queue, so that a full pipe never blocks.
///
/// # Errors
///
/// Fails as [`start`] does.
pub fn start_bounded(level: &str) -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_str(level)?
        .log_to_writer(Box::new(bounded::Queue::start()))
        .start()
}

/// Writes `TIME LEVEL [crate] message`; the crate is the first segment of the module path.
fn line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
    let part = record.target().split("::").next().unwrap_or("?");
    write!(
        out,
        "{} {:<5} [{part}] {}",
        now.format("%Y-%m-%dT%H:%M:%S%.3f"),
        record.level(),
        record.args()
    )
}
