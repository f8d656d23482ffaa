//! Start and stop of a router process.

use std::time::{Duration, Instant};

use balsamchute_base::clock::Clock;
use balsamchute_base::prelude::*;
use balsamchute_dispatch::dispatcher::Dispatcher;
use balsamchute_dispatch::event::Event;
use balsamchute_dispatch::settings;
use balsamchute_metrics::Metrics;
use balsamchute_wire::exchange::{Member, Phase};
use crossbeam_channel::{Receiver, RecvTimeoutError, unbounded};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use stakker::{Stakker, actor, call, ret_shutdown};

use crate::cancel::{self, Cancellations};
use crate::claims::Claims;
use crate::context::Context;
use crate::error::Error;
use crate::hooks::Hooks;
use crate::input::Input;
use crate::listen::Sockets;
use crate::node::Node;
use crate::peers::{Peers, spawn};
use crate::poll::Poller;
use crate::settings::Settings;

/// Interval of the ticks that the actor receives.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of further queued inputs that are handled before the timers
/// are checked again.
const MAX_EXTRA_INPUTS: usize = 256;

/// Longest wait for the last answers to be written before the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which the process stays alive after the last address response that
/// names it has expired.
const LINGER_MARGIN: Duration = Duration::from_millis(500);

/// Final part of the grace period, in which answers that have not ended are
/// ended. Shortened to half of the grace period if that is less.
const FORCED_END_PERIOD: Duration = Duration::from_secs(2);

/// Runs a router until a stop is requested and all its work has ended, or until
/// the grace period of the stop is over.
///
/// # Errors
///
/// Returns an [`Error`] if an address cannot be bound or a thread cannot be
/// started.
pub fn serve(settings: Settings, hooks: Hooks) -> Result<(), Error> {
    let sockets = Sockets::bind(&settings)?;
    serve_on(sockets, settings, hooks)
}

/// Same as [`serve`], on sockets that are bound to the addresses in the settings.
///
/// # Errors
///
/// Returns an [`Error`] if a socket cannot be used or a thread cannot be started.
pub fn serve_on(sockets: Sockets, settings: Settings, hooks: Hooks) -> Result<(), Error> {
    let clock = Clock::new();
    let (inputs, receiver) = unbounded();
    let (callers, inner) = sockets.into_listeners(&settings);
    let grace = Duration::from_millis(settings.grace_ms);
    let dispatcher = new_dispatcher(&settings, &clock);
    let metrics = Metrics::new(settings.limits.labels).map_err(Error::Metrics)?;
    let (cancellations, cancel_queue) = Cancellations::new();
    let context = Context::new(settings, hooks, clock, inputs, metrics, cancellations);
    spawn(&context, move |_| cancel::run(&cancel_queue))?;
    let peers = Peers::start(&context)?;
    let poller = Poller::start(&context)?;
    let claims = Claims::start(&context)?;
    callers.start(&context)?;
    inner.start(&context)?;
    handle_signals(&context)?;
    let instance = context.settings.instance.clone();
    log::info!(
        "router: \"{instance}\" listens on {} and {}.",
        context.settings.callers,
        context.settings.inner
    );
    let process_context = context.clone();
    let stop_requested_at = run_actor(receiver, grace, &process_context, |stakker| {
        actor!(
            stakker,
            Node::init(context, dispatcher, peers, poller, claims),
            ret_shutdown!(stakker)
        )
    });
    linger(&process_context, stop_requested_at, grace);
    log::info!("router: \"{instance}\" has stopped.");
    Ok(())
}

/// Refuses requests until every cached address response that names this router
/// has expired.
///
/// A connection that is closed during a request would leave its caller with an
/// unknown outcome.
fn linger(context: &Context, stop_requested_at: Option<Instant>, grace: Duration) {
    let linger_time = Duration::from(settings::Settings::default().address_ttl) + LINGER_MARGIN;
    if let Some(stop_requested_at) = stop_requested_at {
        let deadline = stop_requested_at + linger_time.min(grace);
        std::thread::sleep(deadline.saturating_duration_since(Instant::now()));
    }
    context.wait_idle(FLUSH_TIMEOUT);
}

fn new_dispatcher(settings: &Settings, clock: &Clock) -> Dispatcher {
    let member = Member {
        instance: settings.instance.clone(),
        incarnation: Incarnation(clock.start().0),
        heartbeat: 0,
        phase: Phase::Starting,
        domain: settings.domain.clone(),
        callers: settings.callers,
        inner: settings.inner,
        config: 0,
        services: Vec::new(),
    };
    let dispatch_settings = settings::Settings {
        max_requests: settings.limits.queue,
        ..settings::Settings::default()
    };
    let seed = rand::random();
    Dispatcher::new(member, dispatch_settings, seed)
}

/// Begins a planned stop when the process receives a signal to terminate.
fn handle_signals(context: &Context) -> Result<(), Error> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(Error::Signal)?;
    spawn(context, move |context| {
        for signal in signals.forever() {
            log::info!("router: received signal {signal}. A planned stop begins.");
            context.send_event(Event::DrainRequested);
        }
    })
}

/// Passes inputs to the actor until it stops or the grace period is over.
/// Returns the time at which the stop was requested.
fn run_actor(
    receiver: Receiver<Input>,
    grace: Duration,
    context: &Context,
    start_actor: impl FnOnce(&mut Stakker) -> stakker::ActorOwn<Node>,
) -> Option<Instant> {
    let mut stakker = Stakker::new(Instant::now());
    let node = start_actor(&mut stakker);
    let mut last_tick = Instant::now();
    let mut stop_requested_at = None;
    loop {
        match receiver.recv_timeout(TICK_INTERVAL.saturating_sub(last_tick.elapsed())) {
            Ok(input) => {
                let batch =
                    std::iter::once(input).chain(receiver.try_iter().take(MAX_EXTRA_INPUTS));
                for input in batch {
                    if matches!(input, Input::Event(Event::DrainRequested)) {
                        stop_requested_at.get_or_insert_with(Instant::now);
                    }
                    call!([node], handle_input(input));
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return stop_requested_at,
        }
        if last_tick.elapsed() >= TICK_INTERVAL {
            last_tick = Instant::now();
            call!([node], tick());
        }
        stakker.run(Instant::now(), false);
        if !stakker.not_shutdown() {
            return stop_requested_at;
        }
        if stop_requested_at.is_some_and(|time| time.elapsed() >= grace) {
            return stop_requested_at;
        }
        let forced_end_after = grace.saturating_sub(FORCED_END_PERIOD).max(grace / 2);
        if !context.is_end_forced()
            && stop_requested_at.is_some_and(|time| time.elapsed() >= forced_end_after)
        {
            log::warn!(
                "router: the grace period of the planned stop is almost over. Remaining answers are ended."
            );
            context.force_end();
        }
    }
}
