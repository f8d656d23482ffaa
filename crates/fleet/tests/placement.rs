//! Properties of the placement of models, with two routers that own the engines.

use std::collections::BTreeMap;

use balsamchute_base::prelude::*;
use balsamchute_fleet::placement::{Action, Order, Placement, Settings};
use bolero::TypeGenerator;

const MODELS: [&str; 3] = ["claims", "reports", "tags"];
const SLOTS: u32 = 4;
const STEP: Span = Span::from_secs(1);
const LOAD_TIME: Span = Span::from_secs(5);

/// One thing that happens.
#[derive(Clone, Copy, Debug, TypeGenerator)]
enum Event {
    /// The demand for a model changes.
    Demand { model: u8, slots: u8 },
    /// A stream starts wherever its model is served.
    Start { model: u8, engine: u8 },
    /// A stream ends.
    End { model: u8, engine: u8 },
    /// Time passes.
    Pass { steps: u8 },
    /// The next order is lost on its way.
    Lose,
    /// Another router gives an engine an order with a high number.
    Overtake { engine: u8 },
}

struct Engine {
    room: usize,
    models: BTreeMap<String, u32>,
    loading: Option<(String, Time)>,
    fence: u64,
}

/// Engines and the routers that own every other one of them.
struct World {
    now: Time,
    engines: Vec<Engine>,
    routers: Vec<Placement>,
    loads: Vec<u32>,
    orders: u32,
    unloads: u32,
    losing: bool,
    /// Last number given to each engine by its owner.
    fences: BTreeMap<usize, u64>,
}

fn name(engine: usize) -> Runner {
    Runner::new(&format!("e{engine}")).unwrap()
}

impl World {
    fn new(rooms: &[usize]) -> Self {
        let now = Time(1_000_000);
        let engine = |&room: &usize| Engine {
            room,
            models: BTreeMap::new(),
            loading: None,
            fence: 0,
        };
        let mut world = Self {
            now,
            engines: rooms.iter().map(engine).collect(),
            routers: vec![Placement::new(Settings::default(), now); 2],
            loads: vec![0; 2],
            orders: 0,
            unloads: 0,
            losing: false,
            fences: BTreeMap::new(),
        };
        for (index, room) in rooms.iter().enumerate() {
            for (number, router) in world.routers.iter_mut().enumerate() {
                router.set_engine(&name(index), SLOTS, *room, index % 2 == number);
            }
        }
        world
    }

