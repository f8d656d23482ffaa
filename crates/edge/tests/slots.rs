//! Keys of connections.

use balsamchute_edge::slots::Slots;

// Guards against an answer that goes to the connection accepted after its caller had left.
#[test]
fn a_key_does_not_find_a_value_that_was_added_later() {
    let mut slots = Slots::new();
    let first = slots.insert("first");
    let other = slots.insert("other");
    assert_eq!(slots.try_remove(first), Some("first"));
    let second = slots.insert("second");
    assert_ne!(first, second);
    assert_eq!(slots.get(first), None);
    assert_eq!(slots.get_mut(first), None);
    assert_eq!(slots.try_remove(first), None);
    assert!(!slots.contains(first));
    assert_eq!(slots.get(second), Some(&"second"));
    assert_eq!(slots.get(other), Some(&"other"));
}

#[test]
fn values_are_iterated_with_their_keys() {
    let mut slots = Slots::new();
    let gone = slots.insert(1);
    let kept = slots.insert(2);
    slots.try_remove(gone);
    let added = slots.insert(3);
    for (_, value) in &mut slots {
        *value *= 10;
    }
    let found: Vec<(usize, &i32)> = slots.iter().collect();
    assert_eq!(found, [(added, &30), (kept, &20)]);
}
