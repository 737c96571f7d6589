//! The record of a run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start; clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        writeln!(file, "{at:8.3} {text}").ok();
    }
}
