//! What an ideal service does with the same calls under a simple policy: the
//! baselines that a fleet is compared with.
//!
//! Time is virtual, messages cost nothing, and a slot serves at a constant rate.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

use balsamchute_base::prelude::*;
use balsamchute_base::rank;
use balsamchute_fair::queue::{Queue, Settings};
use balsamchute_standin::prompt::Prompt;
use balsamchute_wire::record::{End, Outcome};

use crate::audit::Execution;
use crate::caller::call::{History, Reply, Submission};
use crate::deployment::Deployment;
use crate::traffic::Planned;

/// How often the charge of running requests is corrected.
const PROGRESS: Span = Span(50);

/// Who is served next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Policy {
    /// One fair queue for all slots.
    Central,
    /// A fair queue at each router, with an equal part of the slots for ever.
    Fixed,
    /// One queue in the order of arrival.
    FirstCome,
}

/// What came of a replay, in the form of a measured run.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// What callers saw.
    pub histories: Vec<History>,
    /// What was executed.
    pub executions: Vec<Execution>,
}

enum Line {
    Fair(Box<Queue>),
    FirstCome(VecDeque<usize>),
}

struct Station {
    line: Line,
    free: usize,
}

struct Replay<'a> {
    plan: &'a [Planned],
    costs: Vec<u64>,
    speed: f64,
    stations: Vec<Station>,
    homes: BTreeMap<Workspace, usize>,
    starts: Vec<Option<u64>>,
    ends: BinaryHeap<Reverse<(u64, usize)>>,
}

/// Replays `plan` on the engines of `deployment` until `end` after its start,
/// which is at `origin`.
///
/// # Panics
///
/// Panics if the body of a call does not say its cost.
#[must_use]
pub fn run(
    plan: &[Planned],
    deployment: &Deployment,
    speed: f64,
    policy: Policy,
    origin: Time,
    end: Span,
) -> Outcomes {
    let mut replay = Replay::new(plan, deployment, speed, policy);
    replay.run(end.0);
    replay.outcomes(&deployment.engine_service(), origin, end)
}

impl<'a> Replay<'a> {
    fn new(plan: &'a [Planned], deployment: &Deployment, speed: f64, policy: Policy) -> Self {
        let pool = &deployment.pools[0];
        let slots = pool.runners * pool.slots as usize;
        let count = if policy == Policy::Fixed {
            deployment.routers
        } else {
            1
        };
        let line = || match policy {
            Policy::FirstCome => Line::FirstCome(VecDeque::new()),
            Policy::Central | Policy::Fixed => {
                let mut queue = Queue::new(Settings::default());
                for (workspace, weight) in &deployment.weights {
                    queue.set_weight(workspace, f64::from(*weight));
                }
                Line::Fair(Box::new(queue))
            }
        };
        let part = |number: usize| slots / count + usize::from(number < slots % count);
        let stations = (0..count).map(|number| Station {
            line: line(),
            free: part(number),
        });
        Replay {
            plan,
            costs: plan.iter().map(cost).collect(),
            speed,
            stations: stations.collect(),
            homes: homes(deployment, count),
            starts: vec![None; plan.len()],
            ends: BinaryHeap::new(),
        }
    }

    fn run(&mut self, end: u64) {
        let mut order: Vec<usize> = (0..self.plan.len()).collect();
        order.sort_by_key(|&call| self.plan[call].at);
        let mut arrivals = order.into_iter().peekable();
        let mut now = 0;
        while now <= end {
            while let Some(call) = arrivals.next_if(|&call| self.plan[call].at.0 <= now) {
                self.arrive(call);
            }
            while let Some(&Reverse((at, call))) = self.ends.peek().filter(|end| end.0.0 <= now) {
                self.ends.pop();
                debug_assert!(at <= now);
                self.finish(call);
            }
            if now % PROGRESS.0 == 0 {
                self.progress(now);
            }
            for station in 0..self.stations.len() {
                self.serve(station, now);
            }
            now += 1;
        }
    }

