//! Streams of runners whose entry, address or report belongs to another process than the one
//! that answers.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use serde_json::json;

use super::environment::{Runner, Store, connect, header, respond, send_raw, wait_until};
use super::streams::{BEGIN_LIMIT, begin, begin_by_retries, list, request, runner};
use super::{EVENT_STREAM_FIELDS, Router, entry, events, manifest, start_routers};

/// Status of a report that fails.
const FAILED: &str = "503";

/// Returns a response to a request for the report that names this start; 0 for none.
fn reply(status: &str, fields: &str, born: u64) -> String {
    let body = match born {
        0 => json!({"stage": "both"}).to_string(),
        born => json!({"stage": "both", "born": born}).to_string(),
    };
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {length}\r\n\r\n{body}")
}

fn closing(born: u64) -> String {
    reply("200", "Connection: close\r\n", born)
}

/// Router with the runner `i-0`, listed as started at 1 at v1. Streams of all runners break off
/// at once.
struct Fleet {
    store: Store,
    router: Router,
    breaks: Arc<AtomicBool>,
    first: Runner,
}

impl Fleet {
    /// Starts a fleet whose first runner replies like this to a request for its report.
    fn start(reply: &str) -> Self {
        Fleet::start_listed(reply, 1)
    }

    /// Same, with a runner that is listed as started at this time; 0 for none.
    fn start_listed(reply: &str, started_at: u64) -> Self {
        let store = Store::start();
        store.put("config", "main", manifest(1, &["k1"]));
        let breaks = Arc::default();
        let first = runner("i", &breaks);
        first.set_reply(reply);
        list(&store, "i-0", &first, "v1", started_at);
        let router = start_routers(&store, 1).remove(0);
        Fleet {
            store,
            router,
            breaks,
            first,
        }
    }

    /// Lists another runner as started at 1 at v1, which replies like this.
    fn add(&self, name: &str, reply: &str) -> Runner {
        self.add_listed(name, reply, 1)
    }

    fn add_listed(&self, name: &str, reply: &str, started_at: u64) -> Runner {
        let added = runner("i", &self.breaks);
        added.set_reply(reply);
        list(&self.store, name, &added, "v1", started_at);
        self.wait_logged(&format!("event=runner_listed runner={name} "));
        added
    }

    fn wait_logged(&self, text: &str) {
        wait_until("the entry is listed", || self.router.log().contains(text));
    }

    /// Begins a stream and returns its connection.
    fn begin(&self, id: &str) -> TcpStream {
        begin(&self.router, id).0
    }

    /// Begins a stream at a process of unknown version, the only one, and returns its connection.
    fn begin_unknown(&self, id: &str) -> TcpStream {
        begin_by_retries(&self.router, id, BEGIN_LIMIT).0
    }

    /// Breaks the streams off, and checks whether this one goes on elsewhere and can be taken up.
    fn check(&self, id: &str, mut caller: TcpStream, goes_on: bool) {
        self.breaks.store(true, Ordering::SeqCst);
        let mut rest = String::new();
        // The answer may be cut off with a reset.
        let _ = caller.read_to_string(&mut rest);
        let log = || self.router.log();
        assert_eq!(rest.contains("id: 5\n"), goes_on, "{id} {rest} {}", log());
        let fields = format!("Last-Event-Id: 2\r\nResumes: {id}\r\n");
        let text = request(&format!("{id}-2"), &fields);
        let response = send_raw(self.router.callers, &text);
        let is_taken_up = response.contains("id: 5\n");
        assert_eq!(is_taken_up, goes_on, "{id} {response} {}", log());
    }
}

#[test]
fn a_stream_of_a_process_that_closes_the_connection_of_its_report_is_not_taken_for_the_listed_one()
{
    let fleet = Fleet::start(&closing(2));
    let caller = fleet.begin_unknown("q1");
    let _other = fleet.add("i-1", &reply("200", "", 1));
    fleet.check("q1", caller, false);
}

