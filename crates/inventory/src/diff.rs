//! What differs between two configurations.

use std::collections::BTreeMap;
use std::fmt;

use crate::config::{Config, Limits, Runner, Share};

/// One difference.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The kind of thing: `failure domain`, `service`, `runner` or `workspace`.
    pub kind: &'static str,
    /// Its name.
    pub name: String,
    /// What became of it.
    pub action: Action,
}

/// What became of a thing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// It is new; how it is described.
    Added(String),
    /// It is gone; how it was described.
    Removed(String),
    /// Its description was `old` and is `new`.
    Changed {
        /// Before.
        old: String,
        /// After.
        new: String,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, name) = (self.kind, &self.name);
        match &self.action {
            Action::Added(new) => write!(f, "+ {kind} \"{name}\": {new}"),
            Action::Removed(old) => write!(f, "- {kind} \"{name}\": {old}"),
            Action::Changed { old, new } => write!(f, "~ {kind} \"{name}\": {old} -> {new}"),
        }
    }
}

/// Returns what turns `old` into `new`, by kind and name.
#[must_use]
pub fn changes(old: &Config, new: &Config) -> Vec<Change> {
    let mut changes = Vec::new();
    let list = &mut changes;
    compare(
        list,
        "failure domain",
        &old.domains,
        &new.domains,
        |domain| format!("region {}", domain.region),
    );
    compare(
        list,
        "service",
        &services(old),
        &services(new),
        Clone::clone,
    );
    compare(list, "runner", &old.runners, &new.runners, runner);
    compare(list, "workspace", &old.workspaces, &new.workspaces, share);
    changes
}

fn compare<K: AsRef<str> + Ord, V>(
    changes: &mut Vec<Change>,
    kind: &'static str,
    old: &BTreeMap<K, V>,
    new: &BTreeMap<K, V>,
    describe: impl Fn(&V) -> String,
) {
    let mut names: Vec<&K> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        let old = old.get(name).map(&describe);
        let new = new.get(name).map(&describe);
        let action = match (old, new) {
            (None, Some(new)) => Action::Added(new),
            (Some(old), None) => Action::Removed(old),
            (Some(old), Some(new)) if old != new => Action::Changed { old, new },
            _ => continue,
        };
        changes.push(Change {
            kind,
            name: name.as_ref().to_owned(),
            action,
        });
    }
}

fn services(config: &Config) -> BTreeMap<&str, String> {
    let describe = |name| {
        let service: &balsamchute_base::id::Service = name;
        let kind = config.services[service].kind;
        let limits = config.service_limits.get(service).copied();
        let limits = limits_text(limits.unwrap_or_default());
        (
            service.as_str(),
            format!("kind {kind:?}{limits}").to_lowercase(),
        )
    };
    config.services.keys().map(describe).collect()
}

fn runner(runner: &Runner) -> String {
    let fencing = if runner.fencing { "with" } else { "without" };
    format!(
        "service {}, failure domain {}, address {}, {} slots, {fencing} fencing",
        runner.service, runner.domain, runner.address, runner.slots
    )
}

fn share(share: &Share) -> String {
    let limits = limits_text(share.limits);
    format!("weight {}, homes {}{limits}", share.weight, share.homes)
}

fn limits_text(limits: Limits) -> String {
    let fields = [
        ("rate", limits.rate),
        ("concurrency", limits.concurrency),
        ("queue", limits.queue),
    ];
    fields
        .into_iter()
        .filter_map(|(name, value)| Some(format!(", {name} {}", value?)))
        .collect()
}
