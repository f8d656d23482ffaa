//! Asks to the routers that write other shards.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use balsamchute_base::prelude::*;
use balsamchute_base::rank;
use balsamchute_wire::claim::{Answer, Ask, Batch, Verdict};
use balsamchute_wire::codec;
use crossbeam_channel::{Receiver, Sender, unbounded};

use super::Origin;
use super::hub::Input;
use crate::error::Error;
use crate::peers::{post_within, spawn};
use crate::work::Work;

/// Threads that ask; all asks to one router go through the same one.
const THREADS: usize = 16;

/// How long another router may take to answer before this one reads the log.
const TIMEOUT: Duration = Duration::from_millis(2500);

/// Asks in one batch at most.
const BATCH: usize = 256;

/// An ask and who gets the verdict.
pub(super) struct Asking {
    /// Who gets it.
    pub origin: Origin,
    /// The ask.
    pub ask: Ask,
}

/// Sends asks to other routers.
pub(super) struct Remotes {
    senders: Vec<Sender<(SocketAddr, Asking)>>,
}

impl Remotes {
    /// Starts the threads; asks that fail and verdicts go to `hub`.
    pub fn start(work: &Work, hub: &Sender<Input>) -> Result<Self, Error> {
        let mut senders = Vec::new();
        for _ in 0..THREADS {
            let (sender, receiver) = unbounded();
            let hub = hub.clone();
            spawn(work, move |work| send_all(work, &receiver, &hub))?;
            senders.push(sender);
        }
        Ok(Remotes { senders })
    }

    /// Asks the router `to` at `address`.
    pub fn send(&self, to: &Instance, address: SocketAddr, asking: Asking) {
        let index = rank::score(to.as_str(), "claims") as usize % THREADS;
        let _ = self.senders[index].send((address, asking));
    }
}

fn send_all(work: &Work, receiver: &Receiver<(SocketAddr, Asking)>, hub: &Sender<Input>) {
    while let Ok((address, first)) = receiver.recv() {
        let mut batches: BTreeMap<SocketAddr, Vec<Asking>> = BTreeMap::new();
        batches.entry(address).or_default().push(first);
        for (address, next) in receiver.try_iter().take(BATCH) {
            batches.entry(address).or_default().push(next);
        }
        for (address, askings) in batches {
            send(work, address, askings, hub);
        }
    }
}

fn send(work: &Work, address: SocketAddr, askings: Vec<Asking>, hub: &Sender<Input>) {
    let batch = Batch {
        from: work.settings.instance.clone(),
        asks: askings.iter().map(|asking| asking.ask.clone()).collect(),
    };
    let answer = post_within(work, address, "claim", &batch, TIMEOUT).ok();
    let answer = answer.and_then(|bytes| codec::decode::<Answer>(&bytes).ok());
    let verdicts = answer.map_or_else(Vec::new, |answer| answer.verdicts);
    let verdicts = verdicts.into_iter().map(Some);
    for (asking, verdict) in askings
        .into_iter()
        .zip(verdicts.chain(std::iter::repeat(None)))
    {
        let Asking { origin, ask } = asking;
        let input = match verdict {
            // Perhaps only the other router cannot reach the store.
            None | Some(Verdict::Unavailable) => Input::Ask(origin, ask),
            Some(verdict) => Input::Verdict(origin, ask, verdict),
        };
        let _ = hub.send(input);
    }
}
