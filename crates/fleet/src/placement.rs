//! Which engine holds which model, following demand.
//!
//! Every router sees all engines and the demand for each model, and gives orders
//! to the engines that it owns. All pick engines by the same rendezvous ranking,
//! so that owners with the same view agree without talking. An order carries a
//! fencing number that rises for each engine.
//!
//! Three rules keep it calm: a lack or a surplus has to last, a loaded model
//! stays for a while, and loads are paid for from this router's share of the
//! weight store's rate. A model goes only to make room for one that lacks
//! engines, and never while a stream runs on it.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use balsamchute_base::prelude::*;
use balsamchute_base::rank;

/// Milliseconds in a second.
const SECOND_MS: f64 = 1000.0;

/// Settings of the placement.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long a lack or a surplus lasts before it counts.
    pub settle: Span,
    /// How long a model stays after it was loaded.
    pub keep: Span,
    /// How long the effect of an order is waited for.
    pub patience: Span,
    /// Share of the demand that is kept free beside it.
    pub headroom: f64,
    /// Loads a second that this router may order: the weight store's rate over
    /// the number of live routers.
    pub load_rate: f64,
    /// Loads that it may order at once.
    pub load_burst: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            settle: Span::from_secs(10),
            keep: Span::from_secs(60),
            patience: Span::from_secs(30),
            headroom: 0.2,
            load_rate: 0.1,
            load_burst: 2.0,
        }
    }
}

/// An order to an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Loads a model.
    Load(String),
    /// Unloads a model.
    Unload(String),
}

/// An order with its address and number.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Action {
    /// The engine.
    pub runner: Runner,
    /// Fencing number, higher than all that this router gave the engine or was
    /// refused with.
    pub fence: u64,
    /// The order.
    pub order: Order,
}

/// A model on an engine.
#[derive(Clone, Debug)]
struct Held {
    since: Time,
    running: u32,
    /// It is to go and gets no new streams.
    draining: bool,
}

/// An order whose effect has not been reported.
#[derive(Clone, Debug)]
struct Pending {
    order: Order,
    until: Time,
}

#[derive(Clone, Debug)]
struct Engine {
    owned: bool,
    slots: u32,
    /// Models that it can hold.
    room: usize,
    models: BTreeMap<String, Held>,
    pending: Option<Pending>,
    fence: u64,
    /// Another owner gave it orders; it gets none from here before this time.
    yielded: Time,
}

impl Engine {
    fn loads(&self, model: &str) -> bool {
        let pending = self.pending.as_ref().map(|pending| &pending.order);
        matches!(pending, Some(Order::Load(loading)) if loading == model)
    }

    fn serves(&self, model: &str) -> bool {
        self.models.get(model).is_some_and(|held| !held.draining)
    }
}

/// What is known of a model's demand.
#[derive(Clone, Debug, Default)]
struct Demand {
    slots: f64,
    lacks_since: Option<Time>,
    spare_since: Option<Time>,
}

/// The placement as one router sees it.
#[derive(Clone, Debug)]
pub struct Placement {
    settings: Settings,
    engines: BTreeMap<Runner, Engine>,
    demands: BTreeMap<String, Demand>,
    loads: f64,
    filled: Time,
}

impl Placement {
    /// Creates a placement that knows no engine.
    #[must_use]
    pub fn new(settings: Settings, now: Time) -> Self {
        Self {
            loads: settings.load_burst,
            settings,
            engines: BTreeMap::new(),
            demands: BTreeMap::new(),
            filled: now,
        }
    }

    /// Adds an engine or changes its size and whether this router owns it.
    pub fn set_engine(&mut self, runner: &Runner, slots: u32, room: usize, owned: bool) {
        let engine = self.engines.entry(runner.clone()).or_insert(Engine {
            owned,
            slots,
            room,
            models: BTreeMap::new(),
            pending: None,
            fence: 0,
            yielded: Time(0),
        });
        (engine.owned, engine.slots, engine.room) = (owned, slots, room);
        if !owned {
            engine.pending = None;
            engine
                .models
                .values_mut()
                .for_each(|held| held.draining = false);
        }
    }

    /// Forgets an engine.
    pub fn remove_engine(&mut self, runner: &Runner) {
        self.engines.remove(runner);
    }

    /// Takes in which models an engine reports as loaded.
    pub fn report(&mut self, now: Time, runner: &Runner, models: &[String]) {
        let Some(engine) = self.engines.get_mut(runner) else {
            return;
        };
        engine.models.retain(|model, _| models.contains(model));
        for model in models {
            engine.models.entry(model.clone()).or_insert(Held {
                since: now,
                running: 0,
                draining: false,
            });
        }
        let fulfilled = engine
            .pending
            .as_ref()
            .is_some_and(|pending| match &pending.order {
                Order::Load(model) => models.contains(model),
                Order::Unload(model) => !models.contains(model),
            });
        if fulfilled {
            engine.pending = None;
        }
    }

