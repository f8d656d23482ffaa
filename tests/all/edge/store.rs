//! Edge routers follow the store, and keep working during its outages.

use std::thread;
use std::time::{Duration, SystemTime};

use serde_json::json;

use super::environment::{Router, Runner, Store, header, respond_with_body, send_raw, wait_until};
use super::{entry, manifest, request, start_router};

/// Accepting an older or damaged manifest would restore API keys that were revoked.
#[test]
fn api_keys_follow_the_newest_valid_manifest() {
    let runner = Runner::start(|head, stream| respond_with_body(stream, head, "done"));
    let (store, router) = start_router(&[&runner]);
    let request_with =
        |key: &str| request("GET", "/safe/x", "", "").replace("Token k1", &format!("Token {key}"));
    // The status follows "HTTP/1.1 ".
    let status = |key: &str| send_raw(router.callers, &request_with(key))[9..12].to_owned();
    assert_eq!(
        (status("k1"), status("k2")),
        ("200".to_owned(), "401".to_owned())
    );
    store.put("config", "main", manifest(5, &["k2"]));
    wait_until("the new key works", || status("k2") == "200");
    assert_eq!(status("k1"), "401");
    store.put("config", "main", manifest(3, &["k1"]));
    store.put("config", "main", Some(json!({"version": "damaged"})));
    store.put("config", "main", manifest(6, &["k2", "k3"]));
    wait_until("the newest key works", || status("k3") == "200");
    assert_eq!(status("k1"), "401");
}

/// The second router never reaches its store and gets the manifest and the runners, and
/// their later changes, from the first one.
#[test]
fn a_router_without_a_store_syncs_from_another_router() {
    let runner = Runner::start(|head, stream| respond_with_body(stream, head, "done"));
    let (store, router) = start_router(&[&runner]);
    let unavailable_store = Store::start();
    unavailable_store.set_unavailable(true);
    // A seed may name any port at the address of the other router.
    let second_router =
        Router::start_with_seeds("r2", unavailable_store.address, &[router.callers]);
    second_router.wait_ready();
    let request_with =
        |key: &str| request("POST", "/once/x", "", "").replace("Token k1", &format!("Token {key}"));
    assert!(send_raw(second_router.callers, &request_with("k1")).ends_with("done"));
    store.put("config", "main", manifest(2, &["k2"]));
    wait_until("the new manifest arrives", || {
        send_raw(second_router.callers, &request_with("k2")).ends_with("done")
    });
    assert!(send_raw(second_router.callers, &request_with("k1")).starts_with("HTTP/1.1 401 "));
    store.put("servers", "i-0", None);
    wait_until("the removal of the runner arrives", || {
        send_raw(second_router.callers, &request_with("k2")).starts_with("HTTP/1.1 503 ")
    });
}

#[test]
fn a_draining_or_removed_runner_gets_no_new_requests() {
    let first = Runner::start(|head, stream| respond_with_body(stream, head, "first"));
    let second = Runner::start(|head, stream| respond_with_body(stream, head, "second"));
    let (store, router) = start_router(&[&first, &second]);
    let mut draining = entry(first.address, "s").expect("an entry");
    draining["state"] = json!("draining");
    store.put("servers", "i-0", Some(draining));
    store.put("servers", "i-1", None);
    let send = || send_raw(router.callers, &request("POST", "/once/x", "", ""));
    wait_until("both runners are out of use", || {
        send().starts_with("HTTP/1.1 503 ")
    });
    let response = send();
    assert!(header(&response, "retry-after").is_some(), "{response}");
    store.put("servers", "i-2", entry(second.address, "s"));
    wait_until("the new runner serves", || send().ends_with("second"));
}

/// Three check-in intervals of the runners, after which the store removes an entry.
const EXPIRY_TIME: Duration = Duration::from_millis(3 * 1200);

/// During an outage of the store runners cannot renew their entries, which expire although
/// the runners are healthy. Removing them at once when the store returns would leave the
/// router without runners, so they stay for a grace period.
#[test]
fn entries_that_expire_during_a_store_outage_are_kept_for_renewal() {
    let runner = Runner::start(|head, stream| respond_with_body(stream, head, "done"));
    let (store, router) = start_router(&[&runner]);
    store.set_unavailable_for(Some("servers"));
    wait_until("the router notices the outage", || {
        router.log().contains("event=store_lost kind=Runners")
    });
    thread::sleep(EXPIRY_TIME);
    store.put("servers", "i-0", None);
    let restored_at = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .expect("a clock after 1970");
    store.set_unavailable_for(None);
    let removed_at = || {
        let log = router.log();
        let line = log
            .lines()
            .find(|line| line.contains("event=runner_gone"))?;
        line.strip_prefix("at=")?.split(' ').next()?.parse().ok()
    };
    wait_until("the router removes the runner", || removed_at().is_some());
    let delay_ms = removed_at().map_or(0, |removed_ms: u128| {
        removed_ms.saturating_sub(restored_at.as_millis())
    });
    // The router's `REMOVAL_GRACE` after the store recovers.
    assert!(
        delay_ms >= 2000,
        "removed {delay_ms} ms after the store returned"
    );
}
