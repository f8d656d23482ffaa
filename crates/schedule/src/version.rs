//! Software versions that may have begun a stream, and when a sole one may be inferred.
//!
//! Responds to releases: while they last, or while routers restart, runners of several versions
//! serve, and the version listed now need not be the one that began a stream.

use std::collections::{BTreeMap, BTreeSet};

use balsamchute_model::prelude::*;
use smallvec::SmallVec;

/// Versions of each service.
pub type Set = BTreeMap<Service, BTreeSet<Software>>;

/// Time for which a version that left is remembered in memory. Streams that may be older are
/// refused.
pub(crate) const MEMORY: Span = Span::from_secs(600);

/// Time for which a version that left is in the record of the store. Streams that may be older
/// when all routers restarted are refused: longer than the usual lifetime of a stream, with
/// [`AGE_MARGIN`] and the time for which a request may wait to be read.
pub(crate) const RECORD_TIME: Span = Span::from_secs(70);

/// Time since the last listing of a second version in which a release counts as under way.
const RELEASE_TIME: Span = Span::from_secs(20);

/// Age of the last confirmation of the list of runners above which versions may have come
/// and gone unseen.
const MAX_CONFIRMATION_AGE: Span = Span(3500);

/// Time without a report of other routers, which name the versions that they list, after which
/// these may have listed others unheard. A failure domain that loses its hub hears nothing until
/// the next one takes over.
const MAX_SILENCE: Span = Span(1500);

/// Time for which a version must have been listed until every router that still infers another
/// one as the sole version has heard of it: [`MAX_CONFIRMATION_AGE`], and the time until the
/// streams that begin are reported.
const SETTLE_TIME: Span = Span(5000);

/// Time for which other routers are told of a version before streams begin at it that could as
/// well begin elsewhere: afterwards, each has heard of it, or has heard no report for
/// [`MAX_SILENCE`] and infers nothing.
pub(crate) const ANNOUNCE_TIME: Span = Span(2000);

/// Added to the greatest age of a stream, for the time that the request travels, and for the
/// interval at which listed versions are recorded.
const AGE_MARGIN: Span = Span(1000);

/// What is known of the versions that served before the router's own observation began.
#[derive(Clone, Debug, Default)]
enum Earlier {
    /// Nothing.
    #[default]
    Unknown,
    /// No router served before.
    NoStreams,
    /// All records in the store were merged; they name versions of these services.
    Recorded(BTreeSet<Service>),
}

/// Time in which a version was listed without a long break.
#[derive(Clone, Copy, Debug)]
struct Listing {
    since: Time,
    until: Time,
}

/// Versions that one router knows to have served, and the time for which it can tell that
/// no others did.
#[derive(Clone, Debug, Default)]
pub struct Versions {
    /// Time in which runners had each version.
    served: BTreeMap<Service, BTreeMap<Software, Listing>>,
    /// Begin of the time in which the list of runners was confirmed without a gap.
    covered_since: Option<Time>,
    confirmed_at: Time,
    has_gap: bool,
    /// Time as of which other routers reported the versions that they list.
    heard_at: Option<Time>,
    /// Number of times that a version appeared.
    appearances: u64,
    earlier: Earlier,
    /// Services named by the records merged so far.
    recorded: BTreeSet<Service>,
}

impl Versions {
    /// Records that a runner that this or another router lists has a version, or that streams
    /// of the service may begin at an unknown one.
    pub fn record(&mut self, now: Time, service: &Service, software: &Software) {
        let listing = Listing {
            since: now,
            until: now,
        };
        match self.served.get_mut(service) {
            Some(versions) => match versions.get_mut(software) {
                Some(known) if now.since(known.until) <= SETTLE_TIME => {
                    known.until = known.until.max(now);
                    return;
                }
                Some(known) => *known = listing,
                None => {
                    versions.insert(software.clone(), listing);
                }
            },
            None => {
                let versions = BTreeMap::from([(software.clone(), listing)]);
                self.served.insert(service.clone(), versions);
            }
        }
        self.appearances += 1;
    }

