//! Repeats that one router may send, so that the sum over all routers stays
//! within the operator's budget.

use std::collections::BTreeMap;

use balsamchute_model::prelude::*;
use smallvec::SmallVec;

/// Share of the ratio that routers use: requests are counted where they
/// arrived, so a shift between routers must not break the sum.
const RATIO_USED: f64 = 0.7;

/// Share of the slack that all routers use together: a router that restarts
/// forgets what it spent.
const SLACK_USED: f64 = 0.6;

/// Buckets that a window is counted in.
const BUCKETS: u64 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    firsts: u32,
    repeats: u32,
}

/// Arrivals at one service in the window.
#[derive(Clone, Debug, Default)]
struct Count {
    buckets: SmallVec<[Bucket; 12]>,
}

/// The budget of repeats of one router.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    slack: f64,
    bucket: Span,
    counts: BTreeMap<Service, Count>,
}

impl Budget {
    /// Creates a budget of the fleet's `ratio` and `slack` in `window`.
    #[must_use]
    pub fn new(ratio: f64, slack: u32, window: Span) -> Self {
        Budget {
            ratio,
            slack: f64::from(slack),
            bucket: Span((window.0 / BUCKETS).max(1)),
            counts: BTreeMap::new(),
        }
    }

    /// Records a request's first arrival at the service.
    pub fn first(&mut self, now: Time, service: &Service) {
        self.current(now, service).firsts += 1;
    }

    /// Records a repeat if the budget has one left for this router, one of
    /// `routers`; returns whether it has.
    pub fn repeat(&mut self, now: Time, service: &Service, routers: u32) -> bool {
        let (ratio, slack) = (self.ratio * RATIO_USED, self.slack * SLACK_USED);
        self.current(now, service);
        let count = &self.counts[service];
        let firsts: u32 = count.buckets.iter().map(|b| b.firsts).sum();
        let repeats: u32 = count.buckets.iter().map(|b| b.repeats).sum();
        let allowed = ratio * f64::from(firsts) + slack / f64::from(routers.max(1));
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.current(now, service).repeats += 1;
        true
    }

    fn current(&mut self, now: Time, service: &Service) -> &mut Bucket {
        let index = now.0 / self.bucket.0;
        let buckets = &mut self.counts.entry(service.clone()).or_default().buckets;
        buckets.retain(|bucket| bucket.index + BUCKETS >= index);
        if buckets.last().is_none_or(|last| last.index != index) {
            buckets.push(Bucket {
                index,
                ..Bucket::default()
            });
        }
        let last = buckets.len() - 1;
        &mut buckets[last]
    }
}
