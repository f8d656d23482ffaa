//! Requests to runners that started a short time ago.

mod common;

use std::collections::{BTreeMap, VecDeque};

use balsamchute_model::manifest::{ColdStart, ServiceSpec};
use balsamchute_model::prelude::*;
use balsamchute_schedule::Scheduler;
use balsamchute_schedule::action::{Action, End, Id};
use balsamchute_schedule::cold::Bound;
use balsamchute_schedule::report::{Report, Sum};
use balsamchute_schedule::request::Request;
use common::{
    NOW, entry, model_request, named_scheduler, plain_request, runner, scheduler, sends, service,
};

const COLD: Span = Span(10_000);
const SECOND: Span = Span(1000);
const ANSWER_TIME: Span = Span(40);

fn manifest(per_second: f64) -> Manifest {
    let spec = ServiceSpec {
        service: service("plain"),
        max_connections: 100,
        engine: None,
        cold_start: Some(ColdStart {
            duration: COLD,
            per_second,
        }),
    };
    Manifest::new(1, Vec::new()).with_services(vec![spec])
}

fn cold_scheduler(name: &str, per_second: f64) -> Scheduler {
    let mut scheduler = named_scheduler(name, 100);
    scheduler.set_manifest(&manifest(per_second));
    scheduler
}

/// Returns the entry of a runner of the service with cold starts.
fn listed(name: &str, started_at: u64, warmup: Span) -> Entry {
    Entry {
        started_at,
        warmup,
        ..entry(name, "plain", 64)
    }
}

/// Router of a [`Fleet`], with the age of the reports that it gets.
struct Router {
    scheduler: Scheduler,
    lag: Span,
    /// Routers of one side hear each other.
    side: usize,
    joined_at: Time,
    due: f64,
}

/// Routers that exchange sums of their reports, before cold runners.
struct Fleet {
    routers: Vec<Router>,
    per_second: f64,
    names: Vec<String>,
    now: Time,
    next_id: Id,
    answers: VecDeque<(Time, usize, Id)>,
    reports: VecDeque<(Time, Vec<Option<Report>>)>,
    arrivals: BTreeMap<String, Vec<Time>>,
}

impl Fleet {
    /// Creates routers that have all heard of each other, and know warm runners.
    fn new(routers: usize, per_second: f64, runners: usize) -> Self {
        let names = (0..runners).map(|number| format!("p{number}")).collect();
        let mut fleet = Fleet {
            routers: Vec::new(),
            per_second,
            names,
            now: NOW,
            next_id: 0,
            answers: VecDeque::new(),
            reports: VecDeque::new(),
            arrivals: BTreeMap::new(),
        };
        for _ in 0..routers {
            fleet.start_router(Span(0));
            let router = fleet.routers.last_mut().unwrap();
            router.scheduler.set_router_count(routers as u32);
            router.scheduler.set_alive_count(NOW, routers as u32);
        }
        fleet
    }

    /// Starts a router, to whose list the runners are known as cold for `warmup`.
    fn start_router(&mut self, warmup: Span) {
        let number = self.routers.len();
        let mut scheduler = cold_scheduler(&format!("r{number}.1"), self.per_second);
        for name in &self.names {
            scheduler.set_runner(self.now, listed(name, 1, warmup));
        }
        scheduler.end_first_list();
        self.routers.push(Router {
            scheduler,
            lag: Span(100 + (number as u64 * 70) % 201),
            side: 0,
            joined_at: self.now,
            due: 0.0,
        });
    }

    /// All runners restart; routers learn it by the list within 0.8 s.
    fn restart_runners(&mut self) {
        for (number, router) in self.routers.iter_mut().enumerate() {
            for name in &self.names {
                let at = self.now + Span(number as u64 * 130 % 800);
                router.scheduler.set_runner(at, listed(name, 2, COLD));
            }
        }
    }

