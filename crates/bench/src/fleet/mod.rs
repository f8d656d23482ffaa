//! A fleet of router processes over stand-ins.

pub mod router;
pub mod target;

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};

use balsamchute_base::prelude::*;
use balsamchute_inventory::config::Config;
use balsamchute_inventory::document;
use balsamchute_standin::platform::{Instance as Entry, Kind, Platform, State};
use balsamchute_wire::config::Document;

use self::router::{Router, Settings};
use self::target::Target;
use crate::audit::service::{Capacity, Window};
use crate::audit::{Execution, Verdict};
use crate::caller::Caller;
use crate::caller::call::History;
use crate::clock;
use crate::deployment::Deployment;
use crate::error::Error;
use crate::ports::Block;

/// Where the configuration is stored.
pub const CONFIG_PATH: &str = "config/current";

/// Tokens a second of one request at an engine, unless set otherwise.
pub const TOKENS_PER_SECOND: f64 = 50.0;

/// Time that a router has to finish its requests after SIGTERM.
const GRACE: Span = Span::from_secs(15);

/// Time for its process to end, a little longer than [`GRACE`].
const STOP_LIMIT: Span = Span::from_secs(17);

/// Time for a router to answer with its status.
const STATUS_LIMIT: Span = Span::from_secs(2);

/// How a fleet is set up.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The deployment.
    pub deployment: Deployment,
    /// Tokens a second of one request at an engine.
    pub tokens_per_second: f64,
    /// Further lines of YAML in each router's settings.
    pub router_settings: String,
}

impl Plan {
    /// Creates the plan of a deployment with the usual values for the rest.
    #[must_use]
    pub fn new(deployment: Deployment) -> Self {
        Plan {
            deployment,
            tokens_per_second: TOKENS_PER_SECOND,
            router_settings: String::new(),
        }
    }

    /// Sets the tokens a second of one request at an engine.
    #[must_use]
    pub fn with_speed(mut self, tokens_per_second: f64) -> Self {
        self.tokens_per_second = tokens_per_second;
        self
    }

    /// Adds lines of YAML to each router's settings.
    #[must_use]
    pub fn with_router_settings(mut self, yaml: &str) -> Self {
        self.router_settings = yaml.to_owned();
        self
    }
}

/// A running fleet. All its processes end when it is dropped.
pub struct Fleet {
    deployment: Deployment,
    config: Config,
    platform: Platform,
    targets: Vec<Target>,
    /// Spells in which each target could run requests.
    spells: Vec<(usize, Time, Option<Time>)>,
    routers: Vec<Router>,
    broken: BTreeSet<SocketAddr>,
    ports: Block,
}

impl Fleet {
    /// Starts the platform, the targets and the routers, and waits until every
    /// router is ready.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] that names what did not start.
    pub fn start(plan: &Plan) -> Result<Self, Error> {
        let deployment = plan.deployment.clone();
        let platform = Platform::start((Ipv4Addr::LOCALHOST, 0).into());
        let platform = platform.map_err(|error| Error::Start {
            what: "platform".to_owned(),
            reason: error.to_string(),
        })?;
        let targets = start_targets(plan)?;
        let addresses: Vec<_> = targets.iter().map(Target::address).collect();
        let now = clock::now();
        let mut fleet = Fleet {
            config: deployment.config(&addresses),
            spells: (0..targets.len())
                .map(|number| (number, now, None))
                .collect(),
            deployment,
            platform,
            targets,
            routers: Vec::new(),
            broken: BTreeSet::new(),
            ports: Block::new()?,
        };
        fleet.put_config("start");
        fleet.list_targets();
        fleet.start_routers(&plan.router_settings)?;
        Ok(fleet)
    }

    fn list_targets(&self) {
        for target in &self.targets {
            self.platform.put_instance(Entry {
                name: target.place().runner.clone(),
                kind: Kind::Runner,
                address: target.address(),
                domain: target.place().domain.to_owned(),
                state: State::Live,
            });
        }
    }

