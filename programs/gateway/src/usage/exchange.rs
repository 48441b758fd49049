//! Counts that VMs request from each other: the sum of a data centre for the holder, and all runs
//! for a VM that has just started.

use super::Usage;
use crate::shared::Shared;
use base::http::client::{Error, Target};
use base::http::{Body, text};
use base::id::{DataCentre, Incarnation, Vm};
use base::sync::lock;
use bytes::Bytes;
use futures::future::join_all;
use hyper::{Method, Request, Response, StatusCode};
use peers::packed;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use steering::usage::{self, Counts, Share, Window};

/// Path of the requests, at the address for other VMs.
pub const PATH: &str = "/usage";
/// Time-out of a request.
const TIMEOUT: Duration = Duration::from_millis(700);
/// Time after the start in which a VM asks others for the counts that they hold.
const CATCH_UP_TIME: Duration = Duration::from_secs(5);
/// Time between two such checks.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(250);
/// VMs that are asked for them.
const CATCH_UP_VMS: usize = 2;

/// Counts of all VMs of a data centre, by run.
type Runs = Vec<(Vm, Incarnation, Vec<Share>)>;

/// Answers a request of another VM: with a window, the sum of this data centre; otherwise the counts
/// of each run.
pub fn answer<B>(request: &Request<B>, shared: &Shared) -> Response<Body> {
    let Some(usage) = &shared.usage else {
        return text(StatusCode::NOT_FOUND, "no usage reports\n");
    };
    let bytes = match request.uri().query() {
        None => packed::encode(&runs(usage, &shared.settings.vm)),
        Some(query) => {
            let window = query.strip_prefix("window=").map(str::parse);
            let Some(Ok(window)) = window else {
                return text(StatusCode::BAD_REQUEST, "the window can't be read\n");
            };
            packed::encode(&usage.sum(window))
        }
    };
    match bytes {
        Ok(bytes) => text(StatusCode::OK, bytes),
        Err(error) => {
            log::error!("event=usage-unencoded error=\"{error}\"");
            text(
                StatusCode::INTERNAL_SERVER_ERROR,
                "the answer could not be encoded\n",
            )
        }
    }
}

/// Returns the counts of each run in this data centre.
fn runs(usage: &Usage, own: &Vm) -> Runs {
    let now = super::boot();
    let state = lock(&usage.state);
    let mut runs = state.ledger.runs();
    let current = usage.window(&state.clock, now).unwrap_or_default();
    let windows = || current.saturating_sub(super::SHARED_WINDOWS * 2)..=current;
    let names = state.tally.workspaces(windows());
    let tally = &state.tally;
    let shares = names.into_iter().map(|workspace| Share {
        counts: windows()
            .filter_map(|window| Some((window, *tally.window(window)?.get(&workspace)?)))
            .collect(),
        workspace,
    });
    runs.push((own.clone(), usage.incarnation, shares.collect()));
    runs
}

/// Asks VMs of this data centre for the counts of runs that this one has not heard: those of
/// processes that ended before it started, its own earlier one included.
pub async fn catch_up(shared: Arc<Shared>) {
    let Some(usage) = &shared.usage else {
        return;
    };
    let end = Instant::now() + CATCH_UP_TIME;
    let mut asked: Vec<SocketAddr> = Vec::new();
    while asked.len() < CATCH_UP_VMS && Instant::now() < end {
        tokio::time::sleep(CATCH_UP_INTERVAL).await;
        let peer = {
            let fleet = lock(&shared.fleet);
            let mut addresses = fleet.local(Instant::now()).map(|peer| peer.report.address);
            addresses.find(|address| !asked.contains(address))
        };
        let Some(peer) = peer else {
            continue;
        };
        asked.push(peer);
        match fetch::<Runs>(peer, PATH).await {
            Ok(runs) => {
                let mut state = lock(&usage.state);
                let others = runs.iter().filter(|(_, run, _)| *run != usage.incarnation);
                others.for_each(|(vm, run, shares)| state.ledger.fill(vm, *run, shares));
            }
            Err(error) => log::info!("event=usage-catch-up-failed peer={peer} error=\"{error}\""),
        }
    }
}

/// Returns the counts of all VMs in a window, and the data centres that did not answer.
pub(super) async fn collect(
    shared: &Shared,
    usage: &Usage,
    window: Window,
) -> (Counts, Vec<DataCentre>) {
    let delegates = {
        let fleet = lock(&shared.fleet);
        fleet.delegates(&shared.settings.data_centre, Instant::now())
    };
    let path = format!("{PATH}?window={window}");
    let answers = join_all(delegates.into_iter().map(|(data_centre, address)| {
        let path = &path;
        async move {
            let counts = match address {
                Some(address) => fetch::<Counts>(address, path).await.ok(),
                None => None,
            };
            counts.ok_or(data_centre)
        }
    }))
    .await;
    let mut sum = usage.sum(window);
    let mut missing = Vec::new();
    for answer in answers {
        match answer {
            Ok(counts) => usage::add(&mut sum, &counts),
            Err(data_centre) => missing.push(data_centre),
        }
    }
    (sum, missing)
}

async fn fetch<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, Error> {
    let target = Target {
        address,
        timeout: TIMEOUT,
        authorization: None,
    };
    let answer = target.call(Method::GET, path, Bytes::new()).await?;
    if !answer.status.is_success() {
        return Err(Error::Lost(answer.status.to_string().into()));
    }
    let unreadable = |error: packed::Error| Error::Decode(error.to_string().into());
    packed::decode(&answer.body).map_err(unreadable)
}
