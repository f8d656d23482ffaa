//! Parser, validator and writer of the YAML text of inventory and rules.

use std::collections::BTreeMap;
use std::fmt::{Display, Write};
use std::net::SocketAddr;

use balsamchute_base::id;

use crate::config::{Config, Kind, Limits, Runner, Service, WorkspaceSpec};
use crate::draft::{self, Draft};
use crate::fault::{Fault, Location};
use crate::fields::Located;
use crate::node;

/// Weight of a workspace if neither the inventory nor the rules set one.
const DEFAULT_WEIGHT: u32 = 1;

/// Name and contents of a file to parse.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Source<'a> {
    /// File name for faults.
    pub file: &'a str,
    /// YAML contents of the file.
    pub text: &'a str,
}

/// Parses and validates a configuration that is in one file.
///
/// # Errors
///
/// Returns every fault in the file, ordered by line.
pub fn parse(text: &str, file: &str) -> Result<Config, Vec<Fault>> {
    parse_sources(&[Source { file, text }])
}

/// Parses files that together form a configuration, such as an inventory and
/// its rules, and validates it.
///
/// # Errors
///
/// Returns every fault in the files, ordered by the files' order in `sources`
/// and by line.
pub fn parse_sources(sources: &[Source<'_>]) -> Result<Config, Vec<Fault>> {
    let mut faults = Vec::new();
    let mut draft = Draft::default();
    for source in sources {
        match node::parse(source.text, source.file) {
            Ok(root) => draft.read(&root, source.file, &mut faults),
            Err(fault) => faults.push(fault),
        }
    }
    let config = Validator::new(&mut faults).validate(draft);
    if faults.is_empty() {
        return Ok(config);
    }
    let source_index = |file: &str| sources.iter().position(|source| source.file == file);
    faults.sort_by_key(|fault| (source_index(&fault.file), fault.line, fault.message.clone()));
    Err(faults)
}

/// Builds a configuration from a draft and reports duplicate names, dangling
/// references and other contradictions between its items.
struct Validator<'a> {
    faults: &'a mut Vec<Fault>,
}

impl<'a> Validator<'a> {
    fn new(faults: &'a mut Vec<Fault>) -> Self {
        Validator { faults }
    }

    fn validate(&mut self, draft: Draft) -> Config {
        let mut config = Config::default();
        let mut locations = BTreeMap::new();
        for (name, domain) in draft.domains {
            if self.register("failure domain", &name, &mut locations) {
                config.domains.insert(name.value, domain);
            }
        }
        let mut locations = BTreeMap::new();
        for service in draft.services {
            if self.register("service", &service.name, &mut locations) {
                let name = service.name.value;
                let limits = service.limits.unwrap_or_default();
                if limits != Limits::default() {
                    config.service_limits.insert(name.clone(), limits);
                }
                let kind = service.kind;
                config.services.insert(name, Service { kind });
            }
        }
        self.add_runners(draft.runners, &mut config);
        let rules = (
            group_by_workspace(draft.shares),
            group_by_workspace(draft.limits),
        );
        self.add_workspaces(draft.workspaces, rules, &mut config);
        self.check_total(&draft.share_totals, &config);
        config
    }

