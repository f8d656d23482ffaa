//! What each role of a router needs in a fleet of a given size, worked out from
//! the slopes and the settings in force.

use balsamchute_claim::shard::SHARDS;
use balsamchute_claim::writer;
use balsamchute_dispatch::settings::Settings;
use serde::Serialize;

use super::page::number;
use super::probe::Slope;
use super::size::Size;
use crate::report::Table;

/// Seconds of a day.
const DAY: f64 = 86_400.0;

/// Bytes of a mebibyte.
const MIB: f64 = 1_048_576.0;

/// Most bytes a second that a node may spend on control.
const BYTES_LIMIT: f64 = 3_000.0;

/// Most of a core that a node may spend on control.
const CORE_LIMIT: f64 = 0.022;

/// Most memory that a node may spend on control, in bytes.
const MEMORY_LIMIT: f64 = 64.0 * MIB;

/// What one role needs on one node.
#[derive(Clone, Debug, Serialize)]
pub struct Role {
    /// The role.
    pub role: &'static str,
    /// The mechanism that carries it.
    pub mechanism: &'static str,
    /// State in bytes.
    pub state: f64,
    /// Messages sent a second.
    pub messages: f64,
    /// Bytes sent a second.
    pub bytes: f64,
    /// Share of a core.
    pub core: f64,
}

/// Looks figures up in slopes.
struct Figures<'a>(&'a [Slope]);

impl Figures<'_> {
    fn find(&self, name: &str) -> Option<&Slope> {
        self.0.iter().find(|slope| slope.name == name)
    }

    /// The figure measured at the full size.
    fn full(&self, name: &str) -> f64 {
        self.find(name).map_or(0.0, Slope::full)
    }

    /// The figure on the line at a size.
    fn at(&self, name: &str, size: f64) -> f64 {
        self.find(name)
            .map_or(0.0, |slope| slope.line.at(size).max(0.0))
    }
}

/// Returns the roles of a node in a fleet of `size`.
#[must_use]
pub fn roles(slopes: &[Slope], size: &Size) -> Vec<Role> {
    let figures = Figures(slopes);
    let nodes = size.nodes as f64;
    let requests = size.requests as f64 / nodes;
    vec![
        home(&figures, requests),
        owner(&figures, size, requests),
        member(&figures, size),
        placement(&figures, size),
        relay(&figures, size),
        claims(&figures),
        metrics(&figures),
    ]
}

fn home(figures: &Figures<'_>, requests: f64) -> Role {
    Role {
        role: "home",
        mechanism: "start-time fair queue of its part of the workspaces",
        state: figures.full("queue-memory"),
        messages: 0.0,
        bytes: 0.0,
        core: requests * figures.full("queue-micros") / 1e6,
    }
}

fn owner(figures: &Figures<'_>, size: &Size, requests: f64) -> Role {
    let owned = size.runners as f64 / size.nodes as f64;
    Role {
        role: "owner",
        mechanism: "lender of its part of the runners",
        state: figures.at("lender-memory", owned),
        messages: 0.0,
        bytes: 0.0,
        core: requests * figures.full("lender-micros") / 1e6,
    }
}

fn member(figures: &Figures<'_>, size: &Size) -> Role {
    let settings = Settings::default();
    let nodes = size.nodes as usize;
    let entries = settings.entries(nodes) as f64;
    let beat = settings.beat(nodes).as_millis() as f64 / 1000.0;
    // It sends a request of its own and answers one of another in each period.
    let frame = figures.at("frame-bytes", entries);
    let http = figures.at("http-bytes", frame);
    let frames = 2.0 * settings.fanout as f64 / beat;
    Role {
        role: "member",
        mechanism: "gossip of a few entries, doubts for the silent",
        state: figures.full("members-memory"),
        messages: frames,
        bytes: frames * (frame + http / 2.0),
        core: frames * figures.at("frame-micros", entries) / 1e6
            + 20.0 * figures.full("expire-micros") / 1e6,
    }
}

fn placement(figures: &Figures<'_>, size: &Size) -> Role {
    // A restart is a change of members when it goes and one when it is back.
    let changes = 2.0 * size.restarts as f64 / DAY;
    Role {
        role: "homes and owners",
        mechanism: "rendezvous hashing, worked out at a change of members",
        state: figures.full("placement-memory"),
        messages: 0.0,
        bytes: 0.0,
        core: changes * figures.full("placement-millis") / 1e3,
    }
}

