//! Reads and writes inventory and rules as YAML.

use std::collections::BTreeMap;
use std::fmt::{Display, Write};
use std::net::SocketAddr;

use balsamchute_base::id;

use crate::config::{Config, Kind, Limits, Runner, Service, Share};
use crate::draft::{self, Draft};
use crate::fault::{Fault, Place};
use crate::fields::Placed;
use crate::node;

/// Weight of a workspace that neither the inventory nor the rules give one.
const DEFAULT_WEIGHT: u32 = 1;

/// A file with its text.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Source<'a> {
    /// The file as the operator named it.
    pub file: &'a str,
    /// What it holds.
    pub text: &'a str,
}

/// Reads one file that holds a whole configuration.
///
/// # Errors
///
/// Returns every fault in the file, in order of line.
pub fn parse(text: &str, file: &str) -> Result<Config, Vec<Fault>> {
    parse_all(&[Source { file, text }])
}

/// Reads files that make up a configuration together, such as an inventory
/// and rules.
///
/// # Errors
///
/// Returns every fault in the files, in order of file and line.
pub fn parse_all(sources: &[Source<'_>]) -> Result<Config, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut draft = Draft::default();
    for source in sources {
        match node::parse(source.text, source.file) {
            Ok(root) => draft.read(&root, source.file, &mut faults),
            Err(fault) => faults.push(fault),
        }
    }
    let config = Check::new(&mut faults).config(draft);
    if faults.is_empty() {
        return Ok(config);
    }
    let order = |file: &str| sources.iter().position(|source| source.file == file);
    faults.sort_by_key(|fault| (order(&fault.file), fault.line, fault.message.clone()));
    Err(faults)
}

/// Checks the parts of a draft against one another.
struct Check<'a> {
    faults: &'a mut Vec<Fault>,
}

impl<'a> Check<'a> {
    fn new(faults: &'a mut Vec<Fault>) -> Self {
        Check { faults }
    }

    fn config(&mut self, draft: Draft) -> Config {
        let mut config = Config::default();
        let mut places = BTreeMap::new();
        for (name, domain) in draft.domains {
            if self.first("failure domain", &name, &mut places) {
                config.domains.insert(name.value, domain);
            }
        }
        let mut places = BTreeMap::new();
        for service in draft.services {
            if self.first("service", &service.name, &mut places) {
                let name = service.name.value;
                if let Some(limits) = service.limits {
                    config.service_limits.insert(name.clone(), limits);
                }
                let kind = service.kind;
                config.services.insert(name, Service { kind });
            }
        }
        self.runners(draft.runners, &mut config);
        let rules = (group(draft.shares), group(draft.limits));
        self.workspaces(draft.workspaces, rules, &mut config);
        self.total(&draft.totals, &config);
        config
    }

    fn runners(&mut self, runners: Vec<draft::Runner>, config: &mut Config) {
        let mut places = BTreeMap::new();
        let mut addresses = BTreeMap::new();
        for runner in runners {
            self.references(&runner, config);
            self.address(&runner, &mut addresses);
            if self.first("runner", &runner.name, &mut places) {
                let checked = Runner {
                    service: runner.service.value,
                    domain: runner.domain.value,
                    address: runner.address.value,
                    slots: runner.slots,
                    fencing: runner.fencing,
                };
                config.runners.insert(runner.name.value, checked);
            }
        }
    }

    fn references(&mut self, runner: &draft::Runner, config: &Config) {
        let name = &runner.name.value;
        let (service, domain) = (&runner.service, &runner.domain);
        if !config.services.contains_key(&service.value) {
            let message = format!(
                "runner \"{name}\" names service \"{}\", which does not exist",
                service.value
            );
            self.fault(&service.place, message);
        }
        if !config.domains.contains_key(&domain.value) {
            let message = format!(
                "runner \"{name}\" names failure domain \"{}\", which does not exist",
                domain.value
            );
            self.fault(&domain.place, message);
        }
    }

    fn address(&mut self, runner: &draft::Runner, taken: &mut BTreeMap<SocketAddr, id::Runner>) {
        let (name, address) = (&runner.name.value, &runner.address);
        let other = taken
            .entry(address.value)
            .or_insert_with(|| name.clone())
            .clone();
        if other != *name {
            let message = format!(
                "runner \"{name}\" has the address {} of runner \"{other}\"",
                address.value
            );
            self.fault(&address.place, message);
        }
    }

    fn workspaces(
        &mut self,
        workspaces: Vec<draft::Workspace>,
        (mut shares, mut limits): (Rules<u32>, Rules<Limits>),
        config: &mut Config,
    ) {
        let mut places = BTreeMap::new();
        for workspace in workspaces {
            if !self.first("workspace", &workspace.name, &mut places) {
                continue;
            }
            let name = workspace.name.value;
            let weight = self.rule(workspace.weight, &mut shares, &name, "share");
            let limit = self.rule(workspace.limits, &mut limits, &name, "limits");
            let share = Share {
                weight: weight.unwrap_or(DEFAULT_WEIGHT),
                homes: workspace.homes,
                limits: limit.unwrap_or_default(),
            };
            config.workspaces.insert(name, share);
        }
        self.dangling("share", &shares);
        self.dangling("limits", &limits);
    }

