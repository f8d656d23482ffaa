//! Judges what routers showed and operators were told against what the
//! platform recorded.

use std::collections::BTreeSet;

use balsamchute_base::prelude::*;
use balsamchute_standin::platform::Change;
use balsamchute_wire::config::Document;

use super::operators::{Answers, Told};
use super::watch::{Sample, Watch};

/// How much earlier a version must have been in force elsewhere for a router
/// that starts to know it.
const KNOWN_BEFORE: Span = Span::from_secs(1);

/// Most faults that are described.
const MAX_FAULTS: usize = 20;

/// A time in which a router could not learn of a change.
#[derive(Clone, Copy, Debug)]
pub struct Excuse {
    /// The router.
    pub router: usize,
    /// When it began.
    pub from: Time,
    /// When it ended.
    pub to: Time,
}

/// What came out.
#[derive(Debug, Default)]
pub struct Figures {
    pub changes: usize,
    pub p50_ms: u64,
    pub p99_ms: u64,
    pub worst_ms: u64,
    /// Changes that some router never had in force.
    pub never: usize,
    pub reversions: usize,
    pub stale_starts: usize,
    pub told: usize,
    pub misled: usize,
    pub unsettled: usize,
    pub faults: Vec<String>,
}

/// Works out the figures.
pub fn figures(
    watch: &Watch,
    changes: &[Change],
    excuses: &[Excuse],
    answers: &Answers,
) -> Figures {
    let mut figures = Figures {
        changes: changes.len(),
        told: answers.len(),
        ..Figures::default()
    };
    figures.spread(watch, changes, excuses);
    for router in 0..watch.routers() {
        figures.reversions(router, &watch.samples(router));
        figures.starts(router, watch);
    }
    figures.answers(changes, answers);
    figures
}

impl Figures {
    /// A change is in force everywhere when the last router shows it.
    fn spread(&mut self, watch: &Watch, changes: &[Change], excuses: &[Excuse]) {
        let mut times = Vec::new();
        for change in changes {
            let delays = (0..watch.routers()).map(|router| {
                let own = excuses.iter().filter(|excuse| excuse.router == router);
                delay(&watch.samples(router), change, own)
            });
            match delays.collect::<Option<Vec<Span>>>() {
                Some(delays) => times.extend(delays.into_iter().max()),
                None => {
                    self.never += 1;
                    self.fault(format!(
                        "version {} never was in force everywhere",
                        change.version
                    ));
                }
            }
        }
        times.sort();
        let quantile = |percent: usize| {
            let last = times.len().saturating_sub(1);
            times
                .get(last * percent / 100)
                .map_or(0, |time| time.as_millis())
        };
        self.p50_ms = quantile(50);
        self.p99_ms = quantile(99);
        self.worst_ms = quantile(100);
    }

    fn reversions(&mut self, router: usize, samples: &[Sample]) {
        let mut highest = 0;
        for sample in samples.iter().filter(|sample| sample.serving) {
            if sample.version < highest {
                self.reversions += 1;
                let version = sample.version;
                self.fault(format!(
                    "router {router} went from {highest} back to {version}"
                ));
            }
            highest = highest.max(sample.version);
        }
    }

    /// A router that begins to serve knows what was in force elsewhere.
    fn starts(&mut self, router: usize, watch: &Watch) {
        let mut lives = BTreeSet::new();
        let samples = watch.samples(router).clone();
        for sample in samples.iter().filter(|sample| sample.serving) {
            if !lives.insert(sample.incarnation) || lives.len() == 1 {
                continue;
            }
            let known = highest_before(watch, sample.asked - KNOWN_BEFORE);
            if sample.version < known {
                self.stale_starts += 1;
                let version = sample.version;
                self.fault(format!("router {router} began with {version}, not {known}"));
            }
        }
    }

    fn answers(&mut self, changes: &[Change], answers: &Answers) {
        let document = |change: &Change| serde_json::from_slice::<Document>(&change.bytes).ok();
        let ids: Vec<String> = changes
            .iter()
            .filter_map(document)
            .map(|one| one.change)
            .collect();
        for (id, told) in answers {
            let times = ids.iter().filter(|one| *one == id).count();
            let truth = match told {
                Told::Accepted => times == 1,
                Told::Refused => times == 0,
                Told::Nothing => times <= 1,
            };
            self.unsettled += usize::from(*told == Told::Nothing);
            if !truth {
                self.misled += 1;
                self.fault(format!("{id} took effect {times} times, told {told:?}"));
            }
        }
    }

    fn fault(&mut self, fault: String) {
        if self.faults.len() < MAX_FAULTS {
            self.faults.push(fault);
        }
    }
}

/// Returns how long a router took to have a change in force, from when it was
/// accepted or the router could learn of it again.
fn delay<'a>(
    samples: &[Sample],
    change: &Change,
    excuses: impl Iterator<Item = &'a Excuse>,
) -> Option<Span> {
    let shows = |sample: &&Sample| {
        sample.asked >= change.at && sample.serving && sample.version >= change.version
    };
    let shown = samples.iter().find(shows)?.at;
    let held_up = excuses.filter(|excuse| excuse.from <= shown && change.at <= excuse.to);
    let from = held_up.map(|excuse| excuse.to).fold(change.at, Time::max);
    Some(shown.since(from))
}

/// Returns the highest version that a router served with before `time`.
fn highest_before(watch: &Watch, time: Time) -> u64 {
    let highest = |router: usize| {
        let samples = watch.samples(router);
        let before = samples.iter().filter(|one| one.serving && one.at <= time);
        before.map(|sample| sample.version).max().unwrap_or(0)
    };
    (0..watch.routers()).map(highest).max().unwrap_or(0)
}
