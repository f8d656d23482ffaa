//! Choice of the routers that a caller is told to use.
//!
//! Answers the load of a fleet with more routers than one answer can list, some of them
//! several times as large as others. With the same list for everybody, two thirds of the
//! routers got no requests. With requests spread over all of them, each knows little of
//! its own of the runners' load, and the small ones are late under bursts.

use std::net::{IpAddr, SocketAddr};

use balsamchute_base::prelude::*;
use balsamchute_base::rank;
use smallvec::SmallVec;

/// Size of a router, compared with the largest one of its domain, from which on it is
/// told to callers.
const MIN_SIZE_RATIO: f64 = 0.5;

/// Fleet size from which on small routers are left out of answers. In smaller fleets each
/// router is needed to bear the loss of others.
const MIN_SELECTED_FLEET: usize = 20;

/// Fewest routers of the caller's own domain in an answer, if there are so many. Smaller
/// ones fill up.
const MIN_NEAR: usize = 2;

/// Routers of other domains in an answer, as a share of those of the caller's own
/// domain. They serve if the whole domain is lost before the caller asks again.
const RESERVE_SHARE: f64 = 0.25;

/// Router that accepts requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate<'a> {
    /// Address for requests of callers.
    pub address: SocketAddr,
    /// Failure domain of the router.
    pub domain: &'a str,
    /// Processor of the router, in thousandths of a core.
    pub millicores: u32,
}

/// Returns the addresses for a caller in `domain`, at most `limit`.
///
/// A fleet of at most `limit` routers is listed whole, unless it is large and has small
/// routers beside large ones: callers of one workspace often keep to one router, and a
/// small one cannot accept all their connections. Of other fleets, a caller is told the
/// large routers of its own domain and some others. Where there are too many,
/// each directory router (`instance`) has a selection of its own, so that all take part,
/// and keeps it while the fleet stays the same, so that callers keep their connections.
#[must_use]
pub fn select(
    candidates: &[Candidate<'_>],
    domain: Option<&str>,
    instance: &Instance,
    limit: usize,
) -> Vec<SocketAddr> {
    let is_even = candidates.len() < MIN_SELECTED_FLEET || has_even_sizes(candidates);
    if candidates.len() <= limit && is_even {
        return candidates.iter().map(|router| router.address).collect();
    }
    let is_near = |router: &&Candidate<'_>| domain == Some(router.domain);
    let (near, far): (Vec<&Candidate>, Vec<&Candidate>) = candidates.iter().partition(is_near);
    let (mut near, mut far) = (large(near), large(far));
    if near.is_empty() {
        std::mem::swap(&mut near, &mut far);
    }
    let reserve = (near.len() as f64 * RESERVE_SHARE).ceil() as usize;
    let reserve = reserve.min(far.len()).min(limit);
    let mut selected = ranked(near, instance);
    selected.truncate(limit - reserve);
    selected.extend(ranked(far, instance).into_iter().take(reserve));
    selected
}

fn has_even_sizes(routers: &[Candidate<'_>]) -> bool {
    let sizes = routers.iter().map(|router| router.millicores);
    let largest = sizes.clone().max().unwrap_or(0);
    let smallest = sizes.min().unwrap_or(0);
    f64::from(smallest) >= f64::from(largest) * MIN_SIZE_RATIO
}

/// Returns the routers that are large compared with the largest one, at least
/// [`MIN_NEAR`] of them.
fn large<'a>(mut routers: Vec<&'a Candidate<'a>>) -> Vec<&'a Candidate<'a>> {
    routers.sort_by_key(|router| (std::cmp::Reverse(router.millicores), router.address));
    let largest = routers.first().map_or(0, |router| router.millicores);
    let is_large =
        |router: &&Candidate| f64::from(router.millicores) >= f64::from(largest) * MIN_SIZE_RATIO;
    let count = routers.iter().filter(|router| is_large(router)).count();
    routers.truncate(count.max(MIN_NEAR));
    routers
}

/// Returns the routers by their rendezvous score for a directory router.
fn ranked(routers: Vec<&Candidate<'_>>, instance: &Instance) -> Vec<SocketAddr> {
    let mut addresses: Vec<SocketAddr> = routers.iter().map(|router| router.address).collect();
    addresses.sort_by_cached_key(|address| {
        let mut item: SmallVec<[u8; 18]> = SmallVec::new();
        match address.ip() {
            IpAddr::V4(ip) => item.extend_from_slice(&ip.octets()),
            IpAddr::V6(ip) => item.extend_from_slice(&ip.octets()),
        }
        item.extend_from_slice(&address.port().to_be_bytes());
        rank::score_bytes(&item, instance.as_str())
    });
    addresses
}
