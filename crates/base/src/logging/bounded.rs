//! Bounded queue of log lines in front of standard output.

use super::line;
use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;
use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Most lines that wait to be written; further ones are counted and dropped.
const MAX_QUEUED_LINES: usize = 2_048;
/// Time between two writes. Writing lines together saves wake-ups and system calls.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Most lines per second of one crate; covers the request rate of a VM with a fifth of a core, and
/// bounds the cost of logging in a burst.
const MAX_LINES_PER_SECOND: u32 = 200;

/// Lines of one crate in the current second, and lines dropped since the last written one.
#[derive(Debug)]
struct Budget {
    second: Instant,
    lines: u32,
    left_out: u32,
}

/// Log writer that never blocks.
#[derive(Debug)]
pub(super) struct Queue {
    sender: SyncSender<Vec<u8>>,
    budgets: Mutex<HashMap<Box<str>, Budget>>,
}

impl Queue {
    /// Starts the thread that writes to standard output.
    pub(super) fn start() -> Self {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        // The thread ends with the process. Without it, only logs are lost.
        let spawned = thread::Builder::new()
            .name("log".into())
            .spawn(move || write_all(&receiver));
        if let Err(error) = spawned {
            eprintln!("could not start the log thread, logs are not written: {error}");
        }
        Self {
            sender,
            budgets: Mutex::default(),
        }
    }

    /// Counts a line; returns the number of lines dropped before it, or none if it is dropped, too.
    fn admit(&self, source: &str) -> Option<u32> {
        let now = Instant::now();
        let mut budgets = crate::sync::lock(&self.budgets);
        if !budgets.contains_key(source) {
            let budget = Budget {
                second: now,
                lines: 0,
                left_out: 0,
            };
            budgets.insert(source.into(), budget);
        }
        let budget = budgets.get_mut(source)?;
        if now.saturating_duration_since(budget.second) >= Duration::from_secs(1) {
            budget.second = now;
            budget.lines = 0;
        }
        budget.lines += 1;
        if budget.lines > MAX_LINES_PER_SECOND {
            budget.left_out += 1;
            return None;
        }
        Some(std::mem::take(&mut budget.left_out))
    }

    fn left_out(&self, source: &str, lines: u32) {
        if let Some(budget) = crate::sync::lock(&self.budgets).get_mut(source) {
            budget.left_out += lines;
        }
    }
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let source = record.target().split("::").next().unwrap_or_default();
        let Some(left_out) = self.admit(source) else {
            return Ok(());
        };
        let mut text = Vec::with_capacity(256);
        line(&mut text, now, record)?;
        if left_out > 0 {
            write!(text, " left_out={left_out}")?;
        }
        text.push(b'\n');
        if let Err(TrySendError::Full(_)) = self.sender.try_send(text) {
            self.left_out(source, left_out + 1);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(receiver: &Receiver<Vec<u8>>) {
    while let Ok(mut text) = receiver.recv() {
        thread::sleep(WRITE_INTERVAL);
        receiver.try_iter().for_each(|line| text.extend(line));
        // Standard output is closed: logs are no longer written, but the program goes on.
        if io::stdout().write_all(&text).is_err() {
            return;
        }
    }
}
