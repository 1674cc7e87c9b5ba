//! One process of a fleet.

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

/// How often a waiting caller looks whether the process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A process that was started here.
#[derive(Debug)]
pub struct Process {
    name: String,
    log: PathBuf,
    child: Option<Child>,
}

/// Returns the path of one of this workspace's binaries: beside the running program, or one folder
/// up for test programs.
///
/// # Errors
///
/// Fails if it is not there.
pub fn binary(program: &str) -> Result<PathBuf, Error> {
    let own = env::current_exe()?;
    let dirs = own.ancestors().skip(1).take(2);
    let mut paths = dirs.map(|dir| dir.join(program));
    paths.find(|path| path.is_file()).ok_or_else(|| {
        format!("no binary `{program}` beside this one; build the whole workspace first").into()
    })
}

impl Process {
    /// Starts `program` with its standard error appended to `NAME.jsonl` in `dir`.
    ///
    /// # Errors
    ///
    /// Fails if the program is not built, or can't be started.
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

    /// Returns the file with its event lines.
    #[must_use]
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Tells whether it was started and not ended here.
    #[must_use]
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Returns its process id, unless it was ended here.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn signal(&self, signal: Signal) -> Result<(), Error> {
        let id = self
            .id()
            .ok_or_else(|| format!("{} has ended", self.name))?;
        kill(Pid::from_raw(i32::try_from(id)?), signal)?;
        Ok(())
    }

    /// Asks it to stop by plan (SIGTERM).
    ///
    /// # Errors
    ///
    /// Fails if it has ended.
    pub fn terminate(&mut self) -> Result<(), Error> {
        self.signal(Signal::SIGTERM)
    }

    /// Freezes it (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Fails if it has ended.
    pub fn freeze(&mut self) -> Result<(), Error> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets it go on after a freeze (SIGCONT).
    ///
    /// # Errors
    ///
    /// Fails if it has ended.
    pub fn resume(&mut self) -> Result<(), Error> {
        self.signal(Signal::SIGCONT)
    }

    /// Ends it at once (SIGKILL).
    ///
    /// # Errors
    ///
    /// Fails if it can't be ended.
    pub fn kill(&mut self) -> Result<(), Error> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Checks that it still runs.
    ///
    /// # Errors
    ///
    /// Fails with its last line if it has ended by itself.
    pub fn check(&mut self) -> Result<(), Error> {
        let Some(child) = &mut self.child else {
            return Ok(());
        };
        let Some(status) = child.try_wait()? else {
            return Ok(());
        };
        let text = fs::read_to_string(&self.log)?;
        let last = text.lines().last().unwrap_or("it wrote nothing");
        Err(format!("{} ended with {status}: {last}", self.name).into())
    }

    /// Tells whether it has ended by itself.
    ///
    /// # Errors
    ///
    /// Fails if its state can't be read.
    pub fn has_ended(&mut self) -> Result<bool, Error> {
        match &mut self.child {
            Some(child) => Ok(child.try_wait()?.is_some()),
            None => Ok(true),
        }
    }

    /// Waits until it has ended by itself.
    ///
    /// # Errors
    ///
    /// Fails if it has not ended within `limit` (it is then ended), or if it ended with an error.
    pub fn wait(&mut self, limit: Duration) -> Result<(), Error> {
        let Some(child) = &mut self.child else {
            return Ok(());
        };
        let ended = wait_for(child, limit)?;
        let Some(status) = ended else {
            self.kill()?;
            return Err(format!("{} did not stop within {limit:?}", self.name).into());
        };
        self.child = None;
        if status.success() {
            return Ok(());
        }
        Err(format!("{} ended with {status}", self.name).into())
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
        // Nothing can be done about an error here; the process has most likely ended by itself.
        let _ended = self.kill();
    }
}
