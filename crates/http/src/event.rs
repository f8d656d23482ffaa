//! Event streams: where one event ends, and which id it has.

use crate::error::Error;

/// Largest event in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Splits a stream into whole events.
///
/// Bytes of an event that has not ended are held back, so a stream that breaks
/// off inside an event can be continued by another runner after the last whole
/// one.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    partial: Vec<u8>,
    last_id: Option<u64>,
    events: u64,
}

impl Splitter {
    /// Creates a splitter at the start of a stream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes bytes of the stream and appends the whole events to `out`.
    /// Returns the number of events.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if an event is larger than 256 KiB.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<u64, Error> {
        // The end of an event may straddle the old and new bytes.
        let mut from = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let mut done = 0;
        let mut events = 0;
        while let Some(end) = event_end(&self.partial, from) {
            let event = &self.partial[done..end];
            if let Some(id) = event_id(event) {
                self.last_id = Some(id);
            }
            done = end;
            from = end;
            events += 1;
        }
        out.extend_from_slice(&self.partial[..done]);
        self.partial.drain(..done);
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(Error::Malformed("event is larger than 256 KiB".to_owned()));
        }
        self.events += events;
        Ok(events)
    }

    /// Returns the id of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of whole events so far.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether the bytes so far end with a whole event.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.partial.is_empty()
    }

    /// Takes the bytes after the last whole event, at the end of the stream.
    pub fn take_partial(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }

    /// Drops the start of an event that will not be completed, before another
    /// runner continues the stream.
    pub fn restart(&mut self) {
        self.partial.clear();
    }
}

/// Returns where the first event that ends at or after `from` ends.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(offset) = bytes[at..].iter().position(|&b| b == b'\n') {
        let next = at + offset + 1;
        match bytes.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => at = next,
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|&b| b == b'\n')
        .find(|line| line.starts_with(b"id:"))?;
    let text = std::str::from_utf8(&line[3..]).ok()?;
    text.trim().parse().ok()
}