    /// Plays `span`; `per_second` gives the requests that arrive at a router.
    fn play(&mut self, span: Span, per_second: impl Fn(usize) -> f64) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Span(10);
            while let Some((_, number, id)) =
                self.answers.pop_front_if(|(due, ..)| *due <= self.now)
            {
                let scheduler = &mut self.routers[number].scheduler;
                scheduler.finish_attempt(self.now, id, End::Done);
                self.carry_out(number);
            }
            if self.now.0.is_multiple_of(100) {
                self.exchange();
            }
            for number in 0..self.routers.len() {
                let now = self.now;
                let router = &mut self.routers[number];
                router.due += per_second(number) / 100.0;
                while router.due >= 1.0 {
                    router.due -= 1.0;
                    self.next_id += 1;
                    let request = Request {
                        workspace: None,
                        deadline: now + SECOND,
                        ..plain_request(RetryPolicy::Idempotent, 2)
                    };
                    router.scheduler.submit(now, self.next_id, request);
                }
                if now.0.is_multiple_of(20) {
                    router.scheduler.tick(now);
                }
                self.carry_out(number);
            }
        }
    }

    fn carry_out(&mut self, number: usize) {
        let actions = self.routers[number].scheduler.take_actions();
        for (id, name) in sends(&actions) {
            self.arrivals.entry(name).or_default().push(self.now);
            self.answers.push_back((self.now + ANSWER_TIME, number, id));
        }
    }

    /// Delivers sums of the reports, each to a router at its own age. Routers of other
    /// sides, and those that started a short time ago, neither get nor give any.
    fn exchange(&mut self) {
        let now = self.now;
        let is_heard =
            |router: &Router| router.joined_at == NOW || now.since(router.joined_at) >= Span(400);
        let sides = self.routers.iter();
        let sides: Vec<Option<usize>> = sides
            .map(|router| is_heard(router).then_some(router.side))
            .collect();
        let routers = self.routers.iter();
        let reports = routers.map(|router| is_heard(router).then(|| router.scheduler.report(now)));
        self.reports.push_back((now, reports.collect()));
        for (number, router) in self.routers.iter_mut().enumerate() {
            let on_side = sides.iter().filter(|side| **side == sides[number]);
            let alive = sides[number].map_or(1, |_| on_side.count() as u32);
            router.scheduler.set_alive_count(now, alive);
            router.scheduler.set_router_count(alive);
            let due = self.reports.iter().rev();
            let mut due = due.filter(|(made_at, _)| now.since(*made_at) >= router.lag);
            let Some((_, reports)) = due.next() else {
                continue;
            };
            let (true, Some(Some(own))) = (alive > 1, reports.get(number)) else {
                continue;
            };
            let mut sum = Sum::new();
            for (report, side) in reports.iter().zip(&sides) {
                if let (Some(report), true) = (report, *side == sides[number]) {
                    sum.add(report);
                }
            }
            let fleet = Instance::new("fleet").unwrap();
            let report = sum.into_report().excluding(own);
            router.scheduler.apply_report(now, &fleet, &report);
        }
        if self.reports.len() > 8 {
            self.reports.pop_front();
        }
    }

    /// Returns the most requests that a runner got within one second since `since`.
    fn most_in_second(&self, since: Time) -> usize {
        let most = self.arrivals.values().map(|arrivals| {
            let counted: Vec<Time> = arrivals.iter().copied().filter(|at| *at >= since).collect();
            let in_window = |(index, first): (usize, &Time)| {
                let end = *first + SECOND;
                counted[index..].iter().filter(|at| **at < end).count()
            };
            counted.iter().enumerate().map(in_window).max().unwrap_or(0)
        });
        most.max().unwrap_or(0)
    }

    fn count(&self, since: Time) -> usize {
        let arrivals = self.arrivals.values().flatten();
        arrivals.filter(|at| **at >= since).count()
    }
}

/// Plays runners that restart while demand is far above what they sustain. Most requests
/// come after a pause in which all routers have collected tokens.
fn play_restart(fleet: &mut Fleet, each: f64) -> Time {
    fleet.play(Span(2000), |_| each);
    fleet.restart_runners();
    fleet.play(Span(800), |_| 0.0);
    let since = fleet.now;
    fleet.play(Span(2000), |_| each);
    fleet.play(Span(1500), |_| 0.0);
    fleet.play(Span(2000), |_| each);
    since
}

fn assert_bound(fleet: &Fleet, since: Time, name: &str) {
    let bound = Bound::default().max_in_second(fleet.per_second);
    let most = fleet.most_in_second(since);
    assert!(most as f64 <= bound, "{name}: {most} of {bound}");
}

/// Guards against routers that each use the whole rate, or spend saved tokens at once.
#[test]
fn cold_runners_get_no_more_requests_in_any_second_than_the_bound() {
    for per_second in [9.3, 7.6] {
        for (routers, runners) in [(1, 3), (8, 6), (88, 4)] {
            let mut fleet = Fleet::new(routers, per_second, runners);
            let each = 100.0 * runners as f64 / routers as f64;
            let since = play_restart(&mut fleet, each);
            assert_bound(&fleet, since, &format!("{routers} routers"));
            // The pace is used: 5.5 s with demand or saved tokens.
            let used = fleet.count(since) as f64 / runners as f64 / 4.0;
            assert!(
                used >= 0.7 * per_second.min(7.0),
                "{routers}: {used} a second"
            );
        }
    }
}

