//! Trail of one request through the fleet, collected from log lines.

use std::collections::BTreeSet;
use std::io::BufRead;

use balsamchute_edge::line::Line;
use serde::Serialize;

/// Event of the log line for an attempt that is sent to a runner.
const SEND: &str = "send";

/// Event of the first log line of a process.
const START: &str = "start";

/// Events after which a router no longer holds the request.
const FINAL_EVENTS: [&str; 5] = ["answered", "caller_gone", "failed", "refused", "rejected"];

/// Log lines that explain one request.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Trail {
    /// Lines in order of time:
    ///
    /// 1. lines of the request;
    /// 2. lines about the runners that it was sent to, from routers that logged the
    ///    request, between its first and last line;
    /// 3. if the last of these lines is no final event, the next start of the router
    ///    that logged it.
    pub lines: Vec<Line>,
    /// Number of input lines that could not be parsed as router log lines.
    pub skipped: usize,
}

impl Trail {
    /// Collects the trail of `request` from log lines.
    ///
    /// # Errors
    ///
    /// Returns an error if the input cannot be read.
    pub fn read(request: &str, input: impl BufRead) -> std::io::Result<Self> {
        let mut request_lines = Vec::new();
        let mut runner_lines = Vec::new();
        let mut start_lines = Vec::new();
        let mut skipped = 0;
        for text in input.split(b'\n') {
            let text = text?;
            match Line::parse(&String::from_utf8_lossy(&text)) {
                Some(line) if line.get("request") == Some(request) => request_lines.push(line),
                Some(line) if line.get("request").is_none() && line.get("runner").is_some() => {
                    runner_lines.push(line);
                }
                Some(line) if line.event == START => start_lines.push(line),
                Some(_) => {}
                None => skipped += 1,
            }
        }
        let mut trail = Trail::new(request_lines, runner_lines, skipped);
        trail.add_start(start_lines);
        Ok(trail)
    }

    fn new(request_lines: Vec<Line>, runner_lines: Vec<Line>, skipped: usize) -> Self {
        let sends = request_lines.iter().filter(|line| line.event == SEND);
        let runners: BTreeSet<String> = sends
            .filter_map(|line| line.get("runner"))
            .map(str::to_owned)
            .collect();
        let first = request_lines.iter().map(|line| line.at).min().unwrap_or(0);
        let last = request_lines.iter().map(|line| line.at).max().unwrap_or(0);
        let instances: BTreeSet<String> = request_lines
            .iter()
            .map(|line| line.instance.clone())
            .collect();
        let mut lines = request_lines;
        lines.extend(runner_lines.into_iter().filter(|line| {
            let is_request_runner = line
                .get("runner")
                .is_some_and(|runner| runners.contains(runner));
            is_request_runner
                && instances.contains(&line.instance)
                && (first..=last).contains(&line.at)
        }));
        lines.sort_by_key(|line| line.at);
        Trail { lines, skipped }
    }

    /// Adds the next start of the router that logged the last line, unless that
    /// line is a final event. A killed process logs nothing when it ends, so the
    /// restart is the only evidence.
    fn add_start(&mut self, start_lines: Vec<Line>) {
        let Some(last) = self.lines.last() else {
            return;
        };
        if FINAL_EVENTS.contains(&last.event.as_str()) {
            return;
        }
        let next = start_lines
            .into_iter()
            .filter(|start| start.instance == last.instance && start.at > last.at)
            .min_by_key(|start| start.at);
        self.lines.extend(next);
    }

    /// Formats the trail as text, one line per event with the time in milliseconds
    /// since the first event.
    pub fn text(&self) -> String {
        let first = self.lines.first().map_or(0, |line| line.at);
        let mut text = String::new();
        for line in &self.lines {
            // The id of the request is the same in every line of it. Level and part are left
            // out as well.
            let fields = line
                .fields
                .iter()
                .filter(|(name, _)| !["level", "part", "request"].contains(&name.as_str()));
            let fields: Vec<String> = fields
                .map(|(name, value)| format!("{name}={value}"))
                .collect();
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
