//! Starts gateway processes and sends them signals.

use rustix::process::{Pid, Signal, kill_process};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::process::{Child, Command};

/// Gateway process that can be restarted; it is killed when this value is dropped.
#[derive(Debug)]
pub struct Gateway {
    /// Name of the VM.
    pub vm: Box<str>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for lookups.
    pub lookup: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Gateway {
    /// Creates a gateway without starting its process.
    pub fn new(
        vm: &str,
        callers: SocketAddr,
        lookup: SocketAddr,
        program: &Path,
        folder: &Path,
    ) -> Self {
        Self {
            vm: vm.into(),
            callers,
            lookup,
            program: program.to_owned(),
            settings: folder.join(format!("{vm}.yaml")),
            log: folder.join(format!("{vm}.log")),
            child: None,
        }
    }

    /// Returns the path of its settings file.
    pub fn settings(&self) -> &Path {
        &self.settings
    }

    /// Starts the process if it does not run.
    ///
    /// # Errors
    ///
    /// Fails if its log can't be opened or the program can't be started.
    pub fn start(&mut self) -> io::Result<()> {
        if self.is_running()? {
            return Ok(());
        }
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns whether the process runs.
    ///
    /// # Errors
    ///
    /// Fails if its state can't be read.
    pub fn is_running(&mut self) -> io::Result<bool> {
        let state = self.child.as_mut().map(Child::try_wait).transpose()?;
        Ok(matches!(state, Some(None)))
    }

    /// Sends a signal to the process if it runs.
    ///
    /// # Errors
    ///
    /// Fails if the signal can't be sent.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        if !self.is_running()? {
            return Ok(());
        }
        let id = self.child.as_ref().and_then(Child::id);
        let pid = id.and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        match pid {
            Some(pid) => Ok(kill_process(pid, signal)?),
            None => Ok(()),
        }
    }
}
