//! Views of a router's state for callers and operators.

use balsamchute_base::prelude::*;
use balsamchute_claim::{bound, ledger};
use balsamchute_wire::config::Stamp;
use serde::Serialize;

use crate::dispatcher::Dispatcher;
use crate::trail;

/// Answer to a caller that asks which router to use.
#[derive(Clone, Debug, Serialize)]
pub struct Address {
    /// Addresses of routers for callers, the homes of the workspace first.
    pub routers: Vec<String>,
    /// Time for which the answer may be cached, in milliseconds.
    pub keep_ms: u64,
    /// Whether claims of durable keys can be stored now.
    pub durable: bool,
    /// Fresh key that is bound to this router.
    pub key: Key,
}

/// Summary of a router's state.
#[derive(Clone, Debug, Serialize)]
pub struct Status {
    /// Instance name of the router.
    pub instance: Instance,
    /// Current incarnation of the router.
    pub incarnation: Incarnation,
    /// Version of the configuration in force.
    pub config: u64,
    /// Phase of the router: starting, serving or leaving.
    pub phase: String,
    /// Whether claims of durable keys can be stored now.
    pub durable: bool,
    /// Requests held by the router, in any stage.
    pub requests: usize,
    /// Routers that serve, as seen by this one.
    pub members: Vec<Peer>,
    /// Services with their queues and slots.
    pub services: Vec<ServiceStatus>,
}

/// A serving router in a status.
#[derive(Clone, Debug, Serialize)]
pub struct Peer {
    /// Instance name of the router.
    pub instance: Instance,
    /// Failure domain of the router.
    pub domain: Domain,
    /// Address of the router for callers.
    pub callers: String,
    /// Version of the configuration that the router last reported.
    pub config: u64,
    /// Phase of the router: starting, serving or leaving.
    pub phase: String,
}

/// A service in a status.
#[derive(Clone, Debug, Serialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: Service,
    /// Requests that wait at this router, without those of workspaces that have
    /// reached their concurrency limit.
    pub backlog: u32,
    /// Virtual time of the queue, in cost for each unit of weight.
    pub virtual_time: f64,
    /// Sum of the weights of workspaces with waiting requests.
    pub weight: f64,
    /// Slots of the runners that this router owns.
    pub slots: u32,
    /// Owned slots that are in use or lent.
    pub lent: u32,
}

/// A request fingerprint that crashed targets.
#[derive(Clone, Debug, Serialize)]
pub struct Suspect {
    /// Digest of workspace, service and body, 32 hexadecimal digits.
    pub fingerprint: String,
    /// Attempts that ended in a crash of the target.
    pub crashes: Vec<Attempt>,
    /// Times that the crashes of the fingerprint were cleared: by an operator, by
    /// a completed request or by expiry.
    pub releases: u32,
    /// Whether requests of the fingerprint are refused.
    pub refused: bool,
}

/// Decisions of a router about a request, workspace or key.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// Instance name of the router.
    pub instance: Instance,
    /// Recorded decisions, oldest first.
    pub decisions: Vec<trail::Entry>,
    /// Selected requests that the router still holds, with their position or
    /// stage.
    pub waiting: Vec<Waiting>,
}

/// A request that the router still holds.
#[derive(Clone, Debug, Serialize)]
pub struct Waiting {
    /// Id of the request.
    pub request: Request,
    /// Position in the queue if the request waits for a slot, otherwise its
    /// stage.
    pub why: String,
}

impl Dispatcher {
    /// Returns the addresses of routers for a workspace and a fresh bound key.
    pub fn router_addresses(&mut self, now: Time, workspace: &Workspace) -> Address {
        let count = self
            .config
            .workspaces
            .get(workspace)
            .map_or(1, |spec| spec.homes);
        let homes = self.placement.homes(workspace, count).clone();
        let homes = homes.iter().filter_map(|home| self.members.get(home));
        let mut routers: Vec<String> = homes.map(|member| member.callers.to_string()).collect();
        for member in self.members.serving() {
            let address = member.callers.to_string();
            if !routers.contains(&address) {
                routers.push(address);
            }
        }
        // The answer names at most eight routers.
        routers.truncate(8);
        self.next_key += 1;
        let nonce = bound::new_nonce(now, self.next_key);
        let local = self.members.local();
        Address {
            routers,
            keep_ms: self.settings.address_ttl.as_millis(),
            durable: self.claims_available,
            key: bound::new_key(&local.instance, local.incarnation, nonce),
        }
    }

    /// Returns the ledger entry of a key, `None` if this router does not know
    /// it.
    #[must_use]
    pub fn key_state(&self, workspace: &Workspace, key: &Key) -> Option<ledger::Entry> {
        self.ledger.get(workspace, key).cloned()
    }

    /// Returns the version stamp of the configuration in force.
    #[must_use]
    pub fn config_stamp(&self) -> Stamp {
        self.stamp
    }

    /// Returns a summary of the router's state.
    #[must_use]
    pub fn status(&self) -> Status {
        let local = self.local_member();
        let members = self.members.serving().map(|member| Peer {
            instance: member.instance.clone(),
            domain: member.domain.clone(),
            callers: member.callers.to_string(),
            config: if member.instance == local.instance {
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
            weight: state.queue.backlogged_weight(),
            slots: state.lender.total_slots(),
            lent: state.lender.active_loans(),
        });
        Status {
            instance: local.instance.clone(),
            incarnation: local.incarnation,
            config: self.stamp.version,
            phase: format!("{:?}", local.phase).to_lowercase(),
            durable: self.claims_available,
            requests: self.requests.len(),
            members: members.collect(),
            services: services.collect(),
        }
    }

    /// Returns the decisions about the requests that `matches` selects, and
    /// those of them that are still held.
    pub fn explain(
        &self,
        matches: impl Fn(&Request, &Workspace, Option<&Key>) -> bool,
    ) -> Explanation {
        let decisions = self
            .trail
            .select(|entry| matches(&entry.request, &entry.workspace, entry.key.as_ref()));
        let selected = self.requests.iter().filter(|(_, entry)| {
            matches(
                &entry.head.request,
                &entry.head.workspace,
                entry.head.key.as_ref(),
            )
        });
        let waiting = selected.map(|(request_number, entry)| {
            let position = self
                .services
                .get(&entry.head.service)
                .and_then(|state| state.queue.explain(*request_number));
            let why = match position {
                Some(position) => format!("waits for a slot: {position:?}"),
                None => format!("{:?}", entry.stage),
            };
            Waiting {
                request: entry.head.request.clone(),
                why,
            }
        });
        Explanation {
            instance: self.local_member().instance.clone(),
            waiting: waiting.collect(),
            decisions,
        }
    }
}
