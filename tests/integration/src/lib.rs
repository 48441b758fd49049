//! Starts deployments of real processes on loopback for the tests of this package.

pub mod call;

use base::http::client::{Answer, Error, Target};
use bench::args::Load;
use bench::load::Summary;
use bench::topology::{self, ADMIN_TOKEN, Deployment};
use hyper::Method;
use operators::admin::{Client, Issue, Issued, Proposal, Status, Verdict};
use operators::bundle::Files;
use platform::list::{Backend, List};
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Timeout of a wait for a condition; it only ends tests that hang and is no bound of the system.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of one HTTP call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Deployment of real processes, which are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    directory: PathBuf,
    processes: Vec<(Box<str>, Child)>,
}

impl Fleet {
    /// Starts all processes of a deployment; `port` must differ between tests.
    ///
    /// # Panics
    ///
    /// Panics if a file can't be written or a program can't be started.
    pub fn start(deployment: Deployment, port: u16) -> Self {
        Self::start_with(deployment, port, &[])
    }

    /// Starts a deployment with additional settings, given as program and lines.
    ///
    /// # Panics
    ///
    /// Panics as [`Fleet::start`] does.
    pub fn start_with(deployment: Deployment, port: u16, settings: &[(&str, &str)]) -> Self {
        let directory = std::env::temp_dir().join(format!("cardamomhall-{port}"));
        topology::write(deployment, &directory, port).expect("files of the deployment");
        for (program, lines) in settings {
            for index in 0..deployment.nodes {
                let name = format!("vm-{:02}-{program}.yaml", index + 1);
                let file = directory.join(name);
                let text = std::fs::read_to_string(&file).expect("settings");
                std::fs::write(file, text + lines).expect("settings");
            }
        }
        let lines = std::fs::read_to_string(directory.join("processes")).expect("process list");
        let mut fleet = Self {
            directory,
            processes: Vec::new(),
        };
        for line in lines.lines() {
            fleet.spawn(line);
            if line.starts_with("platform ") {
                wait_for_listener(fleet.address("vm-01-control", "platform"));
            }
        }
        fleet
    }

    /// Returns the names of the processes that exited or were killed.
    pub fn exited(&mut self) -> Vec<Box<str>> {
        let has_exited = |child: &mut Child| !matches!(child.try_wait(), Ok(None));
        let processes = self.processes.iter_mut();
        let names = processes.filter_map(|(name, child)| has_exited(child).then(|| name.clone()));
        names.collect()
    }

    /// Returns the backend servers of a service by name, with their addresses.
    ///
    /// # Panics
    ///
    /// Panics if the platform's stand-in does not answer.
    pub async fn backends(&self, service: &str) -> Vec<Backend> {
        let answer = self
            .call_platform(Method::GET, "/vms", &serde_json::Value::Null)
            .await;
        let list: List = answer.decode().expect("the list");
        let mut backends = list.backends;
        backends.retain(|backend| &*backend.service == service);
        backends
    }

    /// Changes the behaviour of a backend server.
    ///
    /// # Panics
    ///
    /// Panics if it does not answer.
    pub async fn set_behaviour(&self, backend: &Backend, behaviour: &serde_json::Value) {
        backend_target(backend)
            .call_json(Method::PUT, "/switch", behaviour)
            .await
            .expect("the stand-in answers");
    }

    /// Returns the sum of a count, such as `served` or `in_flight`, over backend servers; one that
    /// does not answer counts as 0.
    pub async fn sum_counts(&self, backends: &[Backend], count: &str) -> u64 {
        let path = if count == "in_flight" {
            "/health"
        } else {
            "/counts"
        };
        let mut sum = 0;
        for backend in backends {
            let answer = backend_target(backend).call(Method::GET, path, "").await;
            let value = answer.and_then(|answer| answer.decode::<serde_json::Value>());
            sum += value.map_or(0, |value| value[count].as_u64().unwrap_or(0));
        }
        sum
    }

    fn spawn(&mut self, line: &str) {
        let (name, command) = line.split_once(' ').expect("name and command");
        let mut words = command.split(' ');
        let program = program_directory().join(words.next().expect("program"));
        let log = std::fs::File::create(self.directory.join(format!("{name}.log"))).expect("log");
        let child = Command::new(program)
            .args(words)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("program starts; `cargo build --workspace --bins` builds it");
        self.processes.push((name.into(), child));
    }

    /// Restarts a process of the deployment that was stopped or killed.
    ///
    /// # Panics
    ///
    /// Panics if the deployment has no such process.
    pub fn restart(&mut self, name: &str) {
        let lines = std::fs::read_to_string(self.directory.join("processes")).expect("list");
        let line = lines
            .lines()
            .find(|line| line.starts_with(&format!("{name} ")));
        self.processes.retain(|(known, _)| &**known != name);
        self.spawn(line.expect("process of this name"));
    }

