//! Rate limit for log lines.

use std::collections::BTreeMap;

use balsamchute_model::prelude::*;

/// Lines of one event that may be written in a window. A machine with a quarter
/// of a core completes at most about 300 requests a second, so about three lines
/// of one event are allowed for each request.
const MAX_LINES_PER_WINDOW: u32 = 1000;

/// Length of the window in which lines are counted.
const WINDOW: Span = Span(1000);

/// Events that end a request without a successful response. They are exempt
/// from the limit, because no other line says why the request failed.
const UNLIMITED_EVENTS: [&str; 3] = ["failed", "refused", "rejected"];

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    // Number of the window, counted from the Unix epoch.
    window: u64,
    lines: u32,
    omitted: u64,
}

/// Line counts by event, in the last window in which the event had a line.
#[derive(Clone, Debug, Default)]
pub struct Limiter(BTreeMap<String, Count>);

impl Limiter {
    /// Creates a limiter with empty counts.
    #[must_use]
    pub fn new() -> Self {
        Limiter::default()
    }

    /// Counts a line. Returns `None` if the line is to be omitted. Otherwise returns
    /// the number of lines to report as omitted: at the first line of an event in a
    /// window, those of the last window in which the event had a line, else 0.
    ///
    /// `text` begins with `event=`. Warnings are always written.
    pub fn admit(&mut self, now: Time, is_warning: bool, text: &str) -> Option<u64> {
        let event = event(text);
        if !self.0.contains_key(event) {
            self.0.insert(event.to_owned(), Count::default());
        }
        let count = self.0.get_mut(event)?;
        let window = now.0 / WINDOW.0;
        let mut omitted = 0;
        if count.window != window {
            omitted = count.omitted;
            *count = Count {
                window,
                ..Count::default()
            };
        }
        if is_warning || count.lines < MAX_LINES_PER_WINDOW || UNLIMITED_EVENTS.contains(&event) {
            count.lines += 1;
            return Some(omitted);
        }
        count.omitted += 1;
        None
    }
}

/// Returns the event of a line, or an empty string if it names none.
pub(crate) fn event(text: &str) -> &str {
    let first = text.split(' ').next().unwrap_or("");
    first.strip_prefix("event=").unwrap_or("")
}
