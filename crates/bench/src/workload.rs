//! Workloads in YAML, and the calls that follow from one and a seed.

use balsamchute_base::prelude::*;
use balsamchute_inventory::config::Kind;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;

use crate::body;
use crate::caller::call::{Call, Repeat};
use crate::deployment::Deployment;
use crate::error::Error;
use crate::traffic::Planned;

/// Most calls that one workload may make.
const MAX_CALLS: f64 = 1_000_000.0;

/// A whole workload.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// `association` or `caixa`: the deployment that is brought up for it.
    pub deployment: String,
    /// How long calls are made, in seconds.
    pub duration_s: u32,
    /// The flows.
    pub flows: Vec<Flow>,
}

/// Calls of one workspace to one service.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// The workspace.
    pub workspace: Workspace,
    /// The service.
    pub service: Service,
    /// Calls a second on average; they come at random.
    #[serde(default)]
    pub rate: f64,
    /// Calls made at the start, all at once.
    #[serde(default)]
    pub burst: u32,
    /// Mean cost: tokens, or milliseconds at a plain service.
    pub cost: u32,
    /// Hints are wrong by a random factor up to this one.
    #[serde(default = "one")]
    pub hint_error: f64,
    /// Share of the calls, 0 to 1, that are non-idempotent.
    #[serde(default)]
    pub once: f64,
    /// How long callers wait, in milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
}

fn one() -> f64 {
    1.0
}

fn default_deadline_ms() -> u64 {
    30_000
}

impl Workload {
    /// Reads a workload from YAML; `path` is named in errors.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Workload`] that says what is wrong and where.
    pub fn parse(path: &str, text: &str) -> Result<Self, Error> {
        let failed = |reason: String| Error::Workload {
            path: path.to_owned(),
            reason,
        };
        let workload: Workload =
            serde_saphyr::from_str(text).map_err(|error| failed(error.to_string()))?;
        workload.check().map_err(failed)?;
        Ok(workload)
    }

    fn check(&self) -> Result<(), String> {
        if self.duration_s == 0 {
            return Err("duration_s is 0".to_owned());
        }
        if self.flows.is_empty() {
            return Err("flows is empty".to_owned());
        }
        let Some(deployment) = Deployment::named(&self.deployment) else {
            return Err(format!("deployment \"{}\" does not exist", self.deployment));
        };
        let calls = |flow: &Flow| flow.rate * f64::from(self.duration_s) + f64::from(flow.burst);
        self.flows
            .iter()
            .try_for_each(|flow| flow.check(&deployment))?;
        let all: f64 = self.flows.iter().map(calls).sum();
        if all > MAX_CALLS {
            return Err(format!("{all} calls are more than {MAX_CALLS}"));
        }
        Ok(())
    }

    /// Returns the calls; the same seed gives the same ones.
    #[must_use]
    pub fn plan(&self, deployment: &Deployment, seed: u64) -> Vec<Planned> {
        let mut plan = Vec::new();
        for (number, flow) in self.flows.iter().enumerate() {
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            random.set_stream(number as u64);
            for at in flow.times(self.duration_s, &mut random) {
                let id = format!("{}-{number}-{}", flow.workspace, plan.len());
                let kind = deployment.kind(&flow.service).unwrap_or(Kind::Engine);
                let call = flow.call(kind, id, seed, &mut random);
                plan.push(Planned { at, call });
            }
        }
        plan
    }
}

impl Flow {
    fn check(&self, deployment: &Deployment) -> Result<(), String> {
        let name = &self.workspace;
        if !deployment
            .weights
            .iter()
            .any(|(workspace, _)| workspace == name)
        {
            let deployment = deployment.name;
            return Err(format!(
                "workspace \"{name}\" does not exist in \"{deployment}\""
            ));
        }
        if deployment.kind(&self.service).is_none() {
            return Err(format!(
                "service \"{}\" of \"{name}\" does not exist",
                self.service
            ));
        }
        let sound = |value: f64| value.is_finite() && value >= 0.0;
        if !sound(self.rate) {
            return Err(format!("rate of \"{name}\" is {}", self.rate));
        }
        if self.rate == 0.0 && self.burst == 0 {
            return Err(format!("\"{name}\" has neither rate nor burst"));
        }
        if self.cost == 0 {
            return Err(format!("cost of \"{name}\" is 0"));
        }
        if !sound(self.hint_error) || self.hint_error < 1.0 {
            return Err(format!(
                "hint_error of \"{name}\" is {}, below 1",
                self.hint_error
            ));
        }
        if !(0.0..=1.0).contains(&self.once) {
            return Err(format!("once of \"{name}\" is {}, not 0 to 1", self.once));
        }
        if self.deadline_ms == 0 {
            return Err(format!("deadline_ms of \"{name}\" is 0"));
        }
        Ok(())
    }

    fn times(&self, duration_s: u32, random: &mut impl Rng) -> Vec<Span> {
        let mut times = vec![Span(0); self.burst as usize];
        if self.rate <= 0.0 {
            return times;
        }
        let mut gap = || -(1.0 - random.random::<f64>()).ln() / self.rate;
        let mut seconds = gap();
        while seconds < f64::from(duration_s) {
            times.push(Span((seconds * 1000.0) as u64));
            seconds += gap();
        }
        times
    }

    fn call(&self, kind: Kind, id: String, seed: u64, random: &mut impl Rng) -> Call {
        // Costs vary by a factor of up to 3 about the mean.
        let spread: f64 = random.random_range(-1.0..1.0);
        let cost = (f64::from(self.cost) * 3f64.powf(spread)).max(1.0) as u64;
        let wrong: f64 = random.random_range(-1.0..1.0);
        let hint = (cost as f64 * self.hint_error.powf(wrong)).max(1.0) as u64;
        let once = random.random_bool(self.once);
        let (body, expect) = body::make(kind, &id, Cost(cost));
        let repeat = match once {
            true => Repeat::Once(Key::new(&format!("{id}-{seed}")).expect("ids make valid keys")),
            false => Repeat::Idempotent,
        };
        Call {
            id,
            workspace: self.workspace.clone(),
            service: self.service.clone(),
            repeat,
            hint: Some(Cost(hint)),
            prefix: None,
            deadline: Span(self.deadline_ms),
            body,
            expect: Some(expect),
        }
    }
}