fn relay(figures: &Figures<'_>, size: &Size) -> Role {
    let changes = size.changes as f64 / DAY;
    Role {
        role: "config relay",
        mechanism: "whole text by version, from the platform or a peer",
        state: figures.full("config-bytes") + figures.full("config-parse-memory"),
        messages: changes,
        bytes: changes * figures.full("config-bytes"),
        core: changes * figures.full("config-parse-millis") / 1e3,
    }
}

fn claims(figures: &Figures<'_>) -> Role {
    let settings = writer::Settings::default();
    let writes = 1000.0 / settings.interval.as_millis() as f64;
    Role {
        role: "claim log writer",
        mechanism: "one shard, an entry of one claim each 100 ms",
        state: figures.full("claim-memory"),
        messages: writes,
        bytes: writes * figures.at("claim-bytes", 1.0),
        core: 0.0,
    }
}

fn metrics(figures: &Figures<'_>) -> Role {
    Role {
        role: "metrics",
        mechanism: "histograms of the first 64 workspaces, the rest under one label",
        state: figures.full("metrics-memory"),
        messages: 0.0,
        bytes: 0.0,
        core: 0.0,
    }
}

/// Returns the roles as a table, with their sum and the limits.
#[must_use]
pub fn table(roles: &[Role]) -> Table {
    let heads = [
        "role",
        "mechanism",
        "state MiB",
        "messages/s",
        "bytes/s",
        "core",
    ];
    let mut table = Table::new(&heads);
    let mut row = |name: &str, mechanism: &str, figures: [f64; 4]| {
        let [state, messages, bytes, core] = figures;
        table.row([
            name.to_owned(),
            mechanism.to_owned(),
            number(state / MIB),
            number(messages),
            number(bytes),
            format!("{}%", number(core * 100.0)),
        ]);
    };
    for role in roles {
        let figures = [role.state, role.messages, role.bytes, role.core];
        row(role.role, role.mechanism, figures);
    }
    let sum = |figure: fn(&Role) -> f64| roles.iter().map(figure).sum::<f64>();
    let all = [
        sum(|role| role.state),
        sum(|role| role.messages),
        sum(|role| role.bytes),
        sum(|role| role.core),
    ];
    row("sum", "", all);
    let limits = [MEMORY_LIMIT, 0.0, BYTES_LIMIT, CORE_LIMIT];
    row("limit", "of the letter; none for messages", limits);
    table
}

/// Returns whether a node stays within the limits in every role together.
#[must_use]
pub fn fits(roles: &[Role]) -> bool {
    let sum = |figure: fn(&Role) -> f64| roles.iter().map(figure).sum::<f64>();
    sum(|role| role.state) <= MEMORY_LIMIT
        && sum(|role| role.bytes) <= BYTES_LIMIT
        && sum(|role| role.core) <= CORE_LIMIT
}

/// Calls to the platform, summed over the fleet.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Calls {
    /// Reads of the list and of the configuration a second.
    pub reads: f64,
    /// Writes of the claim log a second, at most.
    pub writes: f64,
    /// Watches that wait at any time.
    pub watches: f64,
    /// Watches begun a second.
    pub watches_begun: f64,
}

/// Returns the calls of a fleet of `size`.
#[must_use]
pub fn calls(size: &Size) -> Calls {
    let settings = Settings::default();
    let writer = writer::Settings::default();
    let nodes = size.nodes as f64;
    let lists = nodes * 1000.0 / settings.list.as_millis() as f64;
    let changed = nodes * size.changes as f64 / DAY;
    let entries = f64::from(SHARDS) * 1000.0 / writer.interval.as_millis() as f64;
    let snapshots = entries / writer.snapshot_entries as f64;
    let waits = nodes * 1000.0 / WATCH_WAIT_MS;
    Calls {
        reads: lists,
        writes: entries + snapshots,
        watches: nodes,
        watches_begun: waits + changed,
    }
}

/// How long a router's watch waits, in milliseconds.
const WATCH_WAIT_MS: f64 = 20_000.0;

/// Returns the calls as a table.
#[must_use]
pub fn calls_table(calls: &Calls) -> Table {
    let mut table = Table::new(&["calls of the fleet to the platform", "a second", "limit"]);
    let reads = calls.reads + calls.watches_begun;
    table.row(["reads of the list", &number(calls.reads), ""]);
    table.row([
        "watches begun (each waits 20 s or to the next change)",
        &number(calls.watches_begun),
        "",
    ]);
    table.row(["reads and watches together", &number(reads), "2,000"]);
    table.row([
        "writes of claims, at most",
        &number(calls.writes),
        "several hundred",
    ]);
    table
}
