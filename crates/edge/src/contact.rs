//! Contact with the store: that of this router, and that of other routers as they report it.

use balsamchute_model::prelude::*;

/// Age of the last response above which the store counts as unavailable. Longer
/// than a watch without changes takes: at most 2.5 s, and 3.2 s until it times out.
const MAX_RESPONSE_AGE: Span = Span(3500);

/// Time without a connection of any router after which entries may have expired. With check-ins
/// each 1.2 s, of which three must be missing, the store is away for 2.4 s before the first entry
/// expires, and routers notice up to 2.2 s late. Shorter times are connections that were cut.
const MIN_OUTAGE: Span = Span(500);

/// What this router knows about the availability of the store.
#[derive(Clone, Debug, Default)]
pub struct Contact {
    is_reader: bool,
    last_response: Option<Time>,
    // Time of the first failed call since the last response.
    failed_since: Option<Time>,
    // Time of the first failed call for runners since the last response to one.
    runners_failed_since: Option<Time>,
    // Latest time at which another router had a connection.
    peer_connected_at: Option<Time>,
    // Last outage that all other routers saw, whether or not this router saw it.
    peer_outage: Option<Outage>,
}

/// Time in which no router had a connection to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outage {
    /// Time of the last connection before.
    pub began_at: Time,
    /// Time of the first connection afterwards.
    pub ended_at: Time,
}

impl Outage {
    /// Returns the length of the outage.
    #[must_use]
    pub fn length(&self) -> Span {
        self.ended_at.since(self.began_at)
    }

    /// Returns the part of the outage after `time`.
    fn after(&self, time: Time) -> Outage {
        Outage {
            began_at: self.began_at.max(time),
            ..*self
        }
    }
}

impl Contact {
    /// Creates the state of a router that has not called the store.
    #[must_use]
    pub fn new() -> Self {
        Contact::default()
    }

    /// Records whether this router reads the list of runners from the store itself. Returns
    /// whether that changed.
    pub fn set_reader(&mut self, is_reader: bool) -> bool {
        std::mem::replace(&mut self.is_reader, is_reader) != is_reader
    }

    /// Returns whether the store responded recently and no call has failed since.
    #[must_use]
    pub fn is_connected(&self, now: Time) -> bool {
        let is_recent = self
            .last_response
            .is_some_and(|last_response| now.since(last_response) < MAX_RESPONSE_AGE);
        is_recent && self.failed_since.is_none()
    }

    /// Returns whether this router may tell others that it follows the store: a connection of
    /// a router that has ceased to read says nothing about later changes.
    #[must_use]
    pub fn follows_store(&self, now: Time) -> bool {
        self.is_reader && self.is_connected(now)
    }

    /// Records that another router had a connection at `connected_at`.
    pub fn record_peer(&mut self, connected_at: Time) {
        if let Some(began_at) = self.peer_connected_at {
            let ended_at = connected_at;
            let outage = Outage { began_at, ended_at };
            if outage.length() >= MIN_OUTAGE {
                self.peer_outage = Some(outage);
            }
        }
        self.peer_connected_at = self.peer_connected_at.max(Some(connected_at));
    }

    /// Records a failed call; `is_for_runners` if it was for the list of runners. Returns
    /// whether it is the first one since the last response.
    pub fn record_failure(&mut self, now: Time, is_for_runners: bool) -> bool {
        if is_for_runners {
            self.runners_failed_since.get_or_insert(now);
        }
        let is_first = self.failed_since.is_none();
        self.failed_since.get_or_insert(now);
        is_first
    }

    /// Records a response. Returns the time since the first failed call, if one failed since
    /// the last response.
    pub fn record_response(&mut self, now: Time) -> Option<Span> {
        self.last_response = Some(now);
        let failed_since = self.failed_since.take();
        failed_since.map(|since| now.since(since))
    }

    /// Records that the list of runners can be read. Returns the last outage that this router
    /// and all others saw, if entries of live runners may have expired in it. Another router
    /// may have regained the store before.
    pub fn record_runners(&mut self, now: Time) -> Option<Outage> {
        let failed_since = self.runners_failed_since.take()?;
        let since_peers = Outage {
            began_at: self.peer_connected_at.unwrap_or(failed_since),
            ended_at: now,
        };
        let outages = [Some(since_peers), self.peer_outage];
        let mut seen = outages
            .into_iter()
            .flatten()
            .map(|outage| outage.after(failed_since));
        seen.find(|outage| outage.length() >= MIN_OUTAGE)
    }
}
