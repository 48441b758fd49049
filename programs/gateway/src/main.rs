//! Gateway: the whole path of a request in one process, for VMs of the platform.

use base::program;
use gateway::run;
use gateway::settings::Settings;
use std::error::Error;

/// Purpose of the program, shown by `--help`.
const DESCRIPTION: &str =
    "Receives, authorises, limits and forwards requests, and answers look-ups";

// One thread: a VM has a fifth of a core, and passing work between threads costs a wake-up.
#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn Error>> {
    if let Some(start) = program::start::<Settings>(DESCRIPTION)? {
        run::run(start.settings, start.file, start.stop).await?;
    }
    Ok(())
}
