//! Seeded plan of the faults and changes of a run.

use std::time::Duration;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::shape::Shape;
use crate::steady::{self, OtherVersion};

/// Shortest and longest time between two steps. Steps overlap: a fault lasts up to
/// `MAX_FAULT_MS`.
const STEP_MS: std::ops::Range<u64> = 150..1200;

/// Shortest and longest time between two steps that concern runners.
const RUNNER_STEP_MS: std::ops::Range<u64> = 150..900;

/// Longest time for which a runner process is down, and by which its entry in the store lags
/// behind its start.
const MAX_DOWN_MS: u64 = 1500;
const MAX_LAG_MS: u64 = 800;

/// Shortest time from a release to the next one, and longest time between two runners of it.
const RELEASE_TIME: Duration = Duration::from_secs(4);
const MAX_UPGRADE_MS: u64 = 400;

/// Longest time for which a runner serves after the store accepted that it drains, and the
/// shortest: `drain_ms` of the settings.
const DRAIN_MS: std::ops::Range<u64> = 2000..3500;

/// Longest fault. Shorter than the timeouts of callers, so that some requests outlive it.
const MAX_FAULT_MS: u64 = 2500;

/// Shortest time from a release of a large fleet to the next one: all streams of the version
/// before have ended for a while. Time from a release on in which runners may start again at
/// another version.
const LARGE_RELEASE_TIME: Duration = Duration::from_secs(13);
const MIXED_TIME: Duration = Duration::from_secs(6);

/// Runners of a large fleet that are replaced at once during a release, and the time until
/// the next ones are.
const BATCH: usize = 15;
const BATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Shortest and longest time for which a router of a large fleet is stopped.
const FREEZE_MS: std::ops::Range<u64> = 1000..4000;

/// Shortest and longest time for which a router has a small part of a core, and for which it
/// runs and waits in turn.
const SLOW_MS: std::ops::Range<u64> = 2000..6000;
const RUN_MS: std::ops::Range<u64> = 5..20;
const WAIT_MS: std::ops::Range<u64> = 30..180;

/// Share of the routers of a large fleet that freeze or are slow at once, as a divisor.
const TROUBLED_DIVISOR: usize = 8;

/// Most runners of a large fleet that end at once.
const MAX_ENDED: usize = 10;

/// Stream of random numbers that the trouble of runners is drawn from.
const TROUBLE_STREAM: u64 = 1 << 32;

/// Shortest and longest time for which a runner gathers answers that it resets together, from
/// one such reset to the next of a series, and for which it sends malformed answers.
const GATHER_MS: std::ops::Range<u64> = 200..800;
const RESET_INTERVAL_MS: std::ops::Range<u64> = 10..400;
const MALFORM_MS: std::ops::Range<u64> = 200..2000;

/// Longest series of such resets.
const MAX_RESETS: u64 = 3;

/// Time from which on a router is stopped before answers are reset, and the shortest and
/// longest time for which it is.
const STOP_LEAD: Duration = Duration::from_millis(20);
const STOP_MS: std::ops::Range<u64> = 40..250;

/// Fault or planned change.
#[derive(Clone, Debug)]
pub enum Fault {
    /// SIGKILL; the router starts again at its address.
    KillRouter(usize),
    /// All routers are killed at once.
    KillAllRouters,
    /// SIGSTOP for a time.
    PauseRouter(usize, Duration),
    /// SIGSTOP and SIGCONT in turn.
    SlowRouter {
        index: usize,
        cycle: Cycle,
        time: Duration,
    },
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
    /// SIGKILL of a runner process, which is back at its address after a time.
    RestartRunner {
        place: usize,
        down: Duration,
        change: Change,
    },
    /// A process of the newest version answers for a runner for a time.
    RunOtherVersion(usize, OtherVersion),
    /// The entries of all runners name one slot for a time.
    LimitSlots(Duration),
    /// A new software version becomes the newest one.
    Release,
    /// A runner drains, and one of the newest version takes its place. The old one ends after
    /// a time.
    UpgradeRunner(usize, Duration),
    /// Runners drain at once, and others of the newest version take their places. The old
    /// ones end after a time.
    UpgradeRunners(Vec<usize>, Duration),
    /// The timeout of the routes of streams changes, or is the usual one again.
    ChangeTimeout,
    /// The API key is replaced by a new one.
    WithdrawKey,
    /// A prompt part begins to crash each runner that begins to answer it.
    SpoilPart,
    /// The answers of a runner that begin within a time have no length, and plain ones are held
    /// in the middle.
    HoldAnswers(usize, Duration),
    /// A runner resets this share in percent of its answers without a length at one moment.
    ResetAnswers { place: usize, share: u64 },
    /// Some answers of a runner that begin within a time are malformed.
    MalformAnswers(usize, Duration),
}

