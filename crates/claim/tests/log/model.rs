//! A small world for the claim log: two writers, two holders, two keys and a
//! store that fails, loses answers and applies writes late.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use balsamchute_base::prelude::*;
use balsamchute_claim::writer::{Action, Event, Read, Settings, Write, Writer};
use balsamchute_wire::claim::{Ask, Claim, Settled, Verdict};
use balsamchute_wire::record::{End, Outcome};

pub const NODES: usize = 2;
pub const KEYS: usize = 2;
const EXPIRES: Time = Time(1_000_000);
const DIGEST: u128 = 9;

/// How the store treats a conditional update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Store {
    /// It keeps its promise.
    Sound,
    /// It ignores the condition: the checks have to find the double run.
    Unconditional,
}

/// One step of the world. A pause is a node that takes no step for a while.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The holder claims a key at a writer.
    Claim {
        holder: usize,
        key: usize,
        writer: usize,
    },
    /// The holder gives its unused claim back.
    Release {
        holder: usize,
        key: usize,
        writer: usize,
    },
    /// The node's call to the store is answered.
    Deliver(usize),
    /// The call fails and takes no effect.
    Fail(usize),
    /// The call takes effect, its answer is lost.
    Lose(usize),
    /// The answer is lost and the write takes effect later, if ever.
    Delay(usize),
    /// A delayed write reaches the store.
    Late(usize),
    /// The node dies with all that it knows and starts empty.
    Crash(usize),
    /// Time passes.
    Clock,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Holding {
    Idle,
    Asked,
    Ran,
    SaidNotRun,
    Released,
    Ended,
}

#[derive(Clone, Debug)]
struct Hold {
    state: Holding,
    nonce: u64,
    asks: u8,
}

#[derive(Clone, Debug)]
struct Node {
    writer: Writer,
    call: Option<Action>,
    holds: Vec<Hold>,
}

/// Steps of each rare kind that may still be taken.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub store: u8,
    pub crashes: u8,
    pub clock: u8,
    pub asks: u8,
    pub keys: usize,
}

type Name = Option<u64>;

#[derive(Clone, Debug)]
pub struct World {
    kind: Store,
    settings: Settings,
    objects: BTreeMap<Name, (u64, Vec<u8>)>,
    delayed: Vec<(Name, u64, Vec<u8>)>,
    nodes: Vec<Node>,
    faults: Faults,
    now: Time,
    next: u64,
    asked: BTreeMap<u64, (usize, usize, u64)>,
    runs: [u8; KEYS],
}

impl World {
    pub fn new(kind: Store, settings: Settings, faults: Faults) -> Self {
        let mut world = World {
            kind,
            settings,
            objects: BTreeMap::new(),
            delayed: Vec::new(),
            nodes: Vec::new(),
            faults,
            now: Time(100),
            next: 0,
            asked: BTreeMap::new(),
            runs: [0; KEYS],
        };
        for node in 0..NODES {
            let node = world.fresh(node, 1);
            world.nodes.push(node);
        }
        world
    }

    fn fresh(&mut self, node: usize, incarnation: u64) -> Node {
        let (me, life) = (instance(node), Incarnation(incarnation));
        let holds = (0..KEYS).map(|_| {
            self.next += 1;
            Hold {
                state: Holding::Idle,
                nonce: self.next,
                asks: 0,
            }
        });
        Node {
            holds: holds.collect(),
            writer: Writer::new(0, &me, life, self.settings),
            call: None,
        }
    }

    /// Lets both writers read to the end of a log that holds one entry.
    pub fn with_entry(mut self) -> Self {
        for node in 0..NODES {
            let claim = Claim {
                workspace: workspace(),
                key: name(KEYS),
                digest: DIGEST,
                holder: instance(0),
                incarnation: Incarnation(1),
                nonce: 0,
                expires: EXPIRES,
            };
            let ask = Ask::Claim(claim);
            self.now_asked(node, ask);
            while self.nodes[node].call.is_some() {
                self.answer(node, true, false);
            }
        }
        self
    }

    /// Asks for no holder: the reply is dropped.
    fn now_asked(&mut self, node: usize, ask: Ask) {
        self.next += 1;
        let id = self.next;
        self.asked.insert(id, (0, 0, 0));
        self.handle(node, Event::Ask { id, ask });
    }

