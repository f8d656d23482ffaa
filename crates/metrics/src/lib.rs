//! Metrics of a router.
