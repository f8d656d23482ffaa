//! Streams of runners whose entry, address or report belongs to another process than the one
//! that answers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::json;

use super::environment::{
    Store, asks_for_report, connect, header, read_message, respond, send_raw, wait_until,
};
use super::{EVENT_STREAM_FIELDS, Router, entry, events, manifest, start_routers};

/// What a runner says of itself when it is asked for its report.
#[derive(Clone, Copy, Debug)]
enum Report {
    /// The start of its process.
    Start(u64),
    /// The same, and closes the connection.
    Closing(u64),
    /// No start.
    Unnamed,
    /// Status 503.
    Failed,
}

impl Report {
    /// Writes the response; returns whether the connection stays open.
    fn write(self, stream: &mut TcpStream) -> bool {
        let (status, fields, body) = match self {
            Report::Start(born) => (200, "", json!({"stage": "both", "born": born})),
            Report::Closing(born) => (
                200,
                "Connection: close\r\n",
                json!({"stage": "both", "born": born}),
            ),
            Report::Unnamed => (200, "", json!({"stage": "both"})),
            Report::Failed => (503, "", json!({})),
        };
        let body = body.to_string();
        let length = body.len();
        let text = format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {length}\r\n\r\n{body}");
        // The router may have closed the connection.
        let _ = stream.write_all(text.as_bytes());
        !matches!(self, Report::Closing(_))
    }
}

/// Runner whose streams break off after two events once `breaks` is set, and go on to the fifth.
/// Requests for a path that ends in `whole` are answered at once.
struct Runner {
    address: SocketAddr,
    report: Arc<Mutex<Report>>,
    breaks: Arc<AtomicBool>,
    received: Arc<AtomicUsize>,
}

impl Runner {
    fn start(report: Report) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let runner = Runner {
            address: listener.local_addr().expect("an address"),
            report: Arc::new(Mutex::new(report)),
            breaks: Arc::default(),
            received: Arc::default(),
        };
        let (report, breaks) = (runner.report.clone(), runner.breaks.clone());
        let received = runner.received.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (report, breaks) = (report.clone(), breaks.clone());
                let received = received.clone();
                thread::spawn(move || serve(stream, &report, &breaks, &received));
            }
        });
        runner
    }

    fn set_report(&self, report: Report) {
        *self.report.lock().expect("no thread panicked") = report;
    }

    fn list(&self, store: &Store, name: &str, version: &str, born: Option<u64>) {
        let mut value = entry(self.address, "s").expect("an entry");
        value["version"] = json!(version);
        if let Some(born) = born {
            value["born"] = json!(born);
        }
        store.put("servers", name, Some(value));
    }
}

fn serve(
    mut stream: TcpStream,
    report: &Mutex<Report>,
    breaks: &AtomicBool,
    received: &AtomicUsize,
) {
    while let Some((head, _)) = read_message(&mut stream) {
        if asks_for_report(&head) {
            let report = *report.lock().expect("no thread panicked");
            if !report.write(&mut stream) {
                return;
            }
            continue;
        }
        received.fetch_add(1, Ordering::SeqCst);
        let from =
            header(&head, "last-event-id").map_or(1, |id| 1 + id.parse::<u64>().expect("id"));
        if from > 1 || head.contains("/whole ") {
            let body = format!("{}0\r\n\r\n", events(from, 5));
            let fields = format!("Keep-Alive: timeout=8\r\n{EVENT_STREAM_FIELDS}");
            respond(&mut stream, &head, 200, &fields, &body);
            continue;
        }
        respond(&mut stream, &head, 200, EVENT_STREAM_FIELDS, &events(1, 2));
        wait_until("the stream breaks", || breaks.load(Ordering::SeqCst));
        return;
    }
}

/// Starts a router with this runner, listed as `i-0` of v1 with this start.
fn start(runner: &Runner, born: Option<u64>) -> (Store, Router) {
    let store = Store::start();
    store.put("config", "main", manifest(1, &["k1"]));
    runner.list(&store, "i-0", "v1", born);
    let router = start_routers(&store, 1).remove(0);
    (store, router)
}

