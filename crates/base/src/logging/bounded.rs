//! Bounded queue between the code that logs and standard output.

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

/// Most lines that wait to be written; further ones are counted and left out.
const LINES: usize = 2_048;
/// Time between two writes. Writing lines together saves wake-ups and system calls.
const PERIOD: Duration = Duration::from_millis(200);
/// Most lines a second of one part of the program; covers the request rate of a VM of a fifth of
/// a core, and bounds the cost of logging in a burst.
const LINES_PER_PART: u32 = 200;

/// Lines of one part in the current second, and those left out.
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
        let (sender, receiver) = sync_channel(LINES);
        // The thread ends with the process; a VM without it would only lose its logs.
        let spawned = thread::Builder::new()
            .name("log".into())
            .spawn(move || write_all(&receiver));
        if let Err(error) = spawned {
            eprintln!("logs are not written: {error}");
        }
        Self {
            sender,
            budgets: Mutex::default(),
        }
    }

    /// Counts a line; returns how many were left out before it, or none if it is left out, too.
    fn admit(&self, part: &str) -> Option<u32> {
        let now = Instant::now();
        let mut budgets = crate::sync::lock(&self.budgets);
        if !budgets.contains_key(part) {
            let budget = Budget {
                second: now,
                lines: 0,
                left_out: 0,
            };
            budgets.insert(part.into(), budget);
        }
        let budget = budgets.get_mut(part)?;
        if now.saturating_duration_since(budget.second) >= Duration::from_secs(1) {
            budget.second = now;
            budget.lines = 0;
        }
        budget.lines += 1;
        if budget.lines > LINES_PER_PART {
            budget.left_out += 1;
            return None;
        }
        Some(std::mem::take(&mut budget.left_out))
    }

    fn left_out(&self, part: &str, lines: u32) {
        if let Some(budget) = crate::sync::lock(&self.budgets).get_mut(part) {
            budget.left_out += lines;
        }
    }
}

impl LogWriter for Queue {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let part = record.target().split("::").next().unwrap_or_default();
        let Some(left_out) = self.admit(part) else {
            return Ok(());
        };
        let mut text = Vec::with_capacity(256);
        line(&mut text, now, record)?;
        if left_out > 0 {
            write!(text, " left_out={left_out}")?;
        }
        text.push(b'\n');
        if let Err(TrySendError::Full(_)) = self.sender.try_send(text) {
            self.left_out(part, left_out + 1);
        }
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(receiver: &Receiver<Vec<u8>>) {
    while let Ok(mut text) = receiver.recv() {
        thread::sleep(PERIOD);
        receiver.try_iter().for_each(|line| text.extend(line));
        // Nobody reads the logs when standard output is closed; serving goes on.
        if io::stdout().write_all(&text).is_err() {
            return;
        }
    }
}