    fn home(&self, call: usize) -> usize {
        self.homes[&self.plan[call].call.workspace]
    }

    fn arrive(&mut self, call: usize) {
        let station = self.home(call);
        let Planned { call: asked, .. } = &self.plan[call];
        match &mut self.stations[station].line {
            Line::Fair(queue) => queue.push(&asked.workspace, call as u64, asked.hint),
            Line::FirstCome(line) => line.push_back(call),
        }
    }

    fn serve(&mut self, station: usize, now: u64) {
        while self.stations[station].free > 0 {
            let next = match &mut self.stations[station].line {
                Line::Fair(queue) => queue.pop().map(|item| item as usize),
                Line::FirstCome(line) => line.pop_front(),
            };
            let Some(call) = next else {
                return;
            };
            self.stations[station].free -= 1;
            self.starts[call] = Some(now);
            self.ends.push(Reverse((now + self.duration(call), call)));
        }
    }

    fn duration(&self, call: usize) -> u64 {
        (self.costs[call] as f64 * 1_000.0 / self.speed).ceil() as u64
    }

    fn finish(&mut self, call: usize) {
        let station = self.home(call);
        self.stations[station].free += 1;
        if let Line::Fair(queue) = &mut self.stations[station].line {
            queue.complete(call as u64, Cost(self.costs[call]));
        }
    }

    fn progress(&mut self, now: u64) {
        for Reverse((_, call)) in self.ends.clone() {
            let start = self.starts[call].unwrap_or(now);
            let made = (now - start) as f64 * self.speed / 1_000.0;
            let station = self.home(call);
            if let Line::Fair(queue) = &mut self.stations[station].line {
                queue.progress(call as u64, Cost(made as u64));
            }
        }
    }

    fn outcomes(&self, service: &Service, origin: Time, end: Span) -> Outcomes {
        let mut outcomes = Outcomes::default();
        let runner = Runner::new("replay").expect("the name is valid");
        for (number, planned) in self.plan.iter().enumerate() {
            let request = format!("{}.0", planned.call.id);
            let start = self.starts[number];
            let over = start.map_or(end.0, |start| start + self.duration(number));
            outcomes
                .histories
                .push(history(planned, &request, origin, over));
            let Some(start) = start else {
                continue;
            };
            let attempt = Attempt::new(&format!("replay.{number}")).expect("the name is valid");
            outcomes.executions.push(Execution {
                runner: runner.clone(),
                service: service.clone(),
                attempt,
                workspace: planned.call.workspace.clone(),
                request,
                key: None,
                start: origin + Span(start),
                end: Some(origin + Span(over)),
                cost: Cost(self.costs[number]),
                whole: true,
            });
        }
        outcomes
    }
}

fn history(planned: &Planned, request: &str, origin: Time, over: u64) -> History {
    let sent = origin + planned.at;
    let over = origin + Span(over);
    let submission = Submission {
        request: request.to_owned(),
        key: None,
        router: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        sent,
        first_token: None,
        finished: over,
        longest_gap: Span(0),
        reply: Reply::End {
            end: End::new(Outcome::NotRun, "replayed"),
            answer: String::new(),
        },
    };
    History {
        call: planned.call.clone(),
        wanted: sent,
        over,
        submissions: vec![submission],
    }
}

fn cost(planned: &Planned) -> u64 {
    let prompt: Prompt = serde_json::from_slice(&planned.call.body).expect("bodies are prompts");
    prompt.tokens
}

/// Returns the station of each workspace: the home that the fleet gives it.
fn homes(deployment: &Deployment, count: usize) -> BTreeMap<Workspace, usize> {
    let name = |number: usize| format!("{}-r{}", deployment.name, number + 1);
    let names: Vec<String> = (0..count).map(name).collect();
    let homes = deployment.weights.iter().map(|(workspace, _)| {
        let first = rank::first(workspace.as_str(), &names).expect("there is a station");
        let number = names.iter().position(|name| name == first);
        (workspace.clone(), number.unwrap_or(0))
    });
    homes.collect()
}