/// Guards against a router that takes itself for the only one, because it hears no other,
/// and against one that has just started.
#[test]
fn a_router_that_is_cut_off_and_one_that_starts_keep_to_the_bound() {
    for per_second in [9.3, 7.6] {
        for (routers, runners) in [(2, 4), (8, 6), (60, 4)] {
            let mut fleet = Fleet::new(routers, per_second, runners);
            let each = 100.0 * runners as f64 / routers as f64;
            fleet.play(Span(2000), |_| each);
            fleet.restart_runners();
            fleet.play(Span(800), |_| 0.0);
            let since = fleet.now;
            fleet.routers[0].side = 1;
            fleet.play(Span(1000), |_| each);
            fleet.start_router(Span(8200));
            fleet.play(Span(7000), |_| each);
            assert_bound(&fleet, since, &format!("{routers} routers"));
        }
    }
}

/// Guards against parts of a partition that each use the whole rate.
#[test]
fn the_sides_of_a_partition_keep_to_the_bound() {
    for per_second in [9.3, 7.6] {
        for sides in [2, 8] {
            let mut fleet = Fleet::new(8, per_second, 6);
            fleet.play(Span(2000), |_| 75.0);
            for (number, router) in fleet.routers.iter_mut().enumerate() {
                router.side = number % sides;
            }
            fleet.play(Span(12_000), |_| 75.0);
            let since = play_restart(&mut fleet, 75.0);
            assert_bound(&fleet, since, &format!("{sides} sides"));
        }
    }
}

/// Guards against tokens of a router that lost its demand, beside those of the one that
/// has it now.
#[test]
fn demand_that_moves_between_routers_keeps_to_the_bound() {
    for per_second in [9.3, 7.6] {
        let mut fleet = Fleet::new(8, per_second, 6);
        fleet.play(Span(2000), |_| 75.0);
        fleet.restart_runners();
        fleet.play(Span(800), |_| 0.0);
        let since = fleet.now;
        for busy in [0, 3, 5, 1] {
            fleet.play(
                Span(1500),
                |number| if number == busy { 500.0 } else { 10.0 },
            );
        }
        assert_bound(&fleet, since, "moving demand");
    }
}

/// Guards against a herd of requests when a cold period ends.
#[test]
fn after_the_cold_period_the_load_at_most_doubles_each_second() {
    let mut fleet = Fleet::new(8, 9.3, 2);
    fleet.play(Span(1000), |_| 75.0);
    fleet.restart_runners();
    fleet.play(Span(9000), |_| 75.0);
    let mut last = fleet.count(fleet.now + Span(1) - SECOND);
    for second in 0..6 {
        let since = fleet.now + Span(1);
        fleet.play(SECOND, |_| 75.0);
        let load = fleet.count(since);
        // Requests of two runners are whole.
        assert!(load <= last * 2 + 2, "second {second}: {load} after {last}");
        last = load;
    }
    assert!(last >= 150, "{last}");
}

/// Sends requests until the rate of runner `p0` holds them back; returns how many it gets.
fn sent_at_once(scheduler: &mut Scheduler, now: Time) -> usize {
    for id in 1..=20 {
        let request = Request {
            deadline: now + SECOND,
            workspace: None,
            ..plain_request(RetryPolicy::Idempotent, 2)
        };
        scheduler.submit(now, id, request);
    }
    let sent = sends(&scheduler.take_actions()).len();
    for id in 1..=20 {
        scheduler.cancel(now, id);
    }
    scheduler.take_actions();
    sent
}

fn is_cold(scheduler: &mut Scheduler, now: Time) -> bool {
    scheduler.tick(now);
    sent_at_once(scheduler, now) < 20
}

/// Returns a scheduler whose first list has runner `p0`, in its process 1.
fn with_warm_runner() -> Scheduler {
    let mut scheduler = cold_scheduler("r1.1", 9.3);
    scheduler.set_runner(NOW, listed("p0", 1, Span(0)));
    scheduler.end_first_list();
    assert!(!is_cold(&mut scheduler, NOW));
    scheduler
}

const RAMP: Span = Span(5000);

