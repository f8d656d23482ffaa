//! Counts of streams, as a run prints them.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Counts of streams.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    /// Streams of which a caller got an event.
    pub begun: usize,
    /// The same by the software version that began them, and those of them that were taken up.
    pub begun_at: BTreeMap<usize, usize>,
    pub taken_up_of: BTreeMap<usize, usize>,
    /// Times from the first request to the first event.
    pub first_events: Vec<Duration>,
    /// Requests that runners received with a later `Last-Event-Id` than the caller sent.
    pub resumed: usize,
    /// Streams for which callers sent another request, and these requests.
    pub taken_up: usize,
    pub take_ups: usize,
    /// Streams that were taken up and got to their end, and the same by the version that began
    /// them.
    pub taken_up_to_end: usize,
    pub to_end_of: BTreeMap<usize, usize>,
    /// First requests for streams that were refused as not run, by reason.
    pub refused: BTreeMap<String, usize>,
    /// Requests that took up a stream and were refused as not run, by reason.
    pub refused_take_ups: BTreeMap<String, usize>,
}

impl fmt::Display for Streams {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut times = self.first_events.clone();
        times.sort();
        let percentile = |percent: usize| {
            let time = times.get(times.len() * percent / 100);
            time.map_or(0, Duration::as_millis)
        };
        write!(
            formatter,
            "begun={} begun_at={:?} first_event_p50_ms={} first_event_p99_ms={} resumed={} taken_up={} taken_up_of={:?} take_ups={} taken_up_to_end={} to_end_of={:?} refused={:?} refused_take_ups={:?}",
            self.begun,
            self.begun_at,
            percentile(50),
            percentile(99),
            self.resumed,
            self.taken_up,
            self.taken_up_of,
            self.take_ups,
            self.taken_up_to_end,
            self.to_end_of,
            self.refused,
            self.refused_take_ups
        )
    }
}
