//! Runs seeds of the soak test: `soak --program FILE --folder DIR --first N --count N`.

use bpaf::{Parser, construct, long};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Debug, Clone)]
struct Args {
    program: PathBuf,
    folder: PathBuf,
    first: u64,
    count: u64,
}

fn args() -> Args {
    let program = long("program")
        .help("Gateway to be tested")
        .argument("FILE");
    let folder = long("folder")
        .help("Where settings and logs go")
        .argument("DIR");
    let first = long("first").help("First seed").argument("N");
    let count = long("count")
        .help("Number of seeds")
        .argument("N")
        .fallback(1);
    construct!(Args {
        program,
        folder,
        first,
        count
    })
    .to_options()
    .descr("Plays faults against real gateway processes and checks promises")
    .run()
}

#[tokio::main]
async fn main() -> ExitCode {
    let args = args();
    let mut failed = false;
    for seed in args.first..args.first + args.count {
        match soak::run::run(seed, &args.program, &args.folder).await {
            Ok(outcome) => {
                failed |= !outcome.violations.is_empty();
                println!(
                    "seed {seed}: {} of {} served, broken: {:?}",
                    outcome.served, outcome.sent, outcome.violations
                );
            }
            Err(error) => {
                failed = true;
                println!("seed {seed}: {error}");
            }
        }
    }
    ExitCode::from(u8::from(failed))
}
