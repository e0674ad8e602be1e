//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::{self, Write};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Lines with the seconds since the start, written to a file as they come.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Begins an empty record.
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn note(&self, line: &str) {
        let text = format!("{:8.3} {line}\n", self.seconds());
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(error) = file.write_all(text.as_bytes()) {
            eprintln!("record not written: {error}");
        }
    }
}
