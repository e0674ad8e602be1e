//! Record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// File that all threads of a case write to.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file, in place of an earlier one.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    /// Seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.seconds();
        println!("{at:8.3} {text}");
        if let Ok(mut file) = self.file.lock() {
            let _written = writeln!(file, "{at:8.3} {text}");
        }
    }
}
