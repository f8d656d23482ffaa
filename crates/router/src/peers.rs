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

use crate::context::{Context, STACK_BYTES, is_refused};
use crate::error::Error;
use crate::input::{Input, Source};
use crate::traffic;

/// Threads that send messages. All messages to one router go through the same
/// thread, so that they stay in order.
const SENDER_THREADS: usize = 16;

/// Threads that run exchanges and fetch configurations.
const EXCHANGE_THREADS: usize = 4;

/// Longest wait for another router's response to a control message.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(800);

struct Outgoing {
    address: SocketAddr,
    recipient: Instance,
    batch: Batch,
}

enum Job {
    Exchange(SocketAddr, Frame),
    Fetch(SocketAddr),
}

/// Queues of the threads that send control messages to other routers.
pub(crate) struct Peers {
    senders: Vec<Sender<Outgoing>>,
    jobs: Sender<Job>,
}

impl Peers {
    /// Starts the threads that send messages, run exchanges and fetch
    /// configurations.
    pub fn start(context: &Context) -> Result<Self, Error> {
        let mut senders = Vec::new();
        for _ in 0..SENDER_THREADS {
            let (sender, receiver) = unbounded();
            spawn(context, move |context| send_loop(context, &receiver))?;
            senders.push(sender);
        }
        let (jobs, receiver) = unbounded();
        for _ in 0..EXCHANGE_THREADS {
            let receiver: Receiver<Job> = receiver.clone();
            spawn(context, move |context| run_jobs(context, &receiver))?;
        }
        Ok(Peers { senders, jobs })
    }

    /// Queues messages to a router. They are sent in order with earlier ones.
    pub fn send(&self, address: SocketAddr, recipient: Instance, batch: Batch) {
        let index =
            balsamchute_base::rank::score(recipient.as_str(), "sender") as usize % SENDER_THREADS;
        let _ = self.senders[index].send(Outgoing {
            address,
            recipient,
            batch,
        });
    }

    /// Queues an exchange with the router at `address`. It is dropped if too
    /// many are queued.
    pub fn exchange(&self, address: SocketAddr, frame: Frame) {
        // An exchange that waits behind many others is outdated when it is
        // sent.
        if self.jobs.len() < 2 * EXCHANGE_THREADS {
            let _ = self.jobs.send(Job::Exchange(address, frame));
        }
    }

    /// Queues a fetch of the configuration from the router at `address`. It is
    /// dropped if too many are queued.
    pub fn fetch(&self, address: SocketAddr) {
        if self.jobs.len() < 2 * EXCHANGE_THREADS {
            let _ = self.jobs.send(Job::Fetch(address));
        }
    }
}

/// Starts a thread that is never joined and lives at most as long as the
/// process.
pub(crate) fn spawn(
    context: &Context,
    body: impl FnOnce(&Context) + Send + 'static,
) -> Result<(), Error> {
    let context = context.clone();
    thread::Builder::new()
        .stack_size(STACK_BYTES)
        .spawn(move || body(&context))
        .map(drop)
        .map_err(Error::Thread)
}

fn send_loop(context: &Context, receiver: &Receiver<Outgoing>) {
    while let Ok(outgoing) = receiver.recv() {
        let mut batches = BTreeMap::new();
        merge(&mut batches, outgoing);
        while let Ok(outgoing) = receiver.try_recv() {
            merge(&mut batches, outgoing);
        }
        for ((address, _), (recipient, batch)) in batches {
            if post(context, address, "messages", &batch).is_err() {
                context.send_event(Event::Undelivered(recipient, batch.messages));
            }
        }
    }
}

/// Merges messages to the same address and incarnation into one batch.
fn merge(batches: &mut BTreeMap<(SocketAddr, Incarnation), (Instance, Batch)>, outgoing: Outgoing) {
    let entry = batches.entry((outgoing.address, outgoing.batch.to));
    match entry {
        std::collections::btree_map::Entry::Vacant(entry) => {
            entry.insert((outgoing.recipient, outgoing.batch));
        }
        std::collections::btree_map::Entry::Occupied(mut entry) => {
            entry.get_mut().1.messages.extend(outgoing.batch.messages);
        }
    }
}

fn run_jobs(context: &Context, receiver: &Receiver<Job>) {
    while let Ok(job) = receiver.recv() {
        match job {
            Job::Exchange(address, frame) => {
                exchange(context, address, &frame);
            }
            Job::Fetch(address) => {
                if let Some(document) = get::<Document>(context, address, "config") {
                    context.send(Input::ConfigRead(Source::Peer, document));
                }
            }
        }
    }
}

fn exchange(context: &Context, address: SocketAddr, frame: &Frame) {
    match post(context, address, "exchange", frame) {
        Ok(response) => {
            if let Some(frame) = decode(response) {
                context.send_event(Event::ExchangeAnswered(frame));
            }
        }
        Err(Failure { refused }) => context.send_event(Event::ExchangeFailed(address, refused)),
    }
}

/// Failure to deliver a control message, or to receive the response to it.
pub(crate) struct Failure {
    /// Whether the connection was refused, which shows that no process listens
    /// at the address.
    pub refused: bool,
}

/// Posts a body to another router and returns the bytes of the response body.
pub(crate) fn post<T: Serialize>(
    context: &Context,
    address: SocketAddr,
    path: &str,
    body: &T,
) -> Result<Vec<u8>, Failure> {
    post_within(context, address, path, body, CONTROL_TIMEOUT)
}

/// Posts a body to another router and waits at most `timeout` for the response.
pub(crate) fn post_within<T: Serialize>(
    context: &Context,
    address: SocketAddr,
    path: &str,
    body: &T,
    timeout: Duration,
) -> Result<Vec<u8>, Failure> {
    if !context.may_connect(address) {
        return Err(Failure { refused: false });
    }
    let body = codec::encode(body);
    traffic::count_request_sent(context, path, body.len());
    let response = context
        .pooled_agent
        .post(format!("http://{address}/inner/{path}"))
        .config()
        .timeout_global(Some(timeout))
        .build()
        .send(&body[..]);
    if let Ok(response) = &response {
        traffic::count_response_received(context, path, response);
    }
    match response {
        Ok(mut response) if response.status().is_success() => response
            .body_mut()
            .read_to_vec()
            .map_err(|_| Failure { refused: false }),
        Ok(_) => Err(Failure { refused: false }),
        Err(error) => Err(Failure {
            refused: is_refused(&error),
        }),
    }
}

fn get<T: DeserializeOwned>(context: &Context, address: SocketAddr, path: &str) -> Option<T> {
    if !context.may_connect(address) {
        return None;
    }
    traffic::count_request_sent(context, path, 0);
    let mut response = context
        .pooled_agent
        .get(format!("http://{address}/inner/{path}"))
        .config()
        .timeout_global(Some(CONTROL_TIMEOUT))
        .build()
        .call()
        .ok()?;
    traffic::count_response_received(context, path, &response);
    decode(response.body_mut().read_to_vec().ok()?)
}

fn decode<T: DeserializeOwned>(bytes: Vec<u8>) -> Option<T> {
    codec::decode(&bytes)
        .inspect_err(|error| log::warn!("peers: cannot decode a router's response. {error}"))
        .ok()
}
