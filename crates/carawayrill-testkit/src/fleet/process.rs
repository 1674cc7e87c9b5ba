//! Starts, signals and waits for one process of a fleet.

use std::env;
use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

use crate::fleet::Error;

/// The interval at which a wait checks whether the process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A child process with its log file.
#[derive(Debug)]
pub struct Process {
    name: String,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns the path of a binary of this workspace. Looks in the directory of the current program
/// and, for test programs, in its parent directory.
///
/// # Errors
///
/// Returns an error if the binary is not there.
pub fn binary(program: &str) -> Result<PathBuf, Error> {
    let own = env::current_exe()?;
    let dirs = own.ancestors().skip(1).take(2);
    let mut paths = dirs.map(|dir| dir.join(program));
    paths.find(|path| path.is_file()).ok_or_else(|| {
        format!("could not find binary `{program}`; build the whole workspace first").into()
    })
}

impl Process {
    /// Starts `program`. Appends its standard error to `NAME.jsonl` in `dir`.
    ///
    /// # Errors
    ///
    /// Returns an error if the program is not built or can't be started.
    pub fn start(dir: &Path, name: &str, program: &str, args: &[&str]) -> Result<Self, Error> {
        let log = dir.join(format!("{name}.jsonl"));
        let file = File::options().create(true).append(true).open(&log)?;
        let child = Command::new(binary(program)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(file)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            log,
            child: Some(child),
        })
    }

    /// Returns the path of its log file, which holds its event lines.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Returns whether the process was neither killed nor waited for. It may have exited on its
    /// own.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Returns its process id, or `None` if it was killed or waited for.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn signal(&self, signal: Signal) -> Result<(), Error> {
        let id = self
            .id()
            .ok_or_else(|| format!("process {} has ended", self.name))?;
        kill(Pid::from_raw(i32::try_from(id)?), signal)?;
        Ok(())
    }

    /// Requests a graceful shutdown (SIGTERM).
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or can't be signalled.
    pub fn terminate(&mut self) -> Result<(), Error> {
        self.signal(Signal::SIGTERM)
    }

    /// Freezes the process (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or can't be signalled.
    pub fn freeze(&mut self) -> Result<(), Error> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes the process after a freeze (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or can't be signalled.
    pub fn resume(&mut self) -> Result<(), Error> {
        self.signal(Signal::SIGCONT)
    }

    /// Kills the process (SIGKILL) and waits until it has exited.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be killed.
    pub fn kill(&mut self) -> Result<(), Error> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Checks that the process has not exited on its own.
    ///
    /// # Errors
    ///
    /// Returns an error with its last log line if it has exited.
    pub fn check(&mut self) -> Result<(), Error> {
        let Some(child) = &mut self.child else {
            return Ok(());
        };
        let Some(status) = child.try_wait()? else {
            return Ok(());
        };
        let text = fs::read_to_string(&self.log)?;
        let last = text.lines().last().unwrap_or("its log is empty");
        Err(format!("process {} ended with {status}: {last}", self.name).into())
    }

    /// Returns whether the process has exited, was killed or was waited for.
    ///
    /// # Errors
    ///
    /// Returns an error if the state of the process can't be read.
    pub fn has_ended(&mut self) -> Result<bool, Error> {
        match &mut self.child {
            Some(child) => Ok(child.try_wait()?.is_some()),
            None => Ok(true),
        }
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not exit within `limit` (it is then killed), or if it
    /// exits with a failure status.
    pub fn wait(&mut self, limit: Duration) -> Result<(), Error> {
        let Some(child) = &mut self.child else {
            return Ok(());
        };
        let ended = wait_for(child, limit)?;
        let Some(status) = ended else {
            self.kill()?;
            return Err(format!("process {} did not stop within {limit:?}", self.name).into());
        };
        self.child = None;
        if status.success() {
            return Ok(());
        }
        Err(format!("process {} ended with {status}", self.name).into())
    }
}

fn wait_for(child: &mut Child, limit: Duration) -> Result<Option<ExitStatus>, Error> {
    let started = Instant::now();
    loop {
        if let Some(status) = child.try_wait()? {
            return Ok(Some(status));
        }
        if started.elapsed() >= limit {
            return Ok(None);
        }
        thread::sleep(POLL_INTERVAL);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // `drop` can't report an error. The likely cause is that the process has already exited.
        let _ended = self.kill();
    }
}
