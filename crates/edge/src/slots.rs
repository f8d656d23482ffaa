//! Values under keys that are not used again.

use slab::Slab;

/// Bits of a key that hold the position of its value. The others tell it from the values that
/// were stored there before.
const POSITION_BITS: u32 = usize::BITS / 2;

const POSITION_MASK: usize = (1 << POSITION_BITS) - 1;

/// Values, each under a key that finds no other value once its own is removed. A key repeats
/// after 2^32 insertions, on machines with addresses of 64 bits.
#[derive(Clone, Debug)]
pub struct Slots<T> {
    entries: Slab<Entry<T>>,
    next_serial: usize,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    key: usize,
    value: T,
}

impl<T> Slots<T> {
    /// Creates slots without values.
    #[must_use]
    pub fn new() -> Self {
        Slots {
            entries: Slab::new(),
            next_serial: 0,
        }
    }

    /// Adds a value and returns its key.
    pub fn insert(&mut self, value: T) -> usize {
        let entry = self.entries.vacant_entry();
        let key = (self.next_serial << POSITION_BITS) | entry.key();
        self.next_serial = self.next_serial.wrapping_add(1);
        entry.insert(Entry { key, value });
        key
    }

    /// Returns whether the value with this key is there.
    #[must_use]
    pub fn contains(&self, key: usize) -> bool {
        self.get(key).is_some()
    }

    /// Returns the value with this key, unless it was removed.
    #[must_use]
    pub fn get(&self, key: usize) -> Option<&T> {
        let entry = self.entries.get(key & POSITION_MASK)?;
        (entry.key == key).then_some(&entry.value)
    }

    /// Returns the value with this key, unless it was removed.
    #[must_use]
    pub fn get_mut(&mut self, key: usize) -> Option<&mut T> {
        let entry = self.entries.get_mut(key & POSITION_MASK)?;
        (entry.key == key).then_some(&mut entry.value)
    }

    /// Removes the value with this key and returns it, unless it was removed before.
    pub fn try_remove(&mut self, key: usize) -> Option<T> {
        if !self.contains(key) {
            return None;
        }
        let entry = self.entries.try_remove(key & POSITION_MASK)?;
        Some(entry.value)
    }

    /// Returns all values with their keys, by position.
    pub fn iter(&self) -> Iter<'_, T> {
        Iter(self.entries.iter())
    }

    /// Returns all values with their keys, by position.
    pub fn iter_mut(&mut self) -> IterMut<'_, T> {
        IterMut(self.entries.iter_mut())
    }
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Slots::new()
    }
}

/// Iterator over values with their keys.
#[derive(Debug)]
pub struct Iter<'a, T>(slab::Iter<'a, Entry<T>>);

impl<'a, T> Iterator for Iter<'a, T> {
    type Item = (usize, &'a T);

    fn next(&mut self) -> Option<Self::Item> {
        let (_, entry) = self.0.next()?;
        Some((entry.key, &entry.value))
    }
}

/// Iterator over mutable values with their keys.
#[derive(Debug)]
pub struct IterMut<'a, T>(slab::IterMut<'a, Entry<T>>);

impl<'a, T> Iterator for IterMut<'a, T> {
    type Item = (usize, &'a mut T);

    fn next(&mut self) -> Option<Self::Item> {
        let (_, entry) = self.0.next()?;
        Some((entry.key, &mut entry.value))
    }
}

impl<'a, T> IntoIterator for &'a Slots<T> {
    type Item = (usize, &'a T);
    type IntoIter = Iter<'a, T>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl<'a, T> IntoIterator for &'a mut Slots<T> {
    type Item = (usize, &'a mut T);
    type IntoIter = IterMut<'a, T>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter_mut()
    }
}
