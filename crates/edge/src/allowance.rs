//! How many log lines may be written.

use std::collections::BTreeMap;

use balsamchute_model::prelude::*;

/// Lines of one event that may be written in a window. A machine of a quarter
/// of a core ends about 300 requests a second at its most.
const MAX_LINES: u32 = 1000;

/// Length of the window in which lines are counted.
const WINDOW: Span = Span(1000);

/// Events that end a request without a good answer: of each the last line is
/// kept, as nothing else says why it failed.
const KEPT: [&str; 3] = ["failed", "refused", "rejected"];

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    window: u64,
    lines: u32,
    omitted: u64,
}

/// Lines of the current window, by event.
#[derive(Clone, Debug, Default)]
pub struct Allowance(BTreeMap<String, Count>);

impl Allowance {
    /// Creates an allowance of which nothing is used.
    #[must_use]
    pub fn new() -> Self {
        Allowance::default()
    }

    /// Takes a line from the allowance of its event. Returns how many lines of
    /// the event were left out in the window before, `None` if this one is left
    /// out too.
    ///
    /// `text` begins with `event=`; warnings are always written.
    pub fn take(&mut self, now: Time, is_warning: bool, text: &str) -> Option<u64> {
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
        if is_warning || count.lines < MAX_LINES || KEPT.contains(&event) {
            count.lines += 1;
            return Some(omitted);
        }
        count.omitted += 1;
        None
    }
}

/// Returns the event of a line, an empty text if it names none.
pub(crate) fn event(text: &str) -> &str {
    let first = text.split(' ').next().unwrap_or("");
    first.strip_prefix("event=").unwrap_or("")
}
