//! Placement of models on engines according to demand.
//!
//! Every router sees all engines and the demand for each model, and sends
//! commands to the engines that it owns. All routers select engines by the same
//! rendezvous ranking, so owners with the same view agree without communication.
//! A command carries a fencing number that increases for each engine.
//!
//! Three rules prevent oscillation: a shortage or a surplus has to persist, a
//! loaded model stays for a minimum time, and loads draw on this router's share
//! of the weight store's rate. A model is unloaded only to make room for one that
//! lacks engines, and never while a stream runs on it.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use balsamchute_base::prelude::*;
use balsamchute_base::rank;

const MS_PER_SECOND: f64 = 1000.0;

/// Timing, headroom and rate limits of the placement.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time for which a shortage or a surplus has to last before it is acted on.
    /// Also the pause for an engine that rejected a command.
    pub settle_time: Span,
    /// Minimum time that a model stays on an engine after it was loaded.
    pub min_residency: Span,
    /// Time after which a command without a reported effect is no longer pending.
    pub command_timeout: Span,
    /// Capacity kept free on top of the demand, as a share of the demand. After a
    /// release of capacity, this share of the remaining slots stays free as well.
    pub headroom_share: f64,
    /// Loads per second that this router may command: the weight store's rate
    /// divided by the number of live routers.
    pub loads_per_second: f64,
    /// Number of loads that this router may command at once.
    pub load_burst: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            settle_time: Span::from_secs(10),
            min_residency: Span::from_secs(60),
            command_timeout: Span::from_secs(30),
            headroom_share: 0.2,
            loads_per_second: 0.1,
            load_burst: 2.0,
        }
    }
}

/// Change of the models on an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operation {
    /// Loads the named model.
    Load(String),
    /// Unloads the named model.
    Unload(String),
}

/// A fenced operation for one engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Command {
    /// Engine that receives the command.
    pub runner: Runner,
    /// Fencing number, higher than any that this router sent to the engine or
    /// received from it in a rejection.
    pub fence: u64,
    /// Operation that the engine performs.
    pub operation: Operation,
}

/// A model that is loaded on an engine.
#[derive(Clone, Debug)]
struct Replica {
    loaded_at: Time,
    streams: u32,
    /// Whether the replica is to be unloaded and gets no new streams.
    draining: bool,
}

/// An operation whose effect has not been reported.
#[derive(Clone, Debug)]
struct Pending {
    operation: Operation,
    deadline: Time,
}

#[derive(Clone, Debug)]
struct Engine {
    owned: bool,
    slots: u32,
    /// Number of models that fit on the engine.
    max_models: usize,
    replicas: BTreeMap<String, Replica>,
    pending: Option<Pending>,
    /// Highest fencing number sent to the engine or received in a rejection.
    fence: u64,
    /// End of the pause after the engine rejected a command.
    paused_until: Time,
}

impl Engine {
    fn is_loading(&self, model: &str) -> bool {
        let pending = self.pending.as_ref().map(|pending| &pending.operation);
        matches!(pending, Some(Operation::Load(loading)) if loading == model)
    }

    fn serves(&self, model: &str) -> bool {
        self.replicas
            .get(model)
            .is_some_and(|replica| !replica.draining)
    }
}

/// Demand for a model in slots, and since when its capacity falls short of it or
/// exceeds it.
#[derive(Clone, Debug, Default)]
struct Demand {
    slots: f64,
    shortage_since: Option<Time>,
    surplus_since: Option<Time>,
}

/// Placement state of one router.
#[derive(Clone, Debug)]
pub struct Placement {
    settings: Settings,
    engines: BTreeMap<Runner, Engine>,
    demands: BTreeMap<String, Demand>,
    /// Tokens left in the bucket that limits loads.
    load_tokens: f64,
    refilled_at: Time,
}

impl Placement {
    /// Creates a placement without engines and with a full load budget.
    #[must_use]
    pub fn new(settings: Settings, now: Time) -> Self {
        Self {
            load_tokens: settings.load_burst,
            settings,
            engines: BTreeMap::new(),
            demands: BTreeMap::new(),
            refilled_at: now,
        }
    }

