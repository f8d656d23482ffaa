//! Prompt parts that crash the runners which begin to answer them.

mod common;

use balsamchute_model::prelude::*;
use balsamchute_schedule::Scheduler;
use balsamchute_schedule::action::{Action, End, Id, Refusal};
use balsamchute_schedule::report::{Report, Sum};
use balsamchute_schedule::request::Request;
use common::{NOW, entry, model_request, named_scheduler, scheduler, sends};

const BAD_PART: u64 = 7;
const SOUND_PART: u64 = 8;
const FIRST_PART: u64 = 1;

/// Scheduler with twelve runners, and the number of the next request.
struct Router {
    scheduler: Scheduler,
    next_id: Id,
}

impl Router {
    fn new() -> Self {
        Router::with(scheduler(100))
    }

    fn with(mut scheduler: Scheduler) -> Self {
        for number in 0..12 {
            scheduler.set_runner(NOW, entry(&format!("m{number}"), "model", 64));
        }
        Router {
            scheduler,
            next_id: 0,
        }
    }

    /// Submits a prompt with this second part; the rest is its own, but for the first
    /// part. Returns its number and the runner that it is sent to.
    fn submit(&mut self, now: Time, part: u64) -> (Id, Option<String>) {
        self.next_id += 1;
        let id = self.next_id;
        let own = 1000 + id;
        let request = Request {
            prompt: Some(Prompt::new(
                700,
                80,
                &[(FIRST_PART, 200), (part, 300), (own, 200)],
            )),
            retry_policy: RetryPolicy::AtMostOnce,
            fingerprint: u128::from(own),
            deadline: now + Span(15_000),
            max_attempts: 1,
            ..model_request("w1", part, 700)
        };
        self.scheduler.submit(now, id, request);
        let actions = self.scheduler.take_actions();
        let sent = sends(&actions)
            .into_iter()
            .find(|(sent_id, _)| *sent_id == id);
        if sent.is_none() {
            assert!(is_refused(&actions, id), "{actions:?}");
        }
        (id, sent.map(|(_, runner)| runner))
    }

    /// Submits a prompt and lets its runner crash before the answer, if it is sent.
    /// Returns whether it was.
    fn crash(&mut self, now: Time, part: u64) -> bool {
        let (id, Some(runner)) = self.submit(now, part) else {
            return false;
        };
        self.scheduler.record_write(id);
        self.scheduler.finish_attempt(now, id, End::Broke);
        self.scheduler.tick(now + Span(60));
        let actions = self.scheduler.take_actions();
        let probed = actions.iter().find_map(|action| match action {
            Action::Probe { runner, .. } => Some(runner.clone()),
            _ => None,
        });
        let probed = probed.expect("the runner is probed after the break");
        assert_eq!(probed.as_str(), runner);
        self.scheduler.record_refused_probe(now + Span(60), &probed);
        self.scheduler.remove_runner(&probed);
        self.scheduler.take_actions();
        true
    }

    /// Submits a prompt and lets its answer begin and end. Returns whether it was sent.
    fn answer(&mut self, now: Time, part: u64) -> bool {
        let (id, Some(_)) = self.submit(now, part) else {
            return false;
        };
        self.scheduler.record_write(id);
        self.scheduler.record_events(now, id, 1);
        self.scheduler.finish_attempt(now, id, End::Done);
        self.scheduler.take_actions();
        true
    }
}

fn is_refused(actions: &[Action], id: Id) -> bool {
    actions.iter().any(|action| {
        matches!(action, Action::Refuse { id: refused, refusal: Refusal::CrashesRunners, .. }
            if *refused == id)
    })
}

#[test]
fn a_part_is_refused_after_three_crashes_and_sound_prompts_with_its_other_parts_are_not() {
    let mut router = Router::new();
    for _ in 0..3 {
        assert!(router.crash(NOW, BAD_PART));
        assert!(router.answer(NOW, SOUND_PART));
    }
    assert!(!router.crash(NOW, BAD_PART));
    assert!(router.answer(NOW, SOUND_PART));
}

#[test]
fn an_answer_that_begins_clears_the_parts_of_its_prompt() {
    let mut router = Router::new();
    for _ in 0..2 {
        assert!(router.crash(NOW, SOUND_PART));
        assert!(router.crash(NOW, SOUND_PART));
        assert!(router.answer(NOW, SOUND_PART));
    }
}