    /// Returns the steps that may come next.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (i, node) in self.nodes.iter().enumerate() {
            if let Some(call) = &node.call {
                steps.push(Step::Deliver(i));
                if self.faults.store > 0 {
                    steps.push(Step::Fail(i));
                    if is_write(call) {
                        steps.extend([Step::Lose(i), Step::Delay(i)]);
                    }
                }
            }
            if self.faults.crashes > 0 {
                steps.push(Step::Crash(i));
            }
            self.holder_steps(i, &mut steps);
        }
        steps.extend((0..self.delayed.len()).map(Step::Late));
        if self.faults.clock > 0 {
            steps.push(Step::Clock);
        }
        steps
    }

    fn holder_steps(&self, holder: usize, steps: &mut Vec<Step>) {
        for (key, hold) in self.nodes[holder]
            .holds
            .iter()
            .take(self.faults.keys)
            .enumerate()
        {
            for writer in 0..NODES {
                match hold.state {
                    Holding::Idle | Holding::Asked if hold.asks < self.faults.asks => {
                        steps.push(Step::Claim {
                            holder,
                            key,
                            writer,
                        });
                    }
                    Holding::SaidNotRun => steps.push(Step::Release {
                        holder,
                        key,
                        writer,
                    }),
                    _ => {}
                }
            }
        }
    }

    /// Takes a step that [`World::steps`] offered.
    pub fn take(&mut self, step: Step) {
        match step {
            Step::Claim {
                holder,
                key,
                writer,
            } => self.claim(holder, key, writer),
            Step::Release {
                holder,
                key,
                writer,
            } => self.release(holder, key, writer),
            Step::Deliver(node) => self.answer(node, true, false),
            Step::Fail(node) => self.answer(node, false, false),
            Step::Lose(node) => self.answer(node, true, true),
            Step::Delay(node) => {
                self.delay(node);
                self.answer(node, false, true);
            }
            Step::Late(index) => {
                let (name, version, bytes) = self.delayed.remove(index);
                self.update(name, version, bytes);
            }
            Step::Crash(node) => self.crash(node),
            Step::Clock => {
                self.faults.clock -= 1;
                self.now = self.now + Span(1);
                for node in 0..NODES {
                    self.handle(node, Event::Tick);
                }
            }
        }
    }

    /// Returns how often the key that ran most often was run.
    pub fn worst(&self) -> u8 {
        self.runs.iter().copied().max().unwrap_or(0)
    }

    /// Returns how many keys ran.
    pub fn ran(&self) -> usize {
        self.runs.iter().filter(|runs| **runs > 0).count()
    }

    fn claim(&mut self, holder: usize, key: usize, writer: usize) {
        let hold = &mut self.nodes[holder].holds[key];
        hold.state = Holding::Asked;
        hold.asks += 1;
        let claim = Claim {
            workspace: workspace(),
            key: name(key),
            digest: DIGEST,
            holder: instance(holder),
            incarnation: Incarnation(1),
            nonce: hold.nonce,
            expires: EXPIRES,
        };
        self.ask(holder, key, writer, Ask::Claim(claim));
    }

    fn release(&mut self, holder: usize, key: usize, writer: usize) {
        let hold = &mut self.nodes[holder].holds[key];
        hold.state = Holding::Released;
        let ask = Ask::Settle {
            workspace: workspace(),
            key: name(key),
            nonce: hold.nonce,
            outcome: Settled {
                end: End::new(Outcome::NotRun, "given up"),
                answer: None,
            },
        };
        self.ask(holder, key, writer, ask);
    }

    fn ask(&mut self, holder: usize, key: usize, writer: usize, ask: Ask) {
        self.next += 1;
        let (id, nonce) = (self.next, self.nodes[holder].holds[key].nonce);
        self.asked.insert(id, (holder, key, nonce));
        self.handle(writer, Event::Ask { id, ask });
    }

    fn handle(&mut self, node: usize, event: Event) {
        for action in self.nodes[node].writer.handle(self.now, event) {
            match action {
                Action::Reply { id, verdict } => self.reply(id, &verdict),
                Action::Wake(_) => {}
                call => {
                    assert!(self.nodes[node].call.is_none(), "two calls at a time");
                    self.nodes[node].call = Some(call);
                }
            }
        }
    }

    /// What the holder does with a verdict. It runs the key only while it
    /// still waits for it, in the life in which it asked.
    fn reply(&mut self, id: u64, verdict: &Verdict) {
        let (holder, key, nonce) = self.asked.remove(&id).expect("one reply to each ask");
        let hold = &mut self.nodes[holder].holds[key];
        if hold.state != Holding::Asked || hold.nonce != nonce {
            return;
        }
        match verdict {
            Verdict::Granted => {
                hold.state = Holding::Ran;
                self.runs[key] += 1;
            }
            Verdict::Unavailable => hold.state = Holding::SaidNotRun,
            Verdict::Held(_) | Verdict::Settled(_) => hold.state = Holding::Ended,
            Verdict::Mismatch | Verdict::Free => panic!("no such verdict here: {verdict:?}"),
        }
    }

    fn answer(&mut self, node: usize, effect: bool, lost: bool) {
        if !effect || lost {
            self.faults.store -= 1;
        }
        let call = self.nodes[node].call.take().expect("a call is under way");
        let event = match call {
            Action::Read { slot } => Event::Read {
                slot,
                result: self.read(Some(slot), effect),
            },
            Action::ReadSnapshot => Event::SnapshotRead(self.read(None, effect)),
            Action::Write {
                slot,
                version,
                bytes,
            } => Event::Written {
                slot,
                result: self.write(Some(slot), version, bytes, effect, lost),
            },
            Action::WriteSnapshot { version, bytes } => {
                Event::SnapshotWritten(self.write(None, version, bytes, effect, lost))
            }
            Action::Reply { .. } | Action::Wake(_) => unreachable!("these are no calls"),
        };
        self.handle(node, event);
    }

    fn read(&self, name: Name, works: bool) -> Read {
        match self.objects.get(&name) {
            _ if !works => Read::Failed,
            None => Read::Missing,
            Some((version, bytes)) => Read::Found {
                version: *version,
                bytes: bytes.clone(),
            },
        }
    }

    fn write(
        &mut self,
        name: Name,
        version: u64,
        bytes: Vec<u8>,
        effect: bool,
        lost: bool,
    ) -> Write {
        let result = if effect {
            self.update(name, version, bytes)
        } else {
            Write::Failed
        };
        if lost { Write::AnswerLost } else { result }
    }

    fn update(&mut self, name: Name, version: u64, bytes: Vec<u8>) -> Write {
        let current = self.objects.get(&name).map_or(0, |(version, _)| *version);
        if current != version && self.kind == Store::Sound {
            return Write::Conflict;
        }
        let version = current + 1;
        self.objects.insert(name, (version, bytes));
        Write::Written { version }
    }

    fn delay(&mut self, node: usize) {
        match self.nodes[node].call.clone() {
            Some(Action::Write {
                slot,
                version,
                bytes,
            }) => {
                self.delayed.push((Some(slot), version, bytes));
            }
            Some(Action::WriteSnapshot { version, bytes }) => {
                self.delayed.push((None, version, bytes));
            }
            _ => {}
        }
    }

    fn crash(&mut self, node: usize) {
        self.faults.crashes -= 1;
        self.delay(node);
        let mut fresh = self.fresh(node, 2);
        for (hold, old) in fresh.holds.iter_mut().zip(&self.nodes[node].holds) {
            // A holder that asked before it died comes back with another nonce.
            hold.asks = old.asks;
        }
        self.nodes[node] = fresh;
        let lost: Vec<u64> = self.asked.keys().copied().collect();
        for id in lost {
            let (holder, key, nonce) = self.asked[&id];
            let waits = format!("{:?}", self.nodes).contains(&format!("id: {id},"));
            if !waits {
                self.asked.remove(&id);
                let hold = &mut self.nodes[holder].holds[key];
                if hold.nonce == nonce
                    && hold.state == Holding::Asked
                    && hold.asks >= self.faults.asks
                {
                    // Its writer died with the ask: it gives up.
                    hold.state = Holding::SaidNotRun;
                }
            }
        }
    }

    /// Returns a digest of all that decides what may happen next.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        (&self.objects, &self.delayed, self.now, self.runs).hash(&mut hasher);
        format!("{:?}{:?}", self.nodes, self.faults).hash(&mut hasher);
        hasher.finish()
    }
}

fn is_write(call: &Action) -> bool {
    matches!(call, Action::Write { .. } | Action::WriteSnapshot { .. })
}

fn instance(node: usize) -> Instance {
    Instance::new(&format!("r{node}")).expect("a name")
}

fn workspace() -> Workspace {
    Workspace::new("w").expect("a name")
}

fn name(key: usize) -> Key {
    Key::new(&format!("k{key}")).expect("a key")
}