#[test]
fn runners_are_cold_after_their_start_by_the_list() {
    let mut scheduler = with_warm_runner();
    // An expired entry that comes back is no restart.
    scheduler.remove_runner(&runner("p0"));
    scheduler.set_runner(NOW, listed("p0", 1, Span(0)));
    assert!(!is_cold(&mut scheduler, NOW));
    scheduler.set_runner(NOW, listed("p0", 2, Span(0)));
    assert!(is_cold(&mut scheduler, NOW + COLD + SECOND));
    assert!(!is_cold(&mut scheduler, NOW + COLD + RAMP));
    let mut scheduler = cold_scheduler("r1.1", 9.3);
    scheduler.set_runner(NOW, listed("p0", 1, Span(3000)));
    assert!(is_cold(&mut scheduler, NOW + Span(2900)));
    assert!(!is_cold(&mut scheduler, NOW + Span(3000) + RAMP));
    let mut scheduler = cold_scheduler("r1.1", 9.3);
    scheduler.end_first_list();
    scheduler.set_runner(NOW, listed("p0", 1, Span(0)));
    assert!(is_cold(&mut scheduler, NOW));
}

/// Guards against a runner that restarts under its id: its first responses arrive before
/// its new entry, over connections that count as those of the earlier process.
#[test]
fn responses_count_more_than_entries_also_before_the_entry_of_a_new_process() {
    let mut scheduler = with_warm_runner();
    let name = runner("p0");
    scheduler.record_cold(NOW, &name, 1, Span(4000));
    assert!(is_cold(&mut scheduler, NOW));
    scheduler.set_runner(NOW + Span(900), listed("p0", 2, Span(4200)));
    // What a connection of the earlier process says of warmth does not count.
    scheduler.record_cold(NOW + Span(950), &name, 1, Span(0));
    assert!(is_cold(&mut scheduler, NOW + Span(3900)));
    assert!(!is_cold(&mut scheduler, NOW + Span(4000) + RAMP));
    // A response that is older than the process does not hide its start.
    scheduler.record_cold(NOW + Span(10_000), &name, 2, Span(0));
    scheduler.set_runner(NOW + Span(10_100), listed("p0", 3, Span(9000)));
    assert!(is_cold(&mut scheduler, NOW + Span(19_000)));
    scheduler.record_cold(NOW + Span(19_000), &name, 3, Span(0));
    assert!(!is_cold(&mut scheduler, NOW + Span(19_000) + RAMP));
}

/// Sends one request to `p0` and ends it with `end`.
fn end_attempt(scheduler: &mut Scheduler, now: Time, end: End) {
    let request = Request {
        deadline: now + SECOND,
        workspace: None,
        ..plain_request(RetryPolicy::AtMostOnce, 1)
    };
    scheduler.submit(now, 99, request);
    assert_eq!(sends(&scheduler.take_actions()).len(), 1);
    scheduler.record_write(99);
    scheduler.finish_attempt(now, 99, end);
    scheduler.cancel(now, 99);
    scheduler.take_actions();
}

#[test]
fn a_runner_that_refused_a_connection_is_cold_from_its_next_response() {
    let mut scheduler = with_warm_runner();
    end_attempt(&mut scheduler, NOW, End::NoConnection { refused: true });
    let later = NOW + Span(60_000);
    assert!(is_cold(&mut scheduler, later));
    // Tokens accrue with time.
    for step in 1..40 {
        scheduler.tick(later + Span(step * 20));
    }
    let contact = later + Span(800);
    end_attempt(&mut scheduler, contact, End::Done);
    // Routers that did not meet the refusal learn of the start.
    let mut other = with_warm_runner();
    let report = scheduler.report(contact + Span(100));
    let peer = Instance::new("r2").unwrap();
    other.apply_report(contact + Span(300), &peer, &report);
    assert!(is_cold(&mut other, contact + COLD - Span(10)));
    assert!(is_cold(&mut scheduler, contact + COLD - Span(10)));
    assert!(!is_cold(&mut scheduler, contact + COLD + RAMP));
}

/// A process may crash and start again between two requests of this router.
#[test]
fn a_runner_whose_connection_broke_is_cold_until_its_entry_can_arrive() {
    let mut scheduler = with_warm_runner();
    end_attempt(&mut scheduler, NOW, End::Broke);
    assert!(is_cold(&mut scheduler, NOW + Span(2400)));
    assert!(!is_cold(&mut scheduler, NOW + Span(2600)));
    end_attempt(&mut scheduler, NOW + Span(2600), End::Broke);
    scheduler.record_cold(NOW + Span(2700), &runner("p0"), 1, Span(0));
    assert!(!is_cold(&mut scheduler, NOW + Span(2700) + RAMP));
}

#[test]
fn the_runners_of_a_domain_are_cold_after_its_evacuation() {
    let mut scheduler = with_warm_runner();
    scheduler.record_domain_cold(NOW, "b");
    assert!(!is_cold(&mut scheduler, NOW));
    scheduler.record_domain_cold(NOW, "a");
    assert_eq!(sent_at_once(&mut scheduler, NOW), 0);
    assert!(is_cold(&mut scheduler, NOW + COLD - Span(10)));
    assert!(!is_cold(&mut scheduler, NOW + COLD + RAMP));
}

