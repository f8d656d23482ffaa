//! Log lines: `name=value` fields, written and read as they stand or as JSON.

use std::str::FromStr;

use serde::Serialize;
use serde_json::{Map, Value};

/// How a log line is written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// `name=value` fields, texts with spaces quoted.
    #[default]
    Logfmt,
    /// One JSON object, all values as strings except whole numbers.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "logfmt" => Ok(Format::Logfmt),
            "json" => Ok(Format::Json),
            _ => Err(format!(
                "log format {text:?} is neither \"logfmt\" nor \"json\""
            )),
        }
    }
}

impl Format {
    /// Returns a line of `name=value` fields in this format.
    #[must_use]
    pub fn render(self, line: &str) -> String {
        match self {
            Format::Logfmt => line.to_owned(),
            Format::Json => {
                let fields = pairs(line).unwrap_or_default();
                let fields = fields
                    .into_iter()
                    .map(|(name, value)| (name, Format::value(value)));
                Value::Object(Map::from_iter(fields)).to_string()
            }
        }
    }

    /// Returns a number only if it is written as one: an id such as `0012` stays
    /// a text.
    fn value(text: String) -> Value {
        match text.parse::<u64>() {
            Ok(number) if number.to_string() == text => Value::from(number),
            _ => Value::from(text),
        }
    }
}

/// A log line with fields.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Line {
    /// Milliseconds since the Unix epoch, by the clock of the instance.
    pub at: u64,
    /// The router that wrote it.
    pub instance: String,
    /// What happened.
    pub event: String,
    /// All other fields in order.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Parses a line of either format, `None` if it is none of a router's.
    ///
    /// Whatever stands before the first field, such as a collector's prefix, is
    /// ignored.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut at = None;
        let mut instance = None;
        let mut event = None;
        let mut fields = Vec::new();
        for (name, value) in object(text).or_else(|| pairs(text))? {
            match name.as_str() {
                "at" => at = value.parse().ok(),
                "instance" if instance.is_none() => instance = Some(value),
                "event" => event = Some(value),
                _ => fields.push((name, value)),
            }
        }
        Some(Line {
            at: at?,
            instance: instance?,
            event: event?,
            fields,
        })
    }

    /// Returns the value of a field.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(own, _)| own == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Returns the fields of a JSON object at the end of the line.
fn object(text: &str) -> Option<Vec<(String, String)>> {
    let json = &text[text.find('{')?..];
    let object: Map<String, Value> = serde_json::from_str(json).ok()?;
    let fields = object.into_iter().map(|(name, value)| match value {
        Value::String(text) => (name, text),
        other => (name, other.to_string()),
    });
    Some(fields.collect())
}

/// Splits `name=value` pairs; a value may be a quoted text with escapes.
fn pairs(text: &str) -> Option<Vec<(String, String)>> {
    let mut pairs = Vec::new();
    let mut rest = text.trim();
    while !rest.is_empty() {
        let word_end = rest.find(' ').unwrap_or(rest.len());
        let Some(equals) = rest[..word_end].find('=') else {
            rest = rest[word_end..].trim_start();
            continue;
        };
        let (name, after) = (&rest[..equals], &rest[equals + 1..]);
        let length = match after.starts_with('"') {
            true => quoted_length(after)?,
            false => after.find(' ').unwrap_or(after.len()),
        };
        let value = after[..length].trim_matches('"');
        pairs.push((name.to_owned(), value.to_owned()));
        rest = after[length..].trim_start();
    }
    Some(pairs)
}

/// Returns the length of a quoted text, `None` if it was cut short.
fn quoted_length(text: &str) -> Option<usize> {
    let mut escaped = false;
    for (at, character) in text.char_indices().skip(1) {
        match character {
            '"' if !escaped => return Some(at + 1),
            '\\' => escaped = !escaped,
            _ => escaped = false,
        }
    }
    None
}
