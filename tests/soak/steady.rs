//! Plan of a small fleet whose runners are listed with one software version throughout, while
//! processes of another one answer for short times.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rand::{Rng, RngExt};

use crate::plan::{Fault, Step, random_ms};
use crate::process::Process;
use crate::server::{Listing, now_ms};
use crate::shape::Shape;

/// Shortest and longest time between two steps, and time for which a process of another version
/// answers.
const STEP_MS: std::ops::Range<u64> = 200..900;
const ANSWER_MS: std::ops::Range<u64> = 150..1800;

/// Longest time for which a runner is down before and after that.
const MAX_DOWN_MS: u64 = 100;

/// Longest time by which the entry of a process lags behind its start.
const MAX_LAG_MS: u64 = 2500;

/// Time for which a process sends no report that is asked for.
const SILENCE_MS: std::ops::Range<u64> = 300..2000;

/// Longest fault of a router or its link to the store: the list of runners stays confirmed.
const MAX_FAULT_MS: u64 = 2000;

/// Time before the end of the plan from which on entries of other versions are written. From
/// then on, routers infer no sole version.
const LISTED_TIME: Duration = Duration::from_secs(2);

/// Time for which other runners have no room when a listed version appears, and times from then
/// on at which its streams break off.
const FULL_LEAD: Duration = Duration::from_millis(300);
const RESET_MS: std::ops::Range<u64> = 100..900;

/// Process of another version that answers for a runner.
#[derive(Clone, Copy, Debug)]
pub struct OtherVersion {
    /// Time for which the runner is down before and after it.
    pub down: Duration,
    /// Time from its start to its end.
    pub time: Duration,
    /// Time from its start on within which it answers no report.
    pub silence: Duration,
    /// Time from its start to its entry, which may be written after its end; `None` if there
    /// is none.
    pub lag: Option<Duration>,
    /// Time from the next start, at the version before, to the entry of that.
    pub return_lag: Duration,
}

impl OtherVersion {
    fn draw(random: &mut impl Rng, is_listed: bool) -> Self {
        let lag = random_ms(random, 0..MAX_LAG_MS);
        let silence = match random.random_range(0..4) {
            0 => random_ms(random, SILENCE_MS),
            _ => Duration::ZERO,
        };
        OtherVersion {
            down: random_ms(random, 0..MAX_DOWN_MS),
            time: random_ms(random, ANSWER_MS),
            silence,
            lag: is_listed.then_some(lag),
            return_lag: match random.random_range(0..3) {
                0 => random_ms(random, 0..MAX_LAG_MS),
                _ => Duration::ZERO,
            },
        }
    }

    /// Starts the process of the newest version, ends it and starts one of the usual version,
    /// unless the runner was started or ended otherwise since `generation`.
    pub fn play(
        self,
        process: &Arc<Process>,
        listing: &Listing,
        generation: u64,
        (newest, usual): (usize, usize),
    ) {
        thread::sleep(self.down);
        let born = now_ms();
        process.set_silence(self.silence);
        let is_started = process.start(generation, born, newest);
        process.set_silence(Duration::ZERO);
        if !is_started {
            return;
        }
        thread::scope(|scope| {
            if let Some(lag) = self.lag {
                scope.spawn(move || {
                    thread::sleep(lag);
                    listing.update(born, newest);
                });
            }
            thread::sleep(self.time);
            let Some(generation) = process.kill_if_unchanged(generation + 1) else {
                return;
            };
            thread::sleep(self.down);
            let born = now_ms();
            if process.start(generation, born, usual) {
                thread::sleep(self.return_lag);
                listing.update(born, usual);
            }
        });
    }
}

/// Returns the steps of a run.
pub fn steps(random: &mut impl Rng, length: Duration, shape: &Shape) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut add = |at, fault| steps.push(Step { at, fault });
    // The version that no entry names at first.
    add(Duration::ZERO, Fault::Release);
    let listed_from = length.saturating_sub(LISTED_TIME);
    if random.random() {
        list_new_version(random, listed_from, shape, &mut add);
    }
    let mut at = Duration::from_secs(1);
    while at < length {
        let place = random.random_range(0..shape.places);
        let is_listed = at > listed_from && random.random();
        match random.random_range(0..12) {
            0 => {
                let other = OtherVersion::draw(random, is_listed);
                (0..shape.places).for_each(|place| add(at, Fault::RunOtherVersion(place, other)));
            }
            1..=8 => {
                let other = OtherVersion::draw(random, is_listed);
                add(at, Fault::RunOtherVersion(place, other));
                if random.random_range(0..3) == 0 {
                    let reset_at = at + other.down + other.time.mul_f64(random.random());
                    add(reset_at, Fault::ResetRunner(place));
                }
            }
            _ => add(at, usual_fault(random, shape)),
        }
        at += random_ms(random, STEP_MS);
    }
    steps
}

/// Returns a fault that leaves the versions as they are.
fn usual_fault(random: &mut impl Rng, shape: &Shape) -> Fault {
    let router = random.random_range(0..shape.routers);
    let place = random.random_range(0..shape.places);
    let time = random_ms(random, 100..MAX_FAULT_MS);
    match random.random_range(0..8) {
        0..=1 => Fault::KillRouter(router),
        2 => Fault::PauseRouter(router, time),
        3 => Fault::SilenceStore(router, time),
        4 => Fault::SilenceRunner(place, time),
        5 => Fault::ReplaceRunner(place),
        _ => Fault::ResetRunner(place),
    }
}

/// Lists a runner of a new version at `at` while all others have no room, resets its streams
/// and kills a router before all routers have heard of it for long.
fn list_new_version(
    random: &mut impl Rng,
    at: Duration,
    shape: &Shape,
    add: &mut impl FnMut(Duration, Fault),
) {
    let place = random.random_range(0..shape.places);
    let time = Duration::from_millis(MAX_FAULT_MS);
    add(at.saturating_sub(FULL_LEAD), Fault::LimitSlots(time));
    for router in 0..shape.routers {
        if random.random() {
            let time = random_ms(random, 500..MAX_FAULT_MS);
            add(at, Fault::SilenceStore(router, time));
        }
    }
    add(at, Fault::Release);
    add(at, Fault::UpgradeRunner(place, time));
    let router = random.random_range(0..shape.routers);
    add(at + random_ms(random, RESET_MS), Fault::KillRouter(router));
    for _ in 0..3 {
        add(at + random_ms(random, RESET_MS), Fault::ResetRunner(place));
    }
}
