//! Look-ups of outcomes at a router whose responses are malformed or broken off.

use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use balsamchute_router::Sockets;
use balsamchute_router::hooks::Hooks;
use balsamchute_router::settings::Settings;
use balsamchute_standin::platform::{Instance, Kind, Platform, State};
use balsamchute_standin::raw::{self, End};
use balsamchute_wire::config::Document;
use serde_json::Value;

/// Longest wait for a condition. The test fails when it is reached.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a platform with a configuration without services.
fn start_platform() -> Platform {
    let platform = Platform::start("127.0.0.1:0".parse().unwrap()).unwrap();
    let document = Document {
        change_id: "c1".to_owned(),
        author: "test".to_owned(),
        text: "domains: [{name: d1, region: r}]\nworkspaces: [{name: w1, weight: 1}]\n".to_owned(),
        ..Document::default()
    };
    platform.put("config/current", serde_json::to_vec(&document).unwrap());
    platform
}

/// Starts a router and returns its address. It tells the others that it serves callers at
/// `announced`, or at its address if that is `None`.
fn start_router(platform: &Platform, name: &str, announced: Option<SocketAddr>) -> SocketAddr {
    let [callers_socket, inner_socket] =
        [(), ()].map(|()| TcpListener::bind("127.0.0.1:0").unwrap());
    let (callers, inner) = (
        callers_socket.local_addr().unwrap(),
        inner_socket.local_addr().unwrap(),
    );
    let text = format!(
        "instance: {name}\ndomain: d1\ncallers: {}\ninner: {inner}\nplatform: {}\n",
        announced.unwrap_or(callers),
        platform.address()
    );
    let settings = Settings::parse(&text).unwrap();
    platform.put_instance(Instance {
        name: name.to_owned(),
        kind: Kind::Router,
        address: inner,
        domain: "d1".to_owned(),
        state: State::Live,
    });
    let sockets = Sockets::new(callers_socket, inner_socket);
    thread::spawn(move || balsamchute_router::serve_on(sockets, settings, Hooks::new()));
    callers
}

fn status(router: SocketAddr) -> Option<Value> {
    let mut response = ureq::get(format!("http://{router}/v1/status"))
        .call()
        .ok()?;
    serde_json::from_str(&response.body_mut().read_to_string().ok()?).ok()
}

/// Looks up a key at a router that asks another one, which sends `response`. Returns the
/// status and the body.
fn look_up(response: &str, end: End) -> (u16, String) {
    let platform = start_platform();
    let broken = raw::start(response, end).unwrap();
    let asked = start_router(&platform, "r0", None);
    let other = start_router(&platform, "r1", Some(broken));
    let started = Instant::now();
    let incarnation = loop {
        let members = status(asked).map_or(0, |status| status["members"].as_array().unwrap().len());
        match status(other) {
            Some(status) if members == 2 => break status["incarnation"].as_u64().unwrap(),
            _ => thread::sleep(Duration::from_millis(20)),
        }
        assert!(
            started.elapsed() < TIMEOUT,
            "{asked} sees {members} of 2 routers"
        );
    };
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let url = format!("http://{asked}/v1/outcome?workspace=w1&key=m.r1.{incarnation}.1");
    let mut response = agent.get(url).call().unwrap();
    let status = response.status().as_u16();
    (status, response.body_mut().read_to_string().unwrap())
}

#[test]
fn an_outcome_that_another_router_does_not_send_whole_is_not_passed_on() {
    thread::scope(|scope| {
        for response in [
            "HTTP/1.1 200 OK\r\n\r\n{\"out",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n{\"out",
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"out",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n{\"out\r\n0\r\n",
            "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
            "HTTP/1.1 999 X\r\ncontent-length: 2\r\n\r\n{}",
        ] {
            for end in [End::Close, End::Reset] {
                scope.spawn(move || {
                    let (status, body) = look_up(response, end);
                    assert_eq!(status, 503, "{response:?}, {end:?}: {body:?}");
                });
            }
        }
    });
}

#[test]
fn an_outcome_that_another_router_sends_whole_is_passed_on() {
    thread::scope(|scope| {
        for (response, status) in [
            ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", 200),
            ("HTTP/1.1 404\r\ncontent-length: 2\r\n\r\n{}", 404),
            (
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;a\r\n{}\r\n0\r\nb: c\r\n\r\n",
                200,
            ),
        ] {
            scope.spawn(move || {
                let answer = look_up(response, End::Close);
                assert_eq!(answer, (status, "{}".to_owned()), "{response:?}");
            });
        }
    });
}
