//! Seeded plan of the faults and changes of a run.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Runners that a run starts with.
pub const RUNNERS: usize = 4;

/// Shortest and longest time between two steps. Steps overlap: a fault lasts up to
/// `MAX_FAULT_MS`.
const STEP_MS: std::ops::Range<u64> = 150..1200;

/// Longest fault. Shorter than the timeouts of callers, so that some requests outlive it.
const MAX_FAULT_MS: u64 = 2500;

/// Fault or planned change.
#[derive(Clone, Debug)]
pub enum Fault {
    /// SIGKILL; the router starts again at its address.
    KillRouter(usize),
    /// All routers are killed at once.
    KillAllRouters,
    /// SIGSTOP for a time.
    PauseRouter(usize, Duration),
    /// SIGTERM; the router starts again once it has exited.
    StopRouter(usize),
    /// SIGHUP.
    ReloadRouter(usize),
    /// The link between a router and the store holds back all bytes.
    SilenceStore(usize, Duration),
    /// The link between a router and the store refuses connections.
    CutStore(usize, Duration),
    /// The store answers 503.
    StoreDown(Duration),
    /// The store comes back from a copy that was made this number of changes ago.
    RestoreStore(usize),
    /// The connections to a runner are reset.
    ResetRunner(usize),
    /// The link to a runner holds back all bytes.
    SilenceRunner(usize, Duration),
    /// A runner drains in the store, and another one takes its place.
    ReplaceRunner(usize),
    /// A runner says in its answers that it leaves, before the store says so.
    AnnounceLeaving(usize),
    /// The API key is replaced by a new one.
    WithdrawKey,
    /// A prompt part begins to crash each runner that begins to answer it.
    SpoilPart,
}

/// Fault and the time at which it begins.
#[derive(Clone, Debug)]
pub struct Step {
    pub at: Duration,
    pub fault: Fault,
}

/// Steps of a run, in order of time.
#[derive(Clone, Debug)]
pub struct Plan {
    pub steps: Vec<Step>,
}

impl Plan {
    /// Creates the plan of a seed; it depends on nothing else than the arguments.
    pub fn new(seed: u64, length: Duration, routers: usize) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut steps = Vec::new();
        // The first second is calm, so that something is under way.
        let mut at = Duration::from_secs(1);
        while at < length {
            let fault = draw(&mut random, routers);
            steps.push(Step { at, fault });
            at += Duration::from_millis(random.random_range(STEP_MS));
        }
        Plan { steps }
    }
}

fn draw(random: &mut impl Rng, routers: usize) -> Fault {
    let router = random.random_range(0..routers);
    let runner = random.random_range(0..RUNNERS);
    let time = Duration::from_millis(random.random_range(100..MAX_FAULT_MS));
    match random.random_range(0..30) {
        0..=2 => Fault::KillRouter(router),
        3 => Fault::KillAllRouters,
        4..=6 => Fault::PauseRouter(router, time),
        7..=9 => Fault::StopRouter(router),
        10 => Fault::ReloadRouter(router),
        11..=12 => Fault::SilenceStore(router, time),
        13 => Fault::CutStore(router, time),
        14..=15 => Fault::StoreDown(time),
        16..=17 => Fault::RestoreStore(random.random_range(1..5)),
        18..=19 => Fault::ResetRunner(runner),
        20..=21 => Fault::SilenceRunner(runner, time),
        22..=23 => Fault::ReplaceRunner(runner),
        24 => Fault::AnnounceLeaving(runner),
        25..=26 => Fault::SpoilPart,
        _ => Fault::WithdrawKey,
    }
}
