//! Actor that owns the state of the router.

use std::collections::HashMap;
use std::sync::Arc;

use balsamchute_dispatch::dispatcher::Dispatcher;
use balsamchute_dispatch::event::{Action, Command, Event, RequestNumber};
use balsamchute_fleet::config::{self, Offer};
use balsamchute_inventory::document;
use balsamchute_wire::config::Document;
use balsamchute_wire::exchange::Frame;
use crossbeam_channel::Sender;
use stakker::CX;

use crate::claims::Claims;
use crate::context::Context;
use crate::input::{Input, Query, Source, Subject};
use crate::peers::Peers;
use crate::poll::Poller;

/// State of the router, and the parts of the process that its actions go to.
pub(crate) struct Node {
    context: Context,
    dispatcher: Dispatcher,
    config_store: config::Store,
    peers: Peers,
    poller: Poller,
    claims: Claims,
    command_senders: HashMap<RequestNumber, Sender<Command>>,
    exchange_replies: HashMap<u64, Sender<Frame>>,
    last_exchange_id: u64,
    action_buffer: Vec<Action>,
}

impl Node {
    /// Creates the actor without a configuration. The first argument is the
    /// actor context that `stakker` passes to every initializer.
    pub fn init(
        _: CX![],
        context: Context,
        dispatcher: Dispatcher,
        peers: Peers,
        poller: Poller,
        claims: Claims,
    ) -> Option<Self> {
        let config_store = config::Store::new(context.now());
        Some(Node {
            context,
            dispatcher,
            config_store,
            peers,
            poller,
            claims,
            command_senders: HashMap::new(),
            exchange_replies: HashMap::new(),
            last_exchange_id: 0,
            action_buffer: Vec::new(),
        })
    }

    /// Handles one input and executes the actions that result from it.
    pub fn handle_input(&mut self, cx: CX![], input: Input) {
        match input {
            Input::RequestArrived(arrival, sender) => {
                self.command_senders.insert(arrival.request_number, sender);
                self.handle_event(cx, Event::RequestArrived(arrival));
            }
            Input::Event(event) => {
                match &event {
                    Event::ExchangeAnswered(frame) => {
                        self.config_store.observe_peer(frame.config);
                    }
                    Event::ForwardEnded(request_number) => {
                        self.command_senders.remove(request_number);
                    }
                    _ => {}
                }
                self.handle_event(cx, event);
            }
            Input::ExchangeReceived(frame, reply) => self.handle_exchange(cx, frame, reply),
            Input::ConfigRead(source, document) => {
                if source == Source::Platform {
                    self.config_store.observe_platform(document.version);
                }
                self.handle_document(cx, document);
            }
            Input::ConfigUnchanged => {
                self.config_store
                    .observe_platform(self.config_store.stamp().version);
                self.apply_config_if_ready(cx);
            }
            Input::ClaimBatch(batch, reply) => self.claims.serve_batch(batch, reply),
            Input::Query(query) => self.answer_query(query),
        }
    }

    /// Checks the timers and the configuration, and executes the actions that
    /// result.
    pub fn tick(&mut self, cx: CX![]) {
        self.apply_config_if_ready(cx);
        self.handle_event(cx, Event::Tick);
    }

