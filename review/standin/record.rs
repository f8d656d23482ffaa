//! The record of a case, and its end if it cannot run.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// Ends the case with status 2.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::process::exit(2);
}

/// Milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// Lines of `record.txt`, with the time in seconds since the start of the case. Runners that
/// are processes of their own append to the same file.
#[derive(Clone)]
pub struct Record {
    pub path: String,
    pub start_ms: u64,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        if let Err(error) = File::create(path) {
            cannot_run(&format!("{path}: {error}"));
        }
        Record::append(path, wall_ms())
    }

    pub fn append(path: &str, start_ms: u64) -> Self {
        match File::options().append(true).open(path) {
            Ok(file) => Record {
                path: path.to_owned(),
                start_ms,
                file: Arc::new(Mutex::new(file)),
            },
            Err(error) => cannot_run(&format!("{path}: {error}")),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let elapsed = wall_ms().saturating_sub(self.start_ms) as f64 / 1000.0;
        let line = format!("{elapsed:8.3} {}\n", text.as_ref());
        let mut file = self.file.lock().expect("no thread panicked");
        let _ = file.write_all(line.as_bytes());
    }
}
