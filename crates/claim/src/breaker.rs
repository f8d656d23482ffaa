//! Circuit breaker of one target.
//!
//! The owner of a runner holds its breaker, so a target is probed by one
//! request of the whole fleet at a time.

use balsamchute_base::prelude::*;

/// Limits of a breaker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    /// Failures in a row that open it.
    pub failures: u32,
    /// How long it stays open at first; it doubles with each failed probe.
    pub open: Span,
    /// Longest time that it stays open.
    pub longest: Span,
    /// How long a probe may take before another is allowed.
    pub probe: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            failures: 3,
            open: Span(500),
            longest: Span::from_secs(10),
            probe: Span::from_secs(10),
        }
    }
}

/// Whether a request may go to the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// It may.
    Pass,
    /// It may, as the only one, to see whether the target has recovered.
    Probe,
    /// It may not before this time.
    Stop(Time),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Closed { failures: u32 },
    Open { until: Time, span: Span },
    Probing { until: Time, span: Span },
}

/// The breaker of one target.
#[derive(Clone, Debug)]
pub struct Breaker {
    settings: Settings,
    state: State,
}

impl Breaker {
    /// Creates a closed breaker.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Breaker {
            settings,
            state: State::Closed { failures: 0 },
        }
    }

    /// Returns whether a request may go, without letting it go.
    #[must_use]
    pub fn peek(&self, now: Time) -> Permit {
        match self.state {
            State::Closed { .. } => Permit::Pass,
            State::Open { until, .. } | State::Probing { until, .. } if now < until => {
                Permit::Stop(until)
            }
            State::Open { .. } | State::Probing { .. } => Permit::Probe,
        }
    }

    /// Asks to send a request; a permitted probe has to be reported.
    pub fn permit(&mut self, now: Time) -> Permit {
        let permit = self.peek(now);
        if let (Permit::Probe, State::Open { span, .. } | State::Probing { span, .. }) =
            (permit, self.state)
        {
            let until = now + self.settings.probe;
            self.state = State::Probing { until, span };
        }
        permit
    }

    /// Records an answer of the target, which closes the breaker.
    pub fn success(&mut self) {
        self.state = State::Closed { failures: 0 };
    }

    /// Records a failure of the target; `random` spreads the probes of several
    /// targets that failed together.
    pub fn failure(&mut self, now: Time, random: u64) {
        self.state = match self.state {
            State::Closed { failures } if failures + 1 < self.settings.failures => State::Closed {
                failures: failures + 1,
            },
            State::Closed { .. } => open(now, self.settings.open, random),
            State::Probing { span, .. } => {
                let doubled = Span(span.0.saturating_mul(2).min(self.settings.longest.0));
                open(now, doubled, random)
            }
            state @ State::Open { .. } => state,
        };
    }
}

/// Opens for `span`, up to a quarter longer.
fn open(now: Time, span: Span, random: u64) -> State {
    let extra = Span(random % (span.0 / 4 + 1));
    State::Open {
        until: now + span + extra,
        span,
    }
}