    /// Returns the number of times that a version appeared which had not served shortly before.
    #[must_use]
    pub fn appearances(&self) -> u64 {
        self.appearances
    }

    /// Returns whether other routers may list another version of the service than this one: a
    /// version is new, or several were listed a short time ago.
    #[must_use]
    pub fn is_changing(&self, now: Time, service: &Service) -> bool {
        let mut listed = self.served.get(service).into_iter().flatten();
        listed.any(|(_, listing)| now.since(listing.since) < SETTLE_TIME)
            || self.within(now, service, RELEASE_TIME).nth(1).is_some()
    }

    /// Records that the list of runners was as the store has it. Returns whether that was not
    /// known of so late a time.
    pub fn confirm(&mut self, now: Time) -> bool {
        if self.covered_since.is_none() {
            self.covered_since = Some(now);
        } else if !self.is_confirmed(now) {
            self.covered_since = Some(now);
            self.has_gap = true;
        }
        let is_later = now > self.confirmed_at;
        self.confirmed_at = now.max(self.confirmed_at);
        is_later
    }

    /// Records a report of other routers, which names the versions that they listed at `at`.
    pub fn record_peer_report(&mut self, at: Time) {
        self.heard_at = self.heard_at.max(Some(at));
    }

    /// Returns whether a version that other routers listed would be known from their reports, or
    /// from the list if no router has reported for long.
    fn hears_others(&self, now: Time) -> bool {
        let is_confirmed_since = |at: Time| self.confirmed_at > at + MAX_SILENCE;
        match (self.heard_at, &self.earlier) {
            (Some(heard_at), _) => {
                now.since(heard_at) <= MAX_SILENCE || is_confirmed_since(heard_at)
            }
            (None, Earlier::NoStreams) => true,
            (None, _) => self.covered_since.is_some_and(is_confirmed_since),
        }
    }

    /// Records that the machine was suspended, for a time that the clock does not count.
    pub fn record_suspension(&mut self, suspended: Span) {
        self.confirmed_at = self.confirmed_at - suspended;
        self.heard_at = self.heard_at.map(|heard_at| heard_at - suspended);
    }

    /// Returns whether the list of runners was confirmed a short time ago.
    #[must_use]
    pub fn is_confirmed(&self, now: Time) -> bool {
        self.covered_since.is_some() && now.since(self.confirmed_at) <= MAX_CONFIRMATION_AGE
    }

    /// Returns whether the list of runners was ever confirmed.
    #[must_use]
    pub fn was_confirmed(&self) -> bool {
        self.covered_since.is_some()
    }

    /// Returns whether the list of runners was confirmed, but not a short time ago.
    #[must_use]
    pub fn is_outdated(&self, now: Time) -> bool {
        self.covered_since.is_some() && !self.is_confirmed(now)
    }

    /// Returns the time at which the list of runners was last confirmed.
    #[must_use]
    pub fn confirmed_at(&self) -> Time {
        self.confirmed_at
    }

    /// Returns the time since the list of runners was last confirmed.
    #[must_use]
    pub fn confirmation_age(&self, now: Time) -> Span {
        now.since(self.confirmed_at)
    }

    /// Adds the versions of a record in the store. Clocks may differ, so they count as served
    /// until now, and from long ago.
    pub fn merge(&mut self, now: Time, record: &Set) {
        for (service, versions) in record {
            self.recorded.insert(service.clone());
            for software in versions {
                let versions = self.served.entry(service.clone()).or_default();
                let listing = Listing {
                    since: Time(0),
                    until: now,
                };
                versions.insert(software.clone(), listing);
            }
        }
    }

    /// Returns the time since a version was first listed, if it was.
    #[must_use]
    pub fn listed_for(&self, now: Time, service: &Service, software: &Software) -> Option<Span> {
        let listing = self.served.get(service)?.get(software)?;
        Some(now.since(listing.since))
    }

