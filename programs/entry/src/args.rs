//! Command line.

use bpaf::{OptionParser, Parser, construct, long};
use std::path::PathBuf;

/// Command line of a program that is configured by a settings file.
#[derive(Debug, Clone, PartialEq)]
pub struct Args {
    /// Settings file.
    pub settings: PathBuf,
    /// Whether to check the settings and exit.
    pub check: bool,
}

/// Describes the command line.
pub fn parser() -> OptionParser<Args> {
    let settings = long("settings")
        .help("YAML file with the settings")
        .argument("FILE");
    let check = long("check").help("Check the settings and exit").switch();
    construct!(Args { settings, check })
        .to_options()
        .descr("Receives requests and forwards them to backend servers")
}
