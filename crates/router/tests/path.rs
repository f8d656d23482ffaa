//! Requests on their whole path over real sockets, with callers, routers, the
//! platform and targets.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use balsamchute_base::digest::Hasher;
use balsamchute_base::prelude::*;
use balsamchute_platform::client::WATCH_MARGIN;
use balsamchute_router::Sockets;
use balsamchute_router::hooks::Hooks;
use balsamchute_router::settings::Settings;
use balsamchute_standin::link::Link;
use balsamchute_standin::{engine, plain, platform};
use balsamchute_wire::config::Document;
use balsamchute_wire::record::{End, Outcome, Record};

/// Longest wait for a condition. The test fails when it is reached.
const TIMEOUT: Duration = Duration::from_secs(30);

struct Fleet {
    platform: platform::Platform,
    engine: engine::Engine,
    plain: plain::Plain,
    routers: Vec<SocketAddr>,
}

/// Binds a free port of the loopback interface.
fn bind() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is available");
    let address = listener.local_addr().expect("listener has a local address");
    (address, listener)
}

impl Fleet {
    fn start(count: usize) -> Self {
        let platform = platform::Platform::start("127.0.0.1:0".parse().expect("address is valid"))
            .expect("platform stand-in starts");
        let engine = engine::Engine::start(engine::Settings::new("e1", 4).with_speed(2000.0))
            .expect("engine stand-in starts");
        let plain = plain::Plain::start(plain::Settings::new("p1", 2))
            .expect("plain service stand-in starts");
        let mut fleet = Fleet {
            platform,
            engine,
            plain,
            routers: Vec::new(),
        };
        fleet.put_config();
        for index in 0..count {
            fleet.start_router(index);
        }
        fleet.wait_ready(count);
        fleet
    }

    fn put_config(&self) {
        let text = format!(
            "domains: [{{name: d1, region: r}}]\n\
             services: [{{name: draft, kind: engine}}, {{name: book, kind: plain}}]\n\
             runners:\n\
             - {{name: e1, service: draft, domain: d1, address: \"{}\", slots: 4, fencing: true}}\n\
             - {{name: p1, service: book, domain: d1, address: \"{}\", slots: 2, fencing: false}}\n\
             workspaces: [{{name: w1, weight: 1}}, {{name: w2, weight: 2}}]\n",
            self.engine.address(),
            self.plain.address()
        );
        let document = Document {
            change_id: "c1".to_owned(),
            author: "test".to_owned(),
            text,
            ..Document::default()
        };
        let bytes = serde_json::to_vec(&document).expect("document is encoded as JSON");
        self.platform.put("config/current", bytes);
    }

    fn start_router(&mut self, index: usize) {
        let (callers, callers_socket) = bind();
        let (inner, inner_socket) = bind();
        let text = format!(
            "instance: r{index}\ndomain: d1\ncallers: {callers}\ninner: {inner}\nplatform: {}\n",
            self.platform.address()
        );
        let settings = Settings::parse(&text).expect("settings are valid");
        self.platform.put_instance(instance(index, inner));
        let sockets = Sockets::new(callers_socket, inner_socket);
        thread::spawn(move || balsamchute_router::serve_on(sockets, settings, Hooks::new()));
        self.routers.push(callers);
    }

    /// Starts a router that the others reach through a link.
    fn start_linked_router(&mut self, index: usize) -> Link {
        let (callers, callers_socket) = bind();
        let (upstream, inner_socket) = bind();
        let link = Link::start("127.0.0.1:0".parse().expect("address is valid"), upstream)
            .expect("link starts");
        let inner = link.address();
        let text = format!(
            "instance: r{index}\ndomain: d1\ncallers: {callers}\ninner: {inner}\nplatform: {}\n",
            self.platform.address()
        );
        let settings = Settings::parse(&text).expect("settings are valid");
        self.platform.put_instance(instance(index, inner));
        let sockets = Sockets::new(callers_socket, inner_socket);
        thread::spawn(move || balsamchute_router::serve_on(sockets, settings, Hooks::new()));
        self.routers.push(callers);
        link
    }

