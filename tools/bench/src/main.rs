//! Load generator, experiments in simulated time and capacity measurements.

use bench::args::{self, Command};
use bench::topology::Deployment;
use bench::{experiment, load, topology};
use std::error::Error;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error + Send + Sync>> {
    match args::parser().run() {
        Command::Topology {
            deployment,
            directory,
            port,
            nodes,
        } => {
            let nodes = nodes.unwrap_or(deployment.nodes);
            topology::write(
                Deployment {
                    nodes,
                    ..deployment
                },
                &directory,
                port,
            )?;
        }
        Command::Load(load) => {
            println!("{}", serde_json::to_string_pretty(&load::run(load).await?)?);
        }
        Command::Capacity { name } => {
            print!("{}", bench::capacity::report(&name).map_err(String::from)?);
        }
        Command::Matrix => print!("{}", bench::matrix::report()),
        Command::Experiment { name } => {
            println!("{}", experiment::report(&name).map_err(String::from)?);
        }
    }
    Ok(())
}