#[test]
fn a_request_whose_answer_had_begun_is_not_blamed_for_a_crash() {
    let mut router = Router::new();
    for _ in 0..6 {
        let (id, runner) = router.submit(NOW, SOUND_PART);
        assert!(runner.is_some());
        router.scheduler.record_write(id);
        router.scheduler.record_events(NOW, id, 1);
        router.scheduler.finish_attempt(NOW, id, End::Broke);
        router.scheduler.tick(NOW + Span(60));
        let runner = Runner::new(&runner.unwrap()).unwrap();
        router
            .scheduler
            .record_refused_probe(NOW + Span(60), &runner);
        router.scheduler.remove_runner(&runner);
        router.scheduler.take_actions();
    }
}

#[test]
fn a_refused_part_is_tried_by_one_request_until_the_fourth_crash() {
    let mut router = Router::new();
    for _ in 0..3 {
        assert!(router.crash(NOW, BAD_PART));
    }
    assert!(!router.crash(NOW + Span(4000), BAD_PART));
    let mut now = NOW + Span(6000);
    let (trial, sent) = router.submit(now, BAD_PART);
    assert!(sent.is_some());
    assert_eq!(router.submit(now, BAD_PART).1, None);
    router.scheduler.cancel(now, trial);
    assert!(router.crash(now, BAD_PART));
    now = now + Span(6000);
    for _ in 0..3 {
        assert!(!router.crash(now, BAD_PART));
        now = now + Span::from_secs(600);
    }
}

#[test]
fn a_waiting_request_with_a_refused_part_is_refused_and_holds_up_no_other() {
    let (mut router, mut other) = (Router::new(), Router::new());
    for _ in 0..3 {
        assert!(other.crash(NOW, BAD_PART));
    }
    for number in 0..12 {
        let full = entry(&format!("m{number}"), "model", 0);
        router.scheduler.set_runner(NOW, full);
    }
    for (id, part) in [(1, BAD_PART), (2, SOUND_PART)] {
        router
            .scheduler
            .submit(NOW, id, model_request("w1", FIRST_PART, 700));
        let own = [(part, 300), (1000 + id, 200)];
        let request = Request {
            prompt: Some(Prompt::new(500, 80, &own)),
            ..model_request("w1", part, 500)
        };
        router.scheduler.submit(NOW, 10 + id, request);
    }
    router.scheduler.take_actions();
    let peer = Instance::new("r2").unwrap();
    router
        .scheduler
        .apply_report(NOW, &peer, &other.scheduler.report(NOW));
    assert!(is_refused(&router.scheduler.take_actions(), 11));
    router.scheduler.set_runner(NOW, entry("m1", "model", 64));
    let sent: Vec<Id> = sends(&router.scheduler.take_actions())
        .into_iter()
        .map(|(id, _)| id)
        .collect();
    assert!(sent.contains(&12), "{sent:?}");
}

/// Each of three routers sees another crash; what they report in one sum is refused by a
/// fourth.
#[test]
fn crashes_seen_by_different_routers_add_up() {
    let mut sum = Sum::new();
    for name in ["a", "b", "c"] {
        let mut router = Router::new();
        for number in 0..12 {
            let runner = Runner::new(&format!("m{number}")).unwrap();
            router.scheduler.remove_runner(&runner);
        }
        router
            .scheduler
            .set_runner(NOW, entry(&format!("m-{name}"), "model", 64));
        assert!(router.crash(NOW, BAD_PART));
        sum.add(&router.scheduler.report(NOW));
    }
    let report: Report = sum.into_report();
    let mut router = Router::new();
    let peer = Instance::new("r2").unwrap();
    router.scheduler.apply_report(NOW, &peer, &report);
    assert!(!router.crash(NOW, BAD_PART));
}

/// All routers may try a part at about the same time; one must learn how the trial of
/// another ended before its own.
#[test]
fn routers_try_a_refused_part_one_after_the_other() {
    let mut crashed = Router::new();
    for _ in 0..3 {
        assert!(crashed.crash(NOW, BAD_PART));
    }
    let peer = Instance::new("r0").unwrap();
    let trials_at = |now: Time| {
        let names = (0..20).map(|number| format!("r{number}.1"));
        let tries = names.filter(|name| {
            let mut router = Router::with(named_scheduler(name, 100));
            router.scheduler.set_router_count(20);
            let report = crashed.scheduler.report(NOW);
            router.scheduler.apply_report(NOW, &peer, &report);
            router.submit(now, BAD_PART).1.is_some()
        });
        tries.count()
    };
    assert_eq!(trials_at(NOW + Span(4900)), 0);
    assert!(trials_at(NOW + Span(5100)) <= 4);
    assert_eq!(trials_at(NOW + Span(24_100)), 20);
}
