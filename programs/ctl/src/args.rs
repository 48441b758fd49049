//! Command line of the operators' program.

use base::unit::Span;
use bpaf::{OptionParser, Parser, construct, long, positional};
use operators::explain::Question;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Command line of the operators' program.
#[derive(Debug, Clone, PartialEq)]
pub struct Args {
    /// Address of the administration API of any VM.
    pub admin: SocketAddr,
    /// Credential of the administration API.
    pub token: Box<str>,
    /// Address at which a gateway answers, on the users' platform.
    pub gateway: Option<SocketAddr>,
    /// Whether to print JSON.
    pub json: bool,
    /// Command to run.
    pub command: Command,
}

/// Command to run.
#[derive(Debug, Clone, PartialEq)]
pub enum Command {
    /// Checks steering files without any VM.
    Check {
        /// Directory of the files.
        directory: PathBuf,
    },
    /// Checks the orders in the store of the users' platform.
    CheckStore {
        /// Address of the store.
        store: SocketAddr,
    },
    /// Shows the differences between steering files and the configuration in force.
    Diff {
        /// Directory of the files.
        directory: PathBuf,
    },
    /// Publishes steering files against the version that was reviewed.
    Publish {
        /// Directory of the files.
        directory: PathBuf,
        /// Version that was reviewed; the one in force now if absent.
        base: Option<u64>,
        /// Author, recorded with the version.
        author: Box<str>,
        /// Longest wait until the version is in force on all VMs.
        wait: Duration,
    },
    /// Shows the state of the fleet.
    Status,
    /// Shows where a gateway would send a request.
    Explain {
        /// Request.
        question: Question,
    },
    /// Allows a request again that is refused because it crashed servers.
    Allow {
        /// Digest of the request.
        digest: Box<str>,
    },
    /// Issues a key.
    Issue {
        /// Workspace of the key.
        workspace: Box<str>,
    },
    /// Replaces a key by a new one.
    Rotate {
        /// Id of the key.
        id: Box<str>,
        /// Time for which both keys are accepted.
        overlap: Duration,
    },
    /// Withdraws a key.
    Withdraw {
        /// Id of the key.
        id: Box<str>,
    },
    /// Ends a drain.
    Undrain {
        /// Id of the drain.
        id: Box<str>,
    },
    /// Drains backend servers.
    Drain {
        /// Names of servers and data centres.
        servers: Vec<Box<str>>,
    },
    /// Halts a release permanently.
    Halt {
        /// Id of the release.
        release: Box<str>,
        /// Reason, recorded with the halt.
        reason: Box<str>,
    },
}

/// Default of the longest wait until a version is in force on all VMs.
const DEFAULT_WAIT: Duration = Duration::from_secs(10);

/// Default of the time for which a replaced key is still accepted.
const DEFAULT_OVERLAP: Duration = Duration::from_hours(1);

/// Returns the parser of the command line.
pub fn parser() -> OptionParser<Args> {
    let admin = long("admin")
        .help("Administration address of any VM")
        .env("CARDAMOM_ADMIN")
        .argument("ADDRESS")
        .fallback(SocketAddr::from(([127, 0, 0, 1], 7102)));
    let token = long("token")
        .help("Administration credential")
        .env("CARDAMOM_TOKEN")
        .argument::<String>("TOKEN")
        .map(Into::into)
        .fallback("".into());
    let gateway = long("gateway")
        .help(
            "Address at which a gateway answers other VMs; `status`, `explain` and `allow` ask it",
        )
        .env("CARDAMOM_GATEWAY")
        .argument("ADDRESS")
        .optional();
    let json = long("json").help("Print JSON").switch();
    let command = command();
    construct!(Args {
        admin,
        token,
        gateway,
        json,
        command
    })
    .to_options()
    .descr("Edits, reviews and publishes steering files, and reports what is in force")
}