#[test]
fn a_stream_is_continued_where_runners_close_the_connections_of_their_reports() {
    let fleet = Fleet::start(&closing(1));
    let caller = fleet.begin("q1");
    let _other = fleet.add("i-1", &closing(1));
    fleet.check("q1", caller, true);
}

#[test]
fn a_runner_that_closed_the_connection_of_one_report_is_asked_again_after_it_restarted() {
    let fleet = Fleet::start(&closing(1));
    let known = fleet.begin("q1");
    fleet.first.set_reply(&reply("200", "", 2));
    let unknown = fleet.begin_unknown("q2");
    let _other = fleet.add("i-1", &reply("200", "", 1));
    fleet.check("q1", known, true);
    fleet.check("q2", unknown, false);
}

#[test]
fn a_stream_of_a_runner_whose_report_names_no_start_any_more_is_of_unknown_version() {
    for status in ["200", FAILED] {
        let fleet = Fleet::start(&reply("200", "", 1));
        let known = fleet.begin("q1");
        fleet.first.set_reply(&reply(status, "", 0));
        let unknown = fleet.begin_unknown("q2");
        let _other = fleet.add("i-1", &reply("200", "", 1));
        fleet.check("q1", known, true);
        fleet.check("q2", unknown, false);
    }
}

/// The process may be the next one of the runner, which has not checked in.
#[test]
fn a_stream_of_a_runner_whose_report_fails_is_of_unknown_version_if_another_runner_names_its_start()
{
    let fleet = Fleet::start(&reply("200", "", 1));
    let _named = fleet.begin("q1");
    fleet.store.put("servers", "i-0", None);
    let _failing = fleet.add("i-1", &reply(FAILED, "", 0));
    fleet.wait_logged("event=runner_gone");
    let unknown = fleet.begin_unknown("q2");
    let _other = fleet.add("i-2", &reply("200", "", 1));
    fleet.check("q2", unknown, false);
}

#[test]
fn a_stream_is_continued_where_no_report_names_a_start() {
    for (status, listed) in [("200", 1), ("200", 0), (FAILED, 0)] {
        let fleet = Fleet::start_listed(&reply(status, "", 0), listed);
        let caller = fleet.begin("q1");
        let _other = fleet.add_listed("i-1", &reply(status, "", 0), listed);
        fleet.check("q1", caller, true);
    }
}

#[test]
fn a_stream_is_continued_at_a_runner_without_a_start_where_others_name_theirs() {
    let fleet = Fleet::start(&reply("200", "", 1));
    let caller = fleet.begin("q1");
    let unnamed = runner("i", &fleet.breaks);
    list(&fleet.store, "i-1", &unnamed, "v1", 0);
    fleet.wait_logged("runner=i-1 ");
    fleet.check("q1", caller, true);
}

/// The process before goes on with its requests at its own address.
#[test]
fn a_stream_is_not_sent_over_an_idle_connection_to_the_address_listed_before() {
    for (born, named) in [(0, 0), (1, 0), (1, 1)] {
        let fleet = Fleet::start(&reply("200", "", named));
        list(&fleet.store, "i-0", &fleet.first, "v1", born);
        fleet.wait_logged(&format!("started_at={born} "));
        let whole = send_raw(fleet.router.callers, &request("whole", ""));
        assert!(whole.contains("id: 5\n"), "{whole}");
        let next = runner("i", &fleet.breaks);
        next.set_reply(&reply("200", "", named));
        list(&fleet.store, "i-0", &next, "v2", born);
        fleet.wait_logged("software=\"v2\"");
        let _callers = ["q1", "q2", "q3"].map(|id| fleet.begin(id));
        assert_eq!(fleet.first.requests().len(), 1, "{}", fleet.router.log());
    }
}

