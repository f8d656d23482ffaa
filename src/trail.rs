//! The way of one request through the fleet, read from log lines.

use std::collections::BTreeSet;
use std::io::BufRead;

use balsamchute_edge::line::Line;
use serde::Serialize;

/// Event of the line that sends a request to a runner.
const SEND: &str = "send";

/// Event of the first line of a process.
const START: &str = "start";

/// Events after which a router has a request no longer in hand.
const ENDS: [&str; 5] = ["answered", "caller_gone", "failed", "refused", "rejected"];

/// The lines that explain one request.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Trail {
    /// Lines about the request, about runners that it was sent to while it was
    /// in hand, and about the next start of a router that it did not end at, in
    /// order of time.
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
        let mut starts = Vec::new();
        let mut skipped = 0;
        for text in input.split(b'\n') {
            let text = text?;
            match Line::parse(&String::from_utf8_lossy(&text)) {
                Some(line) if line.get("request") == Some(request) => own.push(line),
                Some(line) if line.get("request").is_none() && line.get("runner").is_some() => {
                    about_runners.push(line);
                }
                Some(line) if line.event == START => starts.push(line),
                Some(_) => {}
                None => skipped += 1,
            }
        }
        let mut trail = Trail::new(own, about_runners, skipped);
        trail.add_start(starts);
        Ok(trail)
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

    /// Adds the next start of the router that had the request last, unless the
    /// request ended there: a process that is killed leaves no line.
    fn add_start(&mut self, starts: Vec<Line>) {
        let Some(last) = self.lines.last() else {
            return;
        };
        if ENDS.contains(&last.event.as_str()) {
            return;
        }
        let next = starts
            .into_iter()
            .filter(|start| start.instance == last.instance && start.at > last.at)
            .min_by_key(|start| start.at);
        self.lines.extend(next);
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
