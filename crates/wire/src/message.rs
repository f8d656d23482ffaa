//! Messages that lend slots from the owner of a runner to a router with waiting
//! requests.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use serde::{Deserialize, Serialize};

use crate::exchange::Summary;

/// Number of a loan, unique within one incarnation of the lending owner.
pub type LoanId = u64;

/// Message between the owner of a runner and a borrower of its slots.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum Message {
    /// Lends one slot of a runner to the receiver.
    Grant {
        /// Number of the loan.
        loan: LoanId,
        /// Service of the runner.
        service: Service,
        /// Runner that the slot belongs to.
        runner: Runner,
        /// Address of the runner for requests.
        address: SocketAddr,
        /// Time in which the borrower has to start a request on the slot.
        lease: Span,
        /// Time in which the borrower may reuse the slot for further requests
        /// without a new grant, one after the other.
        reuse: Span,
    },
    /// Returns a borrowed slot to the owner.
    Release {
        /// Number of the loan.
        loan: LoanId,
        /// Service of the runner.
        service: Service,
        /// Total cost of the requests on the slot, in tokens or milliseconds (see
        /// [`Cost`]), zero if it was not used.
        cost: Cost,
        /// Whether the runner failed during the loan.
        failed: bool,
    },
    /// Reports the sender's queue of a service to an owner of runners. The owner
    /// then lends slots to the sender, or stops lending if nothing waits.
    Need(Summary),
}

/// Messages sent together in one body.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Batch {
    /// Router that sends the messages.
    pub from: Instance,
    /// Incarnation of the sender. Loans from an earlier incarnation are void.
    pub incarnation: Incarnation,
    /// Incarnation of the receiver that the messages are meant for. Any other
    /// incarnation ignores them.
    pub to: Incarnation,
    /// Messages to process in order, oldest first.
    pub messages: Vec<Message>,
}