/// Times for which a router that has a small part of a core runs and waits in turn.
#[derive(Clone, Copy, Debug)]
pub struct Cycle {
    pub run: Duration,
    pub wait: Duration,
}

/// Change of a runner process that starts again.
#[derive(Clone, Copy, Debug)]
pub enum Change {
    /// The start of its lifetime.
    Life,
    /// Its id. The entry of the old one is removed after a time.
    Id(Duration),
    /// Its software version. Its entry in the store follows after a time.
    Version(Duration),
}

impl Change {
    fn keep_version(&mut self) {
        if let Change::Version(_) = self {
            *self = Change::Life;
        }
    }
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
    pub fn new(seed: u64, length: Duration, shape: &Shape) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        if shape.is_steady {
            let mut steps = steady::steps(&mut random, length, shape);
            steps.sort_by_key(|step| step.at);
            return Plan { steps };
        }
        let mut steps = Vec::new();
        // The first second is calm, so that something is under way.
        let mut at = Duration::from_secs(1);
        while at < length {
            let fault = draw(&mut random, shape);
            steps.push(Step { at, fault });
            at += Duration::from_millis(random.random_range(STEP_MS));
        }
        steps.extend(match shape.is_large {
            false => runner_steps(&mut random, length, shape),
            true => large_steps(&mut random, length, shape),
        });
        // The other steps of a seed stay as they are.
        random.set_stream(TROUBLE_STREAM);
        steps.extend(trouble_steps(&mut random, length, shape));
        steps.sort_by_key(|step| step.at);
        Plan { steps }
    }
}

fn draw(random: &mut impl Rng, shape: &Shape) -> Fault {
    let router = random.random_range(0..shape.routers);
    let runner = random.random_range(0..shape.places);
    let time = random_ms(random, 100..MAX_FAULT_MS);
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

/// Returns the steps that concern runners only.
fn runner_steps(random: &mut impl Rng, length: Duration, shape: &Shape) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = Duration::from_secs(1);
    let mut next_release = Duration::ZERO;
    while at < length {
        match random.random_range(0..14) {
            0..=2 if at >= next_release => {
                next_release = at + RELEASE_TIME;
                release(random, at, shape, &mut steps);
            }
            0..=8 => {
                let fault = restart(random, shape);
                steps.push(Step { at, fault });
            }
            9..=11 => {
                let place = random.random_range(0..shape.places);
                let fault = Fault::SilenceRunner(place, random_ms(random, 100..MAX_FAULT_MS));
                steps.push(Step { at, fault });
            }
            _ => {
                let fault = Fault::ResetRunner(random.random_range(0..shape.places));
                steps.push(Step { at, fault });
            }
        }
        at += random_ms(random, RUNNER_STEP_MS);
    }
    steps
}

/// Returns the steps in which runners that live spoil their answers.
fn trouble_steps(random: &mut impl Rng, length: Duration, shape: &Shape) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = Duration::from_secs(1);
    while at < length {
        match random.random_range(0..3) {
            0 => {
                let place = random.random_range(0..shape.places);
                let fault = Fault::MalformAnswers(place, random_ms(random, MALFORM_MS));
                steps.push(Step { at, fault });
            }
            _ => reset_together(random, at, shape, &mut steps),
        }
        at += random_ms(random, RUNNER_STEP_MS);
    }
    steps
}

/// Adds a series of resets of all or half of the answers without a length of a runner, some
/// while a router is stopped or all are.
fn reset_together(random: &mut impl Rng, mut at: Duration, shape: &Shape, steps: &mut Vec<Step>) {
    let place = random_process(random, shape);
    for _ in 0..random.random_range(1..=MAX_RESETS) {
        let gather = random_ms(random, GATHER_MS);
        let fault = Fault::HoldAnswers(place, gather + Duration::from_millis(MAX_FAULT_MS));
        steps.push(Step { at, fault });
        at += gather;
        let stopped = match random.random_range(0..6) {
            0..=2 => (0..shape.routers).collect(),
            3 => vec![random.random_range(0..shape.routers)],
            _ => Vec::new(),
        };
        for index in stopped {
            let fault = Fault::PauseRouter(index, random_ms(random, STOP_MS));
            let at = at.saturating_sub(STOP_LEAD);
            steps.push(Step { at, fault });
        }
        let share = 50 * random.random_range(1..=2);
        let fault = Fault::ResetAnswers { place, share };
        steps.push(Step { at, fault });
        at += random_ms(random, RESET_INTERVAL_MS);
    }
}

