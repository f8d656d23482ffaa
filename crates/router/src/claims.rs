//! Claims of keys in the platform's object API.

use balsamchute_dispatch::core::Core;
use balsamchute_dispatch::event::{Event, Ticket};
use balsamchute_wire::claim::{Answer, Ask, Batch, Verdict};
use crossbeam_channel::Sender;

use crate::work::Work;

/// Asks claim logs and writes those that this router is responsible for.
pub(crate) struct Claims {
    work: Work,
}

impl Claims {
    /// Creates the part.
    pub fn new(work: &Work) -> Self {
        Claims { work: work.clone() }
    }

    /// Asks for a verdict, which comes as an event.
    pub fn ask(&self, _core: &Core, ticket: Ticket, _ask: Ask) {
        self.work
            .event(Event::Verdict(ticket, Verdict::Unavailable));
    }

    /// Records the end of a claimed request.
    pub fn settle(&self, _core: &Core, _ask: Ask) {}

    /// Answers another router.
    pub fn serve(&self, batch: Batch, reply: Sender<Answer>) {
        let verdicts = batch.asks.iter().map(|_| Verdict::Unavailable).collect();
        let _ = reply.send(Answer { verdicts });
    }
}
