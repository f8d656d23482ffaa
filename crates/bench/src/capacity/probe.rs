//! A probe: one figure of one real component at one size, each taken in a
//! process of its own so that memory can be told from the process.

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use serde::Serialize;

use super::fit::Line;
use crate::error::Error;

/// The hidden subcommand that runs one probe at one size.
pub const SUBCOMMAND: &str = "probe";

/// Shortest time that a timed probe runs.
const TIMED: Duration = Duration::from_millis(200);

/// What is measured of what.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// Name, unique among the probes.
    pub name: &'static str,
    /// What is measured.
    pub what: &'static str,
    /// Unit of the figure.
    pub unit: &'static str,
    /// What the size counts.
    pub against: &'static str,
    /// Takes the figure at a size.
    pub run: fn(u64) -> f64,
}

/// The figures of a probe at several sizes, with the line through them.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// Name of the probe.
    pub name: &'static str,
    /// What was measured.
    pub what: &'static str,
    /// Unit.
    pub unit: &'static str,
    /// What the sizes count.
    pub against: &'static str,
    /// Sizes and figures.
    pub points: Vec<(f64, f64)>,
    /// The line.
    pub line: Line,
}

impl Slope {
    /// Takes the figures of `probe` at a quarter, half, three quarters and the
    /// whole of `full`, each in a process of its own.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] if a process cannot be run or fails.
    pub fn new(probe: &Probe, full: u64) -> Result<Self, Error> {
        let mut points = Vec::new();
        for quarter in 1..=4 {
            let size = (full * quarter / 4).max(1);
            points.push((size as f64, outside(probe, size)?));
        }
        Ok(Slope {
            name: probe.name,
            what: probe.what,
            unit: probe.unit,
            against: probe.against,
            line: Line::new(&points),
            points,
        })
    }

    /// Returns the figure measured at the full size.
    #[must_use]
    pub fn full(&self) -> f64 {
        self.points.last().map_or(0.0, |&(_, figure)| figure)
    }
}

fn outside(probe: &Probe, size: u64) -> Result<f64, Error> {
    let failed = |reason: String| Error::Start {
        what: format!("probe {} at {size}", probe.name),
        reason,
    };
    let binary = std::env::current_exe().map_err(|error| failed(error.to_string()))?;
    let output = Command::new(binary)
        .args([SUBCOMMAND, probe.name, &size.to_string()])
        .stderr(Stdio::inherit())
        .output()
        .map_err(|error| failed(error.to_string()))?;
    let text = String::from_utf8_lossy(&output.stdout);
    let figure = text.trim().parse();
    figure.map_err(|_| failed(format!("{} and output {text:?}", output.status)))
}

/// Returns the resident memory of this process in bytes.
#[must_use]
pub fn resident() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.unwrap_or(0.0) * 1024.0
}

/// Returns the bytes by which resident memory grows when `make` runs.
pub fn memory<T>(make: impl FnOnce() -> T) -> f64 {
    let before = resident();
    let value = make();
    let after = resident();
    drop(value);
    (after - before).max(0.0)
}

/// Returns the mean time of one call of `run` in microseconds.
pub fn micros(mut run: impl FnMut()) -> f64 {
    run();
    let start = Instant::now();
    let mut calls = 0_u32;
    while start.elapsed() < TIMED {
        run();
        calls += 1;
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(calls.max(1))
}
