//! Events of the streams that runners send, and what their text says of their origin.

use std::fmt;

/// FNV-1a, for choices that depend on a name alone.
pub fn digest(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Run of a request at a runner. Events of one run follow each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Id of the request that the runner received.
    pub request: String,
    pub runner: usize,
    /// Start of the runner's lifetime in milliseconds since the Unix epoch; 0 for the first
    /// one of a runner that is a thread.
    pub born: u64,
    /// Number of the run in this lifetime.
    pub count: u64,
    pub version: usize,
    /// `Last-Event-Id` that the runner received; 0 for none.
    pub after: u64,
}

impl fmt::Display for Run {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Run {
            request,
            runner,
            born,
            count,
            version,
            after,
        } = self;
        write!(
            formatter,
            "{request} i-{runner} born={born} run={count} v{version} after={after}"
        )
    }
}

/// Returns the number of events of a stream: 2 to 80.
pub fn total_of(stream: &str) -> u64 {
    2 + digest(stream) / 11 % 79
}

/// Returns the pause of a stream after each event, in milliseconds: 5 to 40.
pub fn gap_of(stream: &str) -> u64 {
    5 + digest(stream) / 1009 % 36
}

/// Returns the padding of an event in bytes: up to 40 KB for a quarter of the events of
/// one stream in five, less than 60 bytes for others.
fn padding_of(stream: &str, event: u64) -> usize {
    let choice = digest(&format!("{stream}/{event}"));
    let is_large = (digest(stream) / 10_007).is_multiple_of(5) && choice.is_multiple_of(4);
    let bound = if is_large { 40_000 } else { 60 };
    (choice / 4 % bound) as usize
}

/// Returns an event of a stream.
pub fn event_of(stream: &str, event: u64, run: &Run) -> String {
    let total = total_of(stream);
    let padding = "x".repeat(padding_of(stream, event));
    format!("id: {event}\ndata: {stream} {event}/{total} {run} {padding}\n\n")
}

/// Returns the id and the run that the text of an event of `stream` names, or `None` if no
/// runner sends this text.
pub fn decode(stream: &str, text: &str) -> Option<(u64, Run)> {
    let fields = text.strip_prefix("id: ")?;
    let (event, fields) = fields.split_once('\n')?;
    let event: u64 = event.parse().ok()?;
    let mut words = fields.strip_prefix("data: ")?.split(' ').skip(2);
    let mut word = |prefix: &str| words.next()?.strip_prefix(prefix);
    let run = Run {
        request: word("")?.to_owned(),
        runner: word("i-")?.parse().ok()?,
        born: word("born=")?.parse().ok()?,
        count: word("run=")?.parse().ok()?,
        version: word("v")?.parse().ok()?,
        after: word("after=")?.parse().ok()?,
    };
    let is_same = event <= total_of(stream) && text == event_of(stream, event, &run);
    is_same.then_some((event, run))
}
