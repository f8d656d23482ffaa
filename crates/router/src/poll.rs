//! Threads that ask the platform and the runners at intervals.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use balsamchute_base::prelude::*;
use balsamchute_dispatch::event::{Event, Listed, Load};
use balsamchute_platform::client::{self, Client, Object};
use balsamchute_platform::instance::{Entry, Kind, State};
use balsamchute_wire::config::Document;
use crossbeam_channel::{Receiver, Sender, bounded};

use crate::error::Error;
use crate::input::{Input, Source};
use crate::peers::spawn;
use crate::traffic;
use crate::work::Work;

/// Where the configuration is kept.
const CONFIG_PATH: &str = "config/current";

/// How long one watch for a new configuration waits.
const WATCH_WAIT: Span = Span::from_secs(20);

/// Pause after a call that failed.
const FAILURE_PAUSE: Span = Span(500);

/// Least time between two load reports of one runner.
const LOAD_INTERVAL: Span = Span(500);

/// Least time between two load reports of whichever runners.
const LOAD_PACE: Span = Span(250);

type Watched = Arc<Mutex<Vec<(Runner, SocketAddr)>>>;

/// The runners that are asked for their load.
pub(crate) struct Polls {
    watched: Watched,
    lists: Sender<()>,
}

impl Polls {
    /// Starts the threads.
    pub fn start(work: &Work) -> Result<Self, Error> {
        let client = Arc::new(Client::new(
            work.settings.platform,
            client::Settings::default(),
        ));
        traffic::watch_platform(work, "poll", &client);
        let watched = Watched::default();
        let config_client = Arc::clone(&client);
        spawn(work, move |work| watch_config(work, &config_client))?;
        let (lists, asked) = bounded(1);
        spawn(work, move |work| read_lists(work, &client, &asked))?;
        let runners = Arc::clone(&watched);
        spawn(work, move |work| read_loads(work, &runners))?;
        Ok(Polls { watched, lists })
    }

    /// Has the platform's list read, unless it is being read.
    pub fn read_list(&self) {
        let _ = self.lists.try_send(());
    }

    /// Sets the runners to ask.
    pub fn watch(&self, runners: Vec<(Runner, SocketAddr)>) {
        *self.watched.lock().unwrap_or_else(PoisonError::into_inner) = runners;
    }
}

fn watch_config(work: &Work, client: &Client) {
    let mut after = 0;
    let mut silent = false;
    loop {
        if !work.is_open(work.settings.platform) {
            thread::sleep(FAILURE_PAUSE.into());
            continue;
        }
        // The first read returns at once so that a new router soon serves.
        let wait = if after == 0 { Span(0) } else { WATCH_WAIT };
        let answer = client.watch(CONFIG_PATH, after, wait);
        note_silence(work, &mut silent, answer.as_ref().err());
        match answer {
            Ok(Some(object)) => {
                after = object.version;
                offer(work, object);
            }
            Ok(None) => {
                work.send(Input::Unchanged);
                if after == 0 {
                    thread::sleep(FAILURE_PAUSE.into());
                }
            }
            Err(_) => thread::sleep(FAILURE_PAUSE.into()),
        }
    }
}

/// Logs when the platform ceases to answer and when it answers again.
fn note_silence(
    work: &Work,
    silent: &mut bool,
    error: Option<&balsamchute_platform::error::Error>,
) {
    let address = work.settings.platform;
    match error {
        Some(error) if !*silent => {
            log::warn!("platform: {address} (setting \"platform\") does not answer. {error}");
        }
        None if *silent => log::info!("platform: {address} answers again."),
        _ => {}
    }
    *silent = error.is_some();
}

fn offer(work: &Work, object: Object) {
    match serde_json::from_slice::<Document>(&object.bytes) {
        Ok(document) => work.send(Input::Document(
            Source::Platform,
            Document {
                version: object.version,
                ..document
            },
        )),
        Err(error) => log::error!("config: version {} is malformed. {error}", object.version),
    }
}

fn read_lists(work: &Work, client: &Client, asked: &Receiver<()>) {
    while asked.recv().is_ok() {
        if work.is_open(work.settings.platform) {
            let asked = work.now();
            match client.instances() {
                Ok(entries) => {
                    let entries = entries.iter().filter_map(listed).collect();
                    work.event(Event::Listed(asked, entries));
                }
                Err(error) => log::debug!("platform: cannot read the list. {error}"),
            }
        }
    }
}

fn listed(entry: &Entry) -> Option<Listed> {
    let leaving = entry.state == State::Leaving;
    match entry.kind {
        Kind::Router => Some(Listed::Router {
            instance: entry.name.clone(),
            inner: entry.address,
            leaving,
        }),
        Kind::Runner => {
            let runner = Runner::new(entry.name.as_str()).ok()?;
            Some(Listed::Runner {
                runner,
                address: entry.address,
                leaving,
            })
        }
    }
}

fn read_loads(work: &Work, watched: &Watched) {
    let client = work.targets.engines();
    loop {
        let runners = watched
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let mut rest = LOAD_INTERVAL;
        for (runner, address) in runners {
            rest = rest.saturating_sub(LOAD_PACE);
            thread::sleep(LOAD_PACE.into());
            if !work.is_open(address) {
                work.event(Event::Silent(runner));
                continue;
            }
            let load = client.load(address);
            traffic::polled(work, load.is_ok());
            match load {
                Ok(load) => {
                    let load = Load {
                        running: load.running,
                        age: Span(load.age_ms),
                    };
                    work.event(Event::Load(runner, load));
                }
                Err(error) => {
                    log::debug!("target: runner \"{runner}\" reports no load. {error}");
                    work.event(Event::Silent(runner));
                }
            }
        }
        thread::sleep(rest.into());
    }
}
