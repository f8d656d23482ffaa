//! Bound keys and shards.

use balsamchute_base::prelude::*;
use balsamchute_claim::bound::{Binding, binding, mint, nonce};
use balsamchute_claim::shard::{SHARDS, shard};

#[test]
fn a_minted_key_is_bound_to_its_incarnation() {
    let instance = Instance::new("router.north-1").unwrap();
    let made = Time(1_790_000_000_123);
    let key = mint(&instance, Incarnation(77), nonce(made, u64::MAX));
    let incarnation = Incarnation(77);
    let bound = Binding::Bound {
        instance,
        incarnation,
        made,
    };
    assert_eq!(binding(&key), bound);
}

#[test]
fn only_the_prefix_and_the_canonical_form_make_a_bound_key() {
    let read = |text: &str| binding(&Key::new(text).unwrap());
    assert_eq!(read("booking-1"), Binding::Durable);
    for text in [
        "m.", "m.a", "m.a.1", "m.a.01.5", "m..1.2", "m.a.1.x", "m.a.1.2.",
    ] {
        assert_eq!(read(text), Binding::Malformed, "{text}");
    }
}

#[test]
fn any_key_that_parses_is_the_one_minted() {
    bolero::check!()
        .with_iterations(2000)
        .with_type::<(u64, u64, Vec<u8>)>()
        .for_each(|(incarnation, nonce, name)| {
            let name: String = name.iter().map(|b| char::from(b'.' + b % 12)).collect();
            let Ok(instance) = Instance::new(&name) else {
                return;
            };
            let key = mint(&instance, Incarnation(*incarnation), *nonce);
            match binding(&key) {
                Binding::Bound {
                    instance: i,
                    incarnation: n,
                    ..
                } => {
                    assert_eq!((i, n), (instance, Incarnation(*incarnation)));
                }
                other => panic!("{key}: {other:?}"),
            }
        });
}

#[test]
fn shards_are_stable_and_all_used() {
    let workspace = Workspace::new("casa").unwrap();
    let number = |n: u32| shard(&workspace, &Key::new(&format!("k{n}")).unwrap());
    let used: std::collections::BTreeSet<u32> = (0..1000).map(number).collect();
    assert_eq!(used.len(), SHARDS as usize);
    assert!(used.iter().all(|shard| *shard < SHARDS));
    // Stored claims are found again only while these stay as they are.
    assert_eq!([number(0), number(1), number(2)], [14, 24, 14]);
}
