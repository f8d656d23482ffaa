//! Fair queueing of requests and lending of slots: pure decision logic.
