//! Usage and load that routers report to each other.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use balsamchute_claim::suspect;
use balsamchute_model::prelude::*;
use balsamchute_wire::exchange::Suspect;
use serde::{Deserialize, Serialize};

use crate::notice::Leaving;

/// Usage of a service by one workspace through one router, decayed over a
/// quarter of the share window.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Usage {
    /// Service that the requests were for.
    pub service: Service,
    /// Workspace that is charged for the requests.
    pub workspace: Workspace,
    /// Cost of the requests that arrived.
    #[serde(rename = "asked")]
    pub demand: f32,
    /// Cost of the requests that were sent to a runner.
    pub served: f32,
}

/// Load that the requests of one router place on a runner.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Load {
    /// Runner that the requests were sent to.
    pub runner: Runner,
    /// Requests in flight at the runner.
    pub running: u32,
    /// Prompt tokens that the runner has not prefilled yet.
    #[serde(rename = "unread")]
    pub prefill_tokens: u32,
    /// Tokens reserved in the runner's KV cache for prompts and expected
    /// answers.
    #[serde(rename = "memory")]
    pub kv_tokens: u32,
}

/// Limit on the rate of requests that an answer of a runner named.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Stated {
    /// Requests per second from all routers together; `None` if it names no limit.
    pub per_second: Option<f64>,
    /// Time since the answer arrived.
    pub age: Span,
}

/// Limit on the rate of requests to one process of a runner, and what it was sent.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Limit {
    /// Runner that names the limit.
    pub runner: Runner,
    /// Start time of the process, as in [`Entry::started_at`].
    pub started_at: u64,
    /// Last statement of the runner; `None` if no answer told the reporting routers.
    pub stated: Option<Stated>,
    /// Requests sent within the last seconds, by the time for which limits count.
    pub sent: u32,
}

/// Runner whose start the reporting router observed, or that told it that it is cold.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Cold {
    /// Runner that is cold, or was until a short time ago.
    pub runner: Runner,
    /// Start time of the process, as in [`Entry::started_at`].
    pub started_at: u64,
    /// Remaining time for which the runner is cold, and the time since that was told;
    /// `None` if the reporting routers only know it from others or from the list.
    pub told: Option<Told>,
    /// Requests sent within the last second.
    pub sent: u32,
}

/// Remaining time for which a runner is cold.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct Told {
    /// Time that remains when the report is made; 0 if the runner is warm.
    pub left: Span,
    /// Time since the router heard it.
    pub age: Span,
}

/// Difference of ages below which of two statements the one with more time left counts:
/// the other one may be of the process before a restart.
const TOLD_TOGETHER: Span = Span(500);

impl Told {
    /// Returns whether this statement counts rather than the other one.
    fn outweighs(&self, other: &Told) -> bool {
        if self.age + TOLD_TOGETHER <= other.age {
            return true;
        }
        self.age < other.age + TOLD_TOGETHER && self.left > other.left
    }
}

/// Requests for a service that arrived at one router, decayed exponentially. One of a
/// workspace that asks for more than its share counts in part.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Demand {
    /// Service that the requests were for.
    pub service: Service,
    /// Decayed number of requests.
    pub requests: f32,
}

/// Streams that began at one software version of a service, which serves.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Begun {
    /// Service whose runners sent the first events.
    pub service: Service,
    /// Version of the runners' software.
    pub software: Software,
    /// Digests of the ids of the requests that brought the first events.
    pub streams: Vec<u64>,
    /// Time since the version last served, by the clock of the reporting router.
    #[serde(default)]
    pub age: Span,
}

/// Usage, load and suspects as reported by one router, or summed over several.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Report {
    /// Usage by service and workspace.
    pub usage: Vec<Usage>,
    /// Load by runner; runners without requests in flight are left out.
    pub loads: Vec<Load>,
    /// Fingerprints of requests that were in flight when a runner crashed.
    pub suspects: Vec<Suspect>,
    /// Processes of runners that said in an answer that they leave.
    pub leaving: Vec<Leaving>,
    /// Digests of prompt parts that were under way when a runner crashed.
    #[serde(default)]
    pub part_suspects: Vec<Suspect>,
    /// Limits on the rate of requests that runners named.
    #[serde(default)]
    pub limits: Vec<Limit>,
    /// Requests that arrived, by service.
    #[serde(default)]
    pub demand: Vec<Demand>,
    /// Streams that began a short time ago, and versions that other routers may not list.
    #[serde(default)]
    pub streams: Vec<Begun>,
    /// Runners that are cold, or were until a short time ago.
    #[serde(default)]
    pub cold: Vec<Cold>,
}

