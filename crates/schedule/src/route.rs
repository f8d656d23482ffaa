//! Services that may have begun the streams of a route.
//!
//! Responds to manifests that change the backends of a route: a stream that began at one
//! service must not be resumed at another one.

use std::collections::BTreeMap;

use balsamchute_model::prelude::*;

/// Routes whose backends changed a short time ago.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Time from which on all streams of a route, by its name, began under its present
    /// backends.
    settled_at: BTreeMap<String, Time>,
}

impl Changes {
    /// Records the change from one manifest to the next.
    pub fn record(&mut self, now: Time, before: &Manifest, after: &Manifest) {
        let known: BTreeMap<&str, _> = routes(before)
            .map(|route| (route.name.as_str(), route))
            .collect();
        let longest = routes(before).map(|route| route.timeout).max();
        self.settled_at.retain(|_, settled_at| *settled_at > now);
        for route in routes(after) {
            let is_same = known.get(route.name.as_str()).is_some_and(|known| {
                known.backends == route.backends && known.timeout == route.timeout
            });
            // A new route may have taken over the path of any other one.
            if !is_same {
                let settled_at = now + longest.unwrap_or_default().max(route.timeout);
                self.settled_at.insert(route.name.clone(), settled_at);
            }
        }
    }

    /// Returns whether only the present backend of the route can have begun its streams.
    #[must_use]
    pub fn is_sole(&self, now: Time, route: &Route) -> bool {
        let settled_at = self.settled_at.get(&route.name);
        route.backends.len() == 1 && settled_at.is_none_or(|&settled_at| now > settled_at)
    }
}

fn routes(manifest: &Manifest) -> impl Iterator<Item = &Route> {
    manifest.routes.values().flatten().map(|route| &**route)
}
