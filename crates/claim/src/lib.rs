//! Claims of non-idempotent work: pure decision logic.
