//! Control process of a VM.

use control::settings::Settings;
use control::{args, run};
use std::error::Error;

#[tokio::main(worker_threads = 2)]
async fn main() -> Result<(), Box<dyn Error>> {
    let args = args::parser().run();
    let settings: Settings = base::settings::load(&args.settings)?;
    if let Some(problem) = settings.problem() {
        return Err(format!("{}: {problem}", args.settings.display()).into());
    }
    if args.check {
        return Ok(());
    }
    let _log = base::logging::start(&settings.log)?;
    let stop = base::shutdown::on_signal()?;
    run::run(settings, stop).await?;
    Ok(())
}
