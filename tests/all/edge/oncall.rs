//! What logs, metrics and the commands for on-call say.

use super::world::{Router, Runner, Store, ask, eventually, respond_whole};
use super::{request, world};
use crate::command::{Directory, run};

#[test]
fn metrics_and_logs_tell_what_became_of_a_request() {
    let runner = Runner::start(|head, stream| respond_whole(stream, head, "done"));
    let (_store, router) = world(&[&runner]);
    ask(router.callers, &request("POST", "/once/x", "", ""));
    let unknown = request("GET", "/safe/x", "", "").replace("Token k1", "Token k2");
    ask(router.callers, &unknown.replace("q1", "q2"));
    eventually("both requests are in the log", || {
        let log = router.log();
        log.contains("event=answered request=q1") && log.contains("event=rejected request=q2")
    });
    let explain = |id: &str| run(&["explain", "--log", &router.log_file, id]);
    let way = explain("q1");
    assert_eq!(way.code, 0, "{way:?}");
    assert!(
        way.out.contains("  send  ") && way.out.contains("  answered  "),
        "{}",
        way.out
    );
    assert!(way.out.contains("runner=i-0"), "{}", way.out);
    assert!(explain("q2").out.contains("the API key is not known"));
    assert_eq!(explain("q3").code, 7);
}

#[test]
fn explain_skips_lines_of_others_and_keeps_the_order_of_time() {
    let text = "12.1 r2 at=30 instance=r2 level=info part=request event=answered request=q status=200\n\
        not a line of ours\nat=10 instance=r1 level=info part=request event=send request=q runner=i-1 waited_ms=3\n\
        at=20 instance=r1 level=info part=runner event=no_connection runner=i-1 refused=true\n\
        at=99 instance=r1 level=info part=runner event=no_connection runner=i-1 refused=true\n\
        at=25 instance=r1 part=request event=failed request=q reason=\"cut sh";
    let folder = Directory::new("explain-log");
    let file = folder.file("log", text);
    let way = run(&["explain", "--log", &file, "q"]);
    let events: Vec<String> = way
        .out
        .lines()
        .map(|line| {
            line.split_whitespace()
                .nth(3)
                .unwrap_or_default()
                .to_owned()
        })
        .collect();
    assert_eq!(events, ["send", "no_connection", "answered"], "{way:?}");
    assert!(way.err.contains("2 lines"), "{way:?}");
}

#[test]
fn explain_shows_the_start_of_a_router_that_was_killed_with_the_request() {
    let text = "at=5 instance=r1 part=process event=start incarnation=5\n\
        at=10 instance=r1 part=request event=send request=q runner=i-1\n\
        at=10 instance=r1 part=request event=send request=p runner=i-1\n\
        at=12 instance=r1 part=request event=answered request=p status=200\n\
        at=20 instance=r2 part=process event=start incarnation=20\n\
        at=30 instance=r1 part=process event=start incarnation=30\n";
    let folder = Directory::new("explain-start");
    let file = folder.file("log", text);
    let explain = |id: &str| run(&["explain", "--log", &file, id]).out;
    assert!(explain("q").contains("20 ms  r1  start  incarnation=30"));
    assert!(!explain("p").contains("  start  "));
}

#[test]
fn settings_are_checked_without_serving() {
    let folder = Directory::new("check-settings");
    let faulty = folder.file("settings.toml", "node_name = \"r1\"\nzone = 3\n");
    let checked = run(&["check-settings", &faulty]);
    assert_eq!(checked.code, 3, "{checked:?}");
    assert!(checked.err.contains("zone"), "{checked:?}");
    let store = Store::start();
    let router = Router::start("r1", store.address);
    let checked = run(&["check-settings", &router.settings_file]);
    assert_eq!(checked.code, 0, "{checked:?}");
}
