//! The queue of one service at one router.

use balsamchute_base::prelude::*;
use balsamchute_fair::queue::{Queue, Settings};

fn workspace(name: &str) -> Workspace {
    Workspace::new(name).unwrap()
}

fn queue() -> Queue {
    Queue::new(Settings {
        credit: Cost(500),
        estimate: Cost(100),
        lag: Cost(2_000),
    })
}

/// Serves `count` requests of fixed cost and returns how many of each range of
/// items were served; items of workspace `i` lie from `i * 10_000`.
fn serve(queue: &mut Queue, count: usize, cost: Cost) -> [usize; 2] {
    let mut served = [0; 2];
    for _ in 0..count {
        let item = queue.pop().unwrap();
        served[(item / 10_000) as usize] += 1;
        queue.complete(item, cost);
    }
    served
}

#[test]
fn service_follows_weight() {
    let mut queue = queue();
    queue.set_weight(&workspace("large"), 3.0);
    for item in 0..400 {
        queue.push(&workspace("large"), item, None);
        queue.push(&workspace("small"), 10_000 + item, None);
    }
    let [large, small] = serve(&mut queue, 400, Cost(100));
    assert!((298..=302).contains(&large), "{large} to {small}");
}

#[test]
fn weight_one_is_served_beside_weight_hundred() {
    let mut queue = queue();
    queue.set_weight(&workspace("large"), 100.0);
    for item in 0..2_000 {
        queue.push(&workspace("large"), item, None);
        queue.push(&workspace("small"), 10_000 + item, None);
    }
    let [_, small] = serve(&mut queue, 1_010, Cost(100));
    assert!((9..=11).contains(&small), "{small}");
}

#[test]
fn tiny_weight_keeps_tags_finite() {
    let mut queue = queue();
    queue.set_weight(&workspace("a"), 9e-307);
    for item in 0..3 {
        queue.push(&workspace("a"), item, Some(Cost(u64::MAX)));
    }
    let item = queue.pop().unwrap();
    queue.complete(item, Cost(u64::MAX));
    assert!(queue.virtual_time().is_finite());
}

#[test]
fn charge_ends_at_true_cost_whatever_was_hinted() {
    for hint in [None, Some(Cost(0)), Some(Cost(1)), Some(Cost(u64::MAX))] {
        let mut queue = queue();
        for item in 0..20 {
            queue.push(&workspace("a"), item, hint);
        }
        for _ in 0..20 {
            let item = queue.pop().unwrap();
            queue.progress(item, Cost(5));
            queue.complete(item, Cost(70));
        }
        assert_eq!(queue.charged(&workspace("a")), Cost(1_400));
    }
}

#[test]
fn running_request_is_charged_as_it_grows() {
    let mut queue = queue();
    queue.push(&workspace("a"), 1, None);
    let item = queue.pop().unwrap();
    assert_eq!(queue.charged(&workspace("a")), Cost(100));
    queue.progress(item, Cost(50));
    assert_eq!(queue.charged(&workspace("a")), Cost(100));
    queue.progress(item, Cost(900));
    assert_eq!(queue.charged(&workspace("a")), Cost(900));
    queue.cancel(item);
    assert_eq!(queue.charged(&workspace("a")), Cost(0));
}

#[test]
fn returning_workspace_has_no_more_than_the_credit() {
    let mut queue = queue();
    for item in 0..1_000 {
        queue.push(&workspace("busy"), item, None);
    }
    serve(&mut queue, 500, Cost(100));
    for item in 10_000..10_100 {
        queue.push(&workspace("back"), item, None);
    }
    let mut ahead = 0;
    loop {
        let item = queue.pop().unwrap();
        queue.complete(item, Cost(100));
        if item < 10_000 {
            break;
        }
        ahead += 1;
    }
    assert!(
        (1..=6).contains(&ahead),
        "{ahead} requests of 100 with credit 500"
    );
}

#[test]
fn blocked_workspace_is_neither_served_nor_counted() {
    let mut queue = queue();
    queue.set_weight(&workspace("a"), 4.0);
    queue.push(&workspace("a"), 1, None);
    queue.push(&workspace("b"), 10_001, None);
    queue.set_blocked(&workspace("a"), true);
    assert_eq!((queue.backlog(), queue.weight()), (1, 1.0));
    assert_eq!(queue.pop(), Some(10_001));
    assert_eq!(queue.pop(), None);
    assert!(queue.explain(1).unwrap().blocked);
    queue.set_blocked(&workspace("a"), false);
    assert_eq!(queue.pop(), Some(1));
}

#[test]
fn lagging_workspace_is_raised_to_the_lag() {
    let mut queue = queue();
    queue.observe(0.0);
    queue.push(&workspace("a"), 1, None);
    queue.observe(10_000.0);
    assert_eq!(queue.head(), Some(8_000.0));
    queue.observe(f64::NAN);
    queue.observe(9_000.0);
    assert_eq!(queue.head(), Some(8_000.0));
    queue.push(&workspace("new"), 2, None);
    assert_eq!(
        queue.explain(2).unwrap().tag,
        10_000.0,
        "no credit before any idleness"
    );
}

#[test]
fn queue_of_a_restarted_router_starts_at_the_fleets_time() {
    let mut queue = queue();
    queue.push(&workspace("a"), 1, None);
    queue.observe(10_000.0);
    assert_eq!(
        queue.head(),
        Some(9_500.0),
        "no more behind than the credit"
    );
}

#[test]
fn preferred_request_passes_over_its_own_workspace_only() {
    let mut queue = queue();
    queue.set_weight(&workspace("b"), 0.001);
    for item in 1..=3 {
        queue.push(&workspace("a"), item, None);
    }
    queue.push(&workspace("b"), 10_001, None);
    queue.pop();
    queue.pop();
    let next = queue.head().unwrap();
    assert_eq!(next, 100.0);
    assert_eq!(queue.pop_preferring(|item| item == 10_001), Some(2));
}

#[test]
fn explain_counts_what_goes_before() {
    let mut queue = queue();
    for item in 1..=3 {
        queue.push(&workspace("a"), item, None);
    }
    queue.push(&workspace("b"), 10_001, None);
    let place = queue.explain(3).unwrap();
    assert_eq!((place.before, place.workspaces_before), (2, 0));
    assert_eq!(place.tag, place.finish + 200.0);
    assert_eq!(queue.explain(10_001).unwrap().workspaces_before, 1);
    assert!(queue.remove(3));
    assert!(!queue.remove(3));
    assert_eq!(queue.explain(3), None);
}
