//! Splitting of server-sent event streams at event boundaries, and the order of their
//! ids.

use std::fmt;

use memchr::{memchr, memrchr_iter};

use crate::error::Error;
use crate::framing::Framing;

/// Largest incomplete event that is buffered, in bytes. The error text of
/// [`Splitter::push`] repeats the value.
const MAX_PARTIAL_BYTES: usize = 256 * 1024;

/// Equal steps between ids after which the step counts as that of the stream.
const MIN_STEPS: u32 = 2;

/// Way in which an event departs from the order of its stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// The id is greater than the next one.
    Missing,
    /// The id is not greater than the last one.
    Repeated,
    /// The event has data and no numeric id.
    WithoutId,
}

impl Kind {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Missing => "missing",
            Kind::Repeated => "repeated",
            Kind::WithoutId => "without_id",
        }
    }
}

/// Event that departs from the order of its stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Gap {
    /// Way in which it departs.
    pub kind: Kind,
    /// Id that was expected next. While neither a regular step nor an event that was
    /// broken off shows it, the number after the last one.
    pub expected: u64,
    /// Id of the event, if it is numeric.
    pub got: Option<u64>,
    /// Whether the event is refused, with the rest of the part.
    pub is_refused: bool,
}

/// Events that became complete by [`Splitter::push`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Number of events.
    pub events: u64,
    /// Event that departs from the order, if it is the first one of the part or refused.
    pub gap: Option<Gap>,
}

impl Progress {
    /// Returns whether the rest of the part is refused.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        self.gap.is_some_and(|gap| gap.is_refused)
    }
}

/// Events of a stream that one runner sent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Part {
    /// Number of events.
    pub events: u64,
    /// First and last numeric id.
    pub ids: Option<(u64, u64)>,
}

impl fmt::Display for Part {
    /// Writes the first and the last id, such as `3-17`, or `-` without any.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.ids {
            Some((first, last)) => write!(f, "{first}-{last}"),
            None => f.write_str("-"),
        }
    }
}

/// Difference between ids of consecutive events of one runner.
#[derive(Clone, Copy, Debug, Default)]
enum Step {
    #[default]
    Unknown,
    /// All steps were equal.
    Regular {
        size: u64,
        seen: u32,
    },
    Irregular,
}

impl Step {
    /// Returns the step of the stream, if the ids have shown one.
    fn size(self) -> Option<u64> {
        match self {
            Step::Regular { size, seen } if seen >= MIN_STEPS => Some(size),
            Step::Unknown | Step::Regular { .. } | Step::Irregular => None,
        }
    }

    fn record(&mut self, step: u64) {
        *self = match *self {
            Step::Unknown => Step::Regular {
                size: step,
                seen: 1,
            },
            Step::Regular { size, seen } if size == step => Step::Regular {
                size,
                seen: seen.saturating_add(1),
            },
            Step::Regular { .. } | Step::Irregular => Step::Irregular,
        };
    }
}

/// Splitter that passes on only complete events of a stream.
///
/// Bytes of an incomplete event are buffered. If the stream breaks off inside
/// an event, another runner can resume it after the last complete one.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    // Bytes after the last complete event.
    partial: Vec<u8>,
    // Id of the last event with a numeric id, or the one that the caller named.
    last_id: Option<u64>,
    // Number of complete events.
    events: u64,
    // Complete events since the stream was last resumed.
    part: Part,
    // Whether the last complete event with data has no numeric id.
    ends_without_id: bool,
    // Whether a former part showed that an event follows the last one.
    is_event_due: bool,
    // Id of that event, if the part broke off after the line.
    due_id: Option<u64>,
    // Whether an event of the part departed from the order.
    has_gap: bool,
    // Whether the part cannot go on where the stream is.
    is_refused: bool,
    step: Step,
}

impl Splitter {
    /// Creates a splitter at the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a splitter at the start of a stream that goes on after the event with this
    /// id, if any.
    #[must_use]
    pub fn with_last_event_id(last_id: Option<u64>) -> Self {
        Splitter {
            last_id,
            ..Self::default()
        }
    }

