//! Control process of a VM.

use base::program;
use control::run;
use control::settings::Settings;
use std::error::Error;

/// Purpose of the program, shown by `--help`.
const DESCRIPTION: &str =
    "Control process of a VM: configuration, keys, membership, releases and drains";

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<(), Box<dyn Error>> {
    if let Some(start) = program::start::<Settings>(DESCRIPTION)? {
        run::run(start.settings, start.stop).await?;
    }
    Ok(())
}