impl Report {
    /// Takes the part of one router off a sum that includes it. A hub sends the same
    /// sum to all routers of its domain, and each counts its own part itself.
    #[must_use]
    pub fn excluding(mut self, own: &Report) -> Self {
        let own_usage: BTreeMap<(&Service, &Workspace), &Usage> = own
            .usage
            .iter()
            .map(|item| ((&item.service, &item.workspace), item))
            .collect();
        for item in &mut self.usage {
            if let Some(own) = own_usage.get(&(&item.service, &item.workspace)) {
                item.demand = (item.demand - own.demand).max(0.0);
                item.served = (item.served - own.served).max(0.0);
            }
        }
        let own_loads: BTreeMap<&Runner, &Load> =
            own.loads.iter().map(|load| (&load.runner, load)).collect();
        for load in &mut self.loads {
            if let Some(own) = own_loads.get(&load.runner) {
                load.running = load.running.saturating_sub(own.running);
                load.prefill_tokens = load.prefill_tokens.saturating_sub(own.prefill_tokens);
                load.kv_tokens = load.kv_tokens.saturating_sub(own.kv_tokens);
            }
        }
        self.loads.retain(|load| load.running > 0);
        for limit in &mut self.limits {
            let own = own.limits.iter().find(|own| is_same_process(own, limit));
            limit.sent = limit.sent.saturating_sub(own.map_or(0, |own| own.sent));
        }
        for cold in &mut self.cold {
            let own = own.cold.iter().find(|own| is_same_cold(own, cold));
            cold.sent = cold.sent.saturating_sub(own.map_or(0, |own| own.sent));
        }
        for item in &mut self.demand {
            let own = own.demand.iter().find(|own| own.service == item.service);
            item.requests = (item.requests - own.map_or(0.0, |own| own.requests)).max(0.0);
        }
        self
    }
}

/// Requests and prompt parts that crash runners, as kept beyond the life of a router.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Refusals {
    /// Fingerprints of requests.
    pub requests: Vec<Suspect>,
    /// Digests of prompt parts.
    pub parts: Vec<Suspect>,
}

/// Runners that leave and are reported at most, by one router and by a sum.
pub(crate) const MAX_LEAVING: usize = 64;

/// Suspected requests that a sum holds at most.
const MAX_SUM_SUSPECTS: usize = 16;

/// Runners that a sum reports at most. Together with the list of routers, the
/// report must fit into a datagram of 60,000 bytes. Building it must also take
/// only a small part of the processor time of a hub, a router that sums and
/// relays the reports of others on an eighth of a core.
const MAX_SUM_LOADS: usize = 600;

/// Limits that a sum holds at most.
pub(crate) const MAX_SUM_LIMITS: usize = 256;

/// Streams that a sum holds at most.
const MAX_SUM_STREAMS: usize = 1024;

/// Sum of the reports of several routers.
#[derive(Clone, Debug, Default)]
pub struct Sum {
    /// Cost that arrived and cost that was sent to a runner.
    usage: BTreeMap<(Service, Workspace), (f32, f32)>,
    loads: BTreeMap<Runner, Load>,
    suspects: BTreeMap<u128, Suspect>,
    leaving: Vec<Leaving>,
    part_suspects: BTreeMap<u128, Suspect>,
    limits: BTreeMap<Runner, Limit>,
    demand: BTreeMap<Service, f32>,
    streams: BTreeMap<(Service, Software), (Vec<u64>, Span)>,
    stream_count: usize,
    cold: BTreeMap<Runner, Cold>,
}

impl Sum {
    /// Creates an empty sum, which turns into an empty report.
    #[must_use]
    pub fn new() -> Self {
        Sum::default()
    }

    /// Adds a router's report to the sum.
    pub fn add(&mut self, report: &Report) {
        for item in &report.usage {
            let key = (item.service.clone(), item.workspace.clone());
            let sum = self.usage.entry(key).or_default();
            sum.0 += item.demand;
            sum.1 += item.served;
        }
        for load in &report.loads {
            match self.loads.get_mut(&load.runner) {
                Some(sum) => {
                    sum.running = sum.running.saturating_add(load.running);
                    sum.prefill_tokens = sum.prefill_tokens.saturating_add(load.prefill_tokens);
                    sum.kv_tokens = sum.kv_tokens.saturating_add(load.kv_tokens);
                }
                None => {
                    self.loads.insert(load.runner.clone(), load.clone());
                }
            }
        }
        add_suspects(&mut self.suspects, &report.suspects);
        add_suspects(&mut self.part_suspects, &report.part_suspects);
        for leaving in &report.leaving {
            if self.leaving.len() < MAX_LEAVING && !self.leaving.contains(leaving) {
                self.leaving.push(leaving.clone());
            }
        }
        for limit in &report.limits {
            self.add_limit(limit);
        }
        for demand in &report.demand {
            *self.demand.entry(demand.service.clone()).or_default() += demand.requests;
        }
        for cold in &report.cold {
            self.add_cold(cold);
        }
        for begun in &report.streams {
            let room = MAX_SUM_STREAMS - self.stream_count;
            let added = &begun.streams[..begun.streams.len().min(room)];
            let key = (begun.service.clone(), begun.software.clone());
            let (streams, age) = self.streams.entry(key).or_insert((Vec::new(), begun.age));
            streams.extend(added);
            *age = begun.age.min(*age);
            self.stream_count += added.len();
        }
    }

