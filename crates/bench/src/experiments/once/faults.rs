//! The faults of the experiment, in their order.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use balsamchute_base::prelude::*;

use crate::caller::call::History;
use crate::clock;
use crate::error::Error;
use crate::fleet::Fleet;

/// Time without faults at the start.
pub const QUIET: Span = Span::from_secs(5);

/// A spell in which the store was down.
pub struct Outage {
    /// When it began.
    pub start: Time,
    /// When it ended.
    pub end: Time,
    /// Bookings wanted so shortly before the end are not counted.
    pub margin: Span,
    /// Callers' addresses of the routers that did not live through it whole.
    pub broken: BTreeSet<SocketAddr>,
}

impl Outage {
    /// Returns whether a call was wanted during the outage, at routers that
    /// lived through it alone.
    pub fn contains(&self, history: &History) -> bool {
        let mut submissions = history.submissions.iter();
        let in_time = self.start <= history.wanted && history.wanted + self.margin <= self.end;
        in_time && submissions.all(|one| !self.broken.contains(&one.router))
    }
}

/// Causes the faults, each at its time after `started`.
///
/// # Errors
///
/// Returns an [`Error`] if a router cannot be signalled or started.
pub fn cause(fleet: &mut Fleet, started: Time) -> Result<Outage, Error> {
    let at = |seconds: u64| clock::sleep_until(started + Span::from_secs(seconds));
    at(5);
    fleet.platform().set_answer_loss(0.2);
    at(7);
    fleet.kill_router(0)?;
    at(9);
    fleet.restart_router(0)?;
    // Longer than any lease and the time after which a router counts as dead.
    fleet.pause_router(1)?;
    at(14);
    fleet.resume_router(1)?;
    fleet.platform().set_answer_loss(0.0);
    at(16);
    // Both sides reach the store: only the claims keep them apart.
    fleet.cut_routers(&[2, 3], false)?;
    at(21);
    fleet.heal_routers()?;
    at(24);
    let outage = store_outage(fleet, started)?;
    at(38);
    fleet.platform().set_delay(Span(300));
    fleet.platform().set_answer_loss(0.1);
    at(40);
    fleet.pause_router(6)?;
    fleet.cut_routers(&[7], true)?;
    at(45);
    fleet.resume_router(6)?;
    fleet.heal_routers()?;
    fleet.kill_router(7)?;
    at(47);
    fleet.platform().set_delay(Span(0));
    fleet.platform().set_answer_loss(0.0);
    fleet.restart_router(7)?;
    Ok(outage)
}

/// Takes the store down, and a router and a pause on top of it.
fn store_outage(fleet: &mut Fleet, started: Time) -> Result<Outage, Error> {
    let at = |seconds: u64| clock::sleep_until(started + Span::from_secs(seconds));
    let callers = fleet.callers();
    fleet.platform().set_down(true);
    let start = clock::now();
    at(27);
    fleet.kill_router(4)?;
    fleet.pause_router(5)?;
    at(31);
    fleet.resume_router(5)?;
    at(36);
    let end = clock::now();
    fleet.platform().set_down(false);
    fleet.restart_router(4)?;
    Ok(Outage {
        start,
        end,
        margin: Span::from_secs(4),
        broken: [callers[4], callers[5]].into(),
    })
}
