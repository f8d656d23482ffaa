//! Points in time and time spans in milliseconds.

use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point in time, in milliseconds since the Unix epoch.
///
/// Values from [`Clock`](crate::clock::Clock) never decrease within a process.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Time(pub u64);

/// A time span in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Span(pub u64);

impl Time {
    /// Returns the time elapsed since `earlier`, zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Span {
    /// Creates a span from whole seconds. More than `u64::MAX / 1000` overflow.
    #[must_use]
    pub const fn from_secs(seconds: u64) -> Self {
        Span(seconds * 1000)
    }

    /// Subtracts `other`. Returns zero if `other` is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }

    /// Returns the number of milliseconds.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl Sub<Span> for Time {
    type Output = Time;

    fn sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl From<Span> for std::time::Duration {
    fn from(span: Span) -> Self {
        std::time::Duration::from_millis(span.0)
    }
}
