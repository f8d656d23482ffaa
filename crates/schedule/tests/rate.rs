//! Requests a second that runners accept from all routers together.

mod common;

use std::collections::{BTreeMap, VecDeque};

use balsamchute_model::prelude::*;
use balsamchute_schedule::Scheduler;
use balsamchute_schedule::action::{End, Id};
use balsamchute_schedule::report::{Report, Sum};
use balsamchute_schedule::request::Request;
use common::{
    NOW, entry, model_request, named_scheduler, plain_request, runner, scheduler, sends,
    some_workspace,
};

const LIMIT: f64 = 5.0;

/// Window in which the rule counts requests, and the time from which it does.
const WINDOW: Span = Span(4000);
const CONTACT: Span = Span(3000);

/// Time that a runner takes to answer, and a report to arrive.
const ANSWER_TIME: Span = Span(40);
const REPORT_LAG: Span = Span(150);

/// Routers that exchange sums of their reports, before runners of one service.
struct Fleet {
    routers: Vec<Scheduler>,
    limits: BTreeMap<String, Option<f64>>,
    /// Workspace of the requests that arrive at a router.
    workspaces: Vec<&'static str>,
    /// Requests that were sent, by the router at which they arrived.
    sent: Vec<usize>,
    now: Time,
    next_id: Id,
    answers: VecDeque<(Time, usize, Id, String)>,
    reports: VecDeque<(Time, Vec<Report>)>,
    /// Times at which requests arrived, by runner.
    arrivals: BTreeMap<String, Vec<Time>>,
}

impl Fleet {
    fn new(routers: usize, limits: &[Option<f64>]) -> Self {
        let names = (0..limits.len()).map(|number| format!("p{number}"));
        let limits: BTreeMap<String, Option<f64>> = names.zip(limits.iter().copied()).collect();
        let routers = (0..routers).map(|number| {
            let mut scheduler = named_scheduler(&format!("r{number}.1"), 100);
            scheduler.set_router_count(routers as u32);
            for name in limits.keys() {
                scheduler.set_runner(NOW, entry(name, "plain", 64));
            }
            scheduler
        });
        let routers: Vec<Scheduler> = routers.collect();
        Fleet {
            workspaces: vec!["w1"; routers.len()],
            sent: vec![0; routers.len()],
            routers,
            limits,
            now: NOW,
            next_id: 0,
            answers: VecDeque::new(),
            reports: VecDeque::new(),
            arrivals: BTreeMap::new(),
        }
    }

    /// Plays `span`; `per_second` gives the requests that arrive at a router.
    fn play(&mut self, span: Span, per_second: impl Fn(usize) -> f64) {
        let end = self.now + span;
        let mut due = vec![0.0; self.routers.len()];
        while self.now < end {
            self.now = self.now + Span(10);
            self.deliver_answers();
            if self.now.0.is_multiple_of(100) {
                self.exchange();
            }
            for (index, due) in due.iter_mut().enumerate() {
                *due += per_second(index) / 100.0;
                while *due >= 1.0 {
                    *due -= 1.0;
                    self.submit(index);
                }
                if self.now.0.is_multiple_of(20) {
                    self.routers[index].tick(self.now);
                }
                self.carry_out(index);
            }
        }
    }

    fn submit(&mut self, index: usize) {
        self.next_id += 1;
        let request = Request {
            workspace: some_workspace(self.workspaces[index]),
            deadline: self.now + Span(1000),
            ..plain_request(RetryPolicy::Idempotent, 2)
        };
        self.routers[index].submit(self.now, self.next_id, request);
    }

    fn carry_out(&mut self, index: usize) {
        for (id, name) in sends(&self.routers[index].take_actions()) {
            let arrivals = self.arrivals.entry(name.clone()).or_default();
            arrivals.push(self.now);
            self.sent[index] += 1;
            self.answers
                .push_back((self.now + ANSWER_TIME, index, id, name));
        }
    }

    fn deliver_answers(&mut self) {
        while let Some((_, index, id, name)) =
            self.answers.pop_front_if(|(due, ..)| *due <= self.now)
        {
            let limit = self.limits[&name];
            let router = &mut self.routers[index];
            router.record_limit(self.now, &runner(&name), 1, limit);
            router.finish_attempt(self.now, id, End::Done);
            self.carry_out(index);
        }
    }