fn request(path: &str, id: &str, fields: &str) -> String {
    format!(
        "POST /stream/{path} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 8000\r\n\
         Authorization: Token k1\r\nConnection: close\r\n{fields}Content-Length: 0\r\n\r\n"
    )
}

/// Begins a stream, reads it up to the second event and returns its connection.
fn begin(router: &Router, id: &str) -> TcpStream {
    let mut caller = connect(router.callers);
    let text = request("x", id, "");
    caller.write_all(text.as_bytes()).expect("a request");
    let mut response = String::new();
    while !response.contains("id: 2\n") {
        let mut bytes = [0; 512];
        let length = caller.read(&mut bytes).expect("the stream goes on");
        assert!(length > 0, "{response} {}", router.log());
        response.push_str(&String::from_utf8_lossy(&bytes[..length]));
    }
    caller
}

/// Breaks the streams of a runner off; returns whether that of this caller goes on elsewhere.
fn goes_on(runner: &Runner, caller: &mut TcpStream) -> bool {
    runner.breaks.store(true, Ordering::SeqCst);
    let mut rest = String::new();
    // The answer may be cut off with a reset.
    let _ = caller.read_to_string(&mut rest);
    rest.contains("id: 5\n")
}

fn is_taken_up(router: &Router, id: &str) -> bool {
    let fields = format!("Last-Event-Id: 2\r\nResumes: {id}\r\n");
    let response = send_raw(router.callers, &request("x", &format!("{id}-2"), &fields));
    response.contains("id: 5\n")
}

fn wait_listed(router: &Router, text: &str) {
    wait_until("the entry is listed", || router.log().contains(text));
}

#[test]
fn a_stream_of_a_process_that_closes_the_connection_of_its_report_is_not_taken_for_the_listed_one()
{
    let (restarted, other) = (
        Runner::start(Report::Closing(2)),
        Runner::start(Report::Start(1)),
    );
    let (store, router) = start(&restarted, Some(1));
    let mut caller = begin(&router, "q1");
    other.list(&store, "i-1", "v1", Some(1));
    wait_listed(&router, "runner=i-1 ");
    assert!(!goes_on(&restarted, &mut caller), "{}", router.log());
    assert!(!is_taken_up(&router, "q1"), "{}", router.log());
}

#[test]
fn a_stream_is_continued_where_runners_close_the_connections_of_their_reports() {
    let (first, other) = (
        Runner::start(Report::Closing(1)),
        Runner::start(Report::Closing(1)),
    );
    let (store, router) = start(&first, Some(1));
    let mut caller = begin(&router, "q1");
    other.list(&store, "i-1", "v1", Some(1));
    wait_listed(&router, "runner=i-1 ");
    assert!(goes_on(&first, &mut caller), "{}", router.log());
    assert!(is_taken_up(&router, "q1"), "{}", router.log());
}

#[test]
fn a_runner_that_closed_the_connection_of_one_report_is_asked_again_after_it_restarted() {
    let (first, other) = (
        Runner::start(Report::Closing(1)),
        Runner::start(Report::Start(1)),
    );
    let (store, router) = start(&first, Some(1));
    let mut known = begin(&router, "q1");
    first.set_report(Report::Start(2));
    let mut unknown = begin(&router, "q2");
    other.list(&store, "i-1", "v1", Some(1));
    wait_listed(&router, "runner=i-1 ");
    assert!(goes_on(&first, &mut known), "{}", router.log());
    assert!(!goes_on(&first, &mut unknown), "{}", router.log());
    assert!(!is_taken_up(&router, "q2"), "{}", router.log());
}

