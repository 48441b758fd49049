//! Case 9: gateways are killed while a server runs a request that crashes it.
//!
//! With TROUBLE=0 no gateway is killed.

use crate::gateway::{self, Gateway};
use crate::http::{self, Message, answer};
use crate::store::Store;
use crate::version::{CONFIG, sleep_until};
use std::fmt::Write as _;
use std::io::{BufReader, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time from the beginning of the request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(500);
/// Time from a crash to the start of a new server, "some seconds".
const BACK_AFTER: Duration = Duration::from_millis(3_000);
/// Three ping intervals, after which the row of a silent server is removed.
const SILENCE: Duration = Duration::from_millis(4_500);
/// Time between two requests of the caller; longer than `contactMs`, which is 3,000.
const PERIOD: Duration = Duration::from_millis(4_500);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Kills of one gateway each.
const KILLS: usize = 4;
/// Requests in all; the last ones come without kills.
const REQUESTS: usize = 11;
const SERVERS: usize = 6;

/// When the crashing request began at a server, and at which one.
type Begun = Arc<Mutex<Vec<(Instant, String)>>>;

/// A server that ends when it has run the crashing request for a while.
#[derive(Debug, Clone)]
struct Server {
    id: String,
    zone: &'static str,
    address: SocketAddr,
    born: u128,
    crashed_at: Arc<Mutex<Option<Instant>>>,
}

impl Server {
    fn start(number: usize, begun: &Begun) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Self {
            id: format!("i-{number}"),
            zone: ["nord-a", "centre-a", "sud-a"][number % 3],
            address,
            born: born.map_or(0, |t| t.as_millis()),
            crashed_at: Arc::default(),
        };
        let (own, begun) = (server.clone(), begun.clone());
        std::thread::spawn(move || own.serve(&listener, &begun));
        Ok(server)
    }

    fn is_down(&self) -> bool {
        self.crashed_at.lock().unwrap().is_some()
    }

    /// Accepts connections until the crash; then the listener and all connections are closed.
    fn serve(&self, listener: &TcpListener, begun: &Begun) {
        let mut open: Vec<TcpStream> = Vec::new();
        while !self.is_down() {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(5));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let Ok(kept) = stream.try_clone() else {
                continue;
            };
            open.push(kept);
            let (own, begun) = (self.clone(), begun.clone());
            std::thread::spawn(move || own.answer_all(&stream, &begun));
        }
        for stream in open {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn answer_all(&self, stream: &TcpStream, begun: &Begun) {
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            let bytes = self.handle(&request, begun);
            if bytes.is_empty() || (&*stream).write_all(&bytes).is_err() {
                return;
            }
        }
    }

    /// Answers a request; the crashing one has no answer.
    fn handle(&self, request: &Message, begun: &Begun) -> Vec<u8> {
        let id = request.field("x-cardamomhall-attempt-id");
        let expected = request.field("x-cardamomhall-expect-instance");
        if !expected.is_empty() && expected != self.id {
            let fields = [
                ("X-Cardamomhall-Attempt-Id", id),
                ("X-Cardamomhall-Not-Executed", "other"),
            ];
            return answer(421, &fields, "");
        }
        if request.target() == "/a/crash" {
            begun
                .lock()
                .unwrap()
                .push((Instant::now(), self.id.clone()));
            std::thread::sleep(CRASH_DELAY);
            self.crashed_at
                .lock()
                .unwrap()
                .get_or_insert(Instant::now());
            return Vec::new();
        }
        let fields = [
            ("X-Cardamomhall-Attempt-Id", id),
            ("X-Cardamomhall-Response-Signature", &*self.id),
            ("X-Cardamomhall-Backend-Load", "1,0,4"),
        ];
        answer(200, &fields, "ok")
    }

    fn row(&self, sequence: u64) -> String {
        let Self {
            zone,
            address,
            born,
            ..
        } = self;
        format!(
            r#"{{"service":"lookup","address":"{address}","zone":"{zone}","version":"v1","slots":4,"state":"ready","warmupLeftMs":0,"sequence":{sequence},"born":{born}}}"#
        )
    }
}

