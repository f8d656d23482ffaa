//! What each router says about itself over time.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread::{self, Scope};
use std::time::Duration;

use balsamchute_base::prelude::*;
use serde::Deserialize;

use crate::clock;

/// Time between two questions to a router.
const STEP: Duration = Duration::from_millis(25);

/// Longest time for a router's answer.
const ANSWER: Duration = Duration::from_millis(500);

/// Longest time for a router to serve.
const START_LIMIT: Span = Span::from_secs(20);

/// What a router said.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// When it was asked.
    pub asked: Time,
    /// When it had answered.
    pub at: Time,
    /// Its life.
    pub incarnation: Incarnation,
    /// The version that it has in force.
    pub version: u64,
    /// Whether it takes requests.
    pub serving: bool,
}

#[derive(Deserialize)]
struct Status {
    incarnation: Incarnation,
    config: u64,
    phase: String,
}

/// Asks every router again and again.
pub struct Watch {
    routers: Vec<SocketAddr>,
    samples: Vec<Mutex<Vec<Sample>>>,
    stopped: AtomicBool,
}

impl Watch {
    /// Creates a watch over the routers at these callers' addresses.
    pub fn new(routers: Vec<SocketAddr>) -> Self {
        Watch {
            samples: routers.iter().map(|_| Mutex::default()).collect(),
            routers,
            stopped: AtomicBool::new(false),
        }
    }

    /// Starts a thread for each router.
    pub fn start<'scope>(&'scope self, scope: &'scope Scope<'scope, '_>) {
        for number in 0..self.routers.len() {
            scope.spawn(move || self.follow(number));
        }
    }

    /// Ends the threads.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
    }

    fn follow(&self, number: usize) {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .timeout_global(Some(ANSWER))
            .build()
            .into();
        let url = format!("http://{}/v1/status", self.routers[number]);
        while !self.stopped.load(Ordering::Relaxed) {
            if let Some(sample) = ask(&agent, &url) {
                self.samples(number).push(sample);
            }
            thread::sleep(STEP);
        }
    }

    /// Returns what a router has said so far.
    pub fn samples(&self, number: usize) -> MutexGuard<'_, Vec<Sample>> {
        let samples = self.samples[number].lock();
        samples.unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of routers.
    pub fn routers(&self) -> usize {
        self.routers.len()
    }

    /// Waits until a router has said that it takes requests, from now on.
    pub fn wait_serving(&self, number: usize) {
        let from = clock::now();
        let serves = |sample: &Sample| sample.asked >= from && sample.serving;
        while !self.samples(number).iter().any(serves) {
            if clock::now().since(from) > START_LIMIT {
                return;
            }
            thread::sleep(STEP);
        }
    }
}

fn ask(agent: &ureq::Agent, url: &str) -> Option<Sample> {
    let asked = clock::now();
    let mut response = agent.get(url).call().ok()?;
    let bytes = response.body_mut().read_to_vec().ok()?;
    let status: Status = serde_json::from_slice(&bytes).ok()?;
    Some(Sample {
        asked,
        at: clock::now(),
        incarnation: status.incarnation,
        version: status.config,
        serving: status.phase == "serving",
    })
}