    /// Adds a limit. A later process of the runner replaces an earlier one, and of two
    /// answers the later one counts.
    fn add_limit(&mut self, limit: &Limit) {
        let is_full = self.limits.len() >= MAX_SUM_LIMITS;
        match self.limits.get_mut(&limit.runner) {
            Some(sum) if is_same_process(sum, limit) => {
                sum.sent = sum.sent.saturating_add(limit.sent);
                sum.stated = match (sum.stated, limit.stated) {
                    (Some(known), Some(other)) if other.age < known.age => Some(other),
                    (None, other) => other,
                    (known, _) => known,
                };
            }
            Some(sum) if sum.started_at > limit.started_at => {}
            None if is_full => {}
            Some(_) | None => {
                self.limits.insert(limit.runner.clone(), limit.clone());
            }
        }
    }

    /// Adds a cold runner, as [`Sum::add_limit`] does a limit.
    fn add_cold(&mut self, cold: &Cold) {
        let is_full = self.cold.len() >= MAX_SUM_LIMITS;
        match self.cold.get_mut(&cold.runner) {
            Some(sum) if is_same_cold(sum, cold) => {
                sum.sent = sum.sent.saturating_add(cold.sent);
                sum.told = match (sum.told, cold.told) {
                    (Some(known), Some(other)) if other.outweighs(&known) => Some(other),
                    (None, other) => other,
                    (known, _) => known,
                };
            }
            Some(sum) if sum.started_at > cold.started_at => {}
            None if is_full => {}
            Some(_) | None => {
                self.cold.insert(cold.runner.clone(), cold.clone());
            }
        }
    }

    /// Returns the sum as a report. Of more than `MAX_SUM_LOADS` runners, those
    /// with the fewest requests in flight are left out. Receivers treat them as
    /// idle, which is the smallest error.
    #[must_use]
    pub fn into_report(self) -> Report {
        let usage = self.usage.into_iter();
        let usage = usage.map(|((service, workspace), (demand, served))| Usage {
            service,
            workspace,
            demand,
            served,
        });
        let loads = self.loads.into_values().filter(|load| load.running > 0);
        let mut loads: Vec<Load> = loads.collect();
        if loads.len() > MAX_SUM_LOADS {
            loads.sort_by_key(|load| Reverse(load.running));
            loads.truncate(MAX_SUM_LOADS);
        }
        Report {
            usage: usage.collect(),
            loads,
            suspects: most_crashes(self.suspects),
            leaving: self.leaving,
            part_suspects: most_crashes(self.part_suspects),
            limits: self.limits.into_values().collect(),
            demand: self
                .demand
                .into_iter()
                .map(|(service, requests)| Demand { service, requests })
                .collect(),
            streams: self
                .streams
                .into_iter()
                .map(|((service, software), (streams, age))| Begun {
                    service,
                    software,
                    streams,
                    age,
                })
                .collect(),
            cold: self.cold.into_values().collect(),
        }
    }
}

fn is_same_process(a: &Limit, b: &Limit) -> bool {
    a.runner == b.runner && a.started_at == b.started_at
}

fn is_same_cold(a: &Cold, b: &Cold) -> bool {
    a.runner == b.runner && a.started_at == b.started_at
}

/// Adds records to a sum, merged with those of the same fingerprint.
fn add_suspects(sum: &mut BTreeMap<u128, Suspect>, suspects: &[Suspect]) {
    for suspect in suspects {
        match sum.get_mut(&suspect.fingerprint) {
            Some(same) => {
                suspect::merge_records(same, suspect);
            }
            None => {
                sum.insert(suspect.fingerprint, suspect.clone());
            }
        }
    }
}

/// Returns the `MAX_SUM_SUSPECTS` records with the most crashes.
fn most_crashes(sum: BTreeMap<u128, Suspect>) -> Vec<Suspect> {
    let mut suspects: Vec<Suspect> = sum.into_values().collect();
    suspects.sort_by_key(|suspect| Reverse(suspect.crashes.len()));
    suspects.truncate(MAX_SUM_SUSPECTS);
    suspects
}