/// Guards against statements that are passed on for ever, and against a report on the way
/// that undoes what the runner said since.
#[test]
fn routers_pass_on_only_what_they_heard_of_cold_runners() {
    let mut told = with_warm_runner();
    told.record_cold(NOW, &runner("p0"), 1, Span(5000));
    let report = told.report(NOW + Span(100));
    let peer = Instance::new("r2").unwrap();
    let mut other = with_warm_runner();
    other.apply_report(NOW + Span(300), &peer, &report);
    assert!(is_cold(&mut other, NOW + Span(300)));
    let relayed = other.report(NOW + Span(300)).cold;
    assert!(
        relayed.iter().all(|cold| cold.told.is_none()),
        "{relayed:?}"
    );
    other.record_cold(NOW + Span(400), &runner("p0"), 1, Span(0));
    other.apply_report(NOW + Span(500), &peer, &report);
    assert!(!is_cold(&mut other, NOW + Span(400) + RAMP));
    // The sum of two reports has the later statement and both counts.
    let mut sum = Sum::new();
    sum.add(&report);
    sum.add(&other.report(NOW + Span(800)));
    let whole = sum.into_report();
    assert_eq!(whole.cold.len(), 1);
    assert!(whole.cold[0].told.unwrap().left > Span(0));
}

/// The lower of the two rates applies.
#[test]
fn a_cold_runner_that_names_a_limit_gets_no_more_than_either_allows() {
    for (limit, cold_per_second) in [(1.0, 9.3), (100.0, 1.0)] {
        let mut scheduler = cold_scheduler("r1.1", cold_per_second);
        // For 2 s after its start, a router uses only a part of the rate.
        scheduler.tick(Time(NOW.0 - 2000));
        scheduler.set_runner(NOW, listed("p0", 1, Span(9000)));
        scheduler.record_limit(NOW, &runner("p0"), 1, Some(limit));
        let mut sent = 0;
        for step in 1..=200 {
            let now = NOW + Span(step * 20);
            scheduler.tick(now);
            sent += sent_at_once(&mut scheduler, now);
        }
        assert!(
            (3..=6).contains(&sent),
            "{limit}, {cold_per_second}: {sent}"
        );
    }
}

/// Guards against requests that wait in vain while all runners are cold.
#[test]
fn requests_are_refused_at_once_when_all_runners_are_cold() {
    let mut scheduler = cold_scheduler("r1.1", 9.3);
    scheduler.set_runner(NOW, listed("p0", 1, Span(9000)));
    for id in 1..=20 {
        scheduler.submit(NOW, id, plain_request(RetryPolicy::Idempotent, 2));
    }
    let actions = scheduler.take_actions();
    let refused = actions.iter();
    let refused = refused.filter(|action| matches!(action, Action::Refuse { .. }));
    assert_eq!(refused.count(), 16);
}

/// Services that name no rate for cold runners are treated as before.
#[test]
fn services_without_a_cold_rate_are_not_limited() {
    let mut scheduler = scheduler(100);
    scheduler.end_first_list();
    scheduler.set_runner(NOW, listed("p0", 1, Span(9000)));
    scheduler.record_cold(NOW, &runner("p0"), 1, Span(9000));
    scheduler.record_domain_cold(NOW, "a");
    assert!(!is_cold(&mut scheduler, NOW));
    end_attempt(&mut scheduler, NOW, End::Broke);
    assert!(!is_cold(&mut scheduler, NOW));
    assert!(scheduler.report(NOW).cold.is_empty());
    // Nor are those beside a service that names one.
    let mut scheduler = cold_scheduler("r1.1", 9.3);
    let model = Entry {
        warmup: Span(9000),
        ..entry("m1", "model", 64)
    };
    scheduler.set_runner(NOW, model);
    for id in 1..=20 {
        scheduler.submit(NOW, id, model_request("w1", 1, 10));
    }
    assert_eq!(sends(&scheduler.take_actions()).len(), 20);
    // A manifest that ends the protection takes effect at once.
    let mut scheduler = cold_scheduler("r1.1", 9.3);
    scheduler.set_runner(NOW, listed("p0", 1, Span(9000)));
    assert!(is_cold(&mut scheduler, NOW));
    let mut unlimited = manifest(9.3);
    for spec in unlimited.services.values_mut() {
        spec.cold_start = None;
    }
    scheduler.set_manifest(&unlimited);
    assert_eq!(sent_at_once(&mut scheduler, NOW), 20);
}
