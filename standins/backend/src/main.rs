//! Starts the stand-in for a backend server.

use standin_backend::{args, server};
use std::error::Error;
use tokio::net::TcpListener;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let args = args::parser().run();
    let _log = base::logging::start("info")?;
    let listener = TcpListener::bind(args.listen).await?;
    let stop = base::shutdown::on_signal(base::shutdown::SecondSignal::EndsAtOnce)?;
    log::info!("server {} listening on {}", args.name, args.listen);
    server::run(listener, args, stop).await;
    Ok(())
}
