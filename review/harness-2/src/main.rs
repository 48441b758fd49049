//! Scripts of the second review.
//!
//! `review-harness-2 CASE FOLDER` plays a case and writes FOLDER/record.txt. Exits with 1 if the rule of
//! the case was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the same is played
//! without the disruption.

mod backend;
mod crash;
mod gateway;
mod http;
mod json;
mod store;
mod version;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (case, folder) = match arguments.as_slice() {
        [_, case, folder] => (case.as_str(), PathBuf::from(folder)),
        _ => ("", PathBuf::new()),
    };
    let play = match case {
        "version" => version::play,
        "crash" => crash::play,
        _ => {
            eprintln!("usage: review-harness-2 version|crash FOLDER");
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let settings = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let played = std::fs::create_dir_all(&settings)
        .map_err(|e| e.to_string())
        .and_then(|()| play(&folder, &settings, has_trouble));
    let _ = std::fs::remove_dir_all(&settings);
    match played {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