    /// Adds received bytes and appends the events that are now complete to
    /// `out`. Returns what these events are. Blocks of comments alone are passed on
    /// and not counted.
    ///
    /// An event whose id is not greater than the last one is refused, with all that
    /// follows it in the part: such a runner has begun again, so its later events need
    /// not belong to what the caller has. So is a resumed part whose first event with data
    /// has no id, and one that begins after the next id, if the ids or an event that was
    /// broken off have shown what that is. Within a part ids may rise by any step.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the buffered incomplete event exceeds
    /// 256 KiB and no event is now complete.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<Progress, Error> {
        // The blank line that ends an event may span buffered and new bytes: it is
        // `\n\n` or `\n\r\n`, at most three bytes long.
        let mut from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let mut consumed = 0;
        let mut progress = Progress::default();
        while let Some(end) = event_end(&self.partial, from)
            && !self.is_refused
        {
            let event = &self.partial[consumed..end];
            let (id, is_counted) = (event_id(event), has_field(event));
            if id.is_some() || has_data(event) {
                if let Some(gap) = self.gap(id) {
                    self.is_refused = gap.is_refused;
                    if !std::mem::replace(&mut self.has_gap, true) || self.is_refused {
                        progress.gap = Some(gap);
                    }
                }
                if self.is_refused {
                    self.is_event_due |= id > self.last_id;
                    break;
                }
                self.record(id);
            }
            progress.events += u64::from(is_counted);
            consumed = end;
            from = end;
        }
        self.events += progress.events;
        self.part.events += progress.events;
        out.extend_from_slice(&self.partial[..consumed]);
        self.partial.drain(..consumed);
        if self.is_refused {
            self.partial.clear();
        }
        // Complete events are passed on first.
        if consumed == 0 && self.partial.len() > MAX_PARTIAL_BYTES {
            return Err(Error::Malformed(
                "incomplete event exceeds 256 KiB".to_owned(),
            ));
        }
        Ok(progress)
    }

    /// Returns how an event with this id departs from the order.
    fn gap(&self, id: Option<u64>) -> Option<Gap> {
        let step = self.step.size();
        let next = self.last_id.unwrap_or(0).saturating_add(step.unwrap_or(1));
        let expected = self.due_id.unwrap_or(next);
        let is_resumed =
            self.part.ids.is_none() && (self.last_id.is_some() || self.due_id.is_some());
        let is_next_known = step.is_some() || self.due_id.is_some();
        let (kind, is_refused) = match (id, self.last_id) {
            (None, _) => (Kind::WithoutId, is_resumed),
            (Some(id), Some(last)) if id <= last => (Kind::Repeated, true),
            (Some(id), _) if id > expected && (is_next_known || is_resumed) => {
                (Kind::Missing, is_next_known && is_resumed)
            }
            (Some(_), _) => return None,
        };
        Some(Gap {
            kind,
            expected,
            got: id,
            is_refused,
        })
    }

    fn record(&mut self, id: Option<u64>) {
        self.ends_without_id = id.is_none();
        self.is_event_due = false;
        self.due_id = None;
        let Some(id) = id else {
            return;
        };
        // The step from another runner's last event may be a gap, and none leads to an id of 0.
        let is_first_of_stream = self.last_id.is_none() && id > 0;
        if self.part.ids.is_some() || is_first_of_stream {
            let step = id.saturating_sub(self.last_id.unwrap_or(0));
            self.step.record(step);
        }
        self.last_id = Some(id);
        let first = self.part.ids.map_or(id, |(first, _)| first);
        self.part.ids = Some((first, id));
    }

    /// Returns whether [`last_event_id`](Self::last_event_id) names the last complete event
    /// with data, so that a stream that goes on after this id repeats none.
    #[must_use]
    pub fn is_resumable(&self) -> bool {
        !self.ends_without_id
    }

    /// Returns the events since the stream was last resumed.
    #[must_use]
    pub fn part(&self) -> Part {
        self.part
    }

    /// Returns the id of the last complete event with a numeric `id` field, or the one
    /// after which the stream goes on. Events with another id or without one do not
    /// change it.
    #[must_use]
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of complete events since the splitter was created, over
    /// all runners that sent parts of the stream.
    #[must_use]
    pub fn event_count(&self) -> u64 {
        self.events
    }

    /// Returns whether the stream is complete if its body ends here in good order. A
    /// body without a length or chunks also ends so if the sender crashes: it must
    /// contain an event then. So must a part if an event is known to follow: the part before
    /// broke off inside one, or was refused because it began with a later one.
    #[must_use]
    pub fn is_complete(&self, framing: Framing) -> bool {
        let shows_progress = framing != Framing::UntilClose || self.part.events > 0;
        let is_cut = self.is_refused || self.is_event_due || !self.partial.is_empty();
        shows_progress && !is_cut
    }

    /// Returns the number of bytes after the last complete event.
    #[must_use]
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Starts the part of another runner, which resumes the stream after the last
    /// complete event. Discards the incomplete one.
    pub fn start_part(&mut self) {
        if has_field(&self.partial) {
            self.is_event_due = true;
            let lines = self.partial.iter().rposition(|&b| b == b'\n').unwrap_or(0);
            let id = event_id(&self.partial[..lines]);
            self.due_id = id.filter(|&id| Some(id) > self.last_id).or(self.due_id);
        }
        self.partial.clear();
        self.part = Part::default();
        self.has_gap = false;
        self.is_refused = false;
    }
}

/// Returns the offset in `bytes` after the first blank line at or after `from`,
/// which ends an event.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut search_start = from;
    while let Some(offset) = memchr(b'\n', &bytes[search_start..]) {
        let next = search_start + offset + 1;
        match bytes.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => search_start = next,
        }
    }
    None
}

/// Returns whether a block of lines has a field, and not only comments.
fn has_field(block: &[u8]) -> bool {
    let mut lines = block.split(|&b| b == b'\n');
    lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Returns whether an event has a `data` field. Readers ignore one without.
fn has_data(event: &[u8]) -> bool {
    let mut lines = event.split(|&b| b == b'\n');
    lines.any(|line| line.starts_with(b"data"))
}

/// Returns the number in the last `id` field of an event, or `None` if that field is
/// missing or not a number of 64 bits. Earlier `id` fields do not count, as in the HTML
/// standard.
fn event_id(event: &[u8]) -> Option<u64> {
    let starts = memrchr_iter(b'\n', event).map(|newline| newline + 1);
    let mut end = event.len();
    let value = starts.chain([0]).find_map(|start| {
        let line = &event[start..end];
        end = start.saturating_sub(1);
        match line {
            b"id" | b"id\r" => Some(&[][..]),
            _ => line.strip_prefix(b"id:"),
        }
    })?;
    let value = value.trim_ascii();
    if !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}
