//! Memory that callers make a router hold.

use balsamchute_model::prelude::*;
use balsamchute_schedule::memory::{Account, Claim, Holding, Progress};

const NOW: Time = Time(1_000_000);

const MIB: usize = 1 << 20;

/// Memory of the smallest machine in the sheets; callers may use 26.4 MiB, larger bodies
/// 19.8 MiB, and those of one workspace 14.85 MiB.
const MEMORY: u64 = 88 << 20;

/// Largest body in the sheets.
const BODY: usize = 4 * MIB;

fn workspace(name: &str) -> Workspace {
    Workspace::new(name).unwrap()
}

/// Returns larger bodies of a workspace that have made no progress for these times.
fn uploads<'a>(workspace: &'a Workspace, first: usize, stalled: &[u64]) -> Vec<Holding<'a>> {
    let uploads = stalled.iter().enumerate();
    uploads
        .map(|(number, stalled)| Holding {
            index: first + number,
            bytes: BODY,
            workspace: Some(workspace),
            stalled: Some(Span(*stalled)),
        })
        .collect()
}

/// Returns what gives way to a body of a workspace at the connection 99.
fn admit(holdings: &[Holding<'_>], workspace: &Workspace, bytes: usize) -> Option<Vec<usize>> {
    let mut account = Account::new(MEMORY);
    account.update(0, holdings.iter().map(|holding| holding.bytes).sum());
    let claim = Claim {
        index: 99,
        workspace: Some(workspace),
        bytes,
    };
    account
        .admit(&claim, holdings)
        .map(|indices| indices.into_vec())
}

// Guards against limits that a single request inside the limits meets.
#[test]
fn a_single_body_is_admitted_in_calm() {
    let first = workspace("w1");
    assert_eq!(admit(&[], &first, BODY), Some(vec![]));
    assert_eq!(admit(&[], &first, 26 * MIB), Some(vec![]));
    assert_eq!(admit(&[], &first, 27 * MIB), None);
}

// Guards against one workspace that takes the memory of all others.
#[test]
fn a_workspace_leaves_memory_to_the_larger_bodies_of_others() {
    let (first, second) = (workspace("w1"), workspace("w2"));
    let holdings = uploads(&first, 0, &[0, 0, 0]);
    assert_eq!(admit(&holdings, &first, BODY), None);
    assert_eq!(admit(&holdings, &second, BODY), Some(vec![]));
}

// Guards against a crowd that stops short of the end of its bodies and stays open.
#[test]
fn the_body_that_stalled_longest_gives_way() {
    let (first, second) = (workspace("w1"), workspace("w2"));
    let holdings = uploads(&first, 0, &[1500, 2500, 999]);
    assert_eq!(admit(&holdings, &first, BODY), Some(vec![1]));
    let mut full = uploads(&first, 0, &[0, 1200]);
    full.extend(uploads(&second, 5, &[1100, 1300]));
    assert_eq!(admit(&full, &second, 2 * BODY), Some(vec![6, 1]));
    let busy = uploads(&first, 0, &[0, 999, 500]);
    assert_eq!(admit(&busy, &first, BODY), None);
}

// Guards against growth of a body that its own memory refuses.
#[test]
fn a_body_that_grows_does_not_count_twice() {
    let first = workspace("w1");
    let mut holdings = uploads(&first, 0, &[0, 0]);
    holdings.push(Holding {
        index: 99,
        bytes: BODY,
        workspace: Some(&first),
        stalled: Some(Span(5000)),
    });
    assert_eq!(admit(&holdings, &first, BODY + MIB), Some(vec![]));
    assert_eq!(admit(&holdings, &first, 2 * BODY), None);
}

// Guards against requests in progress that are dropped, and against a loop without an end.
#[test]
fn requests_in_progress_do_not_give_way() {
    let mut account = Account::new(MEMORY);
    account.update(0, 30 * MIB);
    let holding = |index, bytes, stalled| Holding {
        index,
        bytes,
        workspace: None,
        stalled,
    };
    let holdings = [
        holding(0, 20 * MIB, None),
        holding(1, 2 * MIB, Some(Span(10))),
        holding(2, 3 * MIB, Some(Span(70))),
        holding(3, 5 * MIB, Some(Span(30))),
    ];
    assert_eq!(account.excess(0), 30 * MIB - (MEMORY as f64 * 0.3) as usize);
    assert_eq!(account.give_way(0, None, &holdings), [2, 3]);
    assert_eq!(account.give_way(100 * MIB, None, &holdings), [2, 3, 1]);
    assert!(account.give_way(0, None, &holdings[..1]).is_empty());
    account.update(5 * MIB, 0);
    assert!(account.give_way(0, None, &holdings).is_empty());
}

// Guards against a caller that is disconnected to make room for its own request.
#[test]
fn a_caller_does_not_give_way_to_its_own_request() {
    let mut account = Account::new(MEMORY);
    account.update(0, 30 * MIB);
    let holdings = [5, 1].map(|stalled| Holding {
        index: stalled,
        bytes: 5 * MIB,
        workspace: None,
        stalled: Some(Span(stalled as u64)),
    });
    assert_eq!(account.give_way(0, Some(5), &holdings), [1]);
    assert!(account.give_way(0, Some(5), &holdings[..1]).is_empty());
    assert_eq!(account.give_way(0, Some(7), &holdings), [5]);
}

// Guards against callers that send a byte now and then to seem active, also after a burst.
#[test]
fn a_caller_below_the_lowest_rate_is_stalled() {
    let mut progress = Progress::new(NOW);
    progress.record(NOW, MIB);
    assert_eq!(progress.stalled(NOW + Span(700)), Span(700));
    for second in 1..=5 {
        progress.record(NOW + Span(1000 * second), 1);
    }
    assert_eq!(progress.stalled(NOW + Span(5000)), Span(5000));
    assert_eq!(progress.last(), NOW + Span(5000));
    let mut steady = Progress::new(NOW);
    for step in 1..=100 {
        steady.record(NOW + Span(250 * step), 16_000);
    }
    assert_eq!(steady.stalled(NOW + Span(25_000)), Span(0));
}
