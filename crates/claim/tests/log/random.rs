//! Long random orders of steps, with many faults and every store setting.

use balsamchute_base::prelude::*;
use balsamchute_claim::writer::Settings;

use crate::model::{Faults, Store, World};

const MANY: Faults = Faults {
    store: 40,
    crashes: 6,
    clock: 40,
    asks: 6,
    keys: 2,
};

#[test]
fn no_random_order_of_steps_runs_a_key_twice() {
    bolero::check!()
        .with_iterations(1500)
        .with_type::<(bool, bool, Vec<u8>)>()
        .for_each(|(wide, slow, picks)| {
            let settings = Settings {
                slots: if *wide { 8 } else { 2 },
                snapshot_entries: if *wide { 4 } else { 1 },
                interval: Span(u64::from(*slow) * 2),
                patience: Span(u64::from(*slow)),
                backoff: Span(u64::from(*slow)),
                ..Settings::default()
            };
            let mut world = World::new(Store::Sound, settings, MANY);
            for pick in picks {
                let steps = world.steps();
                let Some(step) = steps.get(usize::from(*pick) % steps.len().max(1)) else {
                    break;
                };
                world.take(*step);
            }
            assert!(world.worst() <= 1);
        });
}