    fn handle_event(&mut self, cx: CX![], event: Event) {
        let now = self.context.now();
        let mut actions = std::mem::take(&mut self.action_buffer);
        self.dispatcher.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.execute(cx, action);
        }
        self.action_buffer = actions;
    }

    fn execute(&mut self, cx: CX![], action: Action) {
        match action {
            Action::Command(number, command) => self.send_command(number, command),
            Action::SendClaim(number, claim) => self.claims.submit(&self.dispatcher, number, claim),
            Action::Settle(operation) => self.claims.settle(&self.dispatcher, operation),
            Action::Exchange(address, frame) => self.peers.exchange(address, frame),
            Action::AnswerExchange(id, frame) => {
                if let Some(reply) = self.exchange_replies.remove(&id) {
                    let _ = reply.send(frame);
                }
            }
            Action::Send(address, to, batch) => self.peers.send(address, to, batch),
            Action::FetchConfig(address) => self.peers.fetch(address),
            Action::Cancel(request_number) => self.context.cancellations.cancel(request_number),
            Action::ReadList => self.poller.request_list(),
            Action::PollLoad(runners) => self.poller.set_runners(runners),
            Action::Exit if self.claims.has_pending_ends() => {
                // The next tick emits this action again. The grace period
                // bounds the wait.
            }
            Action::Exit => cx.stop(),
        }
    }

    /// Sends a command to the thread that serves a request.
    fn send_command(&mut self, request_number: RequestNumber, command: Command) {
        let is_last = matches!(command, Command::End(_) | Command::Replay(_));
        if let Some(sender) = self.command_senders.get(&request_number) {
            let _ = sender.send(command);
        }
        if is_last {
            self.command_senders.remove(&request_number);
        }
    }

    fn handle_exchange(&mut self, cx: CX![], frame: Frame, reply: Sender<Frame>) {
        self.last_exchange_id += 1;
        self.exchange_replies.insert(self.last_exchange_id, reply);
        self.config_store.observe_peer(frame.config);
        self.handle_event(cx, Event::ExchangeReceived(self.last_exchange_id, frame));
    }

    /// Stores a configuration if it is newer than the stored one, and applies
    /// the stored one if the router is ready.
    fn handle_document(&mut self, cx: CX![], document: Document) {
        let version = document.version;
        match self.config_store.offer(document) {
            Offer::Newer => {}
            Offer::Same | Offer::Older => return self.apply_config_if_ready(cx),
            Offer::Conflict => {
                log::error!(
                    "config: version {version} was read with two different texts. The first one is kept."
                );
                return;
            }
        }
        self.apply_config_if_ready(cx);
    }

    /// Applies the stored configuration if it is newer than the one in force
    /// and the router serves callers or is ready to.
    fn apply_config_if_ready(&mut self, cx: CX![]) {
        let applied = self.dispatcher.config_stamp().version;
        let Some(document) = self.config_store.unapplied(applied) else {
            return;
        };
        if !(self.dispatcher.is_serving() || self.config_store.is_ready(self.context.now())) {
            return;
        }
        match document::parse(&document.text, "config/current") {
            Ok(config) => {
                log::info!("config: version {} is in force.", document.version);
                let stamp = self.config_store.stamp();
                let labels = (config.workspaces.keys(), config.services.keys());
                self.context.metrics.add_labels(labels.0, labels.1);
                self.handle_event(cx, Event::ConfigRead(stamp, Arc::new(config)));
            }
            Err(faults) => {
                for fault in faults {
                    log::error!(
                        "config: version {} is not applied. {fault}",
                        document.version
                    );
                }
                self.config_store.reject();
            }
        }
    }

    fn answer_query(&mut self, query: Query) {
        match query {
            Query::Addresses(workspace, reply) => {
                drop(
                    reply.send(
                        self.dispatcher
                            .router_addresses(self.context.now(), &workspace),
                    ),
                );
            }
            Query::Ready(reply) => drop(reply.send(self.dispatcher.is_serving())),
            Query::Status(reply) => drop(reply.send(self.dispatcher.status())),
            Query::Explain(subject, reply) => {
                let explanation =
                    self.dispatcher
                        .explain(|request, workspace, key| match &subject {
                            Subject::Request(wanted) => request == wanted,
                            Subject::Workspace(wanted) => workspace == wanted,
                            Subject::Key(wanted) => key == Some(wanted),
                        });
                let _ = reply.send(explanation);
            }
            Query::Key(workspace, key, reply) => {
                drop(reply.send(self.dispatcher.key_state(&workspace, &key)));
            }
            Query::RouterAddress(instance, incarnation, reply) => {
                let router = self.dispatcher.live_incarnation(&instance, incarnation);
                let _ = reply.send(router.map(|router| router.callers));
            }
            Query::LogReply(workspace, key, reply) => {
                self.claims.look_up(&self.dispatcher, workspace, key, reply);
            }
            Query::CrashSuspects(reply) => {
                drop(reply.send(self.dispatcher.crash_suspects(self.context.now())));
            }
            Query::ReleaseFingerprint(fingerprint, reply) => {
                let was_suspected = self
                    .dispatcher
                    .release_fingerprint(self.context.now(), fingerprint);
                let _ = reply.send(was_suspected);
            }
            Query::ConfigStamp(reply) => drop(reply.send(self.dispatcher.config_stamp())),
            Query::Config(reply) => drop(reply.send(self.config_store.document().clone())),
        }
    }
}
