//! Membership and the spread of configuration: pure decision logic.
