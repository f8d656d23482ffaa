//! Typed access to the nodes of a document; every fault is collected instead
//! of stopping at the first.

use std::fmt::Display;
use std::ops::RangeInclusive;

use balsamchute_base::id;

use crate::fault::{Fault, Location};
use crate::node::{Node, Value};

/// A value with its location in the source file.
#[derive(Clone, Debug)]
pub struct Located<T> {
    /// File and line that the value was read from.
    pub location: Location,
    pub value: T,
}

/// Reads the nodes of one file and records faults with the name of the file.
pub struct Reader<'a> {
    file: &'a str,
    faults: &'a mut Vec<Fault>,
}

/// The fields of one mapping.
pub struct Fields<'n> {
    /// Description of the mapping for messages, such as `runner "r-1"`.
    subject: String,
    line: u64,
    /// Whether the node was a mapping or null. Any other node has already been
    /// reported, so its missing fields are not reported as well.
    is_mapping: bool,
    entries: Vec<(&'n str, &'n Node)>,
}

impl<'a> Reader<'a> {
    /// Creates a reader that appends the faults that it finds to `faults`.
    pub fn new(file: &'a str, faults: &'a mut Vec<Fault>) -> Self {
        Reader { file, faults }
    }

    /// Returns the location of a line of this file.
    pub fn location(&self, line: u64) -> Location {
        Location {
            file: self.file.to_owned(),
            // The parser reports line 0 for an unknown position.
            line: line.max(1),
        }
    }

    /// Records a fault at a line of this file.
    pub fn report(&mut self, line: u64, message: impl Into<String>) {
        let fault = Fault::new(&self.location(line), message);
        self.faults.push(fault);
    }

    /// Returns the elements of a list; null counts as an empty list.
    pub fn list<'n>(&mut self, node: &'n Node, subject: &str) -> &'n [Node] {
        match &node.value {
            Value::List(list) => list,
            Value::Null => &[],
            other => {
                let type_name = other.type_name();
                self.report(
                    node.line,
                    format!("{subject} must be a list, not {type_name}"),
                );
                &[]
            }
        }
    }

    /// Returns the line, key and value of each entry of a mapping; null counts
    /// as an empty mapping.
    pub fn entries<'n>(&mut self, node: &'n Node, subject: &str) -> Vec<(u64, &'n str, &'n Node)> {
        match &node.value {
            Value::Map(map) => map
                .iter()
                .map(|(key, node)| (key.line, key.text.as_str(), node))
                .collect(),
            Value::Null => Vec::new(),
            other => {
                let type_name = other.type_name();
                self.report(
                    node.line,
                    format!("{subject} must be a mapping, not {type_name}"),
                );
                Vec::new()
            }
        }
    }

    /// Reads a mapping and reports duplicate fields and fields that are not in
    /// `allowed`.
    pub fn fields<'n>(&mut self, node: &'n Node, subject: &str, allowed: &[&str]) -> Fields<'n> {
        let mut entries: Vec<(&str, &Node)> = Vec::new();
        for (line, key, value) in self.entries(node, subject) {
            if !allowed.contains(&key) {
                let allowed = allowed.join(", ");
                let message =
                    format!("{subject} has unknown field \"{key}\"; allowed fields: {allowed}");
                self.report(line, message);
            } else if entries.iter().any(|(present, _)| *present == key) {
                self.report(line, format!("{subject} has duplicate field \"{key}\""));
            } else {
                entries.push((key, value));
            }
        }
        Fields {
            subject: subject.to_owned(),
            line: node.line,
            is_mapping: matches!(node.value, Value::Map(_) | Value::Null),
            entries,
        }
    }

    /// Converts a string to a name with `constructor` and reports an invalid
    /// one.
    pub fn name<T>(
        &mut self,
        line: u64,
        text: &str,
        constructor: impl Fn(&str) -> Result<T, id::Error>,
    ) -> Option<Located<T>> {
        match constructor(text) {
            Ok(value) => Some(Located {
                location: self.location(line),
                value,
            }),
            Err(error) => {
                self.report(line, error.to_string());
                None
            }
        }
    }

    /// Reads an integer and reports another type or a value outside `range`.
    pub fn integer(
        &mut self,
        node: &Node,
        subject: &str,
        range: RangeInclusive<u32>,
    ) -> Option<u32> {
        let Value::Integer(value) = node.value else {
            let type_name = node.value.type_name();
            self.report(
                node.line,
                format!("{subject} must be an integer, not {type_name}"),
            );
            return None;
        };
        let integer = u32::try_from(value).ok().filter(|n| range.contains(n));
        if integer.is_none() {
            let (low, high) = (range.start(), range.end());
            let message = format!("{subject} is {value}; it must be between {low} and {high}");
            self.report(node.line, message);
        }
        integer
    }
}

impl<'n> Fields<'n> {
    /// Returns the value of a field, `None` if it is absent.
    pub fn get(&self, key: &str) -> Option<&'n Node> {
        let entry = self.entries.iter().find(|(present, _)| *present == key);
        entry.map(|(_, node)| *node)
    }

    /// Returns the value of a required field and reports a missing one.
    pub fn require(&self, reader: &mut Reader<'_>, key: &str) -> Option<&'n Node> {
        let node = self.get(key);
        if node.is_none() && self.is_mapping {
            reader.report(
                self.line,
                format!("{} is missing required field \"{key}\"", self.subject),
            );
        }
        node
    }

    /// Reads a required field as a string, with its line.
    pub fn string(&self, reader: &mut Reader<'_>, key: &str) -> Option<(u64, &'n str)> {
        let node = self.require(reader, key)?;
        let Value::String(text) = &node.value else {
            let type_name = node.value.type_name();
            let subject = self.describe(key);
            reader.report(
                node.line,
                format!("{subject} must be a string, not {type_name}"),
            );
            return None;
        };
        Some((node.line, text))
    }

    /// Reads a required field as a name.
    pub fn name<T>(
        &self,
        reader: &mut Reader<'_>,
        key: &str,
        constructor: impl Fn(&str) -> Result<T, id::Error>,
    ) -> Option<Located<T>> {
        let (line, text) = self.string(reader, key)?;
        reader.name(line, text, constructor)
    }

    /// Reads an optional field as an integer within `range`, `None` if it is
    /// absent or invalid.
    pub fn integer(
        &self,
        reader: &mut Reader<'_>,
        key: &str,
        range: RangeInclusive<u32>,
    ) -> Option<u32> {
        let node = self.get(key)?;
        reader.integer(node, &self.describe(key), range)
    }

    /// Reads an optional field as a boolean, `false` if it is absent or
    /// invalid.
    pub fn boolean(&self, reader: &mut Reader<'_>, key: &str) -> bool {
        match self.get(key).map(|node| (node.line, &node.value)) {
            None => false,
            Some((_, Value::Bool(value))) => *value,
            Some((line, other)) => {
                let type_name = other.type_name();
                let subject = self.describe(key);
                reader.report(
                    line,
                    format!("{subject} must be true or false, not {type_name}"),
                );
                false
            }
        }
    }

    /// Returns the description of a field for messages.
    pub fn describe(&self, key: impl Display) -> String {
        format!("field \"{key}\" of {}", self.subject)
    }
}
