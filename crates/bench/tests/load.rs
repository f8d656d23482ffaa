//! Percentiles of load.

use balsamchute_base::prelude::*;
use balsamchute_bench::experiments::load::percentiles;

#[test]
fn percentiles_of_long_times_are_not_cut_off() {
    let found = percentiles((1..=100).map(|number| Span(number * 100)));
    for (found, expected) in found.into_iter().zip([5_000_u64, 9_500, 9_900]) {
        assert!(found.abs_diff(expected) <= 10, "{found} for {expected}");
    }
}
