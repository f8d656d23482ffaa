//! Retry budget of one router, sized so that the retries of all routers stay
//! within the operator's budget.

use std::collections::BTreeMap;

use balsamchute_model::prelude::*;
use smallvec::SmallVec;

/// Share of the configured ratio that routers use. The rest is a margin for
/// load that shifts between routers: requests are counted at the router where
/// they arrived, and the fleet-wide limit must still hold.
const RATIO_SHARE: f64 = 0.7;

/// Share of the configured slack that all routers use together. The rest is a
/// margin for restarts, as a router loses its count of spent retries with them.
const SLACK_SHARE: f64 = 0.6;

/// Buckets that the sliding window is divided into.
const WINDOW_BUCKETS: u64 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    index: u64,
    requests: u32,
    retries: u32,
}

/// Requests and retries at one service within the sliding window.
#[derive(Clone, Debug, Default)]
struct Window {
    buckets: SmallVec<[Bucket; 12]>,
}

/// Retry budget of one router, tracked separately for each service.
#[derive(Clone, Debug)]
pub struct Budget {
    ratio: f64,
    slack: f64,
    bucket_length: Span,
    windows: BTreeMap<Service, Window>,
}

impl Budget {
    /// Creates a budget from the fleet-wide `ratio` of retries to requests and
    /// the fleet-wide `slack` of additional retries in `window`.
    #[must_use]
    pub fn new(ratio: f64, slack: u32, window: Span) -> Self {
        Budget {
            ratio,
            slack: f64::from(slack),
            bucket_length: Span((window.0 / WINDOW_BUCKETS).max(1)),
            windows: BTreeMap::new(),
        }
    }

    /// Counts a request's first arrival at the service.
    pub fn record_request(&mut self, now: Time, service: &Service) {
        self.current_bucket(now, service).requests += 1;
    }

    /// Spends one retry if this router, one of `router_count`, has budget left;
    /// returns whether it did.
    pub fn try_retry(&mut self, now: Time, service: &Service, router_count: u32) -> bool {
        let (ratio, slack) = (self.ratio * RATIO_SHARE, self.slack * SLACK_SHARE);
        self.current_bucket(now, service);
        let window = &self.windows[service];
        let requests: u32 = window.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = window.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = ratio * f64::from(requests) + slack / f64::from(router_count.max(1));
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.current_bucket(now, service).retries += 1;
        true
    }

    fn current_bucket(&mut self, now: Time, service: &Service) -> &mut Bucket {
        let index = now.0 / self.bucket_length.0;
        let buckets = &mut self.windows.entry(service.clone()).or_default().buckets;
        // The current bucket is only partly filled, so it counts in addition to
        // `WINDOW_BUCKETS` full ones.
        buckets.retain(|bucket| bucket.index + WINDOW_BUCKETS >= index);
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