    /// Sets the demand for a model over the whole fleet: the slots that its
    /// running and waiting requests would fill.
    pub fn set_demand(&mut self, model: &str, slots: f64) {
        self.demands.entry(model.to_owned()).or_default().slots = slots.max(0.0);
    }

    /// Whether a new stream of a model may start on an engine.
    #[must_use]
    pub fn serves(&self, runner: &Runner, model: &str) -> bool {
        self.engines
            .get(runner)
            .is_some_and(|engine| engine.serves(model))
    }

    /// Counts a stream that started on an engine.
    pub fn start(&mut self, runner: &Runner, model: &str) {
        if let Some(held) = self.held(runner, model) {
            held.running += 1;
        }
    }

    /// Counts a stream that ended on an engine.
    pub fn end(&mut self, runner: &Runner, model: &str) {
        if let Some(held) = self.held(runner, model) {
            held.running = held.running.saturating_sub(1);
        }
    }

    /// Takes in that an engine refused an order because it has seen the number
    /// `fence`: another router owns it or has owned it since.
    pub fn refuse(&mut self, now: Time, runner: &Runner, fence: u64) {
        let settle = self.settings.settle;
        if let Some(engine) = self.engines.get_mut(runner) {
            engine.fence = engine.fence.max(fence);
            engine.pending = None;
            engine.yielded = now + settle;
        }
    }

    /// Returns the orders to give now.
    pub fn plan(&mut self, now: Time) -> Vec<Action> {
        self.fill(now);
        self.expire(now);
        self.judge(now);
        let mut actions = Vec::new();
        self.unload_drained(now, &mut actions);
        for model in self.lacking(now) {
            self.provide(now, &model, &mut actions);
        }
        actions
    }

    fn held(&mut self, runner: &Runner, model: &str) -> Option<&mut Held> {
        self.engines.get_mut(runner)?.models.get_mut(model)
    }

    /// Lets time pass for the budget of loads.
    fn fill(&mut self, now: Time) {
        let passed = now.since(self.filled).as_millis() as f64 / SECOND_MS;
        let loads = self.loads + passed * self.settings.load_rate;
        self.loads = loads.min(self.settings.load_burst);
        self.filled = self.filled.max(now);
    }

    /// Gives up orders that took too long; they may be given again.
    fn expire(&mut self, now: Time) {
        for engine in self.engines.values_mut() {
            if engine
                .pending
                .as_ref()
                .is_some_and(|pending| pending.until <= now)
            {
                engine.pending = None;
            }
        }
    }

    /// Slots of the engines that serve a model.
    fn served(&self, model: &str) -> f64 {
        let holders = self.engines.values().filter(|engine| engine.serves(model));
        holders.map(|engine| f64::from(engine.slots)).sum()
    }

    /// Slots of the engines that serve a model or load it by an order from here.
    fn capacity(&self, model: &str) -> f64 {
        let loading = self.engines.values().filter(|engine| engine.loads(model));
        let slots: f64 = loading.map(|engine| f64::from(engine.slots)).sum();
        self.served(model) + slots
    }

    /// Slots that a model's demand needs, headroom included.
    fn need(&self, model: &str) -> f64 {
        let demand = self.demands.get(model).map_or(0.0, |demand| demand.slots);
        demand * (1.0 + self.settings.headroom)
    }

    /// Whether a model can do without `slots` of its capacity and still has
    /// room to grow, so that it does not lack them right after.
    fn spares(&self, model: &str, slots: u32) -> bool {
        let rest = self.served(model) - f64::from(slots);
        let running = self.running(model);
        let calm = rest * (1.0 - self.settings.headroom);
        slots > 0 && rest >= running && self.need(model) <= calm
    }

    fn running(&self, model: &str) -> f64 {
        let held = self
            .engines
            .values()
            .filter_map(|engine| engine.models.get(model));
        held.map(|held| f64::from(held.running)).sum()
    }

    /// Notes since when models lack or can spare capacity.
    fn judge(&mut self, now: Time) {
        for model in self.models() {
            let lacks = self.need(&model) > self.capacity(&model);
            let spares = self.spares(&model, self.smallest(&model));
            let demand = self.demands.entry(model).or_default();
            demand.lacks_since = lacks.then(|| demand.lacks_since.unwrap_or(now));
            demand.spare_since = spares.then(|| demand.spare_since.unwrap_or(now));
        }
    }

    /// Slots of the smallest engine that serves a model.
    fn smallest(&self, model: &str) -> u32 {
        let engines = self.engines.values().filter(|engine| engine.serves(model));
        engines.map(|engine| engine.slots).min().unwrap_or(0)
    }

    /// All models that are asked for or held.
    fn models(&self) -> Vec<String> {
        let held = self
            .engines
            .values()
            .flat_map(|engine| engine.models.keys());
        let mut models: Vec<String> = self.demands.keys().chain(held).cloned().collect();
        models.sort();
        models.dedup();
        models
    }

