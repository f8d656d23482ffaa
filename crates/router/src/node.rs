//! The actor that holds the state of the router.

use std::collections::HashMap;
use std::sync::Arc;

use balsamchute_dispatch::core::Core;
use balsamchute_dispatch::event::{Action, Command, Event, Ticket};
use balsamchute_fleet::config::{self, Offer};
use balsamchute_inventory::document;
use balsamchute_wire::config::Document;
use balsamchute_wire::exchange::Frame;
use crossbeam_channel::Sender;
use stakker::CX;

use crate::claims::Claims;
use crate::input::{Input, Query, Source, Subject};
use crate::peers::Peers;
use crate::poll::Polls;
use crate::work::Work;

/// The actor's parts.
pub(crate) struct Node {
    work: Work,
    core: Core,
    store: config::Store,
    peers: Peers,
    polls: Polls,
    claims: Claims,
    commands: HashMap<Ticket, Sender<Command>>,
    exchanges: HashMap<u64, Sender<Frame>>,
    next_exchange: u64,
    actions: Vec<Action>,
}

impl Node {
    /// Creates the actor.
    pub fn init(
        _: CX![],
        work: Work,
        core: Core,
        peers: Peers,
        polls: Polls,
        claims: Claims,
    ) -> Option<Self> {
        let store = config::Store::new(work.now());
        Some(Node {
            work,
            core,
            store,
            peers,
            polls,
            claims,
            commands: HashMap::new(),
            exchanges: HashMap::new(),
            next_exchange: 0,
            actions: Vec::new(),
        })
    }

    /// Takes in one input and carries out what it leads to.
    pub fn input(&mut self, cx: CX![], input: Input) {
        match input {
            Input::Arrive(arrival, commands) => {
                self.commands.insert(arrival.ticket, commands);
                self.event(cx, Event::Arrive(arrival));
            }
            Input::Event(event) => {
                match &event {
                    Event::Exchanged(frame) => {
                        self.store.fetch_from(frame.config);
                    }
                    Event::Forwarded(ticket) => {
                        self.commands.remove(ticket);
                    }
                    _ => {}
                }
                self.event(cx, event);
            }
            Input::Exchange(frame, reply) => self.exchange(cx, frame, reply),
            Input::Document(source, document) => {
                if source == Source::Platform {
                    self.store.platform_answered(document.version);
                }
                self.document(cx, document);
            }
            Input::Unchanged => {
                self.store.platform_answered(self.store.stamp().version);
                self.check_ready(cx);
            }
            Input::Claims(batch, reply) => self.claims.serve(batch, reply),
            Input::Query(query) => self.query(query),
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, cx: CX![]) {
        self.check_ready(cx);
        self.event(cx, Event::Tick);
    }

    fn event(&mut self, cx: CX![], event: Event) {
        let now = self.work.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(cx, action);
        }
        self.actions = actions;
    }

    fn act(&mut self, cx: CX![], action: Action) {
        match action {
            Action::Tell(ticket, command) => self.tell(ticket, command),
            Action::Ask(ticket, ask) => self.claims.ask(&self.core, ticket, ask),
            Action::Settle(ask) => self.claims.settle(&self.core, ask),
            Action::Exchange(address, frame) => self.peers.exchange(address, frame),
            Action::Answer(number, frame) => {
                if let Some(reply) = self.exchanges.remove(&number) {
                    let _ = reply.send(frame);
                }
            }
            Action::Send(address, to, batch) => self.peers.send(address, to, batch),
            Action::Fetch(address) => self.peers.fetch(address),
            Action::Cancel(ticket) => self.work.cancels.cancel(ticket),
            Action::ReadList => self.polls.read_list(),
            Action::Watch(runners) => self.polls.watch(runners),
            Action::Stopped if self.claims.is_open() => {
                // Told again at the next tick, or ended by the grace time.
            }
            Action::Stopped => cx.stop(),
        }
    }

    /// Passes a command to the thread of a request.
    fn tell(&mut self, ticket: Ticket, command: Command) {
        let last = matches!(command, Command::End(_) | Command::Replay(_));
        if let Some(commands) = self.commands.get(&ticket) {
            let _ = commands.send(command);
        }
        if last {
            self.commands.remove(&ticket);
        }
    }

    fn exchange(&mut self, cx: CX![], frame: Frame, reply: Sender<Frame>) {
        self.next_exchange += 1;
        self.exchanges.insert(self.next_exchange, reply);
        self.store.fetch_from(frame.config);
        self.event(cx, Event::Exchange(self.next_exchange, frame));
    }

    /// Puts a configuration into force if it is newer and sound.
    fn document(&mut self, cx: CX![], document: Document) {
        let version = document.version;
        match self.store.offer(document) {
            Offer::Newer => {}
            Offer::Same | Offer::Older => return self.check_ready(cx),
            Offer::Conflict => {
                log::error!("config: two texts for version {version}. The first one stays.");
                return;
            }
        }
        self.check_ready(cx);
    }

    /// Applies the stored configuration once this router may take callers.
    fn check_ready(&mut self, cx: CX![]) {
        let document = self.store.document();
        let behind = document.version > self.core.stamp().version;
        if !behind || !(self.core.is_serving() || self.store.ready(self.work.now())) {
            return;
        }
        match document::parse(&document.text, "config/current") {
            Ok(config) => {
                log::info!("config: version {} is in force.", document.version);
                let stamp = self.store.stamp();
                let names = (config.workspaces.keys(), config.services.keys());
                self.work.metrics.add_names(names.0, names.1);
                self.event(cx, Event::Config(stamp, Arc::new(config)));
            }
            Err(faults) => {
                for fault in faults {
                    log::error!(
                        "config: version {} is not applied. {fault}",
                        document.version
                    );
                }
            }
        }
    }

    fn query(&mut self, query: Query) {
        match query {
            Query::Address(workspace, reply) => {
                drop(reply.send(self.core.address(self.work.now(), &workspace)));
            }
            Query::Ready(reply) => drop(reply.send(self.core.is_serving())),
            Query::Status(reply) => drop(reply.send(self.core.status())),
            Query::Explain(subject, reply) => {
                let explanation = self.core.explain(|request, workspace, key| match &subject {
                    Subject::Request(wanted) => request == wanted,
                    Subject::Workspace(wanted) => workspace == wanted,
                    Subject::Key(wanted) => key == Some(wanted),
                });
                let _ = reply.send(explanation);
            }
            Query::Key(workspace, key, reply) => drop(reply.send(self.core.key(&workspace, &key))),
            Query::Router(instance, incarnation, reply) => {
                let router = self.core.router(&instance, incarnation);
                let _ = reply.send(router.map(|router| router.callers));
            }
            Query::Log(workspace, key, reply) => {
                self.claims.look(&self.core, workspace, key, reply);
            }
            Query::Quarantine(reply) => {
                drop(reply.send(self.core.quarantine(self.work.now())));
            }
            Query::Release(fingerprint, reply) => {
                let known = self.core.release_suspect(self.work.now(), fingerprint);
                let _ = reply.send(known);
            }
            Query::Stamp(reply) => drop(reply.send(self.core.stamp())),
            Query::Document(reply) => drop(reply.send(self.store.document().clone())),
        }
    }
}
