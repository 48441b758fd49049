//! Program that receives requests and forwards them to backend servers.

use base::program;
use entry::run;
use entry::settings::Settings;
use std::error::Error;

/// Description in the output of `--help`.
const DESCRIPTION: &str = "Receives requests and forwards them to backend servers";

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    if let Some(start) = program::start::<Settings>(DESCRIPTION)? {
        run::run(start.settings, start.stop).await?;
    }
    Ok(())
}
