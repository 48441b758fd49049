//! Case 8: the next version is ordered soon after a bad one was rolled back.
//!
//! With TROUBLE=0 the next version is not ordered.

use crate::backend::{self, Backend, Runs};
use crate::store::Store;
use crate::{gateway, http};
use std::fmt::Write;
use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Work of a request at a server.
const WORK: Duration = Duration::from_millis(100);
/// Share of the bad version's answers that are failures; the site files go up to 0.5.
const BAD_PERCENT: u64 = 37;
/// `durationS` of the orders; the site files give 14 to 16.
const TERM: Duration = Duration::from_secs(14);
/// Time from `rolled_back` to the next order. The users' bench orders the next one after 0.5 s.
const NEXT_ORDER: Duration = Duration::from_millis(1_000);
/// Time from `rolled_back` until the bad version's servers drain: "some seconds later".
const DRAIN_AFTER: Duration = Duration::from_secs(8);
/// Requests a second.
const RATE: u64 = 240;
const CALLERS: u64 = 60;
/// Objects that the requests concern.
const OBJECTS: u64 = 200;
/// `canaryShare`, `canarySlack` and `rollbackMs` of the site files.
const CANARY_SHARE: f64 = 0.1;
const CANARY_SLACK: f64 = 50.0;
const ROLLBACK: Duration = Duration::from_millis(5_000);

pub const CONFIG: &str = r#"{"version":"00000001","limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":5000,"idleTimeoutMs":10000},"tenants":[],"listeners":[{"hostname":"a.example","rules":[{"name":"read","match":{"prefix":"/a/"},"routeType":"safe","targetLatencyMs":400,"priority":0,"sessionAffinity":true,"action":{"service":"lookup","timeoutMs":2000,"maxAttempts":2}}]}],"clusters":[{"name":"lookup","healthPath":"/health","maxConnections":390,"warmupS":3,"warmupPerS":11}]}"#;

/// One request of a caller.
#[derive(Debug)]
struct Sent {
    id: String,
    sent_at: Instant,
    gateway: usize,
    status: u16,
    ended_at: Instant,
}

/// Servers and the rows in which they register.
#[derive(Debug)]
struct Fleet {
    store: Store,
    runs: Runs,
    members: Mutex<Vec<(Backend, &'static str)>>,
    sequence: AtomicU64,
}

impl Fleet {
    fn start(&self, version: &'static str, bad_percent: u64) {
        let zones = ["nord-a", "centre-a", "sud-a"];
        for i in 0..6 {
            let id = format!("i-{version}-{i}");
            let backend = Backend::start(id, version, zones[i % 3], WORK, bad_percent, &self.runs);
            self.members.lock().unwrap().push((backend, "ready"));
        }
        self.report();
    }

    /// Writes the rows of all servers.
    fn report(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed);
        let members = self.members.lock().unwrap();
        let rows: Vec<_> = members
            .iter()
            .map(|(backend, state)| ("servers", &*backend.id, Some(backend.row(sequence, state))))
            .collect();
        self.store.write(&rows);
    }

    fn drain(&self, version: &str) {
        for (backend, state) in self.members.lock().unwrap().iter_mut() {
            if backend.version == version {
                *state = "draining";
            }
        }
        self.report();
    }

    fn remove(&self, version: &str) {
        let mut members = self.members.lock().unwrap();
        let gone: Vec<String> = members
            .iter()
            .filter(|(backend, _)| backend.version == version)
            .map(|(backend, _)| backend.id.clone())
            .collect();
        members.retain(|(backend, _)| backend.version != version);
        let rows: Vec<_> = gone.iter().map(|id| ("servers", &**id, None)).collect();
        self.store.write(&rows);
    }
}

fn order(version: &str) -> String {
    format!(
        r#"{{"service":"lookup","target":"{version}","durationS":{}}}"#,
        TERM.as_secs()
    )
}

pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Plays the case; returns whether the rule was broken.
pub fn play(folder: &Path, settings: &Path, has_trouble: bool) -> Result<bool, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let store = Store::new();
    let served = store.clone();
    http::serve(listener, move |request| served.handle(request));
    let fleet = Arc::new(Fleet {
        store: store.clone(),
        runs: Runs::default(),
        members: Mutex::default(),
        sequence: AtomicU64::new(1),
    });
    fleet.start("v1", 0);
    store.write(&[("op", "config", Some(CONFIG.into()))]);
    let reporting = fleet.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(Duration::from_millis(1_500));
            reporting.report();
        }
    });
    let began_at = Instant::now();
    let gateways = gateway::start(settings, address).map_err(|e| format!("gateway: {e}"))?;
    if !gateway::wait_ready(&gateways, Duration::from_secs(20)) {
        return Err("the gateways did not become ready".into());
    }

    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let targets: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (targets, sent, is_over) = (targets.clone(), sent.clone(), is_over.clone());
            std::thread::spawn(move || {
                let period = Duration::from_micros(1_000_000 * CALLERS / RATE);
                let mut next = Instant::now() + period.mul_f64(caller as f64 / CALLERS as f64);
                let mut count = 0;
                while !is_over.load(Ordering::Relaxed) {
                    sleep_until(next);
                    next += period;
                    count += 1;
                    let id = format!("{caller:04x}{count:012x}");
                    let gateway = ((caller + count) % 3) as usize;
                    let object = (caller * 31 + count * 17) % OBJECTS;
                    let sent_at = Instant::now();
                    let request = format!(
                        "GET /a/{count} HTTP/1.1\r\nHost: a.example\r\nX-Cardamomhall-Attempt-Id: {id}\r\nX-Cardamomhall-Deadline-Ms: 3000\r\nCookie: X-Cardamomhall-Affinity-Key={object}\r\nConnection: close\r\n\r\n"
                    );
                    let answer = http::call(targets[gateway], &request, Duration::from_secs(3));
                    let status = answer.map_or(0, |answer| answer.status());
                    let ended_at = Instant::now();
                    sent.lock().unwrap().push(Sent { id, sent_at, gateway, status, ended_at });
                }
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(4));

    let mut record = String::new();
    let mut note = |text: &str| {
        let _ = writeln!(record, "{:9.3} {text}", began_at.elapsed().as_secs_f64());
    };
    store.write(&[("op", "rollout/lookup", Some(order("v2")))]);
    let ordered_at = Instant::now();
    note("the operator orders v2, which is bad");
    std::thread::sleep(Duration::from_millis(200));
    fleet.start("v2", BAD_PERCENT);
    let rolled_back_at = loop {
        let status = store.read("status", "rollout/lookup").unwrap_or_default();
        if status.contains("rolled_back") {
            break Instant::now();
        }
        if ordered_at.elapsed() > TERM + Duration::from_secs(2) {
            return Err(format!("v2 was not rolled back: {status}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    };
    note("the store has rolled_back for v2");
    if has_trouble {
        sleep_until(rolled_back_at + NEXT_ORDER);
        store.write(&[("op", "rollout/lookup", Some(order("v3")))]);
        note("the operator orders v3, which is good");
        std::thread::sleep(Duration::from_millis(200));
        fleet.start("v3", 0);
    }
    sleep_until(rolled_back_at + DRAIN_AFTER);
    fleet.drain("v2");
    note("the servers of v2 report that they drain");
    sleep_until(rolled_back_at + DRAIN_AFTER + Duration::from_millis(3_000));
    fleet.remove("v2");
    note("the servers of v2 are gone");
    sleep_until(ordered_at + TERM + Duration::from_millis(500));
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    drop(gateways);

    let sent = sent.lock().unwrap();
    let runs = fleet.runs.lock().unwrap();
    let deadline = ordered_at + TERM;
    let within = runs
        .iter()
        .filter(|run| (ordered_at..=deadline).contains(&run.began_at));
    let (mut all, mut bad_version, mut after) = (0, 0, 0);
    for run in within {
        all += 1;
        if run.version == "v2" {
            bad_version += 1;
            after += u32::from(run.began_at > rolled_back_at + Duration::from_millis(500));
        }
    }
    let allowed = CANARY_SHARE * f64::from(all) + CANARY_SLACK;
    let mut failures: Vec<Instant> = runs
        .iter()
        .filter(|run| run.version == "v2" && run.status == 500)
        .map(|run| run.ended_at)
        .collect();
    failures.sort();
    let late = failures.get(49).map_or(0, |at| {
        let is_late = |run: &&backend::Run| {
            let request = sent.iter().find(|request| request.id == run.id);
            run.version == "v2" && request.is_some_and(|request| request.sent_at > *at + ROLLBACK)
        };
        runs.iter().filter(is_late).count()
    });
    let is_broken = f64::from(bad_version) > allowed || late > 0;
    let _ = writeln!(
        record,
        "requests that ran at the service from the order of v2 to its deadline: {all}; at v2: {bad_version}, allowed {allowed:.0}; at v2 later than 0.5 s after rolled_back: {after}; failures of v2: {}; requests at v2 sent later than 5 s after its 50th failure: {late}; rule EXPOSURE {}",
        failures.len(),
        if is_broken { "BROKEN" } else { "held" }
    );
    println!("{}", record.trim_end());
    let since = |at: Instant| at.saturating_duration_since(began_at).as_secs_f64();
    for request in sent.iter() {
        let Sent {
            id,
            sent_at,
            gateway,
            status,
            ended_at,
        } = request;
        let (sent_at, ended_at) = (since(*sent_at), since(*ended_at));
        let _ = writeln!(
            record,
            "{sent_at:9.3} sent {id} to gateway {gateway}; {ended_at:.3} answered {status}"
        );
    }
    for run in runs.iter() {
        let (began, ended) = (since(run.began_at), since(run.ended_at));
        let _ = writeln!(
            record,
            "{began:9.3} ran {} at {} ({}); {ended:.3} status {}",
            run.id, run.server, run.version, run.status
        );
    }
    std::fs::write(folder.join("record.txt"), record).map_err(|e| e.to_string())?;
    Ok(is_broken)
}