fn command() -> impl Parser<Command> {
    let files = directory().map(|directory| Command::Check { directory });
    let store = long("store")
        .help("Check the orders in the platform's store at this address")
        .argument("ADDRESS")
        .map(|store| Command::CheckStore { store });
    let check = construct!([store, files])
        .to_options()
        .descr("Check steering files, or the orders in the platform's store")
        .command("check");
    let diff = directory().map(|directory| Command::Diff { directory });
    let diff = diff
        .to_options()
        .descr("Compare with the version in force")
        .command("diff");
    let publish = publish()
        .to_options()
        .descr("Publish steering files")
        .command("publish");
    let status = bpaf::pure(Command::Status);
    let status = status
        .to_options()
        .descr("Show the state of the fleet")
        .command("status");
    let explain = explain()
        .to_options()
        .descr("Show where a gateway would send a request, without sending it")
        .command("explain");
    let allow = text("DIGEST").map(|digest| Command::Allow { digest });
    let allow = allow
        .to_options()
        .descr("Allow a request again that is refused because it crashed servers")
        .command("allow");
    let issue = text("WORKSPACE").map(|workspace| Command::Issue { workspace });
    let issue = issue.to_options().descr("Issue a key").command("issue");
    let rotate = rotate()
        .to_options()
        .descr("Replace a key by a new one")
        .command("rotate");
    let withdraw = text("KEY_ID").map(|id| Command::Withdraw { id });
    let withdraw = withdraw
        .to_options()
        .descr("Withdraw a key")
        .command("withdraw");
    let drain = text("NAME").some("name at least one server or data centre");
    let drain = drain.map(|servers| Command::Drain { servers });
    let drain = drain
        .to_options()
        .descr("Drain backend servers or a data centre")
        .command("drain");
    let undrain = text("DRAIN_ID").map(|id| Command::Undrain { id });
    let undrain = undrain.to_options().descr("End a drain").command("undrain");
    let halt = halt()
        .to_options()
        .descr("Halt a release for good")
        .command("halt");
    construct!([
        check, diff, publish, status, explain, allow, issue, rotate, withdraw, drain, undrain, halt
    ])
}

fn publish() -> impl Parser<Command> {
    let base = long("base")
        .help("Version that was reviewed")
        .argument("VERSION")
        .optional();
    let author = long("author")
        .help("Author, for the record")
        .env("USER")
        .argument::<String>("NAME")
        .map(Into::into)
        .fallback("operator".into());
    let wait = long("wait")
        .help("Wait until in force, such as 10s")
        .argument::<Span>("SPAN")
        .map(|span| span.0)
        .fallback(DEFAULT_WAIT);
    let directory = directory();
    construct!(Command::Publish {
        base,
        author,
        wait,
        directory
    })
}

fn explain() -> impl Parser<Command> {
    let option = |name: &'static str, help: &'static str, value: &'static str| {
        long(name)
            .help(help)
            .argument::<String>(value)
            .map(Box::<str>::from)
    };
    let host = option("host", "Host of the request", "HOST");
    let path = option("path", "Path of the request", "PATH");
    let method = option("method", "Method of the request", "METHOD").fallback("GET".into());
    let workspace = option("workspace", "Workspace whose key it has", "NAME").optional();
    let object = option("object", "Object that it concerns", "OBJECT").optional();
    let question = construct!(Question {
        host,
        path,
        method,
        workspace,
        object
    });
    construct!(Command::Explain { question })
}

fn rotate() -> impl Parser<Command> {
    let overlap = long("overlap")
        .help("Time for which both keys are accepted, such as 1h")
        .argument::<Span>("SPAN")
        .map(|span| span.0)
        .fallback(DEFAULT_OVERLAP);
    let id = text("KEY_ID");
    construct!(Command::Rotate { overlap, id })
}

fn halt() -> impl Parser<Command> {
    let reason = long("reason")
        .help("Reason, for the record")
        .argument::<String>("TEXT")
        .map(Into::into)
        .fallback("halted by an operator".into());
    let release = text("RELEASE");
    construct!(Command::Halt { reason, release })
}

fn directory() -> impl Parser<PathBuf> {
    positional("DIRECTORY").help("Directory of the steering files")
}

fn text(name: &'static str) -> impl Parser<Box<str>> {
    positional::<String>(name).map(Into::into)
}