#[test]
fn an_idle_connection_is_used_after_an_entry_that_names_the_same_process() {
    let fleet = Fleet::start(&reply("200", "", 1));
    send_raw(fleet.router.callers, &request("whole-1", ""));
    let mut value = entry(fleet.first.address, "s").expect("an entry");
    value["version"] = json!("v1");
    value["born"] = json!(1);
    value["slots"] = json!(7);
    fleet.store.put("servers", "i-0", Some(value));
    wait_until("the entry is listed", || {
        fleet.router.log().matches("event=runner_listed").count() == 2
    });
    send_raw(fleet.router.callers, &request("whole-2", ""));
    let log = fleet.router.log();
    assert_eq!(log.matches("event=process_").count(), 1, "{log}");
}

/// The report that the router waits for is of the process before.
#[test]
fn a_stream_whose_runner_is_listed_anew_while_it_is_asked_begins_at_the_process_listed_then() {
    let fleet = Fleet::start(&reply("200", "", 1));
    let (next, other) = (runner("i", &fleet.breaks), runner("i", &fleet.breaks));
    next.set_born(2);
    other.set_born(1);
    // The runner waits for its reply.
    let held = fleet.first.reply.lock().expect("no thread panicked");
    let mut caller = connect(fleet.router.callers);
    caller
        .write_all(request("q1", "").as_bytes())
        .expect("a request");
    fleet.wait_logged("event=send request=q1 ");
    list(&fleet.store, "i-0", &next, "v2", 2);
    fleet.wait_logged("software=\"v2\"");
    drop(held);
    wait_until("the stream begins", || {
        [&fleet.first, &next].map(|runner| runner.requests().len()) != [0, 0]
    });
    let log = fleet.router.log();
    assert_eq!(fleet.first.requests(), Vec::<String>::new(), "{log}");
    list(&fleet.store, "i-1", &other, "v2", 1);
    fleet.wait_logged("runner=i-1 ");
    fleet.check("q1", caller, true);
}

/// The process at the address is `i-1`, and refuses requests for another runner.
#[test]
fn a_stream_at_an_address_that_two_runners_are_listed_with_goes_on_at_the_version_that_began_it() {
    let store = Store::start();
    store.put("config", "main", manifest(1, &["k1"]));
    let breaks = Arc::default();
    let script_breaks: Arc<AtomicBool> = Arc::clone(&breaks);
    let shared = Runner::start(move |head, stream| {
        if header(head, "x-expect-instance") != Some("i-1") {
            respond(stream, head, 421, "Content-Length: 0\r\n", "");
            return true;
        }
        respond(stream, head, 200, EVENT_STREAM_FIELDS, &events(1, 2));
        wait_until("the stream breaks", || script_breaks.load(Ordering::SeqCst));
        false
    });
    let (old, new) = (runner("i", &breaks), runner("i", &breaks));
    for first in [&shared, &old, &new] {
        first.set_born(1);
    }
    list(&store, "i-0", &shared, "v1", 1);
    list(&store, "i-1", &shared, "v2", 1);
    let router = start_routers(&store, 1).remove(0);
    let fleet = Fleet {
        store,
        router,
        breaks,
        first: shared,
    };
    let caller = fleet.begin("q1");
    list(&fleet.store, "i-2", &old, "v1", 1);
    list(&fleet.store, "i-3", &new, "v2", 1);
    fleet.wait_logged("runner=i-3 ");
    fleet.wait_logged("runner=i-2 ");
    fleet.check("q1", caller, true);
    assert_eq!(
        old.requests(),
        Vec::<String>::new(),
        "{}",
        fleet.router.log()
    );
}

/// The entry may come from another writer, since a process that names its start does so everywhere.
#[test]
fn a_stream_of_a_process_that_names_a_start_is_of_unknown_version_if_its_entry_names_none() {
    let fleet = Fleet::start(&reply("200", "", 2));
    list(&fleet.store, "i-0", &fleet.first, "v1", 0);
    fleet.wait_logged("started_at=0 ");
    let caller = fleet.begin_unknown("q1");
    let _other = fleet.add("i-1", &reply("200", "", 1));
    fleet.check("q1", caller, false);
}
