//! Bucket boundaries of the histograms, in ascending order.

/// Boundaries for queue waits, times to the first token and request durations.
pub const LATENCY_SECONDS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 1.3, 2.0, 5.0, 10.0, 30.0, 60.0,
    120.0, 300.0,
];

/// Boundaries for the time between two tokens.
pub const TOKEN_INTERVAL_SECONDS: &[f64] = &[
    0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.054, 0.075, 0.1, 0.2, 0.5, 1.0, 5.0,
];

/// Boundaries for costs, in tokens or in milliseconds of slot time.
pub const COST: &[f64] = &[
    1.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0, 2000.0, 5000.0, 10_000.0, 50_000.0,
];
