//! Execution of commands.

use crate::args::{Args, Command};
use crate::exit::Exit;
use crate::orders::Orders;
use crate::{diff, explanation, files, output};
use adapter::store;
use base::http::client::Target;
use operators::admin::{
    Client, Drain, Error, Halt, Issue, Proposal, Rotate, Stage, Status, Undrain, Verdict, Withdraw,
};
use operators::bundle::{Bundle, Files};
use operators::{explain, gateway};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// Longest time for one call of the administration API.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval of status calls while a publication takes effect.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the command and prints its result.
pub async fn run(args: Args) -> Exit {
    let client = Client::new(Target {
        address: args.admin,
        timeout: CALL_TIMEOUT,
        authorization: Some(format!("Bearer {}", args.token).into()),
    });
    let session = Session {
        client,
        gateway: args.gateway,
        json: args.json,
    };
    session.run(args.command).await.unwrap_or_else(|error| {
        eprintln!("cardamomctl: {error}");
        Exit::Failed
    })
}

struct Session {
    client: Client,
    gateway: Option<SocketAddr>,
    json: bool,
}

impl Session {
    /// Returns the gateway that was named; complains if none was.
    fn named_gateway(&self) -> Option<Target> {
        let gateway = self.gateway.map(target);
        if gateway.is_none() {
            eprintln!("cardamomctl: name a gateway with --gateway");
        }
        gateway
    }

    async fn run(&self, command: Command) -> Result<Exit, Error> {
        match command {
            Command::Check { directory } => Ok(self.check(&directory)),
            Command::CheckStore { store } => Ok(self.check_store(store).await),
            Command::Diff { directory } => self.diff(&directory).await,
            Command::Publish {
                directory,
                base,
                author,
                wait,
            } => self.publish(&directory, base, author, wait).await,
            Command::Status if let Some(address) = self.gateway => {
                let state = gateway::state(&target(address)).await?;
                output::print(self.json, &state, output::state);
                Ok(Exit::Done)
            }
            Command::Status => {
                let status = self.client.status().await?;
                output::print(self.json, &status, output::status);
                Ok(Exit::Done)
            }
            Command::Explain { question } => {
                let Some(target) = self.named_gateway() else {
                    return Ok(Exit::Failed);
                };
                let explanation = explain::explain(&target, &question).await?;
                output::print(self.json, &explanation, explanation::text);
                Ok(Exit::Done)
            }
            Command::Allow { digest } => {
                let Some(target) = self.named_gateway() else {
                    return Ok(Exit::Failed);
                };
                let was_suspect = gateway::allow(&target, &digest).await?;
                output::print(self.json, &was_suspect, |was_suspect| match was_suspect {
                    true => format!("request {digest} is allowed again"),
                    false => format!("request {digest} has crashed no servers"),
                });
                Ok(Exit::Done)
            }
            Command::Issue { workspace } => {
                let issued = self.client.issue(&Issue { workspace }).await?;
                output::print(self.json, &issued, output::issued);
                Ok(Exit::Done)
            }
            Command::Rotate { id, overlap } => {
                let overlap_ms = u64::try_from(overlap.as_millis()).unwrap_or(u64::MAX);
                let issued = self.client.rotate(&Rotate { id, overlap_ms }).await?;
                output::print(self.json, &issued, output::issued);
                Ok(Exit::Done)
            }
            Command::Withdraw { id } => {
                let done = self.client.withdraw(&Withdraw { id }).await?;
                Ok(self.done(&done))
            }
            Command::Drain { servers } => {
                let drained = self.client.drain(&Drain { servers }).await?;
                output::print(self.json, &drained, |d| {
                    format!("accepted as drain {}", d.id)
                });
                Ok(Exit::Done)
            }
            Command::Undrain { id } => {
                let done = self.client.undrain(&Undrain { id }).await?;
                Ok(self.done(&done))
            }
            Command::Halt { release, reason } => {
                let done = self.client.halt(&Halt { release, reason }).await?;
                Ok(self.done(&done))
            }
        }
    }

