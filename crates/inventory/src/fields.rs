//! Reads the fields of a mapping and collects every fault on the way.

use std::fmt::Display;
use std::ops::RangeInclusive;

use balsamchute_base::id;

use crate::fault::{Fault, Place};
use crate::node::{Node, Value};

/// A value with the place that it was read from.
#[derive(Clone, Debug)]
pub struct Placed<T> {
    /// Where it stands.
    pub place: Place,
    /// The value.
    pub value: T,
}

/// The faults of one file.
pub struct Reader<'a> {
    file: &'a str,
    faults: &'a mut Vec<Fault>,
}

/// The fields of one mapping.
pub struct Fields<'n> {
    /// The thing that the mapping describes, for messages.
    what: String,
    line: u64,
    /// Whether there is a mapping at all; if not, that was reported.
    mapping: bool,
    entries: Vec<(&'n str, &'n Node)>,
}

impl<'a> Reader<'a> {
    /// Creates a reader that adds its findings to `faults`.
    pub fn new(file: &'a str, faults: &'a mut Vec<Fault>) -> Self {
        Reader { file, faults }
    }

    /// Returns the place of a line of this file.
    pub fn place(&self, line: u64) -> Place {
        Place {
            file: self.file.to_owned(),
            line: line.max(1),
        }
    }

    /// Adds a fault at a line of this file.
    pub fn fault(&mut self, line: u64, message: impl Into<String>) {
        let fault = Fault::new(&self.place(line), message);
        self.faults.push(fault);
    }

    /// Returns the elements of a list; nothing counts as an empty one.
    pub fn list<'n>(&mut self, node: &'n Node, what: &str) -> &'n [Node] {
        match &node.value {
            Value::List(list) => list,
            Value::Null => &[],
            other => {
                let kind = other.kind();
                self.fault(node.line, format!("{what} must be a list, not {kind}"));
                &[]
            }
        }
    }

    /// Returns the entries of a mapping whose keys are names; nothing counts as
    /// an empty one.
    pub fn entries<'n>(&mut self, node: &'n Node, what: &str) -> Vec<(u64, &'n str, &'n Node)> {
        match &node.value {
            Value::Map(map) => map
                .iter()
                .map(|(key, node)| (key.line, key.text.as_str(), node))
                .collect(),
            Value::Null => Vec::new(),
            other => {
                let kind = other.kind();
                self.fault(node.line, format!("{what} must be a mapping, not {kind}"));
                Vec::new()
            }
        }
    }

    /// Reads a mapping that may have the fields `allowed` and no other.
    pub fn fields<'n>(&mut self, node: &'n Node, what: &str, allowed: &[&str]) -> Fields<'n> {
        let mut entries: Vec<(&str, &Node)> = Vec::new();
        for (line, name, value) in self.entries(node, what) {
            if !allowed.contains(&name) {
                let allowed = allowed.join(", ");
                let message =
                    format!("{what} has an unknown field \"{name}\"; it may have {allowed}");
                self.fault(line, message);
            } else if entries.iter().any(|(known, _)| *known == name) {
                self.fault(line, format!("{what} has the field \"{name}\" twice"));
            } else {
                entries.push((name, value));
            }
        }
        Fields {
            what: what.to_owned(),
            line: node.line,
            mapping: matches!(node.value, Value::Map(_) | Value::Null),
            entries,
        }
    }

    /// Checks a text as a name.
    pub fn name<T>(
        &mut self,
        line: u64,
        text: &str,
        new: impl Fn(&str) -> Result<T, id::Error>,
    ) -> Option<Placed<T>> {
        match new(text) {
            Ok(value) => Some(Placed {
                place: self.place(line),
                value,
            }),
            Err(error) => {
                self.fault(line, error.to_string());
                None
            }
        }
    }

    /// Reads a whole number within `range`.
    pub fn number(&mut self, node: &Node, what: &str, range: RangeInclusive<u32>) -> Option<u32> {
        let Value::Integer(value) = node.value else {
            let kind = node.value.kind();
            self.fault(
                node.line,
                format!("{what} must be a whole number, not {kind}"),
            );
            return None;
        };
        let number = u32::try_from(value).ok().filter(|n| range.contains(n));
        if number.is_none() {
            let (low, high) = (range.start(), range.end());
            let message = format!("{what} is {value}; it must lie between {low} and {high}");
            self.fault(node.line, message);
        }
        number
    }
}

impl<'n> Fields<'n> {
    /// Returns a field, `None` if it is absent.
    pub fn get(&self, name: &str) -> Option<&'n Node> {
        let entry = self.entries.iter().find(|(known, _)| *known == name);
        entry.map(|(_, node)| *node)
    }

    /// Returns a field and reports its absence.
    pub fn require(&self, reader: &mut Reader<'_>, name: &str) -> Option<&'n Node> {
        let node = self.get(name);
        if node.is_none() && self.mapping {
            reader.fault(self.line, format!("{} has no field \"{name}\"", self.what));
        }
        node
    }

    /// Reads a required field as text.
    pub fn text(&self, reader: &mut Reader<'_>, name: &str) -> Option<(u64, &'n str)> {
        let node = self.require(reader, name)?;
        let Value::Text(text) = &node.value else {
            let kind = node.value.kind();
            let what = self.label(name);
            reader.fault(node.line, format!("{what} must be text, not {kind}"));
            return None;
        };
        Some((node.line, text))
    }

    /// Reads a required field as a name.
    pub fn name<T>(
        &self,
        reader: &mut Reader<'_>,
        name: &str,
        new: impl Fn(&str) -> Result<T, id::Error>,
    ) -> Option<Placed<T>> {
        let (line, text) = self.text(reader, name)?;
        reader.name(line, text, new)
    }

    /// Reads a field as a whole number within `range`, `None` if it is absent
    /// or faulty.
    pub fn number(
        &self,
        reader: &mut Reader<'_>,
        name: &str,
        range: RangeInclusive<u32>,
    ) -> Option<u32> {
        let node = self.get(name)?;
        reader.number(node, &self.label(name), range)
    }

    /// Reads a field as a truth value, `false` if it is absent or faulty.
    pub fn flag(&self, reader: &mut Reader<'_>, name: &str) -> bool {
        match self.get(name).map(|node| (node.line, &node.value)) {
            None => false,
            Some((_, Value::Bool(value))) => *value,
            Some((line, other)) => {
                let kind = other.kind();
                let what = self.label(name);
                reader.fault(line, format!("{what} must be true or false, not {kind}"));
                false
            }
        }
    }

    /// Names a field for messages.
    pub fn label(&self, name: impl Display) -> String {
        format!("field \"{name}\" of {}", self.what)
    }
}