    /// Delivers the reports that are due, each router's sum without its own part.
    fn exchange(&mut self) {
        let routers = self.routers.iter();
        let reports = routers.map(|router| router.report(self.now)).collect();
        self.reports.push_back((self.now + REPORT_LAG, reports));
        while let Some((_, reports)) = self.reports.pop_front_if(|(due, _)| *due <= self.now) {
            let fleet = Instance::new("fleet").unwrap();
            for (router, own) in self.routers.iter_mut().zip(&reports) {
                let mut sum = Sum::new();
                for report in &reports {
                    sum.add(report);
                }
                let report = sum.into_report().excluding(own);
                router.apply_report(self.now, &fleet, &report);
            }
        }
    }

    /// Returns the highest number of requests that a runner got in a window that
    /// begins later than `since`.
    fn most_in_window(&self, name: &str, since: Time) -> usize {
        let arrivals = self.arrivals.get(name).map_or(&[][..], Vec::as_slice);
        let counted: Vec<Time> = arrivals.iter().copied().filter(|at| *at >= since).collect();
        let in_window = |(index, first): (usize, &Time)| {
            let end = *first + WINDOW;
            counted[index..].iter().filter(|at| **at < end).count()
        };
        counted.iter().enumerate().map(in_window).max().unwrap_or(0)
    }

    fn count(&self, name: &str, since: Time) -> usize {
        let arrivals = self.arrivals.get(name).map_or(&[][..], Vec::as_slice);
        arrivals.iter().filter(|at| **at >= since).count()
    }
}

/// Returns the requests that a runner may get in a window, by the users' rule.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * 4.0 + 5.0) as usize
}

#[test]
fn a_runner_gets_no_more_requests_from_all_routers_than_its_limit_allows() {
    for routers in [1, 7, 30] {
        let mut fleet = Fleet::new(routers, &[Some(LIMIT), Some(LIMIT), None]);
        let total = 60.0;
        fleet.play(Span(12_000), |_| total / routers as f64);
        for name in ["p0", "p1"] {
            let most = fleet.most_in_window(name, NOW + CONTACT);
            assert!(most <= allowed(LIMIT), "{routers} routers: {most}");
        }
        // The unlimited runner takes what the others do not.
        let others = fleet.count("p2", NOW + CONTACT);
        assert!(others >= 350, "{routers} routers: {others}");
    }
}

/// Most requests arrive at one router, and later at another one.
#[test]
fn routers_use_a_limit_as_their_requests_need_it() {
    let mut fleet = Fleet::new(7, &[Some(LIMIT), Some(LIMIT), Some(LIMIT)]);
    for busy in [0, 4] {
        fleet.play(Span(10_000), |index| if index == busy { 50.0 } else { 0.5 });
    }
    for name in ["p0", "p1", "p2"] {
        let most = fleet.most_in_window(name, NOW + CONTACT);
        assert!(most <= allowed(LIMIT), "{name}: {most}");
        // In 17 s it accepts 85; the change of routers may cost it two seconds.
        let used = fleet.count(name, NOW + CONTACT);
        assert!(used >= 68, "{name}: {used}");
    }
}

/// Repeated requests of one workspace reach a single router, and do not widen its part of
/// the limits.
#[test]
fn a_workspace_that_floods_one_router_gets_no_larger_part_of_a_limit() {
    let mut fleet = Fleet::new(7, &[Some(10.0), Some(10.0), Some(10.0)]);
    fleet.workspaces[0] = "w2";
    fleet.play(Span(4000), |index| if index == 0 { 400.0 } else { 10.0 });
    fleet.sent.fill(0);
    fleet.play(Span(8000), |index| if index == 0 { 400.0 } else { 10.0 });
    let (flooding, others) = (fleet.sent[0], fleet.sent[1..].iter().sum::<usize>());
    // Both ask for more than half of the 240 requests that the runners accept.
    assert!(
        others * 2 >= flooding && others >= 80,
        "{flooding} and {others}"
    );
    for name in ["p0", "p1", "p2"] {
        let most = fleet.most_in_window(name, NOW + CONTACT);
        assert!(most <= allowed(10.0), "{name}: {most}");
    }
}

