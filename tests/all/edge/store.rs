//! What a router does with what the store tells it, and without it.

use std::time::SystemTime;

use serde_json::json;

use super::world::{Router, Runner, Store, ask, eventually, field, respond_whole};
use super::{entry, manifest, request, world};

#[test]
fn keys_and_routes_follow_the_manifest_and_never_go_back() {
    let runner = Runner::start(|head, stream| respond_whole(stream, head, "done"));
    let (store, router) = world(&[&runner]);
    let with =
        |key: &str| request("GET", "/safe/x", "", "").replace("Token k1", &format!("Token {key}"));
    let status = |key: &str| ask(router.callers, &with(key))[9..12].to_owned();
    assert_eq!(
        (status("k1"), status("k2")),
        ("200".to_owned(), "401".to_owned())
    );
    store.put("config", "main", manifest(5, &["k2"]));
    eventually("the new key works", || status("k2") == "200");
    assert_eq!(status("k1"), "401");
    store.put("config", "main", manifest(3, &["k1"]));
    store.put("config", "main", Some(json!({"version": "damaged"})));
    store.put("config", "main", manifest(6, &["k2", "k3"]));
    eventually("the newest key works", || status("k3") == "200");
    assert_eq!(status("k1"), "401");
}

#[test]
fn a_router_that_the_store_turns_away_learns_from_another_one() {
    let runner = Runner::start(|head, stream| respond_whole(stream, head, "done"));
    let (store, router) = world(&[&runner]);
    let away = Store::start();
    away.set_down(true);
    // Seeds name any port of the other machine.
    let other = Router::start_beside("r2", away.address, &[router.callers]);
    other.wait_ready();
    let with =
        |key: &str| request("POST", "/once/x", "", "").replace("Token k1", &format!("Token {key}"));
    assert!(ask(other.callers, &with("k1")).ends_with("done"));
    store.put("config", "main", manifest(2, &["k2"]));
    eventually("the new manifest arrives", || {
        ask(other.callers, &with("k2")).ends_with("done")
    });
    assert!(ask(other.callers, &with("k1")).starts_with("HTTP/1.1 401 "));
    store.put("servers", "i-0", None);
    eventually("the leaving runner is known", || {
        ask(other.callers, &with("k2")).starts_with("HTTP/1.1 503 ")
    });
}

#[test]
fn a_runner_that_leaves_gets_no_new_requests() {
    let first = Runner::start(|head, stream| respond_whole(stream, head, "first"));
    let second = Runner::start(|head, stream| respond_whole(stream, head, "second"));
    let (store, router) = world(&[&first, &second]);
    let mut draining = entry(first.address, "s").expect("an entry");
    draining["state"] = json!("draining");
    store.put("servers", "i-0", Some(draining));
    store.put("servers", "i-1", None);
    let get = || ask(router.callers, &request("POST", "/once/x", "", ""));
    eventually("both are gone", || get().starts_with("HTTP/1.1 503 "));
    let answer = get();
    assert!(field(&answer, "retry-after").is_some(), "{answer}");
    store.put("servers", "i-2", entry(second.address, "s"));
    eventually("the new one serves", || get().ends_with("second"));
}

#[test]
fn entries_that_lapse_while_the_store_is_away_stay_until_they_can_be_renewed() {
    let runner = Runner::start(|head, stream| respond_whole(stream, head, "done"));
    let (store, router) = world(&[&runner]);
    store.set_down_for(Some("servers"));
    eventually("the outage is noticed", || {
        router.log().contains("event=store_lost kind=Runners")
    });
    store.put("servers", "i-0", None);
    let returned = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .expect("a clock after 1970");
    store.set_down_for(None);
    let gone = || {
        let log = router.log();
        let line = log
            .lines()
            .find(|line| line.contains("event=runner_gone"))?;
        line.strip_prefix("at=")?.split(' ').next()?.parse().ok()
    };
    eventually("the runner is gone", || gone().is_some());
    let after = gone().map_or(0, |at: u128| at.saturating_sub(returned.as_millis()));
    assert!(after >= 2000, "gone after {after} ms");
}
