//! A few routers' decisions joined by perfect or lossy message passing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use balsamchute_base::prelude::*;
use balsamchute_dispatch::core::Core;
use balsamchute_dispatch::event::{Action, Arrival, Command, Ending, Event, Finish, Ticket};
use balsamchute_dispatch::settings::Settings;
use balsamchute_dispatch::view::Address;
use balsamchute_inventory::config::Config;
use balsamchute_inventory::document;
use balsamchute_wire::claim::{Ask, Verdict};
use balsamchute_wire::config::Stamp;
use balsamchute_wire::exchange::{Member, Phase};
use balsamchute_wire::forward::Head;
use balsamchute_wire::message::{Batch, Message};

/// Two domains, one engine service with two runners of two slots, one plain
/// service with one runner, three workspaces.
pub const CONFIG: &str = "
domains: [{name: d1, region: r}, {name: d2, region: r}]
services: [{name: draft, kind: engine}, {name: book, kind: plain}]
runners:
- {name: e1, service: draft, domain: d1, address: \"127.0.0.1:9101\", slots: 2, fencing: true}
- {name: e2, service: draft, domain: d2, address: \"127.0.0.1:9102\", slots: 2, fencing: false}
- {name: p1, service: book, domain: d1, address: \"127.0.0.1:9103\", slots: 1, fencing: false}
workspaces: [{name: w1, weight: 1}, {name: w2, weight: 2}, {name: w3, weight: 4}]
";

/// Routers and what they told the threads of requests.
pub struct Net {
    pub now: Time,
    pub cores: BTreeMap<Instance, Core>,
    pub told: BTreeMap<Ticket, Vec<(Instance, Command)>>,
    pub asked: Vec<(Instance, Ticket, Ask)>,
    pub cut: Vec<Instance>,
    /// Readings of the platform's list that were asked for.
    pub lists: usize,
    /// Slots that were lent to another router.
    pub grants: usize,
    /// Requests whose attempts were to be cancelled.
    pub cancelled: Vec<Ticket>,
    pub stopped: Vec<Instance>,
    /// The configuration that each router was given last.
    configs: BTreeMap<Instance, (Stamp, Arc<Config>)>,
    /// Who awaits the answer to an exchange, by its number.
    exchanges: BTreeMap<u64, Instance>,
    addresses: BTreeMap<SocketAddr, Instance>,
}

impl Net {
    /// Creates `count` routers that have the configuration in force.
    pub fn new(count: u16) -> Self {
        let mut net = Net {
            now: Time(1_000_000),
            cores: BTreeMap::new(),
            told: BTreeMap::new(),
            asked: Vec::new(),
            cut: Vec::new(),
            lists: 0,
            grants: 0,
            cancelled: Vec::new(),
            stopped: Vec::new(),
            configs: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            addresses: BTreeMap::new(),
        };
        for index in 0..count {
            let member = member(index, net.now);
            net.addresses.insert(member.inner, member.instance.clone());
            let core = Core::new(member.clone(), Settings::default(), u64::from(index));
            net.cores.insert(member.instance, core);
        }
        let config = document::parse(CONFIG, "test").expect("the test's configuration is sound");
        let config = Arc::new(config);
        let stamp = Stamp {
            version: 1,
            ..Stamp::default()
        };
        for name in net.names() {
            net.event(&name, Event::Config(stamp, Arc::clone(&config)));
        }
        net.introduce();
        net.pass(3000);
        net
    }

    /// Lets every router know every other one.
    fn introduce(&mut self) {
        let members: Vec<Member> = self.cores.values().map(|core| core.me().clone()).collect();
        for name in self.names() {
            for member in &members {
                let frame = balsamchute_wire::exchange::Frame {
                    from: member.instance.clone(),
                    config: Stamp::default(),
                    members: vec![member.clone()],
                    doubts: Vec::new(),
                    leaving: Vec::new(),
                    suspects: Vec::new(),
                };
                if member.instance != name {
                    self.event(&name, Event::Exchanged(frame));
                }
            }
        }
    }

    pub fn names(&self) -> Vec<Instance> {
        self.cores.keys().cloned().collect()
    }

    /// Lets time pass in ticks of 50 ms.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 50 {
            self.now = self.now + Span(50);
            for name in self.names() {
                // A router that is cut off reads neither the list nor its peers.
                if !self.cut.contains(&name) {
                    self.event(&name, Event::Listed(self.now, Vec::new()));
                }
                self.event(&name, Event::Tick);
            }
        }
    }

    /// Gives a router an event and carries out all that follows.
    pub fn event(&mut self, name: &Instance, event: Event) {
        let mut waiting = vec![(name.clone(), event)];
        while let Some((at, event)) = waiting.pop() {
            let mut actions = Vec::new();
            let now = self.now;
            let Some(core) = self.cores.get_mut(&at) else {
                continue;
            };
            if let Event::Config(stamp, config) = &event {
                let given = (*stamp, Arc::clone(config));
                self.configs.insert(at.clone(), given);
            }
            core.handle(now, event, &mut actions);
            for action in actions {
                self.act(&at, action, &mut waiting);
            }
        }
    }

    fn act(&mut self, at: &Instance, action: Action, waiting: &mut Vec<(Instance, Event)>) {
        match action {
            Action::Tell(ticket, command) => {
                self.told
                    .entry(ticket)
                    .or_default()
                    .push((at.clone(), command));
            }
            Action::Cancel(ticket) => self.cancelled.push(ticket),
            Action::ReadList => self.lists += 1,
            Action::Ask(ticket, ask) => self.asked.push((at.clone(), ticket, ask)),
            Action::Stopped => self.stopped.push(at.clone()),
            Action::Exchange(address, frame) => match self.reach(at, address) {
                Some(to) => {
                    let number = self.exchanges.len() as u64;
                    self.exchanges.insert(number, at.clone());
                    waiting.push((to, Event::Exchange(number, frame)));
                }
                None => waiting.push((at.clone(), Event::Unreachable(address, false))),
            },
            Action::Answer(number, frame) => {
                let asker = self.exchanges[&number].clone();
                waiting.push((asker, Event::Exchanged(frame)));
            }
            Action::Fetch(address) => {
                let given = self.reach(at, address).map(|to| self.configs[&to].clone());
                if let Some((stamp, config)) = given {
                    waiting.push((at.clone(), Event::Config(stamp, config)));
                }
            }
            Action::Send(address, to, batch) => self.deliver(at, address, to, batch, waiting),
            _ => {}
        }
    }

    fn deliver(
        &mut self,
        at: &Instance,
        address: SocketAddr,
        to: Instance,
        batch: Batch,
        waiting: &mut Vec<(Instance, Event)>,
    ) {
        let is_grant = |message: &&Message| matches!(message, Message::Grant { .. });
        self.grants += batch.messages.iter().filter(is_grant).count();
        match self.reach(at, address) {
            Some(to) => waiting.push((to, Event::Messages(batch))),
            None => waiting.push((at.clone(), Event::Undelivered(to, batch.messages))),
        }
    }

    fn reach(&self, from: &Instance, address: SocketAddr) -> Option<Instance> {
        let to = self.addresses.get(&address)?;
        let open = !self.cut.contains(from) && !self.cut.contains(to);
        (open && self.cores.contains_key(to)).then(|| to.clone())
    }

    /// Sends a request to a router.
    pub fn arrive(&mut self, name: &Instance, ticket: Ticket, head: Head) {
        self.event(
            name,
            Event::Arrive(Arrival {
                ticket,
                head,
                digest: 7,
            }),
        );
    }

    /// Returns the answer to a caller who asks for addresses.
    pub fn address(&mut self, name: &Instance, workspace: &str) -> Address {
        let workspace = Workspace::new(workspace).expect("a name");
        let core = self.cores.get_mut(name).expect("a router");
        core.address(self.now, &workspace)
    }

    /// Returns a key bound to a router.
    pub fn key(&mut self, name: &Instance) -> Key {
        self.address(name, "w1").key
    }

    /// Answers the last claim asked for.
    pub fn verdict(&mut self, verdict: Verdict) {
        let (at, ticket, _) = self.asked.pop().expect("a claim was asked for");
        self.event(&at, Event::Verdict(ticket, verdict));
    }

    /// Returns the last command about a request and the router that gave it.
    pub fn last(&self, ticket: Ticket) -> Option<&(Instance, Command)> {
        self.told.get(&ticket)?.last()
    }

    /// Ends the attempt of a request.
    pub fn finish(&mut self, ticket: Ticket, ending: Ending, tokens: u64) {
        let (at, _) = self.last(ticket).expect("the request was started").clone();
        let finish = Finish {
            ticket,
            ending,
            cost: Cost(tokens),
            tokens,
            digest: String::new(),
            answer: None,
        };
        self.event(&at, Event::Finish(finish));
    }
}

fn member(index: u16, now: Time) -> Member {
    Member {
        instance: Instance::new(&format!("r{index}")).expect("a name"),
        incarnation: Incarnation(now.0),
        beat: 0,
        phase: Phase::Starting,
        domain: Domain::new("d1").expect("a name"),
        callers: SocketAddr::from(([127, 0, 0, 1], 7000 + index)),
        inner: SocketAddr::from(([127, 0, 0, 1], 7100 + index)),
        config: 0,
        services: Vec::new(),
    }
}

/// Returns the head of a request; with a key it is non-idempotent.
pub fn head(workspace: &str, service: &str, key: Option<&str>) -> Head {
    Head {
        request: Request::new("q1").expect("a name"),
        workspace: Workspace::new(workspace).expect("a name"),
        service: Service::new(service).expect("a name"),
        key: key.map(|key| Key::new(key).expect("a key")),
        deadline: Span::from_secs(30),
        hint: None,
        prefix: None,
        resend: false,
        // No hops are left: the request is queued where it is sent.
        hops: 2,
    }
}
