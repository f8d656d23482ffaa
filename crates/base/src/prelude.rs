//! Re-exports of the types that almost every module uses.

pub use crate::cost::Cost;
pub use crate::id::{
    Attempt, Domain, Incarnation, Instance, Key, Request, Runner, Service, Workspace,
};
pub use crate::time::{Span, Time};
