//! Startup of a program that is configured by a settings file.

use crate::shutdown::{self, SecondSignal};
use crate::{logging, settings};
use bpaf::{OptionParser, Parser, construct, long};
use flexi_logger::LoggerHandle;
use serde::de::DeserializeOwned;
use std::error::Error;
use std::path::PathBuf;
use tokio_util::sync::CancellationToken;

/// Settings of a program.
pub trait Settings: DeserializeOwned {
    /// Returns the first error in the settings, if there is one.
    fn problem(&self) -> Option<&'static str>;

    /// Returns the log specification.
    fn log(&self) -> &str;

    /// Returns whether logs go to standard output through a bounded queue.
    fn has_bounded_log(&self) -> bool {
        false
    }

    /// Returns the effect of a second stop signal.
    fn second_signal(&self) -> SecondSignal {
        SecondSignal::EndsAtOnce
    }
}

/// Context of a started program; logging ends when it is dropped.
pub struct Start<S> {
    /// Validated settings.
    pub settings: S,
    /// File that the settings were read from.
    pub file: PathBuf,
    /// Cancelled when the process receives a stop signal.
    pub stop: CancellationToken,
    _log: LoggerHandle,
}

/// Command line of the program.
#[derive(Debug, Clone, PartialEq)]
struct Args {
    settings: PathBuf,
    check: bool,
}

fn parser(description: &'static str) -> OptionParser<Args> {
    let settings = long("settings")
        .help("YAML file with the settings")
        .argument("FILE");
    let check = long("check").help("Check the settings and exit").switch();
    construct!(Args { settings, check })
        .to_options()
        .descr(description)
}

/// Reads the command line and the settings, and starts logging and signal handling.
///
/// Returns none if the command line asks only for a check of the settings.
///
/// # Errors
///
/// Fails if the settings are not valid or logging can't be started.
pub fn start<S: Settings>(description: &'static str) -> Result<Option<Start<S>>, Box<dyn Error>> {
    let args = parser(description).run();
    let settings: S = settings::load(&args.settings)?;
    if let Some(problem) = settings.problem() {
        return Err(format!("{}: {problem}", args.settings.display()).into());
    }
    if args.check {
        return Ok(None);
    }
    let _log = match settings.has_bounded_log() {
        true => logging::start_bounded(settings.log())?,
        false => logging::start(settings.log())?,
    };
    let stop = shutdown::on_signal(settings.second_signal())?;
    Ok(Some(Start {
        settings,
        file: args.settings,
        stop,
        _log,
    }))
}
