//! Plays one case of the review: `review-harness CASE RECORD FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. The variable
//! TROUBLE=0 leaves the disruption out.

mod cold;
mod connection_header;
mod crashes;
mod http;
mod idle;
mod memory;
mod site;

use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest time of a case.
const LIMIT: Duration = Duration::from_secs(110);

/// Log of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<std::fs::File>>,
    started: Instant,
}

impl Record {
    fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(std::fs::File::create(path)?));
        Ok(Self {
            file,
            started: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("lock");
        let _ = writeln!(file, "{at:8.3} s  {}", text.as_ref());
    }
}

#[tokio::main]
async fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = arguments.as_slice() else {
        eprintln!("usage: review-harness CASE RECORD FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let Ok(record) = Record::create(Path::new(record)) else {
        std::process::exit(2);
    };
    record.line(format!(
        "case {case}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    let folder = PathBuf::from(folder);
    let play = async {
        match case.as_str() {
            "memory" => memory::play(&record, &folder, trouble).await,
            "connection-header" => connection_header::play(&record, &folder, trouble).await,
            "cold" => cold::play(&record, &folder, trouble).await,
            "crashes" => crashes::play(&record, &folder, trouble).await,
            "idle" => idle::play(&record, &folder, trouble).await,
            _ => Err("unknown case".into()),
        }
    };
    // The gateway processes of a case are killed when its future is dropped.
    let result = tokio::time::timeout(LIMIT, play).await;
    let result = result.unwrap_or_else(|_| Err("it took too long".into()));
    let code = match &result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    record.line(match result {
        Ok(true) => "result: the rule was broken".into(),
        Ok(false) => "result: the rule held".into(),
        Err(reason) => format!("result: the case could not run: {reason}"),
    });
    std::process::exit(code);
}
