//! The scripts of the cases.

mod head;
mod in_place;
mod lower_timeout;
mod unframed;
mod uploads;

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{Connection, Message};
use crate::platform::{MODEL, entry, free_address, ip};
use crate::record::{Record, cannot_run, wall_ms};
use crate::router::Process;
use crate::runner::{Event, Framing, events, start_model};
use crate::store::Store;

/// Case that a script plays.
#[derive(Clone, Copy)]
pub enum Case {
    Head,
    InPlace,
    LowerTimeout,
    Unframed,
    Uploads,
}

impl Case {
    pub fn named(name: &str) -> Option<Self> {
        Some(match name {
            "head" => Case::Head,
            "in-place" => Case::InPlace,
            "lower-timeout" => Case::LowerTimeout,
            "unframed" => Case::Unframed,
            "uploads" => Case::Uploads,
            _ => return None,
        })
    }

    /// Plays the case; returns whether the rule was broken.
    pub fn play(self, record: &Record, has_trouble: bool) -> bool {
        match self {
            Case::Head => head::play(record, has_trouble),
            Case::InPlace => in_place::play(record, has_trouble),
            Case::LowerTimeout => lower_timeout::play(record, has_trouble),
            Case::Unframed => unframed::play(record, has_trouble),
            Case::Uploads => uploads::play(record, has_trouble),
        }
    }
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn connect(front: SocketAddr) -> Connection {
    match Connection::connect(front) {
        Ok(connection) => connection,
        Err(error) => cannot_run(&format!("the router does not accept a connection: {error}")),
    }
}

/// Model runner of a small service.
struct Runner {
    id: &'static str,
    address: SocketAddr,
    process: Option<Process>,
}

impl Runner {
    /// Starts four runners, of which one is the largest share that crashes at once.
    fn start_all(framing: Framing, store: &Store, record: &Record) -> [Runner; 4] {
        [("i-0", 10), ("i-1", 11), ("i-2", 12), ("i-3", 13)].map(|(id, machine)| {
            let address = free_address(&ip(machine));
            let process = start_model(address, id, "v1", framing, record);
            store.put("servers", id, Some(entry(MODEL, address, "v1", wall_ms())));
            Runner {
                id,
                address,
                process: Some(process),
            }
        })
    }

    /// Returns the runner that runs a request, by the record.
    fn of_request<'a>(runners: &'a mut [Runner], request: &str, record: &Record) -> &'a mut Runner {
        let text = std::fs::read_to_string(&record.path).unwrap_or_default();
        let line =
            |runner: &&mut Runner| text.contains(&format!("runner {} runs {request}:", runner.id));
        match runners.iter_mut().find(line) {
            Some(runner) => runner,
            None => cannot_run(&format!("no runner runs {request}")),
        }
    }
}

/// Stream as a consumer received it.
struct Received {
    status: u16,
    /// Whether the answer ended as a complete one.
    is_whole: bool,
    events: Vec<Event>,
}

impl Received {
    fn last_id(&self) -> Option<u64> {
        self.events.last().map(|event| event.id)
    }

    /// Returns the software versions in the order of the events.
    fn versions(&self) -> Vec<String> {
        let mut versions: Vec<String> = Vec::new();
        for event in &self.events {
            if versions.last() != Some(&event.version) {
                versions.push(event.version.clone());
            }
        }
        versions
    }
}

/// Sends a request and reads the stream that answers it.
fn read_stream(
    connection: &mut Connection,
    id: &str,
    request: &str,
    within: Duration,
    record: &Record,
) -> Received {
    record.line(format!("consumer sends {id}"));
    if let Err(error) = connection.send(request) {
        cannot_run(&format!("{id} could not be sent: {error}"));
    }
    let answer = connection.read(within, false);
    let received = match &answer {
        Ok(Some(message)) => received(message),
        Ok(None) | Err(_) => Received {
            status: 0,
            is_whole: false,
            events: Vec::new(),
        },
    };
    record.line(format!(
        "consumer got for {id}: status {}, complete {}, events {} to {}, software {:?}",
        received.status,
        received.is_whole,
        received.events.first().map_or(0, |event| event.id),
        received.last_id().unwrap_or(0),
        received.versions()
    ));
    received
}

fn received(message: &Message) -> Received {
    Received {
        status: message.status(),
        is_whole: message.is_whole,
        events: events(&message.body),
    }
}
