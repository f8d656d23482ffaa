//! What one router costs: added latency, throughput and memory.
//!
//! The router is a process of its own: this program, run again with the
//! settings in an environment variable. Engines and platform are stand-ins in
//! this process. Exits non-zero if a bound is exceeded.

#[path = "edge/caller.rs"]
mod caller;
#[path = "edge/fleet.rs"]
mod fleet;

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use criterion::Criterion;

use caller::Caller;
use fleet::Fleet;

/// Pairs of requests that are compared, one straight and one routed.
const PAIRS: usize = 2_000;

/// Most that a router may add to the first token at the median: the goal.
const MAX_ADDED: Duration = Duration::from_millis(1);

/// Callers that send one request after the other.
const CALLERS: usize = 32;

/// How long they do.
const THROUGHPUT_TIME: Duration = Duration::from_secs(5);

/// Least requests a second: 16,000 over 350 nodes.
const MIN_REQUESTS: f64 = 16_000.0 / 350.0;

/// Open streams at which memory is measured.
const STREAMS: [usize; 3] = [50, 200, 700];

/// Most memory of the process at the most streams, in KiB: 64 MB.
const MAX_MEMORY_KIB: u64 = 64 * 1024;

fn main() -> ExitCode {
    if fleet::is_router() {
        return fleet::run_router();
    }
    let fleet = Fleet::start();
    let mut criterion = Criterion::default().configure_from_args();
    measure_first_token(&fleet, &mut criterion);
    let bounds = [added_latency(&fleet), throughput(&fleet), memory(&fleet)];
    if bounds.iter().all(|within| *within) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn measure_first_token(fleet: &Fleet, criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("first_token");
    let caller = Caller::new();
    group.bench_function("straight", |bencher| {
        bencher.iter(|| caller.straight(fleet.engine_address(), 1));
    });
    group.bench_function("routed", |bencher| {
        bencher.iter(|| caller.routed(fleet.router_address(), 1));
    });
    group.finish();
}

fn verdict(within: bool) -> &'static str {
    if within { "within" } else { "ABOVE" }
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort();
    times[times.len() / 2]
}

/// Compares the first token straight from the engine and through the router.
fn added_latency(fleet: &Fleet) -> bool {
    let caller = Caller::new();
    let (mut straight, mut routed) = (Vec::new(), Vec::new());
    for _ in 0..PAIRS {
        straight.push(caller.straight(fleet.engine_address(), 1));
        routed.push(caller.routed(fleet.router_address(), 1));
    }
    let (straight, routed) = (median(straight), median(routed));
    let added = routed.saturating_sub(straight);
    let within = added <= MAX_ADDED;
    println!(
        "first token, median of {PAIRS}: straight {straight:?}, routed {routed:?}, \
         added {added:?}, {} {MAX_ADDED:?}",
        verdict(within)
    );
    within
}

/// Counts the requests that callers get through in a closed loop.
fn throughput(fleet: &Fleet) -> bool {
    let (count, stop) = (AtomicU64::new(0), AtomicBool::new(false));
    let start = Instant::now();
    thread::scope(|scope| {
        for _ in 0..CALLERS {
            scope.spawn(|| {
                let caller = Caller::new();
                while !stop.load(Ordering::Relaxed) {
                    caller.routed(fleet.router_address(), 1);
                    count.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        thread::sleep(THROUGHPUT_TIME);
        stop.store(true, Ordering::Relaxed);
    });
    let rate = count.load(Ordering::Relaxed) as f64 / start.elapsed().as_secs_f64();
    let within = rate >= MIN_REQUESTS;
    println!(
        "throughput, {CALLERS} callers: {rate:.0} requests/s, {} at least {MIN_REQUESTS:.0}",
        if within { "within" } else { "BELOW" }
    );
    within
}

/// Measures the router's resident memory with streams open.
fn memory(fleet: &Fleet) -> bool {
    let empty = fleet.usage();
    println!("memory, idle: {} KiB, {} threads", empty.kib, empty.threads);
    let mut within = true;
    for streams in STREAMS {
        let callers: Vec<_> = (0..streams).map(|_| fleet.open_stream()).collect();
        fleet.wait_running(streams);
        let usage = fleet.usage();
        let each = usage.kib.saturating_sub(empty.kib) as f64 / streams as f64;
        within &= usage.kib <= MAX_MEMORY_KIB;
        println!(
            "memory, {streams} streams: {} KiB, {each:.1} KiB a stream, {} threads, \
             {} {MAX_MEMORY_KIB} KiB",
            usage.kib,
            usage.threads,
            verdict(usage.kib <= MAX_MEMORY_KIB)
        );
        drop(callers);
        fleet.wait_running(0);
    }
    within
}
