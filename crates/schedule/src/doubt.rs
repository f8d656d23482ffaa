//! Services of which only processes of unknown version have room.
//!
//! Responds to runners that restart in place, all of a service at once: until their entries
//! arrive, nobody knows at which version a stream begins. A caller may take the stream up at any
//! router without a name for it, so all routers must hear that versions serve which are not
//! listed, before the first such stream begins.

use std::collections::BTreeMap;

use balsamchute_model::prelude::*;

use crate::version::ANNOUNCE_TIME;

/// Time for which requests wait for an entry before the doubt is announced, which ends the
/// inference of a sole version for longer than a stream may last. Entries usually follow within
/// this time of the start.
const ENTRY_TIME: Span = Span(2000);

/// Same while a process of known version accepts requests and has no room: an entry that has not
/// followed by then is not written, since the store is away.
const ROOM_TIME: Span = Span(6000);

/// Time without a request after which the doubt about a service is forgotten.
const FORGET_TIME: Span = Span::from_secs(20);

#[derive(Clone, Copy, Debug)]
struct Doubt {
    /// Time of the first request that found no such process, and of the last one.
    since: Time,
    wanted_at: Time,
    announced_at: Option<Time>,
}

/// Services of which requests for streams found no process of known version that has room.
#[derive(Clone, Debug, Default)]
pub struct Doubts {
    services: BTreeMap<Service, Doubt>,
}

impl Doubts {
    /// Records that a request for a stream found no process of known version that has room,
    /// `has_known` being whether one accepts requests. Returns whether other routers are to be
    /// told, now and for as long as this is called.
    pub fn record(&mut self, now: Time, service: &Service, has_known: bool) -> bool {
        let new = Doubt {
            since: now,
            wanted_at: now,
            announced_at: None,
        };
        let doubt = self.services.entry(service.clone()).or_insert(new);
        if now.since(doubt.wanted_at) > FORGET_TIME {
            *doubt = new;
        }
        doubt.wanted_at = now;
        let wait = if has_known { ROOM_TIME } else { ENTRY_TIME };
        if now.since(doubt.since) >= wait {
            doubt.announced_at.get_or_insert(now);
        }
        doubt.announced_at.is_some()
    }

    /// Records that a process has named the start of its entry, or that another entry is listed.
    /// An announcement stays in force.
    pub fn end(&mut self, service: &Service) {
        if let Some(doubt) = self.services.get(service)
            && doubt.announced_at.is_none()
        {
            self.services.remove(service);
        }
    }

    /// Returns the time from which on streams may begin at processes of unknown version, if the
    /// doubt about the service lasts.
    #[must_use]
    pub fn begins_at(&self, service: &Service) -> Option<Time> {
        let doubt = self.services.get(service)?;
        let announced_at = doubt.announced_at.unwrap_or(doubt.since + ENTRY_TIME);
        Some(announced_at + ANNOUNCE_TIME)
    }

    /// Returns whether streams may begin at processes of unknown version.
    #[must_use]
    pub fn may_begin(&self, now: Time, service: &Service) -> bool {
        let doubt = self.services.get(service);
        doubt.is_some_and(|doubt| {
            let announced_at = doubt.announced_at;
            announced_at.is_some_and(|at| now.since(at) >= ANNOUNCE_TIME)
                && now.since(doubt.wanted_at) <= FORGET_TIME
        })
    }
}