    /// Adds an engine or updates its size and whether this router owns it.
    /// `max_models` is the number of models that fit on the engine.
    pub fn set_engine(&mut self, runner: &Runner, slots: u32, max_models: usize, owned: bool) {
        let engine = self.engines.entry(runner.clone()).or_insert(Engine {
            owned,
            slots,
            max_models,
            replicas: BTreeMap::new(),
            pending: None,
            fence: 0,
            paused_until: Time(0),
        });
        (engine.owned, engine.slots, engine.max_models) = (owned, slots, max_models);
        // Pending commands and draining are left to the new owner.
        if !owned {
            engine.pending = None;
            engine
                .replicas
                .values_mut()
                .for_each(|replica| replica.draining = false);
        }
    }

    /// Removes an engine and all state about it.
    pub fn remove_engine(&mut self, runner: &Runner) {
        self.engines.remove(runner);
    }

    /// Updates the loaded models of an engine from its report. An operation is
    /// no longer pending once the report shows its effect.
    pub fn report_models(&mut self, now: Time, runner: &Runner, models: &[String]) {
        let Some(engine) = self.engines.get_mut(runner) else {
            return;
        };
        engine.replicas.retain(|model, _| models.contains(model));
        for model in models {
            engine.replicas.entry(model.clone()).or_insert(Replica {
                loaded_at: now,
                streams: 0,
                draining: false,
            });
        }
        let fulfilled = engine
            .pending
            .as_ref()
            .is_some_and(|pending| match &pending.operation {
                Operation::Load(model) => models.contains(model),
                Operation::Unload(model) => !models.contains(model),
            });
        if fulfilled {
            engine.pending = None;
        }
    }

    /// Sets the fleet-wide demand for a model: the number of slots that its
    /// running and waiting requests would occupy.
    pub fn set_demand(&mut self, model: &str, slots: f64) {
        self.demands.entry(model.to_owned()).or_default().slots = slots.max(0.0);
    }

    /// Returns whether a new stream of a model may start on an engine.
    #[must_use]
    pub fn serves(&self, runner: &Runner, model: &str) -> bool {
        self.engines
            .get(runner)
            .is_some_and(|engine| engine.serves(model))
    }

    /// Records that a stream of a model started on an engine.
    pub fn stream_started(&mut self, runner: &Runner, model: &str) {
        if let Some(replica) = self.replica_mut(runner, model) {
            replica.streams += 1;
        }
    }

    /// Records that a stream of a model ended on an engine.
    pub fn stream_ended(&mut self, runner: &Runner, model: &str) {
        if let Some(replica) = self.replica_mut(runner, model) {
            replica.streams = replica.streams.saturating_sub(1);
        }
    }

    /// Records that an engine rejected a command because it has seen the higher
    /// fencing number `fence`: another router owns it or did so in between.
    pub fn command_rejected(&mut self, now: Time, runner: &Runner, fence: u64) {
        let settle_time = self.settings.settle_time;
        if let Some(engine) = self.engines.get_mut(runner) {
            engine.fence = engine.fence.max(fence);
            engine.pending = None;
            engine.paused_until = now + settle_time;
        }
    }

    /// Updates the state to `now` and returns the commands to send.
    pub fn plan(&mut self, now: Time) -> Vec<Command> {
        self.refill_load_tokens(now);
        self.expire_pending(now);
        self.track_demand(now);
        let mut commands = Vec::new();
        self.unload_drained(now, &mut commands);
        for model in self.models_with_shortage(now) {
            self.add_capacity(now, &model, &mut commands);
        }
        commands
    }

    fn replica_mut(&mut self, runner: &Runner, model: &str) -> Option<&mut Replica> {
        self.engines.get_mut(runner)?.replicas.get_mut(model)
    }