    fn start_routers(&mut self, extra: &str) -> Result<(), Error> {
        for number in 0..self.deployment.routers {
            let settings = Settings {
                instance: format!("{}-r{}", self.deployment.name, number + 1),
                domain: self.deployment.domain(number).to_owned(),
                callers: self.ports.take()?,
                inner: self.ports.take()?,
                platform: self.platform.address(),
                grace: GRACE,
                extra: extra.to_owned(),
            };
            self.list_router(&settings, State::Live);
            self.routers.push(Router::start(settings)?);
        }
        self.routers.iter_mut().try_for_each(Router::wait_ready)
    }

    fn list_router(&self, settings: &Settings, state: State) {
        self.platform.put_instance(Entry {
            name: settings.instance.clone(),
            kind: Kind::Router,
            address: settings.inner,
            domain: settings.domain.clone(),
            state,
        });
    }

    /// Returns the deployment.
    #[must_use]
    pub fn deployment(&self) -> &Deployment {
        &self.deployment
    }

    /// Returns the platform.
    #[must_use]
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Returns the targets, in the order of the deployment's places.
    #[must_use]
    pub fn targets(&self) -> &[Target] {
        &self.targets
    }

    /// Returns the routers.
    #[must_use]
    pub fn routers(&self) -> &[Router] {
        &self.routers
    }

