//! Keyed requests at several routers, in arbitrary orders of arrivals, claims
//! that are answered, lost or refused, ends of attempts, cuts and stops.

#[expect(dead_code, reason = "every test file uses a part of it")]
mod common;

use std::collections::BTreeMap;

use balsamchute_base::prelude::*;
use balsamchute_claim::log::{Entry, Log, Reading};
use balsamchute_dispatch::event::{Arrival, Command, Ending, Event, Ticket};
use balsamchute_wire::claim::{Ask, Verdict};
use balsamchute_wire::record::{End, Outcome};
use bolero::generator::*;
use common::{Net, head};

const KEYS: usize = 2;

/// What happened to one sending of a key.
struct Sending {
    key: usize,
    router: Instance,
    /// Whether a run of the key had begun before it was sent.
    after_run: bool,
    /// Commands looked at.
    seen: usize,
}

/// Routers, a claim log that orders what is asked, and a record of what ran.
struct World {
    net: Net,
    log: Log,
    sendings: BTreeMap<Ticket, Sending>,
    /// Attempts that have not ended, by request.
    running: Vec<Ticket>,
    /// Attempts of each key that ran or may have.
    runs: [u32; KEYS],
}

impl World {
    fn new() -> Self {
        World {
            net: Net::new(3),
            log: Log::new(),
            sendings: BTreeMap::new(),
            running: Vec::new(),
            runs: [0; KEYS],
        }
    }

    fn step(&mut self, step: u8, pick: u8) {
        let pick = usize::from(pick);
        match step % 8 {
            0 | 1 => self.send(pick % KEYS, pick / KEYS % 3),
            2 | 3 => self.answer(pick, true),
            4 => self.answer(pick, false),
            5 => self.finish(pick),
            6 => self.net.pass(50 * (1 + pick as u64 % 4)),
            _ => self.disturb(pick),
        }
        self.look();
    }

    fn send(&mut self, key: usize, router: usize) {
        let name = self.net.names()[router].clone();
        let ticket = self.sendings.len() as Ticket + 1;
        let after_run = self.runs[key] > 0;
        let mut head = head("w1", "book", Some(&format!("k{key}")));
        head.resend = self.sendings.values().any(|sending| sending.key == key);
        let sending = Sending {
            key,
            router: name.clone(),
            after_run,
            seen: 0,
        };
        self.sendings.insert(ticket, sending);
        let arrival = Arrival {
            ticket,
            head,
            digest: key as u128,
        };
        self.net.event(&name, Event::Arrive(arrival));
    }

    /// Answers one claim, by the log or as unavailable. A claim that is
    /// unavailable may have been stored.
    fn answer(&mut self, pick: usize, works: bool) {
        if self.net.asked.is_empty() {
            return;
        }
        let index = pick % self.net.asked.len();
        let (at, ticket, ask) = self.net.asked.remove(index);
        let stored = works || pick.is_multiple_of(2);
        let verdict = if stored {
            self.store(&ask)
        } else {
            Verdict::Unavailable
        };
        let verdict = if works { verdict } else { Verdict::Unavailable };
        self.net.event(&at, Event::Verdict(ticket, verdict));
    }

    fn store(&mut self, ask: &Ask) -> Verdict {
        let now = self.net.now;
        if let Reading::Append(record) = self.log.read(now, ask) {
            let entry = Entry {
                seq: self.log.seq() + 1,
                writer: self.net.names()[0].clone(),
                incarnation: Incarnation(1),
                at: now,
                records: vec![record],
            };
            self.log.apply(&entry);
        }
        match self.log.read(now, ask) {
            Reading::Final(verdict) | Reading::Current(verdict) => verdict,
            Reading::Append(_) => panic!("a stored record answers its ask"),
        }
    }

    fn finish(&mut self, pick: usize) {
        if self.running.is_empty() {
            return;
        }
        let ticket = self.running.remove(pick % self.running.len());
        let reason = "test".to_owned();
        let ending = match pick / 4 % 5 {
            0 => Ending::Done,
            1 => Ending::NotSent(reason),
            2 => Ending::Refused(reason),
            3 => Ending::Lost(reason),
            _ => Ending::Answered(reason),
        };
        if matches!(ending, Ending::NotSent(_) | Ending::Refused(_)) {
            self.runs[self.sendings[&ticket].key] -= 1;
        }
        self.net.finish(ticket, ending, 0);
    }

    fn disturb(&mut self, pick: usize) {
        let name = self.net.names()[pick % 3].clone();
        match pick / 3 % 4 {
            0 => self.net.cut.push(name),
            1 => self.net.cut.clear(),
            2 => {
                let waiting = self.sendings.keys().nth(pick % self.sendings.len().max(1));
                if let Some(ticket) = waiting.copied() {
                    let router = self.sendings[&ticket].router.clone();
                    self.net.event(&router, Event::Gone(ticket));
                }
            }
            _ => self.net.pass(31_000),
        }
    }

    /// Looks at the commands given since the last time, and checks them.
    fn look(&mut self) {
        let tickets: Vec<Ticket> = self.sendings.keys().copied().collect();
        for ticket in tickets {
            while let Some((_, command)) = self.next(ticket) {
                self.command(ticket, &command);
            }
        }
        for (key, runs) in self.runs.iter().enumerate() {
            assert!(*runs <= 1, "key {key} ran {runs} times");
        }
    }

    fn next(&mut self, ticket: Ticket) -> Option<(Instance, Command)> {
        let sending = self.sendings.get_mut(&ticket)?;
        let command = self.net.told.get(&ticket)?.get(sending.seen).cloned();
        sending.seen += 1;
        if command.is_none() {
            sending.seen -= 1;
        }
        command
    }

    fn command(&mut self, ticket: Ticket, command: &Command) {
        match command {
            Command::Run(_) => {
                self.runs[self.sendings[&ticket].key] += 1;
                self.running.push(ticket);
            }
            Command::End(end) => self.end(ticket, end),
            Command::Replay(settled) => self.end(ticket, &settled.end),
            Command::Forward { .. } => {
                // The other router cannot be reached, and this one acts for it.
                let router = self.sendings[&ticket].router.clone();
                self.net.event(&router, Event::ForwardFailed(ticket));
            }
        }
    }

    fn end(&self, ticket: Ticket, end: &End) {
        let sending = &self.sendings[&ticket];
        if end.outcome == Outcome::NotRun {
            assert!(!self.running.contains(&ticket), "not_run while it runs");
            let ran = sending.after_run && self.runs[sending.key] > 0;
            assert!(!ran, "not_run for a key that ran before: {end:?}");
        }
    }
}

#[test]
fn no_order_of_events_runs_a_key_twice_or_calls_a_run_not_run() {
    bolero::check!()
        .with_iterations(200)
        .with_generator(produce::<Vec<(u8, u8)>>().with().len(0usize..120))
        .for_each(|steps| {
            let mut world = World::new();
            for (step, pick) in steps {
                world.step(*step, *pick);
            }
        });
}
