//! Threads that poll the platform and the runners.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use balsamchute_base::prelude::*;
use balsamchute_dispatch::event::{Event, Listed, Load};
use balsamchute_platform::client::{self, Client, Object};
use balsamchute_platform::instance::{Entry, Kind, State};
use balsamchute_wire::config::Document;
use crossbeam_channel::{Receiver, Sender, bounded};

use crate::context::Context;
use crate::error::Error;
use crate::input::{Input, Source};
use crate::peers::spawn;
use crate::traffic;

/// Path of the configuration in the platform's object store.
const CONFIG_PATH: &str = "config/current";

/// Longest time that one watch waits for a new configuration. If the platform never answers
/// it, the next one must still be made within the 7 s in which a change has to be in force.
const WATCH_WAIT: Span = Span::from_secs(4);

/// Pause after a failed call, in milliseconds.
const FAILURE_PAUSE: Span = Span(500);

/// Minimum interval between two requests for the load of the same runner, in
/// milliseconds.
const LOAD_INTERVAL: Span = Span(500);

/// Interval between two requests for the load of any runner, in milliseconds.
/// More than two runners are each polled once in this time multiplied by their
/// number.
const LOAD_SPACING: Span = Span(250);

type SharedRunners = Arc<Mutex<Vec<(Runner, SocketAddr)>>>;

/// Handle by which the actor controls the threads that poll the platform and the
/// runners.
pub(crate) struct Poller {
    polled_runners: SharedRunners,
    list_requests: Sender<()>,
}

impl Poller {
    /// Starts a thread each for the configuration, the list of instances and
    /// the runners' load.
    pub fn start(context: &Context) -> Result<Self, Error> {
        let client = Arc::new(Client::new(
            context.settings.platform,
            client::Settings::default(),
        ));
        traffic::register_platform_calls(context, "poll", &client);
        let polled_runners = SharedRunners::default();
        let watch_client = Arc::clone(&client);
        spawn(context, move |context| watch_config(context, &watch_client))?;
        let (list_requests, queue) = bounded(1);
        spawn(context, move |context| read_lists(context, &client, &queue))?;
        let runners = Arc::clone(&polled_runners);
        spawn(context, move |context| poll_loads(context, &runners))?;
        Ok(Poller {
            polled_runners,
            list_requests,
        })
    }

    /// Requests a read of the platform's list of instances. Has no effect while
    /// another request is queued.
    pub fn request_list(&self) {
        let _ = self.list_requests.try_send(());
    }

    /// Replaces the runners whose load is polled.
    pub fn set_runners(&self, runners: Vec<(Runner, SocketAddr)>) {
        *self
            .polled_runners
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = runners;
    }
}

fn watch_config(context: &Context, client: &Client) {
    let mut seen_version = 0;
    let mut failing = false;
    loop {
        if !context.may_connect(context.settings.platform) {
            thread::sleep(FAILURE_PAUSE.into());
            continue;
        }
        // The first read returns immediately, so that a new router can serve
        // soon, and so does the first one after a failure.
        let wait = if seen_version == 0 || failing {
            Span(0)
        } else {
            WATCH_WAIT
        };
        let result = client.watch(CONFIG_PATH, seen_version, wait);
        log_watch_state(context, &mut failing, result.as_ref().err());
        match result {
            Ok(Some(object)) => {
                seen_version = object.version;
                send_config(context, object);
            }
            Ok(None) => {
                context.send(Input::ConfigUnchanged);
                // No configuration is stored yet. The next watch has a wait of zero and
                // would return at once.
                if seen_version == 0 {
                    thread::sleep(FAILURE_PAUSE.into());
                }
            }
            Err(_) => thread::sleep(FAILURE_PAUSE.into()),
        }
    }
}

/// Logs when the configuration cannot be read from the platform, and when it can
/// be read again.
fn log_watch_state(
    context: &Context,
    failing: &mut bool,
    error: Option<&balsamchute_platform::error::Error>,
) {
    let address = context.settings.platform;
    match error {
        Some(error) if !*failing => {
            log::warn!(
                "platform: cannot read the configuration from {address} (setting \"platform\"). {error}"
            );
        }
        None if *failing => log::info!("platform: read the configuration from {address} again."),
        _ => {}
    }
    *failing = error.is_some();
}

fn send_config(context: &Context, object: Object) {
    match serde_json::from_slice::<Document>(&object.bytes) {
        Ok(document) => context.send(Input::ConfigRead(
            Source::Platform,
            Document {
                version: object.version,
                ..document
            },
        )),
        Err(error) => log::error!("config: version {} is malformed. {error}", object.version),
    }
}

fn read_lists(context: &Context, client: &Client, queue: &Receiver<()>) {
    while queue.recv().is_ok() {
        if context.may_connect(context.settings.platform) {
            let requested_at = context.now();
            match client.instances() {
                Ok(entries) => {
                    let entries = entries.iter().filter_map(to_listed).collect();
                    context.send_event(Event::ListRead(requested_at, entries));
                }
                Err(error) => log::debug!("platform: cannot read the list of instances. {error}"),
            }
        }
    }
}

fn to_listed(entry: &Entry) -> Option<Listed> {
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

fn poll_loads(context: &Context, polled_runners: &SharedRunners) {
    let client = context.targets.engines();
    loop {
        let runners = polled_runners
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let mut pause = LOAD_INTERVAL;
        for (runner, address) in runners {
            pause = pause.saturating_sub(LOAD_SPACING);
            thread::sleep(LOAD_SPACING.into());
            if !context.may_connect(address) {
                context.send_event(Event::RunnerUnresponsive(runner));
                continue;
            }
            let load = client.load_report(address);
            traffic::count_load_poll(context, load.is_ok());
            match load {
                Ok(load) => {
                    let load = Load {
                        running: load.running,
                        age: Span(load.age_ms),
                    };
                    context.send_event(Event::Load(runner, load));
                }
                Err(error) => {
                    log::debug!("target: runner \"{runner}\" reports no load. {error}");
                    context.send_event(Event::RunnerUnresponsive(runner));
                }
            }
        }
        thread::sleep(pause.into());
    }
}
