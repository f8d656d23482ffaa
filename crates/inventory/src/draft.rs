//! Contents of all files of a configuration, with each field validated by itself
//! but without checks across items: duplicate names, references, totals.

use std::net::SocketAddr;

use balsamchute_base::id;

use crate::config::{Domain, Kind, Limits};
use crate::fault::Fault;
use crate::fields::{Fields, Located, Reader};
use crate::node::{Node, Value};

/// Maximum number of slots, or concurrent requests, of one runner.
const MAX_SLOTS: u32 = 100_000;

/// Maximum weight of a workspace.
const MAX_WEIGHT: u32 = 1_000_000;

/// Maximum number of home routers of a workspace.
const MAX_HOMES: u32 = 64;

/// Maximum value of `rate` (requests per second), `concurrency` and `queue`
/// (requests).
const MAX_LIMIT: u32 = 1_000_000;

/// A runner; its service and failure domain are not checked for existence.
#[derive(Debug)]
pub struct Runner {
    pub name: Located<id::Runner>,
    pub service: Located<id::Service>,
    pub domain: Located<id::Domain>,
    pub address: Located<SocketAddr>,
    pub slots: u32,
    pub fencing: bool,
}

/// A service with the limits from its inventory entry.
#[derive(Debug)]
pub struct Service {
    pub name: Located<id::Service>,
    pub kind: Kind,
    pub limits: Option<Limits>,
}

/// A workspace; weight and limits that its entry does not set may come from
/// rules.
#[derive(Debug)]
pub struct Workspace {
    pub name: Located<id::Workspace>,
    pub weight: Option<u32>,
    pub homes: u32,
    pub limits: Option<Limits>,
}

/// An entry of `shares` or `limits`: the value for one workspace.
#[derive(Debug)]
pub struct Rule<T> {
    pub workspace: Located<id::Workspace>,
    pub value: T,
}

/// The items of all files, in the order in which they were read.
#[derive(Debug, Default)]
pub struct Draft {
    pub domains: Vec<(Located<id::Domain>, Domain)>,
    pub services: Vec<Service>,
    pub runners: Vec<Runner>,
    pub workspaces: Vec<Workspace>,
    pub shares: Vec<Rule<u32>>,
    pub limits: Vec<Rule<Limits>>,
    pub share_totals: Vec<Located<u32>>,
}

/// Top-level keys that a file may have.
const SECTIONS: [&str; 7] = [
    "domains",
    "services",
    "runners",
    "workspaces",
    "shares",
    "share_total",
    "limits",
];

impl Draft {
    /// Adds the contents of one file and appends its faults to `faults`.
    pub fn read(&mut self, root: &Node, file: &str, faults: &mut Vec<Fault>) {
        let mut reader = Reader::new(file, faults);
        let reader = &mut reader;
        let fields = reader.fields(root, "the file", &SECTIONS);
        for node in read_section(reader, &fields, "domains") {
            self.domains.extend(read_domain(reader, node));
        }
        for node in read_section(reader, &fields, "services") {
            self.services.extend(read_service(reader, node));
        }
        for node in read_section(reader, &fields, "runners") {
            self.runners.extend(read_runner(reader, node));
        }
        for node in read_section(reader, &fields, "workspaces") {
            self.workspaces.extend(read_workspace(reader, node));
        }
        self.read_rules(reader, &fields);
    }

    fn read_rules(&mut self, reader: &mut Reader<'_>, fields: &Fields<'_>) {
        for (workspace, node) in rule_entries(reader, fields, "shares") {
            let subject = format!("the share of workspace \"{}\"", workspace.value);
            let weight = reader.integer(node, &subject, 1..=MAX_WEIGHT);
            self.shares
                .extend(weight.map(|value| Rule { workspace, value }));
        }
        for (workspace, node) in rule_entries(reader, fields, "limits") {
            let subject = format!("the limits of workspace \"{}\"", workspace.value);
            let value = read_limits(reader, node, &subject);
            self.limits.push(Rule { workspace, value });
        }
        if let Some(node) = fields.get("share_total") {
            let location = reader.location(node.line);
            let total = reader.integer(node, "\"share_total\"", 1..=u32::MAX);
            self.share_totals
                .extend(total.map(|value| Located { location, value }));
        }
    }
}

/// Returns the elements of a top-level list, none if the key is absent.
fn read_section<'n>(reader: &mut Reader<'_>, fields: &Fields<'n>, key: &str) -> &'n [Node] {
    match fields.get(key) {
        Some(node) => reader.list(node, &format!("\"{key}\"")),
        None => &[],
    }
}

/// Returns the entries of a top-level mapping by workspace, none if the key is
/// absent. Entries with an invalid name are reported and left out.
fn rule_entries<'n>(
    reader: &mut Reader<'_>,
    fields: &Fields<'n>,
    key: &str,
) -> Vec<(Located<id::Workspace>, &'n Node)> {
    let Some(node) = fields.get(key) else {
        return Vec::new();
    };
    let entries = reader.entries(node, &format!("\"{key}\""));
    entries
        .into_iter()
        .filter_map(|(line, text, node)| {
            let workspace = reader.name(line, text, id::Workspace::new)?;
            Some((workspace, node))
        })
        .collect()
}