    /// Models that have lacked capacity for long enough.
    fn lacking(&self, now: Time) -> Vec<String> {
        let settled = |demand: &Demand| self.settled(now, demand.lacks_since);
        let lacking = self.demands.iter().filter(|(_, demand)| settled(demand));
        lacking.map(|(model, _)| model.clone()).collect()
    }

    fn settled(&self, now: Time, since: Option<Time>) -> bool {
        since.is_some_and(|since| now.since(since) >= self.settings.settle)
    }

    /// Works towards enough engines for a model, on those that this router
    /// owns. Owners of the others come to the same result and do their part.
    fn provide(&mut self, now: Time, model: &str, actions: &mut Vec<Action>) {
        for runner in self.candidates(now, model) {
            let engine = &self.engines[&runner];
            if !engine.owned || engine.pending.is_some() {
                continue;
            }
            if engine.models.len() >= engine.room {
                let victim = self.victim(now, &runner);
                if let Some(held) = victim.and_then(|victim| self.held(&runner, &victim)) {
                    held.draining = true;
                }
            } else if self.loads >= 1.0 {
                self.loads -= 1.0;
                actions.push(self.order(now, &runner, Order::Load(model.to_owned())));
            }
        }
    }

    /// Returns the engines that a lacking model goes to, enough to end the lack:
    /// those with room first, then by rank. While nothing comes of it, the next
    /// ones get their turn.
    fn candidates(&self, now: Time, model: &str) -> Vec<Runner> {
        let Some(since) = self
            .demands
            .get(model)
            .and_then(|demand| demand.lacks_since)
        else {
            return Vec::new();
        };
        let fits = |(runner, engine): &(&Runner, &Engine)| {
            let free = engine.models.len() < engine.room && engine.pending.is_none();
            let usable = engine.yielded <= now && !engine.models.contains_key(model);
            let possible = free || self.victim(now, runner).is_some();
            usable && (possible || engine.loads(model))
        };
        let mut ranked: Vec<(&Runner, &Engine)> = self.engines.iter().filter(fits).collect();
        ranked.sort_by_key(|(runner, engine)| {
            let full = engine.models.len() >= engine.room;
            (full, Reverse(rank::score(model, runner.as_str())))
        });
        let patience = self.settings.patience.as_millis().max(1);
        let turn = now.since(since).as_millis() / patience;
        let start = turn as usize % ranked.len().max(1);
        ranked.rotate_left(start);
        // Loads under way count here, since only their owner knows of them.
        let mut lack = self.need(model) - self.served(model);
        let within = |(_, engine): &(&Runner, &Engine)| {
            let lacking = lack > 0.0;
            lack -= f64::from(engine.slots);
            lacking
        };
        let chosen = ranked.into_iter().take_while(within);
        chosen.map(|(runner, _)| runner.clone()).collect()
    }

    /// Returns the model that an engine can best do without: one that drains
    /// already, else the one with the fewest streams that has been there long
    /// enough and is not needed.
    fn victim(&self, now: Time, runner: &Runner) -> Option<String> {
        let engine = self.engines.get(runner)?;
        let spare = |(model, held): &(&String, &Held)| {
            let demand = self.demands.get(*model);
            let settled = self.settled(now, demand.and_then(|demand| demand.spare_since));
            let old = now.since(held.since) >= self.settings.keep;
            held.draining || (settled && old && self.spares(model, engine.slots))
        };
        let spares = engine.models.iter().filter(spare);
        let best = spares.min_by_key(|(model, held)| (!held.draining, held.running, *model));
        best.map(|(model, _)| model.clone())
    }

    /// Unloads models that drain and have no streams left; keeps those that are
    /// needed again.
    fn unload_drained(&mut self, now: Time, actions: &mut Vec<Action>) {
        let draining = |engine: &Engine| {
            let mut held = engine.models.iter();
            let found = held.find(|(_, held)| held.draining);
            found.map(|(model, held)| (model.clone(), held.running))
        };
        let drains: Vec<(Runner, String, u32)> = self
            .engines
            .iter()
            .filter(|(_, engine)| engine.pending.is_none())
            .filter_map(|(runner, engine)| {
                draining(engine).map(|(model, running)| (runner.clone(), model, running))
            })
            .collect();
        for (runner, model, running) in drains {
            // A draining model counts for no capacity any more.
            let needed = self.need(&model).max(self.running(&model));
            if needed > self.capacity(&model) {
                if let Some(held) = self.held(&runner, &model) {
                    held.draining = false;
                }
            } else if running == 0 && self.engines[&runner].yielded <= now {
                actions.push(self.order(now, &runner, Order::Unload(model)));
            }
        }
    }

    fn order(&mut self, now: Time, runner: &Runner, order: Order) -> Action {
        let until = now + self.settings.patience;
        let engine = self.engines.get_mut(runner).expect("engine is known");
        engine.fence = now.0.max(engine.fence + 1);
        engine.pending = Some(Pending {
            order: order.clone(),
            until,
        });
        Action {
            runner: runner.clone(),
            fence: engine.fence,
            order,
        }
    }
}
