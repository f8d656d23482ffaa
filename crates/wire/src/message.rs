//! Slots lent from the owner of a runner to a router with requests waiting.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::exchange::Summary;

/// Number of a loan, unique for one incarnation of its owner.
pub type Loan = u64;

/// One message.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Message {
    /// The owner lends one slot of a runner.
    Grant {
        /// Number of the loan.
        loan: Loan,
        /// The service.
        service: Service,
        /// The runner.
        runner: Runner,
        /// Where the runner listens.
        address: SocketAddr,
        /// How long the borrower may take to start a request on the slot.
        lease: Span,
        /// How long the borrower may start further requests on the slot without
        /// asking, each after the one before has ended.
        reuse: Span,
    },
    /// The borrower gives a slot back.
    Release {
        /// Number of the loan.
        loan: Loan,
        /// The service.
        service: Service,
        /// Cost that was spent on it, zero if it was not used.
        cost: Cost,
        /// Whether the runner failed during the loan.
        failed: bool,
    },
    /// The sender has requests waiting and no slots, or its need has changed.
    Need(Summary),
}

/// Messages that are sent together.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Batch {
    /// The sender.
    pub from: Instance,
    /// Its current life. Loans of an earlier life are void.
    pub incarnation: Incarnation,
    /// The life of the receiver that the messages are meant for.
    pub to: Incarnation,
    /// The messages, oldest first.
    pub messages: Vec<Message>,
}
