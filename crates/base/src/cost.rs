//! Unit in which the use of capacity is accounted.

use std::iter::Sum;
use std::ops::{Add, AddAssign};

use serde::{Deserialize, Serialize};

/// Cost of serving a request: generated tokens for a model engine, milliseconds
/// of slot time for a plain service. Sums saturate.
///
/// The scheduler of the edge (`balsamchute-schedule`) counts another cost, as an
/// `f64`: one unit for each prompt token and two for each generated token.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Deserialize, Serialize,
)]
pub struct Cost(pub u64);

impl Add for Cost {
    type Output = Cost;

    fn add(self, other: Cost) -> Cost {
        Cost(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Cost {
    fn add_assign(&mut self, other: Cost) {
        *self = *self + other;
    }
}

impl Sum for Cost {
    fn sum<I: Iterator<Item = Cost>>(costs: I) -> Cost {
        costs.fold(Cost(0), Add::add)
    }
}
