//! Starts the stand-in for the platform.

use platform::list::List;
use standin_platform::{args, server};
use std::error::Error;
use tokio::net::TcpListener;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args = args::parser().run();
    let _log = base::logging::start("info")?;
    let list: List = base::settings::load(&args.list)?;
    let listener = TcpListener::bind(args.listen).await?;
    let stop = base::shutdown::on_signal(base::shutdown::SecondSignal::EndsAtOnce)?;
    log::info!("listening on {}", args.listen);
    server::run(listener, list, stop).await;
    Ok(())
}