/// What arrived before the limit came must not decide how it is divided.
#[test]
fn a_flood_before_a_limit_gives_a_workspace_no_larger_part_of_it() {
    let mut fleet = Fleet::new(7, &[None, None, None]);
    fleet.workspaces[0] = "w2";
    fleet.play(Span(4000), |index| if index == 0 { 400.0 } else { 10.0 });
    for limit in fleet.limits.values_mut() {
        *limit = Some(10.0);
    }
    fleet.play(Span(1000), |index| if index == 0 { 400.0 } else { 10.0 });
    fleet.sent.fill(0);
    fleet.play(Span(2000), |index| if index == 0 { 400.0 } else { 10.0 });
    let (flooding, others) = (fleet.sent[0], fleet.sent[1..].iter().sum::<usize>());
    assert!(others * 2 >= flooding, "{flooding} and {others}");
}

/// Sends requests at one router until the limit of runner `m1` holds them back; returns
/// how many it gets.
fn sent_at_once(scheduler: &mut Scheduler, now: Time, first: Id) -> usize {
    for id in first..first + 20 {
        scheduler.submit(now, id, model_request("w1", 1, 10));
    }
    let sent = sends(&scheduler.take_actions());
    for id in first..first + 20 {
        scheduler.cancel(now, id);
    }
    scheduler.take_actions();
    sent.len()
}

#[test]
fn a_limit_holds_until_an_answer_names_none_or_the_runner_restarts() {
    let mut scheduler = scheduler(100);
    scheduler.set_runner(NOW, entry("m1", "model", 64));
    assert_eq!(sent_at_once(&mut scheduler, NOW, 1), 20);
    scheduler.record_limit(NOW, &runner("m1"), 1, Some(LIMIT));
    assert!(sent_at_once(&mut scheduler, NOW, 100) <= 1);
    scheduler.record_limit(NOW, &runner("m1"), 1, None);
    assert_eq!(sent_at_once(&mut scheduler, NOW, 200), 20);
    scheduler.record_limit(NOW, &runner("m1"), 1, Some(LIMIT));
    let restarted = Entry {
        started_at: 2,
        ..entry("m1", "model", 64)
    };
    scheduler.set_runner(NOW, restarted);
    assert_eq!(sent_at_once(&mut scheduler, NOW, 300), 20);
    // A late answer of the earlier process changes nothing.
    scheduler.record_limit(NOW, &runner("m1"), 2, None);
    scheduler.record_limit(NOW, &runner("m1"), 1, Some(LIMIT));
    assert_eq!(sent_at_once(&mut scheduler, NOW, 400), 20);
}

/// A report says what was heard earlier than any answer that arrives after it.
#[test]
fn the_end_of_a_limit_is_not_undone_by_a_report_on_the_way() {
    let mut scheduler = scheduler(100);
    let mut other = named_scheduler("r2.1", 100);
    let peer = Instance::new("r2").unwrap();
    for router in [&mut scheduler, &mut other] {
        router.set_runner(NOW, entry("m1", "model", 64));
    }
    other.record_limit(NOW, &runner("m1"), 1, Some(LIMIT));
    let report = other.report(NOW);
    scheduler.apply_report(NOW + REPORT_LAG, &peer, &report);
    assert!(sent_at_once(&mut scheduler, NOW + REPORT_LAG, 1) <= 1);
    scheduler.record_limit(NOW + Span(10), &runner("m1"), 1, None);
    scheduler.apply_report(NOW + REPORT_LAG, &peer, &report);
    assert_eq!(sent_at_once(&mut scheduler, NOW + REPORT_LAG, 100), 20);
    // A router passes on only what answers told it.
    let third = scheduler.report(NOW + REPORT_LAG).limits;
    assert!(third.iter().all(|limit| {
        limit
            .stated
            .is_none_or(|stated| stated.per_second.is_none())
    }));
}

/// Without runners, requests wait for one as they did before limits.
#[test]
fn a_service_without_runners_does_not_count_as_limited() {
    let mut scheduler = scheduler(100);
    for id in 1..20 {
        scheduler.submit(NOW, id, model_request("w1", 1, 10));
    }
    assert!(scheduler.take_actions().is_empty());
    scheduler.set_runner(NOW + Span(50), entry("m1", "model", 64));
    assert_eq!(sends(&scheduler.take_actions()).len(), 19);
}
