//! Connections to other routers for control messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use balsamchute_base::prelude::*;
use balsamchute_dispatch::event::Event;
use balsamchute_wire::codec;
use balsamchute_wire::config::Document;
use balsamchute_wire::exchange::Frame;
use balsamchute_wire::message::Batch;
use crossbeam_channel::{Receiver, Sender, unbounded};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::input::{Input, Source};
use crate::traffic;
use crate::work::{STACK_BYTES, Work, is_refused};

/// Threads that send messages; a router's messages all go through one of them,
/// so that they stay in order.
const SENDERS: usize = 16;

/// Threads that run exchanges.
const EXCHANGERS: usize = 4;

/// How long another router may take to answer a control message.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(800);

struct Outgoing {
    address: SocketAddr,
    to: Instance,
    batch: Batch,
}

enum Talk {
    Exchange(SocketAddr, Frame),
    Fetch(SocketAddr),
}

/// Sends control messages to other routers.
pub(crate) struct Peers {
    senders: Vec<Sender<Outgoing>>,
    talks: Sender<Talk>,
}

impl Peers {
    /// Starts the threads.
    pub fn start(work: &Work) -> Result<Self, Error> {
        let mut senders = Vec::new();
        for _ in 0..SENDERS {
            let (sender, receiver) = unbounded();
            spawn(work, move |work| send_all(work, &receiver))?;
            senders.push(sender);
        }
        let (talks, receiver) = unbounded();
        for _ in 0..EXCHANGERS {
            let receiver: Receiver<Talk> = receiver.clone();
            spawn(work, move |work| talk_all(work, &receiver))?;
        }
        Ok(Peers { senders, talks })
    }

    /// Sends messages to a router, in order with earlier ones.
    pub fn send(&self, address: SocketAddr, to: Instance, batch: Batch) {
        let index = balsamchute_base::rank::score(to.as_str(), "sender") as usize % SENDERS;
        let _ = self.senders[index].send(Outgoing { address, to, batch });
    }

    /// Exchanges frames with the router at `address`.
    pub fn exchange(&self, address: SocketAddr, frame: Frame) {
        // An exchange that waits behind others is out of date.
        if self.talks.len() < 2 * EXCHANGERS {
            let _ = self.talks.send(Talk::Exchange(address, frame));
        }
    }

    /// Fetches the configuration from the router at `address`.
    pub fn fetch(&self, address: SocketAddr) {
        if self.talks.len() < 2 * EXCHANGERS {
            let _ = self.talks.send(Talk::Fetch(address));
        }
    }
}

/// Starts a thread of the process that ends with it.
pub(crate) fn spawn(work: &Work, body: impl FnOnce(&Work) + Send + 'static) -> Result<(), Error> {
    let work = work.clone();
    thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || body(&work))
        .map(drop)
        .map_err(Error::Thread)
}

fn send_all(work: &Work, receiver: &Receiver<Outgoing>) {
    while let Ok(first) = receiver.recv() {
        let mut batches = BTreeMap::new();
        merge(&mut batches, first);
        while let Ok(next) = receiver.try_recv() {
            merge(&mut batches, next);
        }
        for ((address, _), (to, batch)) in batches {
            if post(work, address, "messages", &batch).is_err() {
                work.event(Event::Undelivered(to, batch.messages));
            }
        }
    }
}

/// Joins messages for the same life of a router.
fn merge(batches: &mut BTreeMap<(SocketAddr, Incarnation), (Instance, Batch)>, next: Outgoing) {
    let slot = batches.entry((next.address, next.batch.to));
    match slot {
        std::collections::btree_map::Entry::Vacant(slot) => {
            slot.insert((next.to, next.batch));
        }
        std::collections::btree_map::Entry::Occupied(mut slot) => {
            slot.get_mut().1.messages.extend(next.batch.messages);
        }
    }
}

fn talk_all(work: &Work, receiver: &Receiver<Talk>) {
    while let Ok(talk) = receiver.recv() {
        match talk {
            Talk::Exchange(address, frame) => {
                exchange(work, address, &frame);
            }
            Talk::Fetch(address) => {
                if let Some(document) = get::<Document>(work, address, "config") {
                    work.send(Input::Document(Source::Peer, document));
                }
            }
        }
    }
}

fn exchange(work: &Work, address: SocketAddr, frame: &Frame) {
    match post(work, address, "exchange", frame) {
        Ok(answer) => {
            if let Some(answer) = decode(answer) {
                work.event(Event::Exchanged(answer));
            }
        }
        Err(Undelivered { refused }) => work.event(Event::Unreachable(address, refused)),
    }
}

/// A control message was not delivered, or its answer was lost.
pub(crate) struct Undelivered {
    /// Whether the other side refused the connection: no process listens there.
    pub refused: bool,
}

/// Posts a body to another router and returns the answer's bytes.
pub(crate) fn post<T: Serialize>(
    work: &Work,
    address: SocketAddr,
    path: &str,
    body: &T,
) -> Result<Vec<u8>, Undelivered> {
    post_within(work, address, path, body, CONTROL_TIMEOUT)
}

/// Posts a body to another router and waits at most `timeout` for its answer.
pub(crate) fn post_within<T: Serialize>(
    work: &Work,
    address: SocketAddr,
    path: &str,
    body: &T,
    timeout: Duration,
) -> Result<Vec<u8>, Undelivered> {
    if !work.is_open(address) {
        return Err(Undelivered { refused: false });
    }
    let body = codec::encode(body);
    traffic::sent(work, path, body.len());
    let response = work
        .pooled
        .post(format!("http://{address}/inner/{path}"))
        .config()
        .timeout_global(Some(timeout))
        .build()
        .send(&body[..]);
    if let Ok(response) = &response {
        traffic::answered(work, path, response);
    }
    match response {
        Ok(mut response) if response.status().is_success() => response
            .body_mut()
            .read_to_vec()
            .map_err(|_| Undelivered { refused: false }),
        Ok(_) => Err(Undelivered { refused: false }),
        Err(error) => Err(Undelivered {
            refused: is_refused(&error),
        }),
    }
}

fn get<T: DeserializeOwned>(work: &Work, address: SocketAddr, path: &str) -> Option<T> {
    if !work.is_open(address) {
        return None;
    }
    traffic::sent(work, path, 0);
    let mut response = work
        .pooled
        .get(format!("http://{address}/inner/{path}"))
        .config()
        .timeout_global(Some(CONTROL_TIMEOUT))
        .build()
        .call()
        .ok()?;
    traffic::answered(work, path, &response);
    decode(response.body_mut().read_to_vec().ok()?)
}

fn decode<T: DeserializeOwned>(bytes: Vec<u8>) -> Option<T> {
    codec::decode(&bytes)
        .inspect_err(|error| log::warn!("peers: refused an answer. {error}"))
        .ok()
}
