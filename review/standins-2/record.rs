//! The record of a run: one line for each event, with the milliseconds since its start.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(dir: &str) -> Self {
        let path = std::path::Path::new(dir).join("record.txt");
        let file = File::create(path).unwrap_or_else(|err| {
            eprintln!("could not create record.txt: {err}");
            std::process::exit(2);
        });
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn line(&self, text: &str) {
        let at = self.ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:>6} {text}");
        let _ = file.flush();
    }
}
