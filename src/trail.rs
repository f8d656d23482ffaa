//! The way of one request through the fleet, read from log lines.

use std::collections::BTreeSet;
use std::io::BufRead;

use serde::Serialize;

/// Event of the line that sends a request to a runner.
const SEND: &str = "send";

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
    /// Parses a line, `None` if it is none of a router's.
    ///
    /// Whatever stands before the first field, such as a collector's prefix, is
    /// ignored.
    pub fn parse(text: &str) -> Option<Self> {
        let mut at = None;
        let mut instance = None;
        let mut event = None;
        let mut fields = Vec::new();
        for (name, value) in pairs(text)? {
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
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(own, _)| own == name);
        found.map(|(_, value)| value.as_str())
    }
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

/// The lines that explain one request.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Trail {
    /// Lines about the request, and about runners that it was sent to while it
    /// was in hand, in order of time.
    pub lines: Vec<Line>,
    /// Lines that are none of a router's.
    pub skipped: usize,
}

impl Trail {
    /// Reads the lines about `request`.
    ///
    /// # Errors
    ///
    /// Returns an error if the input cannot be read.
    pub fn read(request: &str, input: impl BufRead) -> std::io::Result<Self> {
        let mut own = Vec::new();
        let mut about_runners = Vec::new();
        let mut skipped = 0;
        for text in input.split(b'\n') {
            let text = text?;
            match Line::parse(&String::from_utf8_lossy(&text)) {
                Some(line) if line.get("request") == Some(request) => own.push(line),
                Some(line) if line.get("request").is_none() && line.get("runner").is_some() => {
                    about_runners.push(line);
                }
                Some(_) => {}
                None => skipped += 1,
            }
        }
        Ok(Trail::new(own, about_runners, skipped))
    }

    fn new(own: Vec<Line>, about_runners: Vec<Line>, skipped: usize) -> Self {
        let sends = own.iter().filter(|line| line.event == SEND);
        let runners: BTreeSet<String> = sends
            .filter_map(|line| line.get("runner"))
            .map(str::to_owned)
            .collect();
        let first = own.iter().map(|line| line.at).min().unwrap_or(0);
        let last = own.iter().map(|line| line.at).max().unwrap_or(0);
        let instances: BTreeSet<String> = own.iter().map(|line| line.instance.clone()).collect();
        let mut lines = own;
        lines.extend(about_runners.into_iter().filter(|line| {
            let is_of = line.get("runner").is_some_and(|r| runners.contains(r));
            is_of && instances.contains(&line.instance) && (first..=last).contains(&line.at)
        }));
        lines.sort_by_key(|line| line.at);
        Trail { lines, skipped }
    }

    /// Returns the trail as text, a line for each event with the time since the
    /// first one.
    pub fn text(&self) -> String {
        let first = self.lines.first().map_or(0, |line| line.at);
        let mut text = String::new();
        for line in &self.lines {
            let fields = line
                .fields
                .iter()
                .filter(|(name, _)| !["level", "part", "request"].contains(&name.as_str()));
            let fields: Vec<String> = fields.map(|(n, v)| format!("{n}={v}")).collect();
            text.push_str(&format!(
                "{:>7} ms  {}  {}  {}\n",
                line.at.saturating_sub(first),
                line.instance,
                line.event,
                fields.join(" ")
            ));
        }
        text
    }
}
