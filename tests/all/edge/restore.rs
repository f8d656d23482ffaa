//! A store that comes back from an older copy.

use std::time::{Duration, Instant};

use serde_json::json;

use super::environment::{Router, Runner, Store, respond_with_body, send_raw, wait_until};
use super::{entry, manifest, request, start_router, start_routers};

/// Time for which no request may reach a runner that the restore brought back: most of
/// the time that its entry is held back.
const HELD_TIME: Duration = Duration::from_secs(3);

fn named(name: &'static str) -> Runner {
    Runner::start(move |head, stream| respond_with_body(stream, head, name))
}

/// Starts a store and a router. Before the store comes back from a copy, the runner
/// `gone` leaves and the key `k1` is withdrawn.
fn restored(gone: &Runner, stays: &Runner) -> (Store, Router) {
    let (store, router) = start_router(&[gone, stays]);
    wait_until("the router wrote its object", || store.writes() > 0);
    let copy = store.copy();
    store.put("config", "main", manifest(2, &["k2"]));
    store.put("servers", "i-0", None);
    wait_until("the changes are in force", || {
        let log = router.log();
        log.contains("event=runner_gone") && log.contains("event=manifest_in_force version=2")
    });
    store.restore(copy);
    wait_until("the router notices the restore", || {
        router.log().contains("event=store_restored era=1 before=0")
    });
    (store, router)
}

fn send(router: &Router, key: &str) -> String {
    let text = request("POST", "/once/x", "", "").replace("Token k1", &format!("Token {key}"));
    send_raw(router.callers, &text)
}

/// Sends requests with the new key for a while. All must be served by `stays`, and the
/// old key must be refused.
fn assert_unaffected(router: &Router, gone: &Runner) {
    let begin = Instant::now();
    while begin.elapsed() < HELD_TIME {
        let response = send(router, "k2");
        assert!(response.ends_with("stays"), "{response}");
        let response = send(router, "k1");
        assert!(response.starts_with("HTTP/1.1 401 "), "{response}");
    }
    assert_eq!(gone.requests(), Vec::<String>::new());
}

/// The copy still lists the runner and the key. Comparing revisions alone, the router
/// would also ignore new runners until the counter has caught up.
#[test]
fn a_restored_store_brings_back_neither_runners_nor_keys() {
    let (gone, stays, new) = (named("gone"), named("stays"), named("new"));
    let (store, router) = restored(&gone, &stays);
    store.put("servers", "i-1", None);
    store.put("servers", "i-7", entry(new.address, "s"));
    wait_until("the new runner serves", || {
        send(&router, "k2").ends_with("new")
    });
    store.put("servers", "i-7", None);
    store.put("servers", "i-1", entry(stays.address, "s"));
    wait_until("the known runner serves", || {
        send(&router, "k2").ends_with("stays")
    });
    assert_unaffected(&router, &gone);
    wait_until("the router writes its object again", || store.writes() > 1);
}

/// A router that starts after the restore knows nothing that the copy lacks, but its
/// peers do.
#[test]
fn a_router_that_starts_after_a_restore_learns_from_its_peers_what_was_lost() {
    let (gone, stays) = (named("gone"), named("stays"));
    let (store, router) = restored(&gone, &stays);
    let second = Router::start_with_seeds("r2", store.address, &[router.callers]);
    second.wait_ready();
    assert_unaffected(&second, &gone);
}

/// The next manifest of the operator replaces the one that the copy lacks.
#[test]
fn the_operator_writes_again_after_a_restore() {
    let (gone, stays) = (named("gone"), named("stays"));
    let (store, router) = restored(&gone, &stays);
    store.put("config", "main", manifest(3, &["k3"]));
    wait_until("the next manifest is in force", || {
        send(&router, "k3").ends_with("stays")
    });
    assert!(send(&router, "k2").starts_with("HTTP/1.1 401 "));
    store.put("config", "main", Some(json!({"version": "damaged"})));
    assert!(send(&router, "k3").ends_with("stays"));
}

/// The store never answers the watches that waited when it went away. What the operator
/// writes again, and its next change, must not wait for them to end, and neither the copy
/// nor a restart may bring the withdrawn key back.
#[test]
fn a_manifest_is_in_force_after_a_store_was_silent_and_restored() {
    let runner = named("stays");
    let store = Store::start();
    store.put("config", "main", manifest(1, &["k1"]));
    store.put("servers", "i-0", entry(runner.address, "s"));
    let routers = start_routers(&store, 2);
    let copy = store.copy();
    store.put("config", "main", manifest(2, &["k2"]));
    for router in &routers {
        wait_until("the change is in force", || {
            send(router, "k2").ends_with("stays")
        });
    }
    store.set_silent(true);
    store.restore(copy);
    wait_until("a router notices the silence", || {
        routers[0].log().contains("event=store_lost")
    });
    store.set_silent(false);
    let third = Router::start_with_seeds("r3", store.address, &[routers[0].peers]);
    third.wait_ready();
    assert!(send(&third, "k1").starts_with("HTTP/1.1 401 "));
    store.put("config", "main", manifest(2, &["k2"]));
    store.put("config", "main", manifest(5, &["k2", "k3"]));
    for router in routers.iter().chain([&third]) {
        wait_until("the next change is in force", || {
            send(router, "k3").ends_with("stays")
        });
        assert!(send(router, "k1").starts_with("HTTP/1.1 401 "));
    }
}
