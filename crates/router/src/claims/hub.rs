//! The thread that holds the writers of claim shards.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use balsamchute_base::prelude::*;
use balsamchute_claim::writer::{Action, Event, Settings, Writer};
use balsamchute_dispatch::event;
use balsamchute_wire::claim::{Answer, Ask, Batch, Verdict};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};

use super::store::Call;
use super::{Origin, shard_of};
use crate::error::Error;
use crate::peers::spawn;
use crate::work::Work;

/// Time between two looks at what is due.
const TICK: Duration = Duration::from_millis(10);

/// Time after which an end that could not be stored is stored again.
const RETRY: Span = Span::from_secs(1);

/// Ends that wait to be stored at most; their keys become unknown beyond it.
const MAX_UNSETTLED: usize = 10_000;

/// What the thread reacts to.
pub(super) enum Input {
    /// Somebody asks.
    Ask(Origin, Ask),
    /// Another router answered an ask.
    Verdict(Origin, Ask, Verdict),
    /// Another router asks.
    Batch(Batch, Sender<Answer>),
    /// A call for a shard has ended.
    Event(u32, Event),
}

/// Another router's batch with the verdicts so far.
struct Waiting {
    verdicts: Vec<Option<Verdict>>,
    reply: Sender<Answer>,
}

struct Hub {
    work: Work,
    calls: Sender<Call>,
    writers: BTreeMap<u32, Writer>,
    wakes: BTreeMap<u32, Time>,
    asked: HashMap<u64, (Origin, Ask)>,
    batches: HashMap<u64, Waiting>,
    unsettled: VecDeque<(Time, Origin, Ask)>,
    next: u64,
    durable: bool,
    next_probe: Time,
}

/// Starts the thread.
pub(super) fn start(
    work: &Work,
    inputs: Receiver<Input>,
    calls: Sender<Call>,
) -> Result<(), Error> {
    spawn(work, move |work| {
        let mut hub = Hub {
            work: work.clone(),
            calls,
            writers: BTreeMap::new(),
            wakes: BTreeMap::new(),
            asked: HashMap::new(),
            batches: HashMap::new(),
            unsettled: VecDeque::new(),
            next: 0,
            durable: true,
            next_probe: Time(0),
        };
        loop {
            match inputs.recv_timeout(TICK) {
                Ok(input) => hub.input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            hub.look_around();
        }
    })
}

impl Hub {
    fn input(&mut self, input: Input) {
        match input {
            Input::Ask(origin, ask) => self.ask(origin, ask),
            Input::Verdict(origin, ask, verdict) => self.finish(origin, ask, verdict),
            Input::Batch(batch, reply) => self.batch(batch, reply),
            Input::Event(shard, event) => self.event(shard, event),
        }
    }

    fn ask(&mut self, origin: Origin, ask: Ask) {
        self.next += 1;
        let id = self.next;
        let shard = shard_of(&ask);
        self.asked.insert(id, (origin, ask.clone()));
        self.event(shard, Event::Ask { id, ask });
    }

    fn batch(&mut self, batch: Batch, reply: Sender<Answer>) {
        if batch.asks.is_empty() {
            let verdicts = Vec::new();
            return drop(reply.send(Answer { verdicts }));
        }
        self.next += 1;
        let number = self.next;
        let verdicts = vec![None; batch.asks.len()];
        self.batches.insert(number, Waiting { verdicts, reply });
        for (index, ask) in batch.asks.into_iter().enumerate() {
            let batch = number;
            self.ask(Origin::Part { batch, index }, ask);
        }
    }

    fn event(&mut self, shard: u32, event: Event) {
        let now = self.work.now();
        let writer = self.writers.entry(shard).or_insert_with(|| {
            let instance = &self.work.settings.instance;
            let incarnation = Incarnation(self.work.clock.start().0);
            Writer::new(shard, instance, incarnation, Settings::default())
        });
        for action in writer.handle(now, event) {
            match action {
                Action::Reply { id, verdict } => {
                    if let Some((origin, ask)) = self.asked.remove(&id) {
                        self.finish(origin, ask, verdict);
                    }
                }
                Action::Wake(time) => {
                    self.wakes.insert(shard, time);
                }
                action => drop(self.calls.send(Call { shard, action })),
            }
        }
    }

    fn finish(&mut self, origin: Origin, ask: Ask, verdict: Verdict) {
        match origin {
            Origin::Ticket(ticket) => {
                self.work.event(event::Event::Verdict(ticket, verdict));
            }
            Origin::Settle(_) if verdict == Verdict::Unavailable => {
                if self.unsettled.len() < MAX_UNSETTLED {
                    let due = self.work.now() + RETRY;
                    self.unsettled.push_back((due, origin, ask));
                }
            }
            Origin::Part { batch, index } => self.fill(batch, index, verdict),
            Origin::Look(reply) => drop(reply.send(verdict)),
            Origin::Settle(_) | Origin::Probe => {}
        }
    }

    /// Puts a verdict in its place and answers the batch when it is complete.
    fn fill(&mut self, batch: u64, index: usize, verdict: Verdict) {
        let Some(waiting) = self.batches.get_mut(&batch) else {
            return;
        };
        waiting.verdicts[index] = Some(verdict);
        if waiting.verdicts.iter().all(Option::is_some)
            && let Some(waiting) = self.batches.remove(&batch)
        {
            let verdicts = waiting.verdicts.into_iter().flatten().collect();
            let _ = waiting.reply.send(Answer { verdicts });
        }
    }

    /// Wakes writers, stores ends again and tells whether the store works.
    fn look_around(&mut self) {
        let now = self.work.now();
        while let Some((&shard, _)) = self.wakes.iter().find(|(_, time)| **time <= now) {
            self.wakes.remove(&shard);
            self.event(shard, Event::Tick);
        }
        while let Some((due, ..)) = self.unsettled.front()
            && *due <= now
            && let Some((_, origin, ask)) = self.unsettled.pop_front()
        {
            self.ask(origin, ask);
        }
        let durable = !self.writers.values().any(Writer::is_failing);
        if durable != self.durable {
            self.durable = durable;
            self.work.event(event::Event::Durable(durable));
            let state = if durable { "can" } else { "cannot" };
            log::info!("claims: the store of claims {state} be used.");
        }
        if !durable && now >= self.next_probe {
            self.next_probe = now + RETRY;
            self.probe();
        }
    }

    /// Looks at the shards whose store failed, so that recovery is noticed
    /// while nobody asks.
    fn probe(&mut self) {
        let failing = self
            .writers
            .iter()
            .filter(|(_, writer)| writer.is_failing());
        let failing: Vec<u32> = failing.map(|(shard, _)| *shard).collect();
        for shard in failing {
            let (Ok(workspace), Ok(key)) = (Workspace::new("probe"), Key::new("probe")) else {
                return;
            };
            self.next += 1;
            let (id, ask) = (self.next, Ask::Look { workspace, key });
            self.asked.insert(id, (Origin::Probe, ask.clone()));
            self.event(shard, Event::Ask { id, ask });
        }
    }
}
