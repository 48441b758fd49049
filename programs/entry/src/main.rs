//! Entry of the system.

use entry::settings::Settings;
use entry::{args, run};
use std::error::Error;

#[tokio::main]
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