    /// Replaces settings of a process, given as lines of YAML; they apply from its next start.
    ///
    /// # Panics
    ///
    /// Panics if the settings can't be read or written.
    pub fn replace_settings(&self, program: &str, settings: &str) {
        let file = self.directory.join(format!("{program}.yaml"));
        let text = std::fs::read_to_string(&file).expect("settings");
        let names = settings.lines().filter_map(|line| line.split_once(':'));
        let names: Vec<&str> = names.map(|(name, _)| name).collect();
        let replaced = |line: &&str| {
            let name = line.split_once(':').map(|(name, _)| name);
            name.is_none_or(|name| !names.contains(&name))
        };
        let kept: Vec<&str> = text.lines().filter(replaced).collect();
        let text = format!("{}\n{settings}\n", kept.join("\n"));
        std::fs::write(file, text).expect("settings are written");
    }

    /// Sends a signal, such as `KILL`, `TERM`, `STOP` or `CONT`, to a process.
    ///
    /// # Panics
    ///
    /// Panics if the deployment has no such process.
    pub fn signal(&self, name: &str, signal: &str) {
        let child = self.processes.iter().find(|(known, _)| &**known == name);
        let id = child.expect("process of this name").1.id();
        let status = Command::new("kill")
            .arg(format!("-{signal}"))
            .arg(id.to_string())
            .status();
        assert!(
            status.expect("kill runs").success(),
            "signal {signal} to {name}"
        );
    }

    /// Waits until a process exits and returns whether it succeeded.
    ///
    /// # Panics
    ///
    /// Panics if the deployment has no such process.
    pub fn wait_exit(&mut self, name: &str) -> bool {
        let child = self
            .processes
            .iter_mut()
            .find(|(known, _)| &**known == name);
        child
            .expect("process of this name")
            .1
            .wait()
            .expect("process ends")
            .success()
    }