    /// Waits until each router lists `count` routers.
    fn wait_ready(&self, count: usize) {
        let start = Instant::now();
        for router in &self.routers {
            loop {
                let members = status(*router)
                    .map_or(0, |status| status["members"].as_array().map_or(0, Vec::len));
                if members == count {
                    break;
                }
                assert!(
                    start.elapsed() < TIMEOUT,
                    "router {router} sees {members} of {count} routers"
                );
                thread::sleep(Duration::from_millis(20));
            }
        }
    }
}

fn instance(index: usize, inner: SocketAddr) -> platform::Instance {
    platform::Instance {
        name: format!("r{index}"),
        kind: platform::Kind::Router,
        address: inner,
        domain: "d1".to_owned(),
        state: platform::State::Live,
    }
}

fn status(router: SocketAddr) -> Option<serde_json::Value> {
    let mut response = ureq::get(format!("http://{router}/v1/status"))
        .call()
        .ok()?;
    serde_json::from_str(&response.body_mut().read_to_string().ok()?).ok()
}

/// Sends a request and returns the token texts and the end record of its
/// answer.
fn run(
    router: SocketAddr,
    service: &str,
    workspace: &str,
    key: Option<&str>,
    body: &str,
) -> (Vec<String>, End) {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let mut request = agent
        .post(format!("http://{router}/v1/run/{service}"))
        .header("x-workspace", workspace)
        .header("x-deadline-ms", "20000");
    if let Some(key) = key {
        request = request.header("x-key", key);
    }
    let response = request.send(body).expect("router answers the request");
    let mut texts = Vec::new();
    let mut hasher = Hasher::new();
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let line = line.expect("answer is read to its end");
        if line.is_empty() {
            continue;
        }
        match Record::from_line(&line).expect("line is a record") {
            Record::Token(token) => {
                assert_eq!(token.index, texts.len() as u64);
                hasher.update(token.text.as_bytes());
                texts.push(token.text);
            }
            Record::End(end) => {
                if end.outcome == Outcome::Done {
                    assert_eq!(end.digest, hasher.digest().to_string());
                    assert_eq!(end.tokens, texts.len() as u64);
                }
                return (texts, end);
            }
        }
    }
    panic!("answer has no end record");
}

