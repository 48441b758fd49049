//! Reports to the platform: does what [`Reporter`] decides.

use super::{Usage, boot, exchange, rows};
use crate::shared::Shared;
use adapter::store::Client;
use adapter::usage as wire;
use base::id::Vm;
use base::sync::lock;
use hyper::StatusCode;
use peers::report::Phase;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::usage::{Call, CallResult, Fixed, Progress, Rank, Reporter, Step, Window};

/// Time between two checks whether something is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Subject by which the leader is chosen.
const SUBJECT: &str = "usage";

/// Keeps the estimate of true time up to date and reports, until the task is dropped.
pub async fn run(shared: Arc<Shared>, client: Client) {
    let Some(usage) = &shared.usage else {
        return;
    };
    let vm = shared.settings.vm.clone();
    let mut reporter = Reporter::new(vm, shared.incarnation, usage.settings, boot());
    loop {
        usage.update(shared.coverage(Instant::now()).members);
        reporter.progress.merge(&usage.progress());
        let (rank, now) = (rank(&shared), boot());
        let late = usage.take_late();
        if late > 0 && rank != Rank::Other {
            log::warn!("event=usage-late requests={late}");
        }
        let step = reporter.next(rank, usage.true_ms(now), now);
        perform(step, &mut reporter, &shared, usage, &client).await;
        publish(&reporter, usage);
    }
}

/// Returns this VM's part in the reports. A VM that leaves acts only if no other one does.
fn rank(shared: &Shared) -> Rank {
    let now = Instant::now();
    match shared.is_speaker(now) {
        false => Rank::Other,
        true if shared.phase() != Phase::Leaving && shared.is_leader(SUBJECT) => Rank::Leader,
        true => Rank::Delegate,
    }
}

async fn perform(
    step: Step,
    reporter: &mut Reporter,
    shared: &Shared,
    usage: &Usage,
    client: &Client,
) {
    match step {
        Step::Wait => tokio::time::sleep(CHECK_INTERVAL).await,
        Step::Read => {
            let stored = rows::read(client).await;
            let stored = stored
                .inspect_err(|error| log::warn!("event=usage-unread error=\"{error}\""))
                .ok();
            reporter.read(stored, boot());
        }
        Step::Collect(window) => {
            let (counts, missing) = exchange::collect(shared, usage, window).await;
            let fixed = Fixed {
                window,
                bytes: wire::encode(window, &counts),
            };
            let now = boot();
            let true_ms = usage.true_ms(now);
            let step = reporter.collected(fixed, missing.is_empty(), true_ms, now);
            if let Step::Write(transaction) = step {
                if !missing.is_empty() {
                    log::warn!("event=usage-missing window={window} data_centres={missing:?}");
                }
                let written = rows::write(client, &transaction).await;
                reporter.written(written, boot());
            }
        }
        Step::Write(transaction) => {
            let written = rows::write(client, &transaction).await;
            reporter.written(written, boot());
        }
        Step::Send(call) => {
            let result = send(usage, &shared.settings.vm, &call).await;
            reporter.called(call.window, result, boot());
        }
    }
}

/// Sends a report, unless the time in which it may be started has passed.
async fn send(usage: &Usage, holder: &Vm, call: &Call) -> CallResult {
    let began = Instant::now();
    let timeout = usage.settings.call_timeout;
    let may_start = || boot() < call.start_before;
    let sent = wire::send(usage.address, timeout, holder, call, may_start).await;
    let (window, token) = (call.window, call.token);
    let took_ms = began.elapsed().as_millis();
    match sent {
        Ok(()) => {
            log::info!("event=usage-sent window={window} token={token} took_ms={took_ms}");
            CallResult::Taken
        }
        Err(error) => {
            log::warn!(
                "event=usage-unsent window={window} token={token} took_ms={took_ms} error=\"{error}\""
            );
            match error {
                wire::Error::Refused(status) if is_final(status) => CallResult::Rejected,
                _ => CallResult::Failed,
            }
        }
    }
}

/// Whether the platform will not take a report that it answers with this status.
fn is_final(status: StatusCode) -> bool {
    let may_return = [StatusCode::REQUEST_TIMEOUT, StatusCode::TOO_MANY_REQUESTS];
    status.is_client_error() && !may_return.contains(&status)
}

/// Passes on how far the reports have come, and logs what is new.
fn publish(reporter: &Reporter, usage: &Usage) {
    let mut state = lock(&usage.state);
    let known: &mut Progress = &mut state.progress;
    let new = &reporter.progress;
    if new.token > known.token {
        log::info!("event=usage-holder vm={} token={}", new.holder, new.token);
    }
    if new.fixed > known.fixed {
        let late_ms = late_ms(usage, &state.clock, new.fixed);
        log::info!(
            "event=usage-fixed window={} token={} after_end_ms={late_ms}",
            new.fixed,
            new.token
        );
    }
    state.progress.merge(new);
}

/// Returns the time since the end of a window in milliseconds.
fn late_ms(usage: &Usage, clock: &steering::usage::Clock, window: Window) -> u64 {
    let length = usage.settings.window.as_millis();
    let end = u128::from(window + 1) * length;
    let now = clock.true_ms(boot()).unwrap_or_default();
    now.saturating_sub(u64::try_from(end).unwrap_or(u64::MAX))
}
