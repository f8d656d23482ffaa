//! Evacuation of a failure domain by the operator.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::environment::{Router, Runner, Store, respond_with_body, send_raw, wait_until};
use super::{entry, manifest, request};

fn named(name: &'static str) -> Runner {
    Runner::start(move |head, stream| respond_with_body(stream, head, name))
}

fn entry_in(address: SocketAddr, domain: &str) -> Option<Value> {
    let mut entry = entry(address, "s").expect("an entry");
    entry["zone"] = json!(domain);
    Some(entry)
}

/// Starts a store with runner `near` in domain `a`, that of the routers, and `far` in `b`.
fn start_store(near: &Runner, far: &Runner) -> Store {
    let store = Store::start();
    store.put("config", "main", manifest(1, &["k1"]));
    store.put("servers", "i-0", entry_in(near.address, "a"));
    store.put("servers", "i-1", entry_in(far.address, "b"));
    store
}

fn send(router: &Router) -> String {
    send_raw(router.callers, &request("POST", "/once/x", "", ""))
}

fn wait_for_log(router: &Router, text: &str) {
    wait_until(text, || router.log().contains(text));
}

/// Requests must reach no runner of the domain, from no router, until the entry is deleted.
#[test]
fn routers_with_and_without_a_store_evacuate_a_domain_until_the_entry_is_deleted() {
    let (near, far) = (named("near"), named("far"));
    let store = start_store(&near, &far);
    let first = Router::start_with_evacuations("r1", store.address, &[]);
    first.wait_ready();
    assert!(send(&first).ends_with("near"));
    let unavailable_store = Store::start();
    unavailable_store.set_unavailable(true);
    let seeds = [first.peers];
    let cut_off = Router::start_with_evacuations("r2", unavailable_store.address, &seeds);
    cut_off.wait_ready();
    store.put("evacuations", "a", Some(json!({})));
    store.put("evacuations", "nowhere", Some(json!({})));
    for router in [&first, &cut_off] {
        wait_for_log(router, "event=domain_evacuated domain=a");
        wait_for_log(router, "event=evacuation_ignored name=\"nowhere\"");
    }
    // One that starts knows the evacuation before it serves.
    let third = Router::start_with_evacuations("r3", unavailable_store.address, &seeds);
    third.wait_ready();
    let reached = near.requests().len();
    for router in [&first, &cut_off, &third] {
        for _ in 0..5 {
            let response = send(router);
            assert!(response.ends_with("far"), "{response}");
        }
    }
    assert_eq!(near.requests().len(), reached);
    let metrics = SocketAddr::new(first.callers.ip(), 9464);
    let page = send_raw(
        metrics,
        "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    );
    let gauge = page
        .lines()
        .find(|line| line.starts_with("balsamchute_evacuated_domains"));
    assert!(gauge.is_some_and(|line| line.ends_with(" 2")), "{gauge:?}");
    // With the runner of the other domain gone, requests do not wait.
    store.put("servers", "i-1", None);
    wait_until("requests are refused", || {
        send(&cut_off).starts_with("HTTP/1.1 503 ")
    });
    wait_for_log(&cut_off, "reason=no_runner");
    assert_eq!(near.requests().len(), reached);
    store.put("evacuations", "a", None);
    for router in [&first, &cut_off, &third] {
        wait_for_log(router, "event=evacuation_ended domain=a");
        wait_until("the domain serves again", || send(router).ends_with("near"));
    }
    let reports = first.log().matches("event=evacuation_ignored").count();
    assert_eq!(reports, 1, "{}", first.log());
}

/// The copy does not list the evacuation, whose domain may be without power by then.
#[test]
fn an_evacuation_that_a_restored_store_lacks_is_held_until_it_is_ended() {
    let (near, far) = (named("near"), named("far"));
    let store = start_store(&near, &far);
    let first = Router::start_with_evacuations("r1", store.address, &[]);
    first.wait_ready();
    wait_until("the router wrote its object", || store.writes() > 0);
    let copy = store.copy();
    store.put("evacuations", "a", Some(json!({})));
    wait_for_log(&first, "event=domain_evacuated domain=a");
    let reached = near.requests().len();
    store.restore(copy);
    wait_for_log(&first, "event=evacuation_held domain=a era=1");
    let second = Router::start_with_evacuations("r2", store.address, &[first.peers]);
    second.wait_ready();
    for router in [&first, &second] {
        for _ in 0..5 {
            let response = send(router);
            assert!(response.ends_with("far"), "{response}");
        }
    }
    assert_eq!(near.requests().len(), reached);
    store.put("evacuations", "a", Some(json!({})));
    store.put("evacuations", "a", None);
    for router in [&first, &second] {
        wait_until("the domain serves again", || send(router).ends_with("near"));
        wait_for_log(router, "event=evacuation_ended domain=a");
    }
}
