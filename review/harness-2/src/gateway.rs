//! Gateway processes, started as the deploy file says.

use crate::http;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const ZONES: [(&str, &str); 3] = [("nord-a", "nord"), ("centre-a", "centre"), ("sud-a", "sud")];

/// A running gateway; killed when it is dropped.
#[derive(Debug)]
pub struct Gateway {
    process: Child,
    file: PathBuf,
    log: PathBuf,
    pub callers: SocketAddr,
    readiness: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Gateway {
    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Starts the process again.
    ///
    /// # Errors
    ///
    /// Fails if the program can't be started.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.process = run(&self.file, &self.log)?;
        Ok(())
    }
}

/// Starts the program as the deploy file says.
fn run(file: &Path, log: &Path) -> std::io::Result<Child> {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(log)?;
    Command::new("target/release/gateway")
        .arg("--settings")
        .arg(file)
        .stdout(log.try_clone()?)
        .stderr(Stdio::from(log))
        .spawn()
}

/// Returns a port that is free at all of these addresses.
fn free_port(ips: &[IpAddr]) -> u16 {
    loop {
        let first = TcpListener::bind((ips[0], 0)).expect("a free port");
        let port = first.local_addr().expect("a bound address").port();
        let others: Vec<_> = ips[1..]
            .iter()
            .map(|ip| TcpListener::bind((*ip, port)))
            .collect();
        if others.iter().all(Result::is_ok) {
            return port;
        }
    }
}

/// Starts one gateway in each of three zones. The settings are those that `deploy/gateway.yaml`
/// gives for a small deployment.
pub fn start(folder: &Path, store: SocketAddr) -> std::io::Result<Vec<Gateway>> {
    let ips: Vec<IpAddr> = (0..3).map(|i| IpAddr::from([127, 0, 87, 11 + i])).collect();
    let ports: Vec<u16> = (0..5).map(|_| free_port(&ips)).collect();
    let seeds: Vec<String> = ips
        .iter()
        .map(|ip| format!("\"{ip}:{}\"", ports[3]))
        .collect();
    let seeds = seeds.join(", ");
    let places: Vec<String> = ZONES
        .iter()
        .map(|(zone, region)| format!("\"{zone}\": \"{region}\""))
        .collect();
    let places = places.join(", ");
    let mut gateways = Vec::new();
    for (ip, (zone, region)) in ips.iter().zip(ZONES) {
        let [callers, readiness, lookup, peers, metrics] = [0, 1, 2, 3, 4].map(|i| ports[i]);
        let settings = format!(
            r#"vm: "edge-{zone}-1"
data_centre: "{zone}"
region: "{region}"
data_centres: {{{places}}}
listen:
  callers: "{ip}:{callers}"
  readiness: "{ip}:{readiness}"
  lookup: "{ip}:{lookup}"
  peers: "{ip}:{peers}"
  metrics: "{ip}:{metrics}"
seeds: [{seeds}]
store: "{store}"
link_mbps: 1000.0
memory_mb: 260
first_start: true
bounds: {{ grace_s: 6, retry_ratio: 0.2, retry_slack: 62, exposure_share: 0.1, exposure_slack: 50, lookup_ttl_s: 5 }}
"#
        );
        let file = folder.join(format!("{zone}.yaml"));
        std::fs::write(&file, settings)?;
        let log = folder.join(format!("{zone}.log"));
        let process = run(&file, &log)?;
        gateways.push(Gateway {
            process,
            file,
            log,
            callers: SocketAddr::new(*ip, callers),
            readiness: SocketAddr::new(*ip, readiness),
        });
    }
    Ok(gateways)
}

/// Waits until all gateways are ready; returns whether they are.
pub fn wait_ready(gateways: &[Gateway], limit: Duration) -> bool {
    let until = Instant::now() + limit;
    let is_ready = |gateway: &Gateway| {
        let request = "GET /-/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let answer = http::call(gateway.readiness, request, Duration::from_secs(1));
        answer.is_ok_and(|answer| answer.status() == 200)
    };
    while Instant::now() < until {
        if gateways.iter().all(is_ready) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}
