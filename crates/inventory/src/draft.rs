//! What the files say, before the parts are checked against one another.

use std::net::SocketAddr;

use balsamchute_base::id;

use crate::config::{Domain, Kind, Limits};
use crate::fault::Fault;
use crate::fields::{Fields, Placed, Reader};
use crate::node::{Node, Value};

/// Most requests that one runner may run at the same time.
const MAX_SLOTS: u32 = 100_000;

/// Greatest weight of a workspace.
const MAX_WEIGHT: u32 = 1_000_000;

/// Most home routers of a workspace.
const MAX_HOMES: u32 = 64;

/// Greatest limit on rate, concurrency or queue.
const MAX_LIMIT: u32 = 1_000_000;

/// A runner whose references are not checked yet.
#[derive(Debug)]
pub struct Runner {
    pub name: Placed<id::Runner>,
    pub service: Placed<id::Service>,
    pub domain: Placed<id::Domain>,
    pub address: Placed<SocketAddr>,
    pub slots: u32,
    pub fencing: bool,
}

/// A service.
#[derive(Debug)]
pub struct Service {
    pub name: Placed<id::Service>,
    pub kind: Kind,
    pub limits: Option<Limits>,
}

/// A workspace whose weight may stand in the rules.
#[derive(Debug)]
pub struct Workspace {
    pub name: Placed<id::Workspace>,
    pub weight: Option<u32>,
    pub homes: u32,
    pub limits: Option<Limits>,
}

/// A rule for one workspace.
#[derive(Debug)]
pub struct Rule<T> {
    pub workspace: Placed<id::Workspace>,
    pub value: T,
}

/// The parts of all files.
#[derive(Debug, Default)]
pub struct Draft {
    pub domains: Vec<(Placed<id::Domain>, Domain)>,
    pub services: Vec<Service>,
    pub runners: Vec<Runner>,
    pub workspaces: Vec<Workspace>,
    pub shares: Vec<Rule<u32>>,
    pub limits: Vec<Rule<Limits>>,
    pub totals: Vec<Placed<u32>>,
}

/// The sections that a file may have.
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
    /// Adds what one file says.
    pub fn read(&mut self, root: &Node, file: &str, faults: &mut Vec<Fault>) {
        let mut reader = Reader::new(file, faults);
        let reader = &mut reader;
        let fields = reader.fields(root, "the file", &SECTIONS);
        for node in section(reader, &fields, "domains") {
            self.domains.extend(domain(reader, node));
        }
        for node in section(reader, &fields, "services") {
            self.services.extend(service(reader, node));
        }
        for node in section(reader, &fields, "runners") {
            self.runners.extend(runner(reader, node));
        }
        for node in section(reader, &fields, "workspaces") {
            self.workspaces.extend(workspace(reader, node));
        }
        self.read_rules(reader, &fields);
    }

    fn read_rules(&mut self, reader: &mut Reader<'_>, fields: &Fields<'_>) {
        for (workspace, node) in rules(reader, fields, "shares") {
            let what = format!("the share of workspace \"{}\"", workspace.value);
            let weight = reader.number(node, &what, 1..=MAX_WEIGHT);
            self.shares
                .extend(weight.map(|value| Rule { workspace, value }));
        }
        for (workspace, node) in rules(reader, fields, "limits") {
            let what = format!("the limits of workspace \"{}\"", workspace.value);
            let value = limits(reader, node, &what);
            self.limits.push(Rule { workspace, value });
        }
        if let Some(node) = fields.get("share_total") {
            let place = reader.place(node.line);
            let total = reader.number(node, "\"share_total\"", 1..=u32::MAX);
            self.totals
                .extend(total.map(|value| Placed { place, value }));
        }
    }
}

fn section<'n>(reader: &mut Reader<'_>, fields: &Fields<'n>, name: &str) -> &'n [Node] {
    match fields.get(name) {
        Some(node) => reader.list(node, &format!("\"{name}\"")),
        None => &[],
    }
}

fn rules<'n>(
    reader: &mut Reader<'_>,
    fields: &Fields<'n>,
    name: &str,
) -> Vec<(Placed<id::Workspace>, &'n Node)> {
    let Some(node) = fields.get(name) else {
        return Vec::new();
    };
    let entries = reader.entries(node, &format!("\"{name}\""));
    entries
        .into_iter()
        .filter_map(|(line, text, node)| {
            let workspace = reader.name(line, text, id::Workspace::new)?;
            Some((workspace, node))
        })
        .collect()
}

