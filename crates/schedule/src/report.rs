//! What routers tell each other about requests and runners.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use balsamchute_model::prelude::*;
use balsamchute_wire::exchange::Suspect;
use serde::{Deserialize, Serialize};

/// A workspace's use of a service through one router, in the window.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Usage {
    /// The service.
    pub service: Service,
    /// The workspace.
    pub workspace: Workspace,
    /// Cost that it asked for.
    pub asked: f32,
    /// Cost that it was served.
    pub served: f32,
}

/// What one router has under way at a runner.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Load {
    /// The runner.
    pub runner: Runner,
    /// Requests.
    pub running: u32,
    /// Prompt tokens that the runner has still to read.
    pub unread: u32,
    /// Tokens in its memory.
    pub memory: u32,
}

/// One router's report.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// Use of services by workspaces.
    pub usage: Vec<Usage>,
    /// Work at runners.
    pub loads: Vec<Load>,
    /// Requests that crashed runners.
    pub suspects: Vec<Suspect>,
}

/// Suspected requests that a sum passes on.
const MAX_SUSPECTS: usize = 16;

/// Runners that a sum tells of: with the list of routers it must fit into a
/// datagram of 60,000 bytes and cost a hub of an eighth of a core little.
const MAX_LOADS: usize = 600;

/// Reports of several routers, added up.
#[derive(Clone, Debug, Default)]
pub struct Sum {
    usage: BTreeMap<(Service, Workspace), (f32, f32)>,
    loads: BTreeMap<Runner, Load>,
    suspects: Vec<Suspect>,
}

impl Sum {
    /// Creates the sum of no reports.
    #[must_use]
    pub fn new() -> Self {
        Sum::default()
    }

    /// Adds a report.
    pub fn add(&mut self, report: &Report) {
        for item in &report.usage {
            let key = (item.service.clone(), item.workspace.clone());
            let sum = self.usage.entry(key).or_default();
            sum.0 += item.asked;
            sum.1 += item.served;
        }
        for load in &report.loads {
            match self.loads.get_mut(&load.runner) {
                Some(sum) => {
                    sum.running = sum.running.saturating_add(load.running);
                    sum.unread = sum.unread.saturating_add(load.unread);
                    sum.memory = sum.memory.saturating_add(load.memory);
                }
                None => {
                    self.loads.insert(load.runner.clone(), load.clone());
                }
            }
        }
        for suspect in &report.suspects {
            let known = |own: &Suspect| own.fingerprint == suspect.fingerprint;
            if self.suspects.len() < MAX_SUSPECTS && !self.suspects.iter().any(known) {
                self.suspects.push(suspect.clone());
            }
        }
    }

    /// Returns the sum less a report that was added: what the router that sent
    /// it should know of all others.
    #[must_use]
    pub fn without(&self, own: &Report) -> Report {
        let mut rest = self.clone();
        for item in &own.usage {
            let key = (item.service.clone(), item.workspace.clone());
            if let Some(sum) = rest.usage.get_mut(&key) {
                sum.0 = (sum.0 - item.asked).max(0.0);
                sum.1 = (sum.1 - item.served).max(0.0);
            }
        }
        for load in &own.loads {
            if let Some(sum) = rest.loads.get_mut(&load.runner) {
                sum.running = sum.running.saturating_sub(load.running);
                sum.unread = sum.unread.saturating_sub(load.unread);
                sum.memory = sum.memory.saturating_sub(load.memory);
            }
        }
        rest.into_report()
    }

    /// Returns the sum as a report. Of more than 600 runners it leaves out those
    /// with the fewest requests: taken for idle they mislead least.
    #[must_use]
    pub fn into_report(self) -> Report {
        let usage = self.usage.into_iter();
        let usage = usage.map(|((service, workspace), (asked, served))| Usage {
            service,
            workspace,
            asked,
            served,
        });
        let loads = self.loads.into_values().filter(|load| load.running > 0);
        let mut loads: Vec<Load> = loads.collect();
        if loads.len() > MAX_LOADS {
            loads.sort_by_key(|load| Reverse(load.running));
            loads.truncate(MAX_LOADS);
        }
        Report {
            usage: usage.collect(),
            loads,
            suspects: self.suspects,
        }
    }
}