    /// Returns the addresses for callers of all routers.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        let settings = self.routers.iter().map(Router::settings);
        settings.map(|settings| settings.callers).collect()
    }

    /// Returns a caller that knows all routers.
    #[must_use]
    pub fn caller(&self) -> Caller {
        Caller::new(&self.callers())
    }

    /// Returns the configuration last stored.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Changes the configuration and stores it on the platform; returns its version.
    pub fn change_config(&mut self, id: &str, change: impl FnOnce(&mut Config)) -> u64 {
        change(&mut self.config);
        self.put_config(id)
    }

    fn put_config(&mut self, id: &str) -> u64 {
        // Routers take the version that the platform gives the object.
        let document = Document {
            change: id.to_owned(),
            author: "bench".to_owned(),
            text: document::text(&self.config),
            ..Document::default()
        };
        let bytes = serde_json::to_vec(&document).expect("documents always encode");
        self.platform.put(CONFIG_PATH, bytes)
    }

    /// Returns the version of the configuration that a router has in force,
    /// `None` if it does not tell.
    #[must_use]
    pub fn config_version(&self, number: usize) -> Option<u64> {
        self.status(number)?.get("config")?.as_u64()
    }

    /// Returns the status page of a router, `None` if it does not answer.
    #[must_use]
    pub fn status(&self, number: usize) -> Option<serde_json::Value> {
        let url = format!(
            "http://{}/v1/status",
            self.routers[number].settings().callers
        );
        let request = ureq::get(url)
            .config()
            .timeout_global(Some(STATUS_LIMIT.into()));
        let mut response = request.build().call().ok()?;
        serde_json::from_slice(&response.body_mut().read_to_vec().ok()?).ok()
    }

    /// Returns the decisions that the routers took about a request, a line each.
    #[must_use]
    pub fn explain(&self, request: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for router in &self.routers {
            let settings = router.settings();
            let url = format!("http://{}/v1/explain?request={request}", settings.callers);
            let config = ureq::get(url).config();
            let call = config.timeout_global(Some(STATUS_LIMIT.into())).build();
            let body = call
                .call()
                .and_then(|mut answer| answer.body_mut().read_to_string());
            let answer: serde_json::Value = body
                .ok()
                .and_then(|body| serde_json::from_str(&body).ok())
                .unwrap_or_default();
            for part in ["decisions", "waiting"] {
                let entries = answer[part].as_array().into_iter().flatten();
                lines.extend(entries.map(|entry| format!("{}: {entry}", settings.instance)));
            }
        }
        lines
    }

    /// Kills a router.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signal`] if it cannot be ended.
    pub fn kill_router(&mut self, number: usize) -> Result<(), Error> {
        self.mark_broken(number);
        self.routers[number].kill()
    }

    /// Pauses a router until [`Fleet::resume_router`].
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signal`] if the signal cannot be sent.
    pub fn pause_router(&mut self, number: usize) -> Result<(), Error> {
        self.mark_broken(number);
        self.routers[number].pause()
    }

    /// Lets a paused router run again.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signal`] if the signal cannot be sent.
    pub fn resume_router(&self, number: usize) -> Result<(), Error> {
        self.routers[number].resume()
    }

    /// Marks a router as leaving in the platform's list and asks it to stop.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signal`] if the signal cannot be sent.
    pub fn drain_router(&mut self, number: usize) -> Result<(), Error> {
        let settings = self.routers[number].settings().clone();
        self.list_router(&settings, State::Leaving);
        self.routers[number].drain()
    }

    /// Waits for a drained router to end, and takes it from the list.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Late`] if it does not end within its grace time.
    pub fn wait_drained(&mut self, number: usize) -> Result<(), Error> {
        self.routers[number].wait_end(STOP_LIMIT)?;
        let name = self.routers[number].settings().instance.clone();
        self.platform.remove_instance(&name);
        Ok(())
    }

    /// Starts a router again, empty and as a new incarnation, at its addresses.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if it does not get ready.
    pub fn restart_router(&mut self, number: usize) -> Result<(), Error> {
        let settings = self.routers[number].settings().clone();
        // The old process goes first; it may still run.
        self.routers[number].kill()?;
        self.list_router(&settings, State::Live);
        self.routers[number] = Router::start(settings)?;
        self.routers[number].wait_ready()
    }

    /// Cuts the routers in `side` off from all others, and from the platform
    /// if `platform`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signal`] if a router does not listen.
    pub fn cut_routers(&mut self, side: &[usize], platform: bool) -> Result<(), Error> {
        let address = self.platform.address();
        let inner: Vec<_> = self
            .routers
            .iter()
            .map(|router| router.settings().inner)
            .collect();
        for number in 0..self.routers.len() {
            let here = side.contains(&number);
            let across = (0..inner.len()).filter(|other| side.contains(other) != here);
            let mut cut: Vec<_> = across.map(|other| inner[other]).collect();
            if here && platform {
                cut.push(address);
            }
            if here {
                self.mark_broken(number);
            }
            self.routers[number].cut(&cut)?;
        }
        Ok(())
    }

    /// Heals all cuts.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Signal`] if a router does not listen.
    pub fn heal_routers(&mut self) -> Result<(), Error> {
        self.routers.iter_mut().try_for_each(Router::heal)
    }

    /// Kills a target.
    pub fn kill_target(&mut self, number: usize) {
        let now = clock::now();
        let open =
            |spell: &&mut (usize, Time, Option<Time>)| spell.0 == number && spell.2.is_none();
        if let Some(spell) = self.spells.iter_mut().find(open) {
            spell.2 = Some(now);
        }
        self.targets[number].kill();
    }

    /// Starts a killed target again.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Start`] if it cannot listen.
    pub fn restart_target(&mut self, number: usize) -> Result<(), Error> {
        self.targets[number].restart()?;
        self.spells.push((number, clock::now(), None));
        Ok(())
    }

    /// Notes that streams through a router may be cut by what is done to it.
    pub fn mark_broken(&mut self, number: usize) {
        let address = self.routers[number].settings().callers;
        self.broken.insert(address);
    }

    /// Returns what all targets executed.
    #[must_use]
    pub fn executions(&self) -> Vec<Execution> {
        self.targets.iter().flat_map(Target::executions).collect()
    }

    /// Returns the slots of a service over time.
    ///
    /// # Panics
    ///
    /// Panics if the deployment has a runner without a valid name.
    #[must_use]
    pub fn capacity(&self, service: &Service) -> Capacity {
        let now = clock::now();
        let mut capacity = Capacity::default();
        for &(number, start, end) in &self.spells {
            let place = self.targets[number].place();
            if place.service == service.as_str() {
                let runner = Runner::new(&place.runner).expect("runners have valid names");
                let window = Window::new(start, end.unwrap_or(now));
                capacity.spells.push((runner, place.slots, window));
            }
        }
        capacity
    }

    /// Judges what callers received against what targets executed.
    #[must_use]
    pub fn judge(&self, histories: &[History]) -> Verdict {
        Verdict::new(histories, &self.executions(), &self.broken)
    }
}

fn start_targets(plan: &Plan) -> Result<Vec<Target>, Error> {
    let places = plan.deployment.places().into_iter();
    places
        .map(|place| Target::start(place, plan.tokens_per_second))
        .collect()
}