    fn add_runners(&mut self, runners: Vec<draft::Runner>, config: &mut Config) {
        let mut locations = BTreeMap::new();
        let mut addresses = BTreeMap::new();
        for runner in runners {
            self.check_references(&runner, config);
            self.check_address(&runner, &mut addresses);
            if self.register("runner", &runner.name, &mut locations) {
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

    /// Reports a service or a failure domain that does not exist.
    fn check_references(&mut self, runner: &draft::Runner, config: &Config) {
        let name = &runner.name.value;
        let (service, domain) = (&runner.service, &runner.domain);
        if !config.services.contains_key(&service.value) {
            let message = format!(
                "runner \"{name}\" names service \"{}\", which does not exist",
                service.value
            );
            self.report(&service.location, message);
        }
        if !config.domains.contains_key(&domain.value) {
            let message = format!(
                "runner \"{name}\" names failure domain \"{}\", which does not exist",
                domain.value
            );
            self.report(&domain.location, message);
        }
    }

    /// Reports an address that another runner uses, and records it in `owners`
    /// otherwise.
    fn check_address(
        &mut self,
        runner: &draft::Runner,
        owners: &mut BTreeMap<SocketAddr, id::Runner>,
    ) {
        let (name, address) = (&runner.name.value, &runner.address);
        let owner = owners
            .entry(address.value)
            .or_insert_with(|| name.clone())
            .clone();
        if owner != *name {
            let message = format!(
                "runner \"{name}\" uses address {}, which runner \"{owner}\" already uses",
                address.value
            );
            self.report(&address.location, message);
        }
    }

    fn add_workspaces(
        &mut self,
        workspaces: Vec<draft::Workspace>,
        (mut shares, mut limits): (Rules<u32>, Rules<Limits>),
        config: &mut Config,
    ) {
        let mut locations = BTreeMap::new();
        for workspace in workspaces {
            if !self.register("workspace", &workspace.name, &mut locations) {
                continue;
            }
            let name = workspace.name.value;
            let weight = self.take_rule(workspace.weight, &mut shares, &name, "share");
            let workspace_limits = self.take_rule(workspace.limits, &mut limits, &name, "limits");
            let spec = WorkspaceSpec {
                weight: weight.unwrap_or(DEFAULT_WEIGHT),
                homes: workspace.homes,
                limits: workspace_limits.unwrap_or_default(),
            };
            config.workspaces.insert(name, spec);
        }
        self.report_dangling("share", &shares);
        self.report_dangling("limits", &limits);
    }

    /// Removes the rules of a workspace from `rules` and returns the value that
    /// applies: `inventory_value` or, without one, that of the first rule. Reports
    /// each further rule as a duplicate.
    fn take_rule<T: Copy>(
        &mut self,
        inventory_value: Option<T>,
        rules: &mut Rules<T>,
        name: &id::Workspace,
        setting: &str,
    ) -> Option<T> {
        let mut value = inventory_value;
        for rule in rules.remove(name).into_iter().flatten() {
            if value.is_some() {
                let message = format!(
                    "duplicate {setting} for workspace \"{name}\"; the inventory or an earlier rule sets it"
                );
                self.report(&rule.workspace.location, message);
            }
            value = value.or(Some(rule.value));
        }
        value
    }

    /// Reports the rules that are left in `rules`: their workspaces do not exist.
    fn report_dangling<T>(&mut self, setting: &str, rules: &Rules<T>) {
        for rule in rules.values().flatten() {
            let name = &rule.workspace.value;
            let message =
                format!("the {setting} rule names workspace \"{name}\", which does not exist");
            self.report(&rule.workspace.location, message);
        }
    }

    /// Reports each `share_total` that differs from the sum of all weights.
    fn check_total(&mut self, totals: &[Located<u32>], config: &Config) {
        let specs = config.workspaces.values();
        let sum: u64 = specs.map(|spec| u64::from(spec.weight)).sum();
        for total in totals {
            if sum != u64::from(total.value) {
                let message = format!(
                    "the weights of all workspaces add up to {sum}, not to \"share_total\" {}",
                    total.value
                );
                self.report(&total.location, message);
            }
        }
    }

    /// Records the location of a name, or reports the name if it is already
    /// defined. Returns whether it is new.
    fn register<T: Clone + Display + Ord>(
        &mut self,
        item_type: &str,
        name: &Located<T>,
        locations: &mut BTreeMap<T, Location>,
    ) -> bool {
        if let Some(location) = locations.get(&name.value) {
            let message = format!(
                "{item_type} \"{}\" is already defined at {location}",
                name.value
            );
            self.report(&name.location, message);
            return false;
        }
        locations.insert(name.value.clone(), name.location.clone());
        true
    }

    fn report(&mut self, location: &Location, message: String) {
        self.faults.push(Fault::new(location, message));
    }
}

/// Rules by workspace that are not yet applied. Several for one workspace are
/// kept, so that each duplicate can be reported.
type Rules<T> = BTreeMap<id::Workspace, Vec<draft::Rule<T>>>;

fn group_by_workspace<T>(rules: Vec<draft::Rule<T>>) -> Rules<T> {
    let mut groups = Rules::new();
    for rule in rules {
        let name = rule.workspace.value.clone();
        groups.entry(name).or_default().push(rule);
    }
    groups
}

/// Writes a configuration as canonical YAML: one line per item, sorted by name,
/// optional fields left out where they have their default. Equal configurations
/// give equal text.
#[must_use]
pub fn to_yaml(config: &Config) -> String {
    let mut out = String::new();
    write_section(&mut out, "domains", &config.domains, |domain| {
        format!(", region: {}", quote_if_needed(&domain.region))
    });
    out.push_str("services:\n");
    for (name, service) in &config.services {
        let limits = config.service_limits.get(name).copied();
        let kind = kind_name(service.kind);
        let limits = format_limits(limits.unwrap_or_default());
        write_item(&mut out, name, &format!(", kind: {kind}{limits}"));
    }
    write_section(&mut out, "runners", &config.runners, |runner| {
        let fencing = if runner.fencing {
            ", fencing: true"
        } else {
            ""
        };
        format!(
            ", service: {}, domain: {}, address: \"{}\", slots: {}{fencing}",
            quote_if_needed(runner.service.as_str()),
            quote_if_needed(runner.domain.as_str()),
            runner.address,
            runner.slots
        )
    });
    write_section(&mut out, "workspaces", &config.workspaces, |spec| {
        let homes = match spec.homes {
            1 => String::new(),
            homes => format!(", homes: {homes}"),
        };
        let limits = format_limits(spec.limits);
        format!(", weight: {}{homes}{limits}", spec.weight)
    });
    out
}

fn write_section<K: AsRef<str>, V>(
    out: &mut String,
    key: &str,
    items: &BTreeMap<K, V>,
    format_fields: impl Fn(&V) -> String,
) {
    out.push_str(key);
    out.push_str(":\n");
    for (name, item) in items {
        write_item(out, name, &format_fields(item));
    }
}

fn write_item(out: &mut String, name: &impl AsRef<str>, fields: &str) {
    writeln!(
        out,
        "- {{name: {}{fields}}}",
        quote_if_needed(name.as_ref())
    )
    .expect("writing to a String cannot fail");
}

/// Quotes a name that YAML could read as null, a boolean or a number. A name that
/// starts with a letter, contains a hyphen and does not end with one is always
/// read as a string and stays plain.
fn quote_if_needed(name: &str) -> String {
    let plain = name.starts_with(|c: char| c.is_ascii_alphabetic())
        && name.contains('-')
        && !name.ends_with('-');
    if plain {
        name.to_owned()
    } else {
        format!("\"{name}\"")
    }
}

fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Engine => "engine",
        Kind::Plain => "plain",
    }
}

fn format_limits(limits: Limits) -> String {
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