    fn set_demand(&mut self, model: &str, slots: f64) {
        for router in &mut self.routers {
            router.set_demand(model, slots);
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for (index, engine) in self.engines.iter_mut().enumerate() {
            if let Some((model, _)) = engine.loading.take_if(|(_, ready)| *ready <= self.now) {
                engine.models.insert(model, 0);
            }
            let models: Vec<String> = engine.models.keys().cloned().collect();
            for router in &mut self.routers {
                router.report(self.now, &name(index), &models);
            }
        }
        for number in 0..self.routers.len() {
            for action in self.routers[number].plan(self.now) {
                self.take(number, &action);
            }
        }
    }

    /// Checks an order and carries it out, as an engine that checks fencing.
    fn take(&mut self, router: usize, action: &Action) {
        self.orders += 1;
        let index: usize = action.runner.as_str()[1..].parse().unwrap();
        assert_eq!(index % 2, router, "order to an engine of another router");
        let last = self.fences.insert(index, action.fence);
        assert!(last.is_none_or(|last| last < action.fence), "numbers rise");
        if matches!(action.order, Order::Load(_)) {
            self.loads[router] += 1;
            self.assert_load_rate(router);
        }
        if std::mem::take(&mut self.losing) {
            return;
        }
        if action.fence < self.engines[index].fence {
            let fence = self.engines[index].fence;
            return self.routers[router].refuse(self.now, &action.runner, fence);
        }
        self.engines[index].fence = action.fence;
        match &action.order {
            Order::Load(model) => self.load(index, model),
            Order::Unload(model) => self.unload(index, model),
        }
    }

    /// Loads never exceed the router's share of the weight store's rate.
    fn assert_load_rate(&self, router: usize) {
        let settings = Settings::default();
        let seconds = self.now.since(Time(1_000_000)).as_millis() as f64 / 1000.0;
        let most = settings.load_burst + seconds * settings.load_rate;
        assert!(f64::from(self.loads[router]) <= most + 1e-6);
    }

    fn load(&mut self, index: usize, model: &str) {
        let engine = &mut self.engines[index];
        assert!(engine.models.len() < engine.room, "no room to load {model}");
        engine.loading = Some((model.to_owned(), self.now + LOAD_TIME));
    }

    fn unload(&mut self, index: usize, model: &str) {
        let running = self.engines[index].models.remove(model);
        assert_eq!(running.unwrap_or(0), 0, "streams run on {model}");
        self.unloads += 1;
        let holders = self
            .engines
            .iter()
            .filter_map(|engine| engine.models.get(model));
        let (slots, streams) = holders.fold((0, 0), |(slots, streams), running| {
            (slots + SLOTS, streams + running)
        });
        assert!(
            slots >= streams,
            "{model} needs {streams} slots and keeps {slots}"
        );
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Demand { model, slots } => {
                self.set_demand(MODELS[usize::from(model) % 3], f64::from(slots % 16));
            }
            Event::Start { model, engine } => self.start(model, engine),
            Event::End { model, engine } => self.end(model, engine),
            Event::Pass { steps } => (0..steps % 40).for_each(|_| self.step()),
            Event::Lose => self.losing = true,
            Event::Overtake { engine } => {
                let index = usize::from(engine) % self.engines.len();
                self.engines[index].fence = self.now.0 + 5_000;
            }
        }
    }

    fn start(&mut self, model: u8, engine: u8) {
        let (model, index) = (
            MODELS[usize::from(model) % 3],
            usize::from(engine) % self.engines.len(),
        );
        let serves = self.routers[index % 2].serves(&name(index), model);
        // Engines admit more streams than they have slots.
        let running = self.engines[index].models.get_mut(model);
        if let Some(running) = running.filter(|running| serves && **running < 3 * SLOTS) {
            *running += 1;
            for router in &mut self.routers {
                router.start(&name(index), model);
            }
        }
    }

    fn end(&mut self, model: u8, engine: u8) {
        let (model, index) = (
            MODELS[usize::from(model) % 3],
            usize::from(engine) % self.engines.len(),
        );
        let running = self.engines[index].models.get_mut(model);
        if let Some(running) = running.filter(|running| **running > 0) {
            *running -= 1;
            for router in &mut self.routers {
                router.end(&name(index), model);
            }
        }
    }

    fn holders(&self, model: &str) -> usize {
        let engines = self.engines.iter();
        engines
            .filter(|engine| engine.models.contains_key(model))
            .count()
    }
}

#[test]
fn orders_keep_running_streams_rooms_and_the_weight_stores_rate() {
    bolero::check!()
        .with_iterations(1000)
        .with_type::<(Vec<bool>, Vec<Event>)>()
        .for_each(|(rooms, events)| {
            let rooms: Vec<usize> = rooms
                .iter()
                .take(6)
                .map(|two| 1 + usize::from(*two))
                .collect();
            if rooms.is_empty() {
                return;
            }
            let mut world = World::new(&rooms);
            for event in events {
                world.happen(*event);
            }
        });
}