    /// Returns a setting of a program of a VM, such as `("vm-01-control", "admin")`.
    ///
    /// # Panics
    ///
    /// Panics if there is no such setting.
    pub fn address(&self, program: &str, setting: &str) -> SocketAddr {
        let text = std::fs::read_to_string(self.directory.join(format!("{program}.yaml")));
        let text = text.expect("settings");
        let prefix = format!("{setting}: ");
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix(&*prefix))
            .expect("setting");
        value.parse().expect("address")
    }

    /// Returns the current log of a process.
    pub fn log(&self, name: &str) -> String {
        std::fs::read_to_string(self.directory.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Returns a client of a VM's administration API.
    pub fn admin(&self, vm: &str) -> Client {
        let authorization = Some(format!("Bearer {ADMIN_TOKEN}").into());
        let address = self.address(&format!("{vm}-control"), "admin");
        Client::new(Target {
            address,
            timeout: CALL_TIMEOUT,
            authorization,
        })
    }

    /// Calls the platform's stand-in.
    ///
    /// # Panics
    ///
    /// Panics if it does not answer.
    pub async fn call_platform(
        &self,
        method: Method,
        path: &str,
        body: &serde_json::Value,
    ) -> Answer {
        let address = self.address("vm-01-control", "platform");
        let target = Target {
            address,
            timeout: CALL_TIMEOUT,
            authorization: None,
        };
        target
            .call_json(method, path, body)
            .await
            .expect("the stand-in answers")
    }

    /// Sends a PUT request to a backend server's stand-in; waits until that listens.
    ///
    /// # Panics
    ///
    /// Panics if there is no such server or it does not answer.
    pub async fn put_backend(&self, name: &str, path: &str, body: &serde_json::Value) -> Answer {
        let lines = std::fs::read_to_string(self.directory.join("processes")).expect("list");
        let line = lines
            .lines()
            .find(|line| line.starts_with(&format!("{name} ")));
        let mut words = line.expect("process of this name").split(' ');
        words.find(|word| *word == "--listen");
        let target = Target {
            address: words.next().expect("address").parse().expect("address"),
            timeout: CALL_TIMEOUT,
            authorization: None,
        };
        let end = Instant::now() + WAIT_TIMEOUT;
        loop {
            match target.call_json(Method::PUT, path, body).await {
                // The stand-in may not listen yet.
                Err(Error::Connect(_)) if Instant::now() < end => {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                answer => return answer.expect("the stand-in answers"),
            }
        }
    }

    /// Returns the number of requests that a backend server has served.
    ///
    /// # Panics
    ///
    /// Panics if there is no such server or it does not answer.
    pub async fn served(&self, name: &str) -> u64 {
        self.counts(name).await["served"].as_u64().expect("number")
    }

    /// Returns all counts of a backend server.
    ///
    /// # Panics
    ///
    /// Panics if there is no such server or it does not answer.
    pub async fn counts(&self, name: &str) -> serde_json::Value {
        let answer = self.put_backend(name, "/counts", &serde_json::Value::Null);
        answer.await.decode().expect("counts")
    }

    /// Starts or ends an outage of the platform.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not answer.
    pub async fn set_outage(&self, outage: bool) {
        let fault = serde_json::json!({ "outage": outage });
        self.call_platform(Method::PUT, "/switch", &fault).await;
    }

    /// Returns the status of the fleet as a VM reports it.
    ///
    /// # Panics
    ///
    /// Panics if the VM does not answer.
    pub async fn status(&self, vm: &str) -> Status {
        self.admin(vm).status().await.expect("a status")
    }

    /// Calls a backend server directly.
    ///
    /// # Panics
    ///
    /// Panics if the deployment has no such server or it does not answer.
    pub async fn call_backend(&self, name: &str, method: Method, path: &str, body: &str) -> Answer {
        let text = std::fs::read_to_string(self.directory.join("list.yaml")).expect("list");
        let list: List = serde_json::from_str(&text).expect("list");
        let backend = list.backends.iter().find(|backend| &*backend.name == name);
        let target = Target {
            address: backend.expect("server of this name").address,
            timeout: CALL_TIMEOUT,
            authorization: None,
        };
        let body = body.to_owned();
        target.call(method, path, body).await.expect("an answer")
    }

    /// Returns the sum of a metric of a VM's entry over all its labels.
    ///
    /// # Panics
    ///
    /// Panics if the metrics can't be read.
    pub async fn metric(&self, vm: &str, name: &str) -> f64 {
        let target = Target {
            address: self.address(&format!("{vm}-entry"), "metrics"),
            timeout: CALL_TIMEOUT,
            authorization: None,
        };
        let answer = target.call(Method::GET, "/metrics", "").await;
        let answer = answer.expect("metrics");
        let text = std::str::from_utf8(&answer.body).expect("text");
        let is_match = |line: &&str| {
            let rest = line.strip_prefix("cardamomhall_");
            let rest = rest.and_then(|rest| rest.strip_prefix(name));
            rest.is_some_and(|rest| rest.starts_with([' ', '{']))
        };
        (text.lines().filter(is_match))
            .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
            .sum()
    }

    /// Publishes the example files of a deployment through a VM, based on version 0.
    ///
    /// # Panics
    ///
    /// Panics if they are not accepted.
    pub async fn publish(&self, vm: &str, example: &str) -> u64 {
        self.publish_files(vm, 0, examples(example)).await
    }

    /// Publishes files through a VM, based on a version.
    ///
    /// # Panics
    ///
    /// Panics if they are not accepted.
    pub async fn publish_files(&self, vm: &str, base: u64, files: Files) -> u64 {
        let admin = self.admin(vm);
        wait_until("the administration API answers", async || {
            admin.status().await.is_ok()
        })
        .await;
        let proposal = Proposal {
            base,
            author: "test".into(),
            files,
        };
        match admin.publish(&proposal).await.expect("an answer") {
            Verdict::Accepted { version } => version,
            other => panic!("not accepted: {other:?}"),
        }
    }

    /// Issues a key through a VM that has the configuration.
    ///
    /// # Panics
    ///
    /// Panics if no key is issued.
    pub async fn issue_key(&self, vm: &str, workspace: &str) -> Issued {
        self.admin(vm)
            .issue(&Issue {
                workspace: workspace.into(),
            })
            .await
            .expect("a key")
    }

    /// Sends requests through the entry of a VM and counts their outcomes.
    ///
    /// # Panics
    ///
    /// Panics if the options are invalid.
    pub async fn load(&self, vm: &str, load: Load) -> Summary {
        let address = Some(self.address(&format!("{vm}-entry"), "listen"));
        bench::load::run(Load { address, ..load })
            .await
            .expect("a summary")
    }
}

fn backend_target(backend: &Backend) -> Target {
    Target {
        address: backend.address,
        timeout: CALL_TIMEOUT,
        authorization: None,
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, child) in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns the example files of a deployment.
///
/// # Panics
///
/// Panics if they can't be read.
pub fn examples(name: &str) -> Files {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    cardamomctl::files::read(&directory).expect("example files")
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics if it does not hold for a minute.
pub async fn wait_until<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < end, "gave up waiting until {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits until a process listens, so that processes that depend on it can start.
fn wait_for_listener(address: SocketAddr) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while std::net::TcpStream::connect(address).is_err() {
        assert!(Instant::now() < end, "nothing listens on {address}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Returns the directory of the programs, the parent of the test's directory.
fn program_directory() -> PathBuf {
    let test = std::env::current_exe().expect("path of the test");
    test.ancestors()
        .nth(2)
        .expect("target directory")
        .to_path_buf()
}