/// Guards against answers that are lost or truncated when the router that receives a
/// request forwards it to another one.
#[test]
fn every_router_serves_complete_answers_to_every_workspace() {
    let fleet = Fleet::start(3);
    for router in &fleet.routers {
        for workspace in ["w1", "w2"] {
            let (texts, end) = run(*router, "draft", workspace, None, r#"{"tokens":20}"#);
            assert_eq!(end.outcome, Outcome::Done, "{end:?}");
            assert_eq!(texts.len(), 20);
            let (texts, end) = run(*router, "book", workspace, None, r#"{"ms":5}"#);
            assert_eq!(end.outcome, Outcome::Done, "{end:?}");
            assert_eq!(texts.len(), 1);
        }
    }
    assert_eq!(fleet.engine.records().len(), 6);
}

/// Guards against a second run of a request with a bound key, which only one
/// incarnation of one router may run, when a caller resends it to other
/// routers. Also checks that all routers report its outcome, and report it as
/// unknown if the router of the key does not exist.
#[test]
fn request_with_a_bound_key_runs_once_when_resent_to_all_routers() {
    let fleet = Fleet::start(3);
    let url = format!("http://{}/v1/address?workspace=w1", fleet.routers[0]);
    let body = ureq::get(url)
        .call()
        .expect("router responds")
        .body_mut()
        .read_to_string()
        .expect("response body is text");
    let address: serde_json::Value = serde_json::from_str(&body).expect("response body is JSON");
    let key = address["key"].as_str().expect("response has a key");
    for router in &fleet.routers {
        let (texts, end) = run(*router, "book", "w1", Some(key), r#"{"ms":5}"#);
        assert_eq!(end.outcome, Outcome::Done, "{end:?}");
        assert_eq!(texts.len(), 1);
    }
    assert_eq!(fleet.plain.records().len(), 1);
    // Each router reports the outcome, also if it has to query the router that
    // the key is bound to.
    for router in &fleet.routers {
        let url = format!("http://{router}/v1/outcome?workspace=w1&key={key}");
        let mut answer = ureq::get(url).call().expect("router responds");
        let body = answer
            .body_mut()
            .read_to_string()
            .expect("response body is text");
        let end: End = serde_json::from_str(&body).expect("response body is an end record");
        assert_eq!(end.outcome, Outcome::Done);
    }
    // A bound key starts with `m.` and the instance of its router. There is no
    // instance `r9`.
    let unreachable_key = key.replace("m.r0.", "m.r9.");
    let url = format!(
        "http://{}/v1/outcome?workspace=w1&key={unreachable_key}",
        fleet.routers[1]
    );
    let mut answer = ureq::get(url).call().expect("router responds");
    let body = answer
        .body_mut()
        .read_to_string()
        .expect("response body is text");
    let end: End = serde_json::from_str(&body).expect("response body is an end record");
    assert_eq!(end.outcome, Outcome::Unknown);
}

/// Guards against requests for an unknown workspace or service that reach a
/// target, or are refused without the faulty name.
#[test]
fn refusals_name_the_invalid_workspace_or_service() {
    let fleet = Fleet::start(1);
    let router = fleet.routers[0];
    for (service, workspace, expected) in [
        ("draft", "nobody", "workspace \"nobody\" does not exist"),
        ("nothing", "w1", "service \"nothing\" does not exist"),
        ("draft", "a b", "workspace name \"a b\" contains ' '"),
    ] {
        let (_, end) = run(router, service, workspace, None, r#"{"tokens":2}"#);
        assert_eq!(end.outcome, Outcome::NotRun);
        let reason = end.reason.expect("end record has a reason");
        assert!(reason.contains(expected), "{reason}");
    }
    assert!(fleet.engine.records().is_empty());
}

/// Returns the sum of all series on a router's metrics page that start with
/// `name` and contain `label`.
fn metric(router: SocketAddr, name: &str, label: &str) -> f64 {
    let page = ureq::get(format!("http://{router}/metrics"))
        .call()
        .expect("router responds with its metrics")
        .body_mut()
        .read_to_string()
        .expect("response body is text");
    let series = page
        .lines()
        .filter(|line| line.starts_with(name) && line.contains(label));
    series
        .map(|line| line.rsplit(' ').next().expect("series has a value"))
        .map(|value| value.parse::<f64>().expect("value is a number"))
        .sum()
}

/// Guards against requests that are counted twice or not at all because one
/// router receives them and another one runs them.
#[test]
fn metrics_count_each_request_once_in_the_fleet() {
    let fleet = Fleet::start(3);
    for router in &fleet.routers {
        let (_, end) = run(*router, "draft", "w1", None, r#"{"tokens":20}"#);
        assert_eq!(end.outcome, Outcome::Done, "{end:?}");
    }
    run(fleet.routers[0], "draft", "nobody", None, r#"{"tokens":2}"#);
    let fleet_sum = |name: &str, label: &str| -> f64 {
        let routers = fleet.routers.iter();
        routers.map(|router| metric(*router, name, label)).sum()
    };
    let workspace_label = r#"workspace="w1""#;
    assert_eq!(
        fleet_sum(
            "balsamchute_requests_total{outcome=\"done\"",
            workspace_label
        ),
        3.0
    );
    assert_eq!(
        fleet_sum("balsamchute_requests_total", "workspace=\"other\""),
        1.0
    );
    assert_eq!(
        fleet_sum("balsamchute_queue_wait_seconds_count", workspace_label),
        3.0
    );
    assert_eq!(
        fleet_sum("balsamchute_first_token_seconds_count", workspace_label),
        3.0
    );
    // 19 intervals in each of three answers.
    assert_eq!(
        fleet_sum("balsamchute_between_tokens_seconds_count", workspace_label),
        57.0
    );
    assert_eq!(
        fleet_sum("balsamchute_total_seconds_count", workspace_label),
        3.0
    );
    assert_eq!(fleet_sum("balsamchute_cost_sum", workspace_label), 60.0);
    // Three routers, each of which lists three.
    assert_eq!(fleet_sum("balsamchute_routers", ""), 9.0);
    // Routers that have just discovered each other take a moment to agree on
    // the owner of the runner.
    let start = Instant::now();
    while fleet_sum("balsamchute_slots{", "service=\"draft\"") != 4.0 {
        assert!(
            start.elapsed() < TIMEOUT,
            "routers do not agree on an owner of the runner"
        );
        thread::sleep(Duration::from_millis(20));
    }
    let watches = "balsamchute_platform_calls_total{kind=\"watch\"";
    assert!(fleet_sum(watches, "part=\"poll\"") >= 3.0);
    for direction in ["direction=\"in\"", "direction=\"out\""] {
        let kind = "balsamchute_control_bytes_total{";
        assert!(fleet_sum(kind, direction) > 0.0, "{direction}");
    }
}

/// Sends a booking with this key to the routers in turn until its outcome is
/// `done`.
fn book(fleet: &Fleet, key: &str) {
    let start = Instant::now();
    for router in fleet.routers.iter().cycle() {
        let (_, end) = run(*router, "book", "w1", Some(key), r#"{"ms":5}"#);
        if end.outcome == Outcome::Done {
            return;
        }
        assert!(start.elapsed() < TIMEOUT, "{key}: {end:?}");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against a second run of a request with a durable key when a caller
/// resends it to other routers, and against a key that is reused with another
/// body.
#[test]
fn request_with_a_durable_key_runs_once_when_resent_to_all_routers() {
    let fleet = Fleet::start(3);
    for index in 0..20 {
        let key = format!("booking-{index}");
        for router in &fleet.routers {
            let (texts, end) = run(*router, "book", "w1", Some(&key), r#"{"ms":5}"#);
            assert_eq!(end.outcome, Outcome::Done, "{end:?}");
            assert_eq!(texts.len(), 1, "{end:?}");
        }
    }
    assert_eq!(fleet.plain.records().len(), 20);
    let (_, end) = run(
        fleet.routers[0],
        "book",
        "w1",
        Some("booking-0"),
        r#"{"ms":6}"#,
    );
    let reason = end.reason.expect("end record has a reason");
    assert!(reason.contains("another body"), "{reason}");
    assert_eq!(fleet.plain.records().len(), 20);
}

/// Guards against outcomes that only the router that ran the request can
/// report.
#[test]
fn every_router_reports_the_outcome_of_a_durable_key() {
    let fleet = Fleet::start(3);
    book(&fleet, "payout-1");
    for router in &fleet.routers {
        let url = format!("http://{router}/v1/outcome?workspace=w1&key=payout-1");
        // The end record is stored shortly after the caller has received it.
        let start = Instant::now();
        loop {
            let mut answer = ureq::get(&url).call().expect("router responds");
            let body = answer
                .body_mut()
                .read_to_string()
                .expect("response body is text");
            let end: End = serde_json::from_str(&body).expect("response body is an end record");
            if end.outcome == Outcome::Done {
                break;
            }
            assert!(start.elapsed() < TIMEOUT, "{end:?}");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Guards against a request with a durable key that runs without a stored
/// claim, or cannot run any more after an outage of the store.
#[test]
fn durable_key_is_refused_as_not_run_while_the_store_is_down_and_runs_afterwards() {
    let fleet = Fleet::start(2);
    book(&fleet, "before");
    fleet.platform.set_unavailable(true);
    for router in &fleet.routers {
        let (_, end) = run(*router, "book", "w1", Some("during"), r#"{"ms":5}"#);
        assert_eq!(end.outcome, Outcome::NotRun, "{end:?}");
        assert!(end.retry_after_ms.is_some(), "{end:?}");
    }
    assert_eq!(fleet.plain.records().len(), 1);
    fleet.platform.set_unavailable(false);
    book(&fleet, "during");
    book(&fleet, "during");
    assert_eq!(fleet.plain.records().len(), 2);
}

/// Guards against a second run when a claim is stored but the response of the
/// store is lost, so that the router has to find out whether the claim is its
/// own.
#[test]
fn lost_store_responses_cause_no_second_run() {
    let fleet = Fleet::start(3);
    fleet.platform.set_response_loss(0.3);
    for index in 0..30 {
        let key = format!("booking-{index}");
        book(&fleet, &key);
        book(&fleet, &key);
    }
    assert_eq!(fleet.plain.records().len(), 30);
}

/// Guards against a forwarded answer that counts as complete although its connection
/// between the routers was reset or closed.
#[test]
fn a_forwarded_answer_that_breaks_off_is_not_complete() {
    for is_reset in [true, false] {
        let mut fleet = Fleet::start(1);
        let link = fleet.start_linked_router(1);
        fleet.wait_ready(2);
        let url = format!("http://{}/v1/address?workspace=w1", fleet.routers[1]);
        let mut response = ureq::get(url).call().expect("router responds");
        let body = response.body_mut().read_to_string();
        let address: serde_json::Value =
            serde_json::from_str(&body.expect("response body is text")).expect("body is JSON");
        let key = address["key"].as_str().expect("response has a key");
        let (texts, end) = thread::scope(|scope| {
            let body = r#"{"tokens":40000}"#;
            let router = fleet.routers[0];
            let caller = scope.spawn(move || run(router, "draft", "w1", Some(key), body));
            while fleet.engine.running() == 0 {
                thread::sleep(Duration::from_millis(1));
            }
            thread::sleep(Duration::from_millis(200));
            match is_reset {
                true => link.reset().expect("connections are reset"),
                false => link.close(),
            }
            caller.join().expect("caller reads its answer to the end")
        });
        assert_eq!(end.outcome, Outcome::Unknown, "{is_reset}: {end:?}");
        assert_eq!(end.tokens, texts.len() as u64, "{is_reset}: {end:?}");
    }
}

/// Sends a request on a new connection, waits for the start of the response and
/// returns the open connection.
fn request_health(router: SocketAddr) -> std::io::Result<std::net::TcpStream> {
    use std::io::{Read, Write};
    let mut connection = std::net::TcpStream::connect(router)?;
    connection.set_read_timeout(Some(TIMEOUT))?;
    connection.write_all(b"GET /health HTTP/1.1\r\nHost: router\r\n\r\n")?;
    connection.read_exact(&mut [0; 12])?;
    Ok(connection)
}

/// Guards against connections that wait until another one ends. The HTTP server
/// library can queue two connections that arrive together for the same thread.
#[test]
fn simultaneous_connections_are_all_served_while_they_stay_open() {
    const CONNECTIONS: usize = 32;
    let fleet = Fleet::start(1);
    let router = fleet.routers[0];
    for _ in 0..10 {
        let callers: Vec<_> = (0..CONNECTIONS)
            .map(|_| thread::spawn(move || request_health(router)))
            .collect();
        let open: Vec<_> = callers
            .into_iter()
            .map(|caller| {
                caller
                    .join()
                    .expect("caller thread does not panic")
                    .expect("router responds")
            })
            .collect();
        assert_eq!(open.len(), CONNECTIONS);
    }
}

/// Time within which a change of the configuration must be in force everywhere.
const CHANGE_BOUND: Span = Span::from_secs(7);

/// A platform that never answers a watch was asked again after 22 s only, at all routers at
/// the same time, because a change ends their watches together.
#[test]
fn a_silent_platform_is_asked_again_within_the_time_for_a_change() {
    let fleet = Fleet::start(1);
    let start = Instant::now();
    while fleet.platform.calls().longest_watch == Span(0) {
        assert!(start.elapsed() < TIMEOUT, "the router does not watch");
        thread::sleep(Duration::from_millis(20));
    }
    let longest = fleet.platform.calls().longest_watch;
    let noticed = longest + WATCH_MARGIN;
    assert!(
        noticed < CHANGE_BOUND,
        "{longest:?}, noticed after {noticed:?}"
    );
}
