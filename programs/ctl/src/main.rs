//! Operators' command line.

use cardamomctl::{args, run};
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    run::run(args::parser().run()).await.into()
}
