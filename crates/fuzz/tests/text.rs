//! YAML, settings, names and keys.

use balsamchute_base::id;
use balsamchute_base::prelude::*;
use balsamchute_claim::bound::{self, Binding};
use balsamchute_inventory::document;
use balsamchute_router::settings::Settings;

/// Inputs of each target in a test run.
const INPUTS: usize = 1_000;

#[test]
fn arbitrary_settings_are_refused_or_read_but_never_panic() {
    bolero::check!()
        .with_iterations(INPUTS)
        .for_each(|bytes: &[u8]| {
            let _ = Settings::parse(&String::from_utf8_lossy(bytes));
        });
}

#[test]
fn damaged_settings_are_refused_or_read_but_never_panic() {
    let sound = "instance: r1\ndomain: d1\ncallers: 127.0.0.1:1\ninner: 127.0.0.1:2\nplatform: 127.0.0.1:3\n";
    assert!(Settings::parse(sound).is_ok());
    bolero::check!()
        .with_iterations(INPUTS)
        .with_type::<(u16, u8)>()
        .for_each(|&(at, byte)| {
            let mut bytes = sound.as_bytes().to_vec();
            let at = usize::from(at) % bytes.len();
            bytes[at] = byte;
            let _ = Settings::parse(&String::from_utf8_lossy(&bytes));
        });
}

#[test]
fn arbitrary_inventories_are_refused_or_read_but_never_panic() {
    bolero::check!()
        .with_iterations(INPUTS)
        .for_each(|bytes: &[u8]| {
            let text = String::from_utf8_lossy(bytes);
            if let Err(faults) = document::parse(&text, "fuzz") {
                assert!(!faults.is_empty(), "a refusal names a fault");
            }
        });
}

#[test]
fn names_hold_only_what_is_allowed() {
    bolero::check!()
        .with_iterations(INPUTS)
        .for_each(|bytes: &[u8]| {
            let text = String::from_utf8_lossy(bytes);
            if let Ok(name) = Workspace::new(&text) {
                assert!(name.as_str().len() <= id::MAX_NAME_BYTES);
                assert!(!name.as_str().contains([' ', '/', '\n', '"']));
            }
        });
}

#[test]
fn keys_are_durable_unless_they_say_whom_they_are_bound_to() {
    bolero::check!()
        .with_iterations(INPUTS)
        .for_each(|bytes: &[u8]| {
            let text = String::from_utf8_lossy(bytes);
            let Ok(key) = Key::new(&text) else { return };
            let durable = bound::binding(&key) == Binding::Durable;
            assert_eq!(durable, !key.as_str().starts_with("m."));
        });
}