/// Names an element of a list by its field `name`, if it has one.
fn describe(node: &Node, kind: &str) -> String {
    if let Value::Map(map) = &node.value
        && let Some((_, name)) = map.iter().find(|(key, _)| key.text == "name")
        && let Value::Text(name) = &name.value
    {
        return format!("{kind} \"{name}\"");
    }
    format!("a {kind}")
}

fn domain(reader: &mut Reader<'_>, node: &Node) -> Option<(Placed<id::Domain>, Domain)> {
    let what = describe(node, "failure domain");
    let fields = reader.fields(node, &what, &["name", "region"]);
    let name = fields.name(reader, "name", id::Domain::new);
    let region = fields.name(reader, "region", id::Domain::new);
    let region = region?.value.as_str().to_owned();
    Some((name?, Domain { region }))
}

fn service(reader: &mut Reader<'_>, node: &Node) -> Option<Service> {
    let what = describe(node, "service");
    let fields = reader.fields(node, &what, &["name", "kind", "limits"]);
    let name = fields.name(reader, "name", id::Service::new);
    let kind = kind(reader, &fields, &what);
    let limits = fields
        .get("limits")
        .map(|node| limits(reader, node, &format!("the limits of {what}")));
    Some(Service {
        name: name?,
        kind: kind?,
        limits,
    })
}

fn kind(reader: &mut Reader<'_>, fields: &Fields<'_>, what: &str) -> Option<Kind> {
    match fields.text(reader, "kind")? {
        (_, "engine") => Some(Kind::Engine),
        (_, "plain") => Some(Kind::Plain),
        (line, other) => {
            let message =
                format!("{what} has the kind \"{other}\"; it must be \"engine\" or \"plain\"");
            reader.fault(line, message);
            None
        }
    }
}

fn runner(reader: &mut Reader<'_>, node: &Node) -> Option<Runner> {
    const ALLOWED: [&str; 6] = ["name", "service", "domain", "address", "slots", "fencing"];
    let what = describe(node, "runner");
    let fields = reader.fields(node, &what, &ALLOWED);
    let name = fields.name(reader, "name", id::Runner::new);
    let service = fields.name(reader, "service", id::Service::new);
    let domain = fields.name(reader, "domain", id::Domain::new);
    let address = address(reader, &fields, &what);
    let slots = match fields.require(reader, "slots") {
        Some(_) => fields.number(reader, "slots", 1..=MAX_SLOTS),
        None => None,
    };
    let fencing = fields.flag(reader, "fencing");
    Some(Runner {
        name: name?,
        service: service?,
        domain: domain?,
        address: address?,
        slots: slots?,
        fencing,
    })
}

fn address(reader: &mut Reader<'_>, fields: &Fields<'_>, what: &str) -> Option<Placed<SocketAddr>> {
    let (line, text) = fields.text(reader, "address")?;
    let usable = |address: &SocketAddr| address.port() != 0 && !address.ip().is_unspecified();
    let Some(value) = text.parse().ok().filter(usable) else {
        let message = format!("{what} has the address \"{text}\"; it must be IP:PORT");
        reader.fault(line, message);
        return None;
    };
    Some(Placed {
        place: reader.place(line),
        value,
    })
}

fn workspace(reader: &mut Reader<'_>, node: &Node) -> Option<Workspace> {
    let what = describe(node, "workspace");
    let fields = reader.fields(node, &what, &["name", "weight", "homes", "limits"]);
    let name = fields.name(reader, "name", id::Workspace::new);
    let weight = fields.number(reader, "weight", 1..=MAX_WEIGHT);
    let homes = fields.number(reader, "homes", 1..=MAX_HOMES).unwrap_or(1);
    let limits = fields
        .get("limits")
        .map(|node| limits(reader, node, &format!("the limits of {what}")));
    Some(Workspace {
        name: name?,
        weight,
        homes,
        limits,
    })
}

fn limits(reader: &mut Reader<'_>, node: &Node, what: &str) -> Limits {
    let fields = reader.fields(node, what, &["rate", "concurrency", "queue"]);
    let mut number = |name| fields.number(reader, name, 1..=MAX_LIMIT);
    Limits {
        rate: number("rate"),
        concurrency: number("concurrency"),
        queue: number("queue"),
    }
}
