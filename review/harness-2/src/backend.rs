//! Backend servers of one service.

use crate::http::{self, Message, answer};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// One request that a server ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub server: String,
    pub version: &'static str,
    pub began_at: Instant,
    pub ended_at: Instant,
    pub status: u16,
}

/// Requests that all servers ran.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A server; it runs until the process ends.
#[derive(Debug, Clone)]
pub struct Backend {
    pub id: String,
    pub version: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    born: u128,
}

/// Requests at a server: running and waiting.
type Load = Arc<(Mutex<(usize, usize)>, Condvar)>;

const SLOTS: usize = 4;
const QUEUE: usize = 12;

impl Backend {
    /// Starts a server that needs `work` for a request and answers `bad_percent` of them with 500.
    pub fn start(
        id: String,
        version: &'static str,
        zone: &'static str,
        work: Duration,
        bad_percent: u64,
        runs: &Runs,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |t| t.as_millis());
        let load = Load::default();
        let (own, runs) = (id.clone(), runs.clone());
        http::serve(listener, move |request| {
            handle(request, &own, version, work, bad_percent, &load, &runs)
        });
        Self {
            id,
            version,
            zone,
            address,
            born,
        }
    }

    /// Returns the row in which the server registers.
    pub fn row(&self, sequence: u64, state: &str) -> String {
        let Self {
            version,
            zone,
            address,
            born,
            ..
        } = self;
        format!(
            r#"{{"service":"lookup","address":"{address}","zone":"{zone}","version":"{version}","slots":{SLOTS},"state":"{state}","warmupLeftMs":0,"sequence":{sequence},"born":{born}}}"#
        )
    }
}

fn handle(
    request: &Message,
    own: &str,
    version: &'static str,
    work: Duration,
    bad_percent: u64,
    load: &Load,
    runs: &Runs,
) -> Vec<u8> {
    let (counts, freed) = &**load;
    let told = |counts: &(usize, usize)| format!("{},{},{SLOTS}", counts.0, counts.1);
    let id = request.field("x-cardamomhall-attempt-id").to_owned();
    let expected = request.field("x-cardamomhall-expect-instance");
    let mut state = counts.lock().unwrap();
    if request.target() == "/health" {
        let fields = [
            ("X-Cardamomhall-Instance-Id", own),
            ("X-Cardamomhall-Backend-Load", &told(&state)),
        ];
        return answer(200, &fields, "");
    }
    let refuse = |status, why, told: &str| {
        let fields = [
            ("X-Cardamomhall-Attempt-Id", &*id),
            ("X-Cardamomhall-Not-Executed", why),
            ("X-Cardamomhall-Backend-Load", told),
        ];
        answer(status, &fields, "")
    };
    if !expected.is_empty() && expected != own {
        return refuse(421, "other-instance", &told(&state));
    }
    if state.1 >= QUEUE {
        return refuse(503, "full", &told(&state));
    }
    state.1 += 1;
    while state.0 >= SLOTS {
        state = freed.wait(state).unwrap();
    }
    state.1 -= 1;
    state.0 += 1;
    drop(state);
    let began_at = Instant::now();
    std::thread::sleep(work);
    // The id is random enough: it is drawn by a multiplication.
    let drawn = id.bytes().fold(7_u64, |sum, b| {
        sum.wrapping_mul(31).wrapping_add(u64::from(b))
    });
    let is_bad =
        drawn.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32 & 0xFFFF < bad_percent * 65_536 / 100;
    let status = if is_bad { 500 } else { 200 };
    let mut state = counts.lock().unwrap();
    state.0 -= 1;
    let told = told(&state);
    drop(state);
    freed.notify_one();
    let (server, ended_at) = (own.to_owned(), Instant::now());
    runs.lock().unwrap().push(Run {
        id: id.clone(),
        server,
        version,
        began_at,
        ended_at,
        status,
    });
    let fields = [
        ("X-Cardamomhall-Attempt-Id", &*id),
        ("X-Cardamomhall-Response-Signature", own),
        ("X-Cardamomhall-Backend-Load", &told),
    ];
    answer(status, &fields, &format!("answer to {id} from {own}"))
}
