//! Splitting of server-sent event streams at event boundaries.

use crate::error::Error;
use crate::framing::Framing;

/// Largest incomplete event that is buffered, in bytes. The error text of
/// [`Splitter::push`] repeats the value.
const MAX_PARTIAL_BYTES: usize = 256 * 1024;

/// Splitter that passes on only complete events of a stream.
///
/// Bytes of an incomplete event are buffered. If the stream breaks off inside
/// an event, another runner can resume it after the last complete one.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    // Bytes after the last complete event.
    partial: Vec<u8>,
    // Id of the last event with a numeric id.
    last_id: Option<u64>,
    // Number of complete events.
    events: u64,
    // Number of complete events since the stream was last resumed.
    events_of_part: u64,
}

impl Splitter {
    /// Creates a splitter at the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds received bytes and appends the events that are now complete to
    /// `out`. Returns the number of these events. Blocks of comments alone are passed on
    /// and not counted.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the buffered incomplete event exceeds
    /// 256 KiB.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<u64, Error> {
        // The blank line that ends an event may span buffered and new bytes: it is
        // `\n\n` or `\n\r\n`, at most three bytes long.
        let mut from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let mut consumed = 0;
        let mut events = 0;
        while let Some(end) = event_end(&self.partial, from) {
            let event = &self.partial[consumed..end];
            if let Some(id) = event_id(event) {
                self.last_id = Some(id);
            }
            events += u64::from(has_field(event));
            consumed = end;
            from = end;
        }
        out.extend_from_slice(&self.partial[..consumed]);
        self.partial.drain(..consumed);
        if self.partial.len() > MAX_PARTIAL_BYTES {
            return Err(Error::Malformed(
                "incomplete event exceeds 256 KiB".to_owned(),
            ));
        }
        self.events += events;
        self.events_of_part += events;
        Ok(events)
    }

    /// Returns the id of the last complete event with a numeric `id` field. Events
    /// with another id or without one do not change it.
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
    /// contain an event then.
    #[must_use]
    pub fn is_complete(&self, framing: Framing) -> bool {
        let shows_progress = framing != Framing::UntilClose || self.events_of_part > 0;
        self.partial.is_empty() && shows_progress
    }

    /// Returns the number of bytes after the last complete event.
    #[must_use]
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Starts the part of another runner, which resumes the stream after the last
    /// complete event. Discards the incomplete one.
    pub fn start_part(&mut self) {
        self.partial.clear();
        self.events_of_part = 0;
    }
}

/// Returns the offset in `bytes` after the first blank line at or after `from`,
/// which ends an event.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut search_start = from;
    while let Some(offset) = bytes[search_start..].iter().position(|&b| b == b'\n') {
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

/// Returns the number in the first `id` field of an event, or `None` if that
/// field is missing or not a number. Later `id` fields are ignored.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|&b| b == b'\n')
        .find(|line| line.starts_with(b"id:"))?;
    let text = std::str::from_utf8(&line[3..]).ok()?;
    text.trim().parse().ok()
}
