//! What operators may see of a router's state.

use balsamchute_base::prelude::*;
use balsamchute_claim::{bound, ledger};
use balsamchute_wire::config::Stamp;
use serde::Serialize;

use crate::core::Core;
use crate::trail;

/// The answer to a caller who asks which router to use.
#[derive(Clone, Debug, Serialize)]
pub struct Address {
    /// Callers' addresses of routers, the workspace's homes first.
    pub routers: Vec<String>,
    /// How long the answer may be kept, in milliseconds.
    pub keep_ms: u64,
    /// Whether claims of durable keys can be stored now.
    pub durable: bool,
    /// A fresh key bound to this router.
    pub key: Key,
}

/// A router's state in short.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// The router.
    pub instance: Instance,
    /// Its current life.
    pub incarnation: Incarnation,
    /// The version of the configuration in force.
    pub config: u64,
    /// Where it stands: starting, serving or leaving.
    pub phase: String,
    /// Whether claims can be stored now.
    pub durable: bool,
    /// Requests in hand.
    pub requests: usize,
    /// Live routers as this one sees them.
    pub members: Vec<Peer>,
    /// Services with their queues and slots.
    pub services: Vec<ServiceStatus>,
}

/// A live router in a status.
#[derive(Clone, Debug, Serialize)]
pub struct Peer {
    /// The router.
    pub instance: Instance,
    /// Its failure domain.
    pub domain: Domain,
    /// Where callers reach it.
    pub callers: String,
    /// The version of the configuration that it reported last.
    pub config: u64,
    /// Where it stands.
    pub phase: String,
}

/// A service in a status.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceStatus {
    /// The service.
    pub service: Service,
    /// Requests that wait here.
    pub backlog: u32,
    /// Virtual time of the queue.
    pub virtual_time: f64,
    /// Sum of the weights of workspaces with waiting requests.
    pub weight: f64,
    /// Slots of runners that this router owns.
    pub slots: u32,
    /// Of these, slots in use or lent.
    pub lent: u32,
}

/// A request that crashed targets.
#[derive(Clone, Debug, Serialize)]
pub struct Suspect {
    /// Digest of workspace, service and body, 32 hexadecimal digits.
    pub fingerprint: String,
    /// Attempts that ended in a crash of the target.
    pub crashes: Vec<Attempt>,
    /// Times that it was released or cleared.
    pub releases: u32,
    /// Whether it is refused.
    pub refused: bool,
}

/// What a router knows about a request, workspace or key.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// The router.
    pub instance: Instance,
    /// Decisions, oldest first.
    pub decisions: Vec<trail::Entry>,
    /// Requests of it that wait now, with their start tags.
    pub waiting: Vec<Waiting>,
}

/// A request that waits.
#[derive(Clone, Debug, Serialize)]
pub struct Waiting {
    /// The request.
    pub request: Request,
    /// Why it waits.
    pub why: String,
}

impl Core {
    /// Answers a caller who asks which router to use for a workspace.
    pub fn address(&mut self, now: Time, workspace: &Workspace) -> Address {
        let count = self
            .config
            .workspaces
            .get(workspace)
            .map_or(1, |share| share.homes);
        let homes = self.homes.homes(workspace, count).clone();
        let homes = homes.iter().filter_map(|home| self.members.get(home));
        let mut routers: Vec<String> = homes.map(|member| member.callers.to_string()).collect();
        for member in self.members.serving() {
            let address = member.callers.to_string();
            if !routers.contains(&address) {
                routers.push(address);
            }
        }
        routers.truncate(8);
        self.next_key += 1;
        let nonce = bound::nonce(now, self.next_key);
        let me = self.members.me();
        Address {
            routers,
            keep_ms: self.settings.keep.as_millis(),
            durable: self.durable,
            key: bound::mint(&me.instance, me.incarnation, nonce),
        }
    }

    /// Returns what this router knows of a key.
    #[must_use]
    pub fn key(&self, workspace: &Workspace, key: &Key) -> Option<ledger::State> {
        self.ledger.look(workspace, key).cloned()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        self.stamp
    }

    /// Returns the state in short.
    #[must_use]
    pub fn status(&self) -> Status {
        let me = self.me();
        let members = self.members.serving().map(|member| Peer {
            instance: member.instance.clone(),
            domain: member.domain.clone(),
            callers: member.callers.to_string(),
            config: if member.instance == me.instance {
                self.stamp.version
            } else {
                member.config
            },
            phase: format!("{:?}", member.phase).to_lowercase(),
        });
        let services = self.services.iter().map(|(service, state)| ServiceStatus {
            service: service.clone(),
            backlog: state.queue.backlog(),
            virtual_time: state.queue.virtual_time(),
            weight: state.queue.weight(),
            slots: state.lender.slots(),
            lent: state.lender.lent(),
        });
        Status {
            instance: me.instance.clone(),
            incarnation: me.incarnation,
            config: self.stamp.version,
            phase: format!("{:?}", me.phase).to_lowercase(),
            durable: self.durable,
            requests: self.requests.len(),
            members: members.collect(),
            services: services.collect(),
        }
    }

    /// Explains what happened to the requests that `wanted` selects.
    pub fn explain(
        &self,
        wanted: impl Fn(&Request, &Workspace, Option<&Key>) -> bool,
    ) -> Explanation {
        let decisions = self
            .trail
            .select(|entry| wanted(&entry.request, &entry.workspace, entry.key.as_ref()));
        let selected = self.requests.iter().filter(|(_, entry)| {
            wanted(
                &entry.head.request,
                &entry.head.workspace,
                entry.head.key.as_ref(),
            )
        });
        let waiting = selected.map(|(ticket, entry)| {
            let place = self
                .services
                .get(&entry.head.service)
                .and_then(|state| state.queue.explain(*ticket));
            let why = match place {
                Some(place) => format!("waits for a slot: {place:?}"),
                None => format!("{:?}", entry.stage),
            };
            Waiting {
                request: entry.head.request.clone(),
                why,
            }
        });
        Explanation {
            instance: self.me().instance.clone(),
            waiting: waiting.collect(),
            decisions,
        }
    }
}