#[test]
fn a_stream_of_a_runner_whose_report_names_no_start_any_more_is_of_unknown_version() {
    for report in [Report::Unnamed, Report::Failed] {
        let first = Runner::start(Report::Start(1));
        let other = Runner::start(Report::Start(1));
        let (store, router) = start(&first, Some(1));
        let mut known = begin(&router, "q1");
        first.set_report(report);
        let mut unknown = begin(&router, "q2");
        other.list(&store, "i-1", "v1", Some(1));
        wait_listed(&router, "runner=i-1 ");
        assert!(goes_on(&first, &mut known), "{}", router.log());
        assert!(!goes_on(&first, &mut unknown), "{}", router.log());
        assert!(!is_taken_up(&router, "q2"), "{}", router.log());
    }
}

/// The process may be the next one of the runner, which has not checked in.
#[test]
fn a_stream_of_a_runner_whose_report_fails_is_of_unknown_version_if_another_runner_names_its_start()
{
    let other = Runner::start(Report::Start(1));
    let failing = Runner::start(Report::Failed);
    let (store, router) = start(&other, Some(1));
    let _named = begin(&router, "q1");
    store.put("servers", "i-0", None);
    failing.list(&store, "i-1", "v1", Some(1));
    wait_listed(&router, "runner=i-1 ");
    wait_listed(&router, "event=runner_gone");
    let mut unknown = begin(&router, "q2");
    other.list(&store, "i-2", "v1", Some(1));
    wait_listed(&router, "runner=i-2 ");
    assert!(!goes_on(&failing, &mut unknown), "{}", router.log());
    assert!(!is_taken_up(&router, "q2"), "{}", router.log());
}

#[test]
fn a_stream_is_continued_where_no_report_names_a_start() {
    for report in [Report::Unnamed, Report::Failed] {
        let (first, other) = (Runner::start(report), Runner::start(report));
        let (store, router) = start(&first, Some(1));
        let mut caller = begin(&router, "q1");
        other.list(&store, "i-1", "v1", Some(1));
        wait_listed(&router, "runner=i-1 ");
        assert!(goes_on(&first, &mut caller), "{}", router.log());
        assert!(is_taken_up(&router, "q1"), "{}", router.log());
    }
}

#[test]
fn a_stream_is_continued_at_a_runner_without_a_start_where_others_name_theirs() {
    let named = Runner::start(Report::Start(1));
    let unnamed = Runner::start(Report::Unnamed);
    let (store, router) = start(&named, Some(1));
    let mut caller = begin(&router, "q1");
    unnamed.list(&store, "i-1", "v1", None);
    wait_listed(&router, "runner=i-1 ");
    assert!(goes_on(&named, &mut caller), "{}", router.log());
}

/// The process before goes on with its requests at its own address.
#[test]
fn a_stream_is_not_sent_over_an_idle_connection_to_the_address_listed_before() {
    let cases = [
        (None, Report::Unnamed),
        (Some(1), Report::Unnamed),
        (Some(1), Report::Start(1)),
    ];
    for (born, report) in cases {
        let (old, new) = (Runner::start(report), Runner::start(report));
        let (store, router) = start(&old, born);
        let response = send_raw(router.callers, &request("whole", "q0", ""));
        assert!(response.contains("id: 5\n"), "{response}");
        new.list(&store, "i-0", "v2", born);
        wait_listed(&router, "software=\"v2\"");
        let _callers: Vec<TcpStream> = (1..4).map(|id| begin(&router, &format!("q{id}"))).collect();
        let received = old.received.load(Ordering::SeqCst);
        assert_eq!(received, 1, "{report:?} {}", router.log());
    }
}

#[test]
fn an_idle_connection_is_used_after_an_entry_that_names_the_same_process() {
    let runner = Runner::start(Report::Start(1));
    let (store, router) = start(&runner, Some(1));
    send_raw(router.callers, &request("whole", "q0", ""));
    let mut value = entry(runner.address, "s").expect("an entry");
    value["version"] = json!("v1");
    value["born"] = json!(1);
    value["slots"] = json!(7);
    store.put("servers", "i-0", Some(value));
    wait_until("the entry is listed", || {
        router.log().matches("event=runner_listed").count() == 2
    });
    send_raw(router.callers, &request("whole", "q1", ""));
    assert_eq!(
        router.log().matches("event=process_").count(),
        1,
        "{}",
        router.log()
    );
}