/// Adds a release at all places or at half of them. During one in three, all routers are
/// killed.
fn release(random: &mut impl Rng, mut at: Duration, shape: &Shape, steps: &mut Vec<Step>) {
    let begin = at;
    let fault = Fault::Release;
    steps.push(Step { at, fault });
    let count = match random.random_range(0..2) {
        0 => shape.places,
        _ => shape.places / 2,
    };
    let first = random.random_range(0..shape.places);
    for place in (first..first + count).map(|place| place % shape.places) {
        let fault = Fault::UpgradeRunner(place, random_ms(random, DRAIN_MS));
        steps.push(Step { at, fault });
        at += random_ms(random, 0..MAX_UPGRADE_MS);
    }
    if random.random_range(0..3) == 0 {
        let at = begin + random_ms(random, 100..2500);
        let fault = Fault::KillAllRouters;
        steps.push(Step { at, fault });
    }
}

/// Returns the steps of a large fleet that concern runners, slow routers and timeouts.
fn large_steps(random: &mut impl Rng, length: Duration, shape: &Shape) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut at = Duration::from_secs(1);
    let mut next_release = Duration::ZERO;
    let mut mixed_until = Duration::ZERO;
    // After a change of routes, no sole version is inferred for a while.
    let mut has_changed_timeout = false;
    while at < length {
        let many = random.random_range(1..=shape.routers.div_ceil(TROUBLED_DIVISOR));
        let ended = random.random_range(1..=MAX_ENDED);
        match random.random_range(0..16) {
            0..=4 if at >= next_release => {
                next_release = at + LARGE_RELEASE_TIME;
                mixed_until = at + MIXED_TIME;
                release_in_batches(random, at, shape, &mut steps);
            }
            0..=6 => {
                for _ in 0..ended {
                    let mut fault = restart(random, shape);
                    if let Fault::RestartRunner { change, .. } = &mut fault
                        && at > mixed_until
                    {
                        change.keep_version();
                    }
                    steps.push(Step { at, fault });
                }
            }
            7..=9 => {
                for _ in 0..many {
                    let fault = slow_router(random, shape);
                    steps.push(Step { at, fault });
                }
            }
            10..=11 => {
                for _ in 0..many {
                    let index = random.random_range(0..shape.routers);
                    let fault = Fault::PauseRouter(index, random_ms(random, FREEZE_MS));
                    steps.push(Step { at, fault });
                }
            }
            12 if !has_changed_timeout => {
                has_changed_timeout = true;
                let fault = Fault::ChangeTimeout;
                steps.push(Step { at, fault });
            }
            12..=14 => {
                let place = random.random_range(0..shape.places);
                let fault = Fault::SilenceRunner(place, random_ms(random, 100..MAX_FAULT_MS));
                steps.push(Step { at, fault });
            }
            _ => {
                let fault = Fault::ResetRunner(random.random_range(0..shape.places));
                steps.push(Step { at, fault });
            }
        }
        at += random_ms(random, RUNNER_STEP_MS);
    }
    steps
}

/// Adds a release at all places, or at one batch of them.
fn release_in_batches(
    random: &mut impl Rng,
    mut at: Duration,
    shape: &Shape,
    steps: &mut Vec<Step>,
) {
    let fault = Fault::Release;
    steps.push(Step { at, fault });
    let count = match random.random_range(0..4) {
        0 => BATCH,
        _ => shape.places,
    };
    let first = random.random_range(0..shape.places);
    let places = (first..first + count).map(|place| place % shape.places);
    for batch in places.collect::<Vec<_>>().chunks(BATCH) {
        let fault = Fault::UpgradeRunners(batch.to_vec(), random_ms(random, DRAIN_MS));
        steps.push(Step { at, fault });
        at += BATCH_INTERVAL;
    }
}

fn slow_router(random: &mut impl Rng, shape: &Shape) -> Fault {
    Fault::SlowRouter {
        index: random.random_range(0..shape.routers),
        cycle: Cycle {
            run: random_ms(random, RUN_MS),
            wait: random_ms(random, WAIT_MS),
        },
        time: random_ms(random, SLOW_MS),
    }
}

fn restart(random: &mut impl Rng, shape: &Shape) -> Fault {
    let place = random_process(random, shape);
    let change = match random.random_range(0..6) {
        0..=2 => Change::Life,
        3 => Change::Id(random_ms(random, 0..MAX_FAULT_MS)),
        _ => Change::Version(random_ms(random, 0..MAX_LAG_MS)),
    };
    // Some are back at once.
    let down = match random.random_range(0..4) {
        0 => Duration::ZERO,
        _ => random_ms(random, 0..MAX_DOWN_MS),
    };
    Fault::RestartRunner {
        place,
        down,
        change,
    }
}

/// Returns a place whose runner is a process.
fn random_process(random: &mut impl Rng, shape: &Shape) -> usize {
    let place = random.random_range(0..shape.places);
    place + usize::from(!shape.is_process(place))
}

pub fn random_ms(random: &mut impl Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}