    /// Takes the rule for a workspace out of `rules`, beside what the inventory
    /// itself gives.
    fn rule<T: Copy>(
        &mut self,
        inventory: Option<T>,
        rules: &mut Rules<T>,
        name: &id::Workspace,
        what: &str,
    ) -> Option<T> {
        let mut value = inventory;
        for rule in rules.remove(name).into_iter().flatten() {
            if value.is_some() {
                let message = format!("workspace \"{name}\" is given its {what} twice");
                self.fault(&rule.workspace.place, message);
            }
            value = value.or(Some(rule.value));
        }
        value
    }

    fn dangling<T>(&mut self, what: &str, rules: &Rules<T>) {
        for rule in rules.values().flatten() {
            let name = &rule.workspace.value;
            let message =
                format!("the {what} rule names workspace \"{name}\", which does not exist");
            self.fault(&rule.workspace.place, message);
        }
    }

    fn total(&mut self, totals: &[Placed<u32>], config: &Config) {
        let weights = config.workspaces.values();
        let sum: u64 = weights.map(|share| u64::from(share.weight)).sum();
        for total in totals {
            if sum != u64::from(total.value) {
                let message = format!(
                    "the weights of all workspaces add up to {sum}, not to \"share_total\" {}",
                    total.value
                );
                self.fault(&total.place, message);
            }
        }
    }

    /// Reports a name that was used before and returns whether it was not.
    fn first<T: Clone + Display + Ord>(
        &mut self,
        kind: &str,
        name: &Placed<T>,
        places: &mut BTreeMap<T, Place>,
    ) -> bool {
        if let Some(place) = places.get(&name.value) {
            let message = format!("{kind} \"{}\" already exists, at {place}", name.value);
            self.fault(&name.place, message);
            return false;
        }
        places.insert(name.value.clone(), name.place.clone());
        true
    }

    fn fault(&mut self, place: &Place, message: String) {
        self.faults.push(Fault::new(place, message));
    }
}

/// Rules not yet matched with a workspace.
type Rules<T> = BTreeMap<id::Workspace, Vec<draft::Rule<T>>>;

fn group<T>(rules: Vec<draft::Rule<T>>) -> Rules<T> {
    let mut groups = Rules::new();
    for rule in rules {
        let name = rule.workspace.value.clone();
        groups.entry(name).or_default().push(rule);
    }
    groups
}

/// Writes a configuration as the one canonical YAML text, a line for each
/// thing, sorted by name.
#[must_use]
pub fn text(config: &Config) -> String {
    let mut out = String::new();
    section(&mut out, "domains", &config.domains, |domain| {
        format!(", region: {}", quote(&domain.region))
    });
    out.push_str("services:\n");
    for (name, service) in &config.services {
        let limits = config.service_limits.get(name).copied();
        let kind = kind(service.kind);
        let limits = limits_text(limits.unwrap_or_default());
        line(&mut out, name, &format!(", kind: {kind}{limits}"));
    }
    section(&mut out, "runners", &config.runners, |runner| {
        let fencing = if runner.fencing {
            ", fencing: true"
        } else {
            ""
        };
        format!(
            ", service: {}, domain: {}, address: \"{}\", slots: {}{fencing}",
            quote(runner.service.as_str()),
            quote(runner.domain.as_str()),
            runner.address,
            runner.slots
        )
    });
    section(&mut out, "workspaces", &config.workspaces, |share| {
        let homes = match share.homes {
            1 => String::new(),
            homes => format!(", homes: {homes}"),
        };
        let limits = limits_text(share.limits);
        format!(", weight: {}{homes}{limits}", share.weight)
    });
    out
}

fn section<K: AsRef<str>, V>(
    out: &mut String,
    name: &str,
    items: &BTreeMap<K, V>,
    rest: impl Fn(&V) -> String,
) {
    out.push_str(name);
    out.push_str(":\n");
    for (name, item) in items {
        line(out, name, &rest(item));
    }
}

fn line(out: &mut String, name: &impl AsRef<str>, rest: &str) {
    writeln!(out, "- {{name: {}{rest}}}", quote(name.as_ref())).expect("strings take all text");
}

/// Quotes a name that YAML could read as something other than text.
fn quote(name: &str) -> String {
    let plain = name.starts_with(|c: char| c.is_ascii_alphabetic())
        && name.contains('-')
        && !name.ends_with('-');
    if plain {
        name.to_owned()
    } else {
        format!("\"{name}\"")
    }
}

fn kind(kind: Kind) -> &'static str {
    match kind {
        Kind::Engine => "engine",
        Kind::Plain => "plain",
    }
}

fn limits_text(limits: Limits) -> String {
    if limits == Limits::default() {
        return String::new();
    }
    let fields = [
        ("rate", limits.rate),
        ("concurrency", limits.concurrency),
        ("queue", limits.queue),
    ];
    let fields: Vec<String> = fields
        .into_iter()
        .filter_map(|(name, value)| Some(format!("{name}: {}", value?)))
        .collect();
    format!(", limits: {{{}}}", fields.join(", "))
}
