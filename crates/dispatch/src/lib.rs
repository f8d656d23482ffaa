//! The decisions of one router: events in, actions out.