/// Describes a list element for messages, by its field `name` if it has one.
fn describe_item(node: &Node, item_type: &str) -> String {
    if let Value::Map(map) = &node.value
        && let Some((_, name)) = map.iter().find(|(key, _)| key.text == "name")
        && let Value::String(name) = &name.value
    {
        return format!("{item_type} \"{name}\"");
    }
    format!("a {item_type}")
}

fn read_domain(reader: &mut Reader<'_>, node: &Node) -> Option<(Located<id::Domain>, Domain)> {
    let subject = describe_item(node, "failure domain");
    let fields = reader.fields(node, &subject, &["name", "region"]);
    let name = fields.name(reader, "name", id::Domain::new);
    // The name of a region has the same form as the name of a failure domain.
    let region = fields.name(reader, "region", id::Domain::new);
    let region = region?.value.as_str().to_owned();
    Some((name?, Domain { region }))
}

fn read_service(reader: &mut Reader<'_>, node: &Node) -> Option<Service> {
    let subject = describe_item(node, "service");
    let fields = reader.fields(node, &subject, &["name", "kind", "limits"]);
    let name = fields.name(reader, "name", id::Service::new);
    let kind = read_kind(reader, &fields, &subject);
    let limits = fields
        .get("limits")
        .map(|node| read_limits(reader, node, &format!("the limits of {subject}")));
    Some(Service {
        name: name?,
        kind: kind?,
        limits,
    })
}

fn read_kind(reader: &mut Reader<'_>, fields: &Fields<'_>, subject: &str) -> Option<Kind> {
    match fields.string(reader, "kind")? {
        (_, "engine") => Some(Kind::Engine),
        (_, "plain") => Some(Kind::Plain),
        (line, other) => {
            let message =
                format!("{subject} has unknown kind \"{other}\"; expected \"engine\" or \"plain\"");
            reader.report(line, message);
            None
        }
    }
}

fn read_runner(reader: &mut Reader<'_>, node: &Node) -> Option<Runner> {
    const ALLOWED: [&str; 6] = ["name", "service", "domain", "address", "slots", "fencing"];
    let subject = describe_item(node, "runner");
    let fields = reader.fields(node, &subject, &ALLOWED);
    let name = fields.name(reader, "name", id::Runner::new);
    let service = fields.name(reader, "service", id::Service::new);
    let domain = fields.name(reader, "domain", id::Domain::new);
    let address = read_address(reader, &fields, &subject);
    let slots = match fields.require(reader, "slots") {
        Some(_) => fields.integer(reader, "slots", 1..=MAX_SLOTS),
        None => None,
    };
    let fencing = fields.boolean(reader, "fencing");
    Some(Runner {
        name: name?,
        service: service?,
        domain: domain?,
        address: address?,
        slots: slots?,
        fencing,
    })
}

fn read_address(
    reader: &mut Reader<'_>,
    fields: &Fields<'_>,
    subject: &str,
) -> Option<Located<SocketAddr>> {
    let (line, text) = fields.string(reader, "address")?;
    let is_connectable =
        |address: &SocketAddr| address.port() != 0 && !address.ip().is_unspecified();
    let Some(value) = text.parse().ok().filter(is_connectable) else {
        let message = format!(
            "{subject} has invalid address \"{text}\"; expected IP:PORT with a port other than 0 and an IP other than 0.0.0.0 or ::"
        );
        reader.report(line, message);
        return None;
    };
    Some(Located {
        location: reader.location(line),
        value,
    })
}

fn read_workspace(reader: &mut Reader<'_>, node: &Node) -> Option<Workspace> {
    let subject = describe_item(node, "workspace");
    let fields = reader.fields(node, &subject, &["name", "weight", "homes", "limits"]);
    let name = fields.name(reader, "name", id::Workspace::new);
    let weight = fields.integer(reader, "weight", 1..=MAX_WEIGHT);
    let homes = fields.integer(reader, "homes", 1..=MAX_HOMES).unwrap_or(1);
    let limits = fields
        .get("limits")
        .map(|node| read_limits(reader, node, &format!("the limits of {subject}")));
    Some(Workspace {
        name: name?,
        weight,
        homes,
        limits,
    })
}

fn read_limits(reader: &mut Reader<'_>, node: &Node, subject: &str) -> Limits {
    let fields = reader.fields(node, subject, &["rate", "concurrency", "queue"]);
    let mut limit = |key| fields.integer(reader, key, 1..=MAX_LIMIT);
    Limits {
        rate: limit("rate"),
        concurrency: limit("concurrency"),
        queue: limit("queue"),
    }
}