    fn done(&self, done: &operators::admin::Done) -> Exit {
        output::print(self.json, done, |done| {
            let note = match done {
                _ if done.durable => "recorded",
                _ if done.shared => "not recorded by the store yet, but on a further VM",
                _ => "neither recorded by the store nor on a further VM yet",
            };
            format!("in force on this VM and spreading; {note}")
        });
        Exit::Done
    }

    fn check(&self, directory: &Path) -> Exit {
        let Some(files) = read(directory) else {
            return Exit::Failed;
        };
        match Bundle::parse(&files) {
            Ok(_) => {
                output::print(self.json, &files.len(), |count| {
                    format!("{count} files are valid")
                });
                Exit::Done
            }
            Err(findings) => {
                output::print(self.json, &findings, |f| output::findings(f));
                Exit::Refused
            }
        }
    }

    /// Checks the orders in the store of the users' platform.
    async fn check_store(&self, store: SocketAddr) -> Exit {
        let rows = match store::Client::new(store).rows(store::OPERATIONS).await {
            Ok(rows) => rows,
            Err(error) => {
                eprintln!("cardamomctl: {error}");
                return Exit::Failed;
            }
        };
        let orders = Orders::of(&rows.rows);
        output::print(self.json, &orders, output::orders);
        match orders.unreadable.is_empty() {
            true => Exit::Done,
            false => Exit::Refused,
        }
    }

    async fn diff(&self, directory: &Path) -> Result<Exit, Error> {
        let Some(files) = read(directory) else {
            return Ok(Exit::Failed);
        };
        let config = self.client.config().await?;
        let changes = diff::changes(&config.files, &files);
        output::print(self.json, &changes, |changes| {
            let against = format!("against version {}", config.version);
            if changes.is_empty() {
                format!("no change {against}")
            } else {
                format!(
                    "{against}, publish with --base {0}\n{1}",
                    config.version,
                    output::changes(changes)
                )
            }
        });
        Ok(Exit::Done)
    }

    async fn publish(
        &self,
        directory: &Path,
        base: Option<u64>,
        author: Box<str>,
        wait: Duration,
    ) -> Result<Exit, Error> {
        let Some(files) = read(directory) else {
            return Ok(Exit::Failed);
        };
        let base = match base {
            Some(base) => base,
            None => self.client.config().await?.version,
        };
        let verdict = self
            .client
            .publish(&Proposal {
                base,
                author,
                files,
            })
            .await?;
        output::print(self.json, &verdict, output::verdict);
        match verdict {
            Verdict::Accepted { version } => self.await_version(version, wait).await,
            Verdict::Conflict { .. } => Ok(Exit::Conflict),
            Verdict::Refused { .. } => Ok(Exit::Refused),
            Verdict::Unavailable { .. } | Verdict::Unknown { .. } => Ok(Exit::Failed),
        }
    }

    /// Waits until the version is in force on all listed VMs.
    async fn await_version(&self, version: u64, wait: Duration) -> Result<Exit, Error> {
        let deadline = Instant::now() + wait;
        loop {
            let status = self.client.status().await?;
            if in_force(&status, version) {
                output::print(self.json, &status, output::status);
                return Ok(Exit::Done);
            }
            if Instant::now() >= deadline {
                output::print(self.json, &status, output::status);
                return Ok(Exit::Incomplete);
            }
            tokio::time::sleep(STATUS_INTERVAL).await;
        }
    }
}

/// Returns the target of calls to a gateway.
fn target(address: SocketAddr) -> Target {
    Target {
        address,
        timeout: CALL_TIMEOUT,
        authorization: None,
    }
}

fn in_force(status: &Status, version: u64) -> bool {
    status.version >= version && status.stage == Stage::Done
}

fn read(directory: &Path) -> Option<Files> {
    files::read(directory)
        .inspect_err(|error| eprintln!("cardamomctl: {}: {error}", directory.display()))
        .ok()
}
