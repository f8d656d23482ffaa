//! Operators who change the configuration as the command line does.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};

use balsamchute_base::prelude::*;
use balsamchute_fleet::change;
use balsamchute_inventory::document;
use balsamchute_platform::client::{Client, Settings};
use balsamchute_platform::operator;
use balsamchute_wire::config::Document;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Longest time in which an operator tries one change.
const TIMEOUT: Span = Span::from_secs(10);

/// Range of the pause between two changes of one operator.
const PAUSE_MS: std::ops::Range<u64> = 300..1_500;

/// What an operator was told about a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Told {
    /// It was accepted.
    Accepted,
    /// It was not accepted.
    Refused,
    /// It may have been accepted.
    Nothing,
}

/// What operators were told, by id of the change.
pub type Answers = BTreeMap<String, Told>;

/// Operators at work.
pub struct Operators {
    stopped: Arc<AtomicBool>,
    operators: Vec<JoinHandle<Answers>>,
}

impl Operators {
    /// Starts `count` operators.
    pub fn start(platform: SocketAddr, count: u64, seed: u64) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let operators = (0..count).map(|number| {
            let stopped = Arc::clone(&stopped);
            thread::spawn(move || operate(platform, number, seed, &stopped))
        });
        Operators {
            operators: operators.collect(),
            stopped,
        }
    }

    /// Lets the operators finish and returns what they were told.
    ///
    /// # Panics
    ///
    /// Panics if the thread of an operator has panicked.
    pub fn stop(self) -> Answers {
        self.stopped.store(true, Ordering::Relaxed);
        let threads = self.operators.into_iter();
        threads
            .flat_map(|thread| thread.join().expect("operators do not panic"))
            .collect()
    }
}

fn operate(platform: SocketAddr, number: u64, seed: u64, stopped: &AtomicBool) -> Answers {
    let client = Client::new(platform, Settings::default());
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(number);
    let mut answers = Answers::new();
    while !stopped.load(Ordering::Relaxed) {
        thread::sleep(Span(random.random_range(PAUSE_MS)).into());
        let Ok(base) = operator::read(&client) else {
            continue;
        };
        let id = format!("operator-{number}-{}", answers.len());
        let weight = random.random_range(1..10);
        let text = with_weight(&base, weight);
        let change = change::next(&base, &id, &format!("operator-{number}"), &text);
        let told = match operator::apply(&client, &change, TIMEOUT) {
            Ok(_) => Told::Accepted,
            Err(operator::Error::Unsettled(_)) => Told::Nothing,
            Err(_) => Told::Refused,
        };
        answers.insert(id, told);
    }
    answers
}

/// Returns the text of a document with another weight for its last workspace.
fn with_weight(base: &Document, weight: u32) -> String {
    let mut config = document::parse(&base.text, operator::PATH).unwrap_or_default();
    if let Some(mut last) = config.workspaces.last_entry() {
        last.get_mut().weight = weight;
    }
    document::text(&config)
}
