//! Settings of the clients.

use balsamchute_base::prelude::*;

/// Settings of the clients of engines and plain services.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Timeout of connecting to a target.
    pub connect_timeout: Span,
    /// Longest time without a byte from the target while a response is due.
    pub idle_timeout: Span,
    /// Timeout of a whole control call, such as fetching a load report.
    pub control_timeout: Span,
    /// Consecutive attempts to resume a lost stream before it fails, and probes
    /// of a plain service that may have crashed.
    pub max_recovery_attempts: u32,
    /// Delay before the first attempt to resume a stream, doubled for each
    /// further one, at most eight times. Also the delay between two probes of a
    /// plain service.
    pub recovery_backoff: Span,
    /// Idle connections for control calls that are kept open for each target.
    pub max_idle_connections: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            connect_timeout: Span(500),
            idle_timeout: Span::from_secs(30),
            control_timeout: Span::from_secs(2),
            max_recovery_attempts: 3,
            recovery_backoff: Span(50),
            max_idle_connections: 32,
        }
    }
}
