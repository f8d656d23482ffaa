//! Starting and stopping a router.

use std::time::{Duration, Instant};

use balsamchute_base::clock::Clock;
use balsamchute_base::prelude::*;
use balsamchute_dispatch::core::Core;
use balsamchute_dispatch::event::Event;
use balsamchute_dispatch::settings;
use balsamchute_metrics::Metrics;
use balsamchute_wire::exchange::{Member, Phase};
use crossbeam_channel::{Receiver, RecvTimeoutError, unbounded};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use stakker::{Stakker, actor, call, ret_shutdown};

use crate::cancel::{self, Cancels};
use crate::claims::Claims;
use crate::error::Error;
use crate::hooks::Hooks;
use crate::input::Input;
use crate::listen::Listener;
use crate::node::Node;
use crate::peers::{Peers, spawn};
use crate::poll::Polls;
use crate::settings::Settings;
use crate::work::Work;
use crate::{callers, inner};

/// Time between two ticks of the state.
const TICK: Duration = Duration::from_millis(50);

/// Threads that serve control messages of other routers.
const INNER_THREADS: usize = 4;

/// Inputs taken in between two looks at the clock.
const BURST: usize = 256;

/// Longest time for the last answers to leave the process.
const FLUSH: Duration = Duration::from_secs(2);

/// Time by which the process outlives the address answers that name it.
const LINGER_MARGIN: Duration = Duration::from_millis(500);

/// Last part of the grace time, in which answers that have not ended are ended.
const LAST_ENDS: Duration = Duration::from_secs(2);

/// Runs a router until it is told to stop and all its work has ended.
///
/// # Errors
///
/// Returns an [`Error`] if an address is in use or a thread cannot be started.
pub fn serve(settings: Settings, hooks: Hooks) -> Result<(), Error> {
    let clock = Clock::new();
    let (inputs, receiver) = unbounded();
    let callers = Listener::bind("callers", settings.callers, 1, callers::take)?;
    let inner = Listener::bind("inner", settings.inner, INNER_THREADS, inner::take)?;
    let grace = Duration::from_millis(settings.grace_ms);
    let core = core(&settings, &clock);
    let metrics = Metrics::new(settings.limits.labels).map_err(Error::Metrics)?;
    let (cancels, due) = Cancels::new();
    let work = Work::new(settings, hooks, clock, inputs, metrics, cancels);
    spawn(&work, move |_| cancel::run(&due))?;
    let peers = Peers::start(&work)?;
    let polls = Polls::start(&work)?;
    let claims = Claims::start(&work)?;
    callers.start(&work)?;
    inner.start(&work)?;
    watch_signals(&work)?;
    let instance = work.settings.instance.clone();
    log::info!(
        "router: \"{instance}\" listens on {} and {}.",
        work.settings.callers,
        work.settings.inner
    );
    let answering = work.clone();
    let stopped = run(receiver, grace, &answering, |stakker| {
        actor!(
            stakker,
            Node::init(work, core, peers, polls, claims),
            ret_shutdown!(stakker)
        )
    });
    linger(&answering, stopped, grace);
    log::info!("router: \"{instance}\" has stopped.");
    Ok(())
}

/// Refuses requests until no caller's address answer names this router any more.
///
/// A connection that is closed under a request would leave its caller in doubt.
fn linger(work: &Work, stopped: Option<Instant>, grace: Duration) {
    let keep = Duration::from(settings::Settings::default().keep) + LINGER_MARGIN;
    if let Some(stopped) = stopped {
        let until = stopped + keep.min(grace);
        std::thread::sleep(until.saturating_duration_since(Instant::now()));
    }
    work.wait_idle(FLUSH);
}

fn core(settings: &Settings, clock: &Clock) -> Core {
    let me = Member {
        instance: settings.instance.clone(),
        incarnation: Incarnation(clock.start().0),
        beat: 0,
        phase: Phase::Starting,
        domain: settings.domain.clone(),
        callers: settings.callers,
        inner: settings.inner,
        config: 0,
        services: Vec::new(),
    };
    let decisions = settings::Settings {
        queue: settings.limits.queue,
        ..settings::Settings::default()
    };
    let seed = rand::random();
    Core::new(me, decisions, seed)
}

/// Turns a request to end the process into a planned stop.
fn watch_signals(work: &Work) -> Result<(), Error> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(Error::Signal)?;
    spawn(work, move |work| {
        for signal in signals.forever() {
            log::info!("router: signal {signal}. A planned stop begins.");
            work.event(Event::Stop);
        }
    })
}

/// Feeds inputs to the actor until it stops or the grace time is over. Returns
/// when the stop was asked for.
fn run(
    receiver: Receiver<Input>,
    grace: Duration,
    work: &Work,
    start: impl FnOnce(&mut Stakker) -> stakker::ActorOwn<Node>,
) -> Option<Instant> {
    let mut stakker = Stakker::new(Instant::now());
    let node = start(&mut stakker);
    let mut last_tick = Instant::now();
    let mut stopped = None;
    loop {
        match receiver.recv_timeout(TICK.saturating_sub(last_tick.elapsed())) {
            Ok(input) => {
                let burst = std::iter::once(input).chain(receiver.try_iter().take(BURST));
                for input in burst {
                    if matches!(input, Input::Event(Event::Stop)) {
                        stopped.get_or_insert_with(Instant::now);
                    }
                    call!([node], input(input));
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return stopped,
        }
        if last_tick.elapsed() >= TICK {
            last_tick = Instant::now();
            call!([node], tick());
        }
        stakker.run(Instant::now(), false);
        if !stakker.not_shutdown() {
            return stopped;
        }
        if stopped.is_some_and(|time| time.elapsed() >= grace) {
            return stopped;
        }
        let last_ends = grace.saturating_sub(LAST_ENDS).max(grace / 2);
        if !work.is_closing() && stopped.is_some_and(|time| time.elapsed() >= last_ends) {
            log::warn!("router: the grace time of the planned stop ends. So do all answers.");
            work.close();
        }
    }
}
