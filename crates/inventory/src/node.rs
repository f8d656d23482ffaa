//! YAML document as a tree of values with their line numbers.

use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{Budget, DuplicateKeyPolicy, MergeKeyPolicy, Options, Spanned};

use crate::fault::{Fault, Location};

/// Maximum number of YAML nodes in one file. An inventory of 12,000 runners and
/// 5,800 workspaces uses a fifth of it.
const MAX_NODES: usize = 1_000_000;

/// Maximum nesting depth of lists and mappings.
const MAX_DEPTH: usize = 16;

/// A value with its line number.
#[derive(Clone, Debug)]
pub struct Node {
    /// Line number, starting at 1; for an alias, the line of the alias.
    pub line: u64,
    pub value: Value,
}

/// Value of a YAML node, by its type.
#[derive(Clone, Debug)]
pub enum Value {
    /// `null`, `~` or an empty value.
    Null,
    /// `true` or `false` in a YAML 1.2 spelling; the YAML 1.1 spellings `yes`, `no`,
    /// `on` and `off` are strings.
    Bool(bool),
    /// An integer, saturated at [`i128::MAX`].
    Integer(i128),
    /// A floating-point number. No field takes one, so its value is dropped.
    Float,
    String(String),
    List(Vec<Node>),
    /// A mapping in document order. Duplicate keys are kept, so that each can
    /// be reported with its line.
    Map(Vec<(Key, Node)>),
}

/// A key of a mapping.
#[derive(Clone, Debug)]
pub struct Key {
    /// Line number, starting at 1.
    pub line: u64,
    pub text: String,
}

impl Value {
    /// Returns the type of the value as a noun phrase for messages.
    pub fn type_name(&self) -> &'static str {
        match self {
            Value::Null => "null",
            Value::Bool(_) => "a boolean",
            Value::Integer(_) => "an integer",
            Value::Float => "a floating-point number",
            Value::String(_) => "a string",
            Value::List(_) => "a list",
            Value::Map(_) => "a mapping",
        }
    }
}

/// Parses the single YAML document in `text`. `file` is the file name for the
/// fault.
pub fn parse(text: &str, file: &str) -> Result<Node, Fault> {
    let parsed: Result<Node, _> = serde_saphyr::from_str_with_options(text, options());
    parsed.map_err(|error| {
        let error = error.without_snippet();
        let line = error.location().map_or(1, |location| location.line());
        let location = Location {
            file: file.to_owned(),
            // The parser reports line 0 for an unknown position.
            line: line.max(1),
        };
        Fault::new(&location, format!("invalid YAML: {error}"))
    })
}

/// Returns the parser options: limits on the size and depth of the tree,
/// duplicate keys kept for
/// [`Reader::fields`](crate::fields::Reader::fields) to report, merge keys
/// rejected, and only the YAML 1.2 spellings of booleans.
fn options() -> Options {
    let mut budget = Budget::default();
    budget.max_nodes = MAX_NODES;
    // A scalar is one event, a list or mapping two: its start and its end.
    budget.max_events = 2 * MAX_NODES;
    budget.max_depth = MAX_DEPTH;
    let mut options = Options::default();
    options.budget = Some(budget);
    options.duplicate_keys = DuplicateKeyPolicy::PassThrough;
    options.merge_keys = MergeKeyPolicy::Error;
    options.strict_booleans = true;
    options
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<Value>::deserialize(deserializer)?;
        Ok(Node {
            line: spanned.referenced.line(),
            value: spanned.value,
        })
    }
}

impl<'de> Deserialize<'de> for Key {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let spanned = Spanned::<String>::deserialize(deserializer)?;
        Ok(Key {
            line: spanned.referenced.line(),
            text: spanned.value,
        })
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a YAML value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        Value::deserialize(deserializer)
    }

    fn visit_bool<E>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Integer(value.into()))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Integer(value.into()))
    }

    fn visit_i128<E>(self, value: i128) -> Result<Value, E> {
        Ok(Value::Integer(value))
    }

    fn visit_u128<E>(self, value: u128) -> Result<Value, E> {
        Ok(Value::Integer(i128::try_from(value).unwrap_or(i128::MAX)))
    }

    fn visit_f64<E>(self, _: f64) -> Result<Value, E> {
        Ok(Value::Float)
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::String(value.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        while let Some(node) = seq.next_element()? {
            list.push(node);
        }
        Ok(Value::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut entries = Vec::new();
        while let Some(entry) = map.next_entry()? {
            entries.push(entry);
        }
        Ok(Value::Map(entries))
    }
}
