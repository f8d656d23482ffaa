//! Settings of the clients.

use balsamchute_base::prelude::*;

/// Settings that both clients share.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Longest time to connect.
    pub connect: Span,
    /// Longest time without a byte from the target while an answer is due.
    pub idle: Span,
    /// Longest time for a whole call that is not a request, such as a load report.
    pub control: Span,
    /// Times in a row that a lost stream is asked for again.
    pub resumes: u32,
    /// Pause before a stream is asked for the first time; it doubles each time.
    pub pause: Span,
    /// Idle connections kept for each target.
    pub kept_connections: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect: Span(500),
            idle: Span::from_secs(30),
            control: Span::from_secs(2),
            resumes: 3,
            pause: Span(50),
            kept_connections: 32,
        }
    }
}