    fn refill_load_tokens(&mut self, now: Time) {
        let seconds = now.since(self.refilled_at).as_millis() as f64 / MS_PER_SECOND;
        let tokens = self.load_tokens + seconds * self.settings.loads_per_second;
        self.load_tokens = tokens.min(self.settings.load_burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Drops pending operations past their deadline, so that they can be
    /// commanded again.
    fn expire_pending(&mut self, now: Time) {
        for engine in self.engines.values_mut() {
            if engine
                .pending
                .as_ref()
                .is_some_and(|pending| pending.deadline <= now)
            {
                engine.pending = None;
            }
        }
    }

    /// Returns the slots of the engines that serve a model.
    fn serving_slots(&self, model: &str) -> f64 {
        let engines = self.engines.values().filter(|engine| engine.serves(model));
        engines.map(|engine| f64::from(engine.slots)).sum()
    }

    /// Returns the slots of the engines that serve a model or load it by a
    /// pending command of this router.
    fn capacity(&self, model: &str) -> f64 {
        let loading = self
            .engines
            .values()
            .filter(|engine| engine.is_loading(model));
        let slots: f64 = loading.map(|engine| f64::from(engine.slots)).sum();
        self.serving_slots(model) + slots
    }

    /// Returns the slots that the demand for a model requires, with headroom.
    fn required_slots(&self, model: &str) -> f64 {
        let demand = self.demands.get(model).map_or(0.0, |demand| demand.slots);
        demand * (1.0 + self.settings.headroom_share)
    }

    /// Returns whether a model can give up `slots` of its capacity. The rest has
    /// to hold the running streams, and the required slots may take at most
    /// `1 - headroom_share` of it, so that a shortage does not follow at once.
    fn can_release(&self, model: &str, slots: u32) -> bool {
        let remaining = self.serving_slots(model) - f64::from(slots);
        let streams = self.streams(model);
        let usable = remaining * (1.0 - self.settings.headroom_share);
        slots > 0 && remaining >= streams && self.required_slots(model) <= usable
    }

    fn streams(&self, model: &str) -> f64 {
        let replicas = self
            .engines
            .values()
            .filter_map(|engine| engine.replicas.get(model));
        replicas.map(|replica| f64::from(replica.streams)).sum()
    }

    /// Records for each model when a shortage or a surplus began.
    fn track_demand(&mut self, now: Time) {
        for model in self.known_models() {
            let has_shortage = self.required_slots(&model) > self.capacity(&model);
            let has_surplus = self.can_release(&model, self.min_engine_slots(&model));
            let demand = self.demands.entry(model).or_default();
            demand.shortage_since = has_shortage.then(|| demand.shortage_since.unwrap_or(now));
            demand.surplus_since = has_surplus.then(|| demand.surplus_since.unwrap_or(now));
        }
    }

    /// Returns the slots of the smallest engine that serves a model, 0 if none
    /// does.
    fn min_engine_slots(&self, model: &str) -> u32 {
        let engines = self.engines.values().filter(|engine| engine.serves(model));
        engines.map(|engine| engine.slots).min().unwrap_or(0)
    }

    /// Returns all models with a demand or a replica.
    fn known_models(&self) -> Vec<String> {
        let loaded = self
            .engines
            .values()
            .flat_map(|engine| engine.replicas.keys());
        let mut models: Vec<String> = self.demands.keys().chain(loaded).cloned().collect();
        models.sort();
        models.dedup();
        models
    }

    /// Returns the models whose shortage has lasted for the settle time.
    fn models_with_shortage(&self, now: Time) -> Vec<String> {
        let has_shortage = |demand: &Demand| self.has_settled(now, demand.shortage_since);
        let short = self
            .demands
            .iter()
            .filter(|(_, demand)| has_shortage(demand));
        short.map(|(model, _)| model.clone()).collect()
    }

    /// Returns whether a shortage or surplus that began at `since` has lasted for
    /// the settle time.
    fn has_settled(&self, now: Time, since: Option<Time>) -> bool {
        since.is_some_and(|since| now.since(since) >= self.settings.settle_time)
    }

    /// Commands loads of a model with a shortage on the candidates that this
    /// router owns. On a full candidate it starts to drain another model instead,
    /// to make room. Other routers do the same for the candidates that they own.
    fn add_capacity(&mut self, now: Time, model: &str, commands: &mut Vec<Command>) {
        for runner in self.candidates(now, model) {
            let engine = &self.engines[&runner];
            if !engine.owned || engine.pending.is_some() {
                continue;
            }
            if engine.replicas.len() >= engine.max_models {
                let victim = self.eviction_victim(now, &runner);
                if let Some(replica) = victim.and_then(|victim| self.replica_mut(&runner, &victim))
                {
                    replica.draining = true;
                }
            } else if self.load_tokens >= 1.0 {
                self.load_tokens -= 1.0;
                commands.push(self.command(now, &runner, Operation::Load(model.to_owned())));
            }
        }
    }

    /// Returns enough engines to end the shortage of a model: those with room
    /// first, then by rank. While the shortage lasts, the selection starts one
    /// engine further after each command timeout, so that an engine that does
    /// not load the model does not block the others.
    fn candidates(&self, now: Time, model: &str) -> Vec<Runner> {
        let Some(since) = self
            .demands
            .get(model)
            .and_then(|demand| demand.shortage_since)
        else {
            return Vec::new();
        };
        let is_eligible = |(runner, engine): &(&Runner, &Engine)| {
            let has_room = engine.replicas.len() < engine.max_models && engine.pending.is_none();
            let is_usable = engine.paused_until <= now && !engine.replicas.contains_key(model);
            let can_load = has_room || self.eviction_victim(now, runner).is_some();
            is_usable && (can_load || engine.is_loading(model))
        };
        let mut ranked: Vec<(&Runner, &Engine)> = self.engines.iter().filter(is_eligible).collect();
        ranked.sort_by_key(|(runner, engine)| {
            let is_full = engine.replicas.len() >= engine.max_models;
            (is_full, Reverse(rank::score(model, runner.as_str())))
        });
        let timeout_ms = self.settings.command_timeout.as_millis().max(1);
        let timeouts = now.since(since).as_millis() / timeout_ms;
        let start = timeouts as usize % ranked.len().max(1);
        ranked.rotate_left(start);
        // Pending loads are not subtracted here, because only the owner of the
        // engine knows of them. The engines concerned are among the candidates.
        let mut missing_slots = self.required_slots(model) - self.serving_slots(model);
        let is_needed = |(_, engine): &(&Runner, &Engine)| {
            let has_shortage = missing_slots > 0.0;
            missing_slots -= f64::from(engine.slots);
            has_shortage
        };
        let chosen = ranked.into_iter().take_while(is_needed);
        chosen.map(|(runner, _)| runner.clone()).collect()
    }

    /// Returns the model to evict from an engine: one that is draining already,
    /// else the one with the fewest streams among those with a settled surplus
    /// that have been loaded for the minimum residency.
    fn eviction_victim(&self, now: Time, runner: &Runner) -> Option<String> {
        let engine = self.engines.get(runner)?;
        let is_evictable = |(model, replica): &(&String, &Replica)| {
            let demand = self.demands.get(*model);
            let has_settled = self.has_settled(now, demand.and_then(|demand| demand.surplus_since));
            let is_old = now.since(replica.loaded_at) >= self.settings.min_residency;
            replica.draining || (has_settled && is_old && self.can_release(model, engine.slots))
        };
        let evictable = engine.replicas.iter().filter(is_evictable);
        let victim =
            evictable.min_by_key(|(model, replica)| (!replica.draining, replica.streams, *model));
        victim.map(|(model, _)| model.clone())
    }

    /// Unloads draining replicas that have no streams left, and stops draining
    /// those that are needed again.
    fn unload_drained(&mut self, now: Time, commands: &mut Vec<Command>) {
        let draining_replica = |engine: &Engine| {
            let mut replicas = engine.replicas.iter();
            let draining = replicas.find(|(_, replica)| replica.draining);
            draining.map(|(model, replica)| (model.clone(), replica.streams))
        };
        let draining: Vec<(Runner, String, u32)> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.pending.is_none())
            .filter_map(|(runner, engine)| {
                draining_replica(engine).map(|(model, streams)| (runner.clone(), model, streams))
            })
            .collect();
        for (runner, model, streams) in draining {
            // The capacity does not include draining replicas.
            let required = self.required_slots(&model).max(self.streams(&model));
            if required > self.capacity(&model) {
                if let Some(replica) = self.replica_mut(&runner, &model) {
                    replica.draining = false;
                }
            } else if streams == 0 && self.engines[&runner].paused_until <= now {
                commands.push(self.command(now, &runner, Operation::Unload(model)));
            }
        }
    }

    fn command(&mut self, now: Time, runner: &Runner, operation: Operation) -> Command {
        let deadline = now + self.settings.command_timeout;
        let engine = self
            .engines
            .get_mut(runner)
            .expect("runner was selected from the engines");
        // The time in milliseconds usually exceeds the numbers of earlier owners. If
        // it does not, the engine rejects the command, see `command_rejected`.
        engine.fence = now.0.max(engine.fence + 1);
        engine.pending = Some(Pending {
            operation: operation.clone(),
            deadline,
        });
        Command {
            runner: runner.clone(),
            fence: engine.fence,
            operation,
        }
    }
}
