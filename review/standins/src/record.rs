//! The record of a play: one line for each thing sent, answered or run, with the time since the
//! start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn open(path: &Path) -> Self {
        let file = File::create(path).expect("the record");
        Self { begun: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) }
    }

    pub fn line(&self, text: &str) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        writeln!(file, "{at:9.3} {text}").ok();
        file.flush().ok();
    }
}

/// A temporary folder, removed at the end.
pub struct Folder(pub std::path::PathBuf);

impl Folder {
    pub fn new() -> Self {
        let path = std::env::temp_dir().join(format!("stackmast-review-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).ok();
    }
}

/// Numbers that look random, the same for the same seed.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Which answers of a replica are spoiled: never more than a share of those that it has given.
pub struct Dose {
    share: f64,
    answers: f64,
    spoiled: f64,
    random: Random,
}

impl Dose {
    pub fn new(share: f64, seed: u64) -> Self {
        Self { share, answers: 0.0, spoiled: 0.0, random: Random(seed) }
    }

    /// Counts an answer; returns whether it is spoiled.
    pub fn next(&mut self) -> bool {
        self.answers += 1.0;
        let is_spoiled =
            self.spoiled + 1.0 <= self.share * self.answers && self.random.next() < 0.5;
        self.spoiled += f64::from(u8::from(is_spoiled));
        is_spoiled
    }
}