    /// Returns the versions of a service that some routers may not have heard of, or none if
    /// all versions are that new.
    #[must_use]
    pub fn unsettled(&self, now: Time, service: &Service) -> SmallVec<[&Software; 2]> {
        let is_settled = |listing: &Listing| now.since(listing.since) >= SETTLE_TIME;
        let versions = self.served.get(service).into_iter().flatten();
        let listed: SmallVec<[(&Software, &Listing); 4]> = versions
            .filter(|(software, _)| !software.is_unknown())
            .collect();
        let has_settled = listed
            .iter()
            .any(|(_, listing)| is_settled(listing) && now.since(listing.until) <= SETTLE_TIME);
        let unsettled = listed.iter().filter(|(_, listing)| !is_settled(listing));
        match has_settled {
            true => unsettled.map(|(software, _)| *software).collect(),
            false => SmallVec::new(),
        }
    }

    /// Returns whether a version was listed for so short a time that routers may infer another
    /// one although they hear reports.
    #[must_use]
    pub fn is_unheard(&self, now: Time, service: &Service, software: &Software) -> bool {
        let listed_for = self.listed_for(now, service, software);
        listed_for.is_none_or(|listed_for| listed_for < ANNOUNCE_TIME)
    }

    /// Records that no stream began before this router started.
    pub fn set_first(&mut self) {
        self.earlier = Earlier::NoStreams;
    }

    /// Records that the records of all routers were merged.
    pub fn set_recorded(&mut self) {
        self.earlier = Earlier::Recorded(std::mem::take(&mut self.recorded));
    }

    /// Returns the only version that may have begun a stream of the service that is at most
    /// `max_age` old, or `None` if there are several or others may have served unseen.
    #[must_use]
    pub fn sole(&self, now: Time, service: &Service, max_age: Span) -> Option<&Software> {
        let max_age = max_age + AGE_MARGIN;
        if max_age > MEMORY || !self.is_confirmed(now) || !self.hears_others(now) {
            return None;
        }
        let begun = now - max_age;
        let is_recorded = match &self.earlier {
            Earlier::Unknown => false,
            Earlier::NoStreams => true,
            Earlier::Recorded(services) => max_age <= RECORD_TIME && services.contains(service),
        };
        let is_covered = self.covered_since.is_some_and(|since| begun >= since);
        if !is_covered && (self.has_gap || !is_recorded) {
            return None;
        }
        let mut versions = self.within(now, service, max_age);
        let sole = versions.next().filter(|_| versions.next().is_none());
        sole.filter(|software| !software.is_unknown())
    }

    /// Returns the versions of a service that served in this time up to now, as far as known.
    pub fn within(
        &self,
        now: Time,
        service: &Service,
        age: Span,
    ) -> impl Iterator<Item = &Software> {
        let versions = self.served.get(service).into_iter().flatten();
        versions
            .filter(move |(_, listing)| now.since(listing.until) <= age)
            .map(|(software, _)| software)
    }

    /// Returns the versions for the record in the store.
    #[must_use]
    pub fn record_set(&self, now: Time) -> Set {
        let services = self.served.keys();
        services
            .map(|service| {
                let versions = self.within(now, service, RECORD_TIME).cloned();
                (service.clone(), versions.collect::<BTreeSet<_>>())
            })
            .filter(|(_, versions)| !versions.is_empty())
            .collect()
    }

    /// Returns whether several versions of a service were listed a short time ago.
    #[must_use]
    pub fn has_release(&self, now: Time) -> bool {
        let mut services = self.served.keys();
        services.any(|service| self.within(now, service, RELEASE_TIME).nth(1).is_some())
    }

    /// Drops versions that left long ago.
    pub fn expire(&mut self, now: Time) {
        for versions in self.served.values_mut() {
            versions.retain(|_, listing| now.since(listing.until) <= MEMORY);
        }
        self.served.retain(|_, versions| !versions.is_empty());
    }
}