#[test]
fn a_demand_that_fits_is_met_and_then_nothing_moves() {
    bolero::check!()
        .with_iterations(30)
        .with_type::<([u8; 3], [u8; 3])>()
        .for_each(|(before, after)| {
            let mut world = World::new(&[1; 12]);
            for demands in [before, after] {
                for (model, slots) in MODELS.iter().zip(demands) {
                    world.set_demand(model, f64::from(slots % 13));
                }
                (0..900).for_each(|_| world.step());
            }
            for (model, slots) in MODELS.iter().zip(after) {
                let capacity = world.holders(model) as f64 * f64::from(SLOTS);
                assert!(capacity >= f64::from(slots % 13), "{model}: {capacity}");
            }
            let orders = world.orders;
            (0..600).for_each(|_| world.step());
            assert_eq!(world.orders, orders, "orders without a change of demand");
        });
}

#[test]
fn a_model_goes_only_to_make_room() {
    let mut world = World::new(&[1; 4]);
    world.set_demand(MODELS[0], 6.0);
    (0..300).for_each(|_| world.step());
    assert_eq!(world.holders(MODELS[0]), 2);
    world.set_demand(MODELS[0], 1.0);
    world.set_demand(MODELS[1], 6.0);
    (0..300).for_each(|_| world.step());
    assert_eq!((world.holders(MODELS[1]), world.unloads), (2, 0));
    world.set_demand(MODELS[2], 1.0);
    (0..300).for_each(|_| world.step());
    assert_eq!((world.holders(MODELS[2]), world.unloads), (1, 1));
    assert_eq!(world.holders(MODELS[0]), 1);
}

#[test]
fn running_streams_keep_their_capacity_whatever_the_demand_says() {
    let mut world = World::new(&[1; 2]);
    world.set_demand(MODELS[0], 6.0);
    (0..300).for_each(|_| world.step());
    assert_eq!(world.holders(MODELS[0]), 2);
    (0..6).for_each(|_| world.start(0, 0));
    world.set_demand(MODELS[0], 0.0);
    world.set_demand(MODELS[1], 3.0);
    (0..300).for_each(|_| world.step());
    // Six streams do not fit into the four slots of one engine.
    assert_eq!(world.holders(MODELS[0]), 2);
    (0..2).for_each(|_| world.end(0, 0));
    (0..300).for_each(|_| world.step());
    assert_eq!((world.holders(MODELS[0]), world.holders(MODELS[1])), (1, 1));
}

#[test]
fn a_demand_that_flaps_faster_than_it_settles_moves_nothing() {
    let mut world = World::new(&[1; 4]);
    world.set_demand(MODELS[0], 10.0);
    (0..300).for_each(|_| world.step());
    let orders = world.orders;
    assert!(orders > 0);
    for round in 0..100 {
        let flapping = if round % 2 == 0 { 15.0 } else { 0.0 };
        world.set_demand(MODELS[1], flapping);
        world.set_demand(MODELS[0], 10.0 - flapping / 2.0);
        (0..9).for_each(|_| world.step());
    }
    assert_eq!(world.orders, orders);
}

#[test]
fn a_refused_owner_stands_back_and_then_uses_a_higher_number() {
    let mut world = World::new(&[1]);
    world.set_demand(MODELS[0], 2.0);
    world.engines[0].fence = world.now.0 + 3_600_000;
    let high = world.engines[0].fence;
    (0..120).for_each(|_| world.step());
    assert!(world.engines[0].fence > high);
    assert_eq!(world.holders(MODELS[0]), 1);
    // One order was refused, one was taken.
    assert_eq!(world.orders, 2);
}

#[test]
fn a_lost_order_is_given_again() {
    let mut world = World::new(&[1]);
    world.set_demand(MODELS[0], 2.0);
    world.losing = true;
    (0..120).for_each(|_| world.step());
    assert_eq!(world.holders(MODELS[0]), 1);
    assert_eq!(world.orders, 2);
}

#[test]
fn an_engine_that_never_loads_does_not_hold_up_the_others() {
    let mut world = World::new(&[1; 3]);
    world.set_demand(MODELS[0], 3.0);
    for _ in 0..300 {
        // Whatever engine 0 is told, it stays empty.
        world.engines[0].loading = None;
        world.step();
    }
    assert!(world.holders(MODELS[0]) >= 1);
}
