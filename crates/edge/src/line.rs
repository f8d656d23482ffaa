//! Log lines: `name=value` fields, written as logfmt or JSON, and a parser for
//! both.

use std::str::FromStr;

use serde::Serialize;
use serde_json::{Map, Value};

/// Output format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Format {
    /// `name=value` fields; values with spaces are quoted.
    #[default]
    Logfmt,
    /// One JSON object per line; all values are strings except whole numbers.
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
    /// Converts a line of `name=value` fields to this format. As JSON, a line with
    /// an unclosed quote becomes an empty object.
    #[must_use]
    pub fn render(self, line: &str) -> String {
        match self {
            Format::Logfmt => line.to_owned(),
            Format::Json => {
                let fields = parse_logfmt(line).unwrap_or_default();
                let fields = fields
                    .into_iter()
                    .map(|(name, value)| (name, Format::json_value(value)));
                Value::Object(Map::from_iter(fields)).to_string()
            }
        }
    }

    /// Returns a JSON number only if its canonical form equals the text; an id
    /// such as `0012` stays a string.
    fn json_value(text: String) -> Value {
        match text.parse::<u64>() {
            Ok(number) if number.to_string() == text => Value::from(number),
            _ => Value::from(text),
        }
    }
}

/// A parsed log line.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Line {
    /// Milliseconds since the Unix epoch, by the clock of the instance.
    pub at: u64,
    /// Name of the router instance that wrote the line.
    pub instance: String,
    /// Event name, such as `send` or `refused`.
    pub event: String,
    /// All other fields in their order.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Parses a line of either format. Returns `None` if a router did not write
    /// it.
    ///
    /// Text before the first field, such as a log collector's prefix, is
    /// ignored.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut at = None;
        let mut instance = None;
        let mut event = None;
        let mut fields = Vec::new();
        for (name, value) in parse_json(text).or_else(|| parse_logfmt(text))? {
            match name.as_str() {
                "at" => at = value.parse().ok(),
                // The first one belongs to the prefix; event=start has a field of the
                // same name.
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

    /// Returns the value of the first field called `name`.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self
            .fields
            .iter()
            .find(|(field_name, _)| field_name == name);
        field.map(|(_, value)| value.as_str())
    }
}

/// Returns the fields of a JSON object at the end of a line.
fn parse_json(text: &str) -> Option<Vec<(String, String)>> {
    let json = &text[text.find('{')?..];
    let object: Map<String, Value> = serde_json::from_str(json).ok()?;
    let fields = object.into_iter().map(|(name, value)| match value {
        Value::String(text) => (name, text),
        value => (name, value.to_string()),
    });
    Some(fields.collect())
}

/// Splits `name=value` pairs. A value may be quoted; all quotes at its ends are
/// removed, even an escaped one, and other escapes are kept as written. Returns
/// `None` if a closing quote is missing.
fn parse_logfmt(text: &str) -> Option<Vec<(String, String)>> {
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

/// Returns the length of a quoted string, or `None` if the closing quote is
/// missing.
fn quoted_length(text: &str) -> Option<usize> {
    let mut escaped = false;
    for (index, character) in text.char_indices().skip(1) {
        match character {
            '"' if !escaped => return Some(index + 1),
            '\\' => escaped = !escaped,
            _ => escaped = false,
        }
    }
    None
}
