//! Starts the look-up program.

use base::program;
use lookup::run;
use lookup::settings::Settings;
use std::error::Error;

/// Purpose of the program, shown by `--help`.
const DESCRIPTION: &str = "Tells callers which entry VMs to use";

#[tokio::main(worker_threads = 4)]
async fn main() -> Result<(), Box<dyn Error>> {
    if let Some(start) = program::start::<Settings>(DESCRIPTION)? {
        run::run(start.settings, start.stop).await?;
    }
    Ok(())
}