/// Keeps the servers registered, starts new ones for those that crashed, and removes their rows.
fn maintain(store: &Store, begun: &Begun, is_over: &AtomicBool) -> std::io::Result<()> {
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        servers.push(Server::start(number, begun)?);
    }
    let mut number = SERVERS;
    let sequence = AtomicU64::new(1);
    let mut next_report = Instant::now();
    let mut replaced: Vec<String> = Vec::new();
    while !is_over.load(Ordering::Relaxed) {
        let since = |server: &Server| server.crashed_at.lock().unwrap().map(|at| at.elapsed());
        let due: Vec<String> = servers
            .iter()
            .filter(|server| since(server).is_some_and(|passed| passed >= BACK_AFTER))
            .map(|server| server.id.clone())
            .filter(|id| !replaced.contains(id))
            .collect();
        for id in due {
            replaced.push(id);
            servers.push(Server::start(number, begun)?);
            number += 1;
            next_report = Instant::now();
        }
        let is_expired = |server: &Server| since(server).is_some_and(|passed| passed >= SILENCE);
        let expired: Vec<_> = servers.iter().filter(|server| is_expired(server)).collect();
        let rows: Vec<_> = expired
            .iter()
            .map(|server| ("servers", &*server.id, None))
            .collect();
        if !rows.is_empty() {
            store.write(&rows);
        }
        servers.retain(|server| !is_expired(server));
        if Instant::now() >= next_report {
            next_report = Instant::now() + Duration::from_millis(1_500);
            let sequence = sequence.fetch_add(1, Ordering::Relaxed);
            let up = servers.iter().filter(|server| !server.is_down());
            let rows: Vec<_> = up
                .map(|server| ("servers", &*server.id, Some(server.row(sequence))))
                .collect();
            store.write(&rows);
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Sends the request that crashes servers; returns the status, 0 for no answer.
fn send(address: SocketAddr, number: usize) -> u16 {
    let request = format!(
        "GET /a/crash HTTP/1.1\r\nHost: a.example\r\nX-Cardamomhall-Attempt-Id: {number:016x}\r\nX-Cardamomhall-Deadline-Ms: 3000\r\nCookie: X-Cardamomhall-Affinity-Key=17\r\nConnection: close\r\n\r\n"
    );
    http::call(address, &request, Duration::from_secs(3)).map_or(0, |answer| answer.status())
}

/// Kills a gateway as soon as a server has begun the request that it sent, and starts it again.
fn kill_at_begin(gateway: &mut Gateway, begun: &Begun, before: usize) -> Result<bool, String> {
    let until = Instant::now() + Duration::from_secs(2);
    while begun.lock().unwrap().len() == before {
        if Instant::now() > until {
            return Ok(false);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    std::thread::sleep(CRASH_DELAY / 2);
    gateway.kill();
    std::thread::sleep(Duration::from_millis(500));
    gateway.restart().map_err(|e| e.to_string())?;
    Ok(true)
}

/// Plays the case; returns whether the rule was broken.
pub fn play(folder: &Path, settings: &Path, has_trouble: bool) -> Result<bool, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let store = Store::new();
    let served = store.clone();
    http::serve(listener, move |request| served.handle(request));
    store.write(&[(
        "op",
        "config",
        Some(CONFIG.replace(r#""maxAttempts":2"#, r#""maxAttempts":1"#)),
    )]);
    let (begun, is_over) = (Begun::default(), Arc::new(AtomicBool::new(false)));
    let (rows, seen, ends) = (store.clone(), begun.clone(), is_over.clone());
    let servers = std::thread::spawn(move || maintain(&rows, &seen, &ends));
    let began_at = Instant::now();
    let mut gateways = gateway::start(settings, address).map_err(|e| format!("gateway: {e}"))?;
    if !gateway::wait_ready(&gateways, Duration::from_secs(20)) {
        return Err("the gateways did not become ready".into());
    }
    std::thread::sleep(CONTACT + Duration::from_millis(500));

    let mut record = String::new();
    let since = |at: Instant| at.saturating_duration_since(began_at).as_secs_f64();
    let mut next = Instant::now();
    for number in 0..REQUESTS {
        sleep_until(next);
        next = Instant::now() + PERIOD;
        let index = number % gateways.len();
        let before = begun.lock().unwrap().len();
        let callers = gateways[index].callers;
        let sent_at = Instant::now();
        let caller = std::thread::spawn(move || send(callers, number));
        let is_killed =
            has_trouble && number < KILLS && kill_at_begin(&mut gateways[index], &begun, before)?;
        let status = caller.join().unwrap_or(0);
        let reached = begun.lock().unwrap().len() - before;
        let _ = writeln!(
            record,
            "{:9.3} sent request {number} to gateway {index}{}; status {status}; {reached} servers began it",
            since(sent_at),
            if is_killed {
                ", which is killed meanwhile"
            } else {
                ""
            }
        );
    }
    drop(gateways);
    is_over.store(true, Ordering::Relaxed);
    drop(servers.join());

    let begun = begun.lock().unwrap();
    for (at, server) in begun.iter() {
        let _ = writeln!(
            record,
            "{:9.3} {server} began the request and crashed",
            since(*at)
        );
    }
    let third = begun.get(2).map(|(at, _)| *at + CRASH_DELAY);
    let retries = third.map_or(0, |third| {
        begun.iter().filter(|(at, _)| *at > third + CONTACT).count()
    });
    let is_broken = retries > 3;
    let _ = writeln!(
        record,
        "{} servers crashed; retries that reached a server later than contactMs after the third crash: {retries}, 3 allowed; rule BUDGET {}",
        begun.len(),
        if is_broken { "BROKEN" } else { "held" }
    );
    println!("{}", record.trim_end());
    std::fs::write(folder.join("record.txt"), record).map_err(|e| e.to_string())?;
    Ok(is_broken)
}
