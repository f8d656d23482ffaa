//! Differences between two configurations, item by item.

use std::collections::BTreeMap;
use std::fmt;

use crate::config::{Config, Limits, Runner, WorkspaceSpec};

/// An item that differs between two configurations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Type of the item: `failure domain`, `service`, `runner` or `workspace`.
    pub item_type: &'static str,
    /// Name of the item.
    pub name: String,
    /// Difference between the old and the new item.
    pub action: Action,
}

/// Difference between the old and the new item, with readable descriptions of
/// their settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// The item is only in the new configuration; the description is the new one.
    Added(String),
    /// The item is only in the old configuration; the description is the old one.
    Removed(String),
    /// The item is in both configurations with different settings.
    Changed {
        /// Description in the old configuration.
        old: String,
        /// Description in the new configuration.
        new: String,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (item_type, name) = (self.item_type, &self.name);
        match &self.action {
            Action::Added(new) => write!(f, "+ {item_type} \"{name}\": {new}"),
            Action::Removed(old) => write!(f, "- {item_type} \"{name}\": {old}"),
            Action::Changed { old, new } => write!(f, "~ {item_type} \"{name}\": {old} -> {new}"),
        }
    }
}

/// Returns the changes from `old` to `new`: failure domains, services, runners
/// and workspaces in this order, each sorted by name.
#[must_use]
pub fn compare_configs(old: &Config, new: &Config) -> Vec<Change> {
    let mut changes = Vec::new();
    let out = &mut changes;
    compare(
        out,
        "failure domain",
        &old.domains,
        &new.domains,
        |domain| format!("region {}", domain.region),
    );
    compare(
        out,
        "service",
        &describe_services(old),
        &describe_services(new),
        Clone::clone,
    );
    compare(out, "runner", &old.runners, &new.runners, describe_runner);
    compare(
        out,
        "workspace",
        &old.workspaces,
        &new.workspaces,
        describe_workspace,
    );
    changes
}

/// Appends a change for each item whose presence or description differs.
fn compare<K: AsRef<str> + Ord, V>(
    changes: &mut Vec<Change>,
    item_type: &'static str,
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
            item_type,
            name: name.as_ref().to_owned(),
            action,
        });
    }
}

/// Describes each service together with its limits.
fn describe_services(config: &Config) -> BTreeMap<&str, String> {
    let describe = |name| {
        let service: &balsamchute_base::id::Service = name;
        let kind = config.services[service].kind;
        let limits = config.service_limits.get(service).copied();
        let limits = describe_limits(limits.unwrap_or_default());
        (
            service.as_str(),
            // The names of kinds in YAML are those of the variants in lower case.
            format!("kind {kind:?}{limits}").to_lowercase(),
        )
    };
    config.services.keys().map(describe).collect()
}

fn describe_runner(runner: &Runner) -> String {
    let fencing = if runner.fencing { "with" } else { "without" };
    format!(
        "service {}, failure domain {}, address {}, {} slots, {fencing} fencing",
        runner.service, runner.domain, runner.address, runner.slots
    )
}

fn describe_workspace(workspace: &WorkspaceSpec) -> String {
    let limits = describe_limits(workspace.limits);
    format!(
        "weight {}, homes {}{limits}",
        workspace.weight, workspace.homes
    )
}

fn describe_limits(limits: Limits) -> String {
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
