//! `balsamchute explain` and `quarantine` against a router with one engine.

use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use balsamchute_standin::engine::{Engine, Settings};
use balsamchute_standin::platform::Platform;
use balsamchute_standin::prompt::Prompt;
use serde_json::json;

use crate::command::{INVENTORY, Run, TempDir, run, start_platform};
use crate::edge::environment::{self, Runner, respond_with_body};
use crate::serve::{Router, wait_until};

/// Router, engine and platform of one test.
struct Fleet {
    router: Router,
    engine: Engine,
    _platform: Platform,
    _dir: TempDir,
}

impl Fleet {
    fn start(test: &str) -> Self {
        let dir = TempDir::new(test);
        let platform = start_platform();
        let engine = Engine::start(Settings::new("dd-1", 2)).expect("the engine starts");
        let text = INVENTORY.replace("127.0.0.1:9", &engine.address().to_string());
        let file = dir.write("all.yaml", &text);
        let platform_address = platform.address().to_string();
        assert_eq!(
            run(&["apply", "--platform", &platform_address, &file]).exit_code,
            0
        );
        let router = Router::start(&dir, "router-1", platform.address());
        wait_until("the router serves", || router.health() == Some(200));
        Fleet {
            router,
            engine,
            _platform: platform,
            _dir: dir,
        }
    }

    /// Runs a command with the address of the router.
    fn run_command(&self, args: &[&str]) -> Run {
        let router = self.router.callers.to_string();
        run(&[args, &["--router", &router]].concat())
    }
}

/// Sends a request and returns the response body.
fn send(router: SocketAddr, id: &str, prompt: &Prompt) -> String {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(60)))
        .build()
        .into();
    let request = agent
        .post(format!("http://{router}/v1/run/drafting-desk"))
        .header("x-workspace", "care-home")
        .header("x-request", id)
        .header("x-deadline-ms", "3000");
    let mut response = request.send(prompt.to_body()).expect("the router responds");
    response
        .body_mut()
        .read_to_string()
        .expect("the body is UTF-8")
}

#[test]
fn explain_shows_the_decisions_about_a_request_and_a_workspace() {
    let fleet = Fleet::start("explain");
    let response = send(fleet.router.callers, "panel-7", &Prompt::for_engine(3));
    assert!(response.contains("\"outcome\":\"done\""), "{response}");
    for name in ["panel-7", "care-home"] {
        let explained = fleet.run_command(&["explain", name]);
        assert_eq!(explained.exit_code, 0, "{explained:?}");
        for expected in ["panel-7", "queued", "runner \"dd-1\"", "ended as Done"] {
            assert!(
                explained.stdout.contains(expected),
                "{expected} is not in {explained:?}"
            );
        }
    }
    assert_eq!(fleet.run_command(&["explain", "panel-8"]).exit_code, 7);
    let json = fleet.run_command(&["explain", "--output", "json", "panel-7"]);
    assert!(json.stdout.contains("\"request\":\"panel-7\""), "{json:?}");
}

/// Resending a request that crashes its target would take down one target after
/// another. After repeated crashes it is refused until an operator releases it.
#[test]
fn quarantine_lists_and_releases_a_request_that_crashed_its_targets() {
    let fleet = Fleet::start("quarantine");
    let router = fleet.router.callers;
    let list = || fleet.run_command(&["quarantine", "list"]).stdout;
    wait_until("the request is quarantined", || {
        if TcpStream::connect(fleet.engine.address()).is_err() {
            // The old engine may still be shutting down; the next iteration retries.
            let _ = fleet.engine.restart();
        }
        // A caller that resends the same request after each failure.
        let response = send(router, "bad", &Prompt::for_engine(4).with_crash());
        assert!(!response.contains("\"outcome\":\"done\""), "{response}");
        list().contains("refused")
    });
    let list_output = list();
    let line = list_output.lines().find(|line| line.contains("refused"));
    let fingerprint = line.and_then(|line| line.split(' ').next());
    let fingerprint = fingerprint.expect("the refused line begins with a fingerprint");
    assert_eq!(
        fleet
            .run_command(&["quarantine", "release", "0123"])
            .exit_code,
        7
    );
    assert_eq!(
        fleet
            .run_command(&["quarantine", "release", fingerprint])
            .exit_code,
        0
    );
    assert!(!list().contains("refused"), "{}", list());
}

/// Starts a stand-in of a router that lists these members and one suspect with this
/// crash. `is_failing` ones answer a release with 500.
fn start_member(
    name: &'static str,
    members: &Arc<Mutex<Vec<SocketAddr>>>,
    is_failing: bool,
) -> Runner {
    let members = members.clone();
    Runner::start(move |head, stream| {
        let path = head.split(' ').nth(1).expect("a request target");
        let listed = members.lock().expect("no thread panicked").clone();
        let body = match path {
            "/v1/status" => {
                let members: Vec<_> = listed
                    .iter()
                    .enumerate()
                    .map(|(index, address)| {
                        json!({"instance": format!("r{index}"), "domain": "a", "config": 1,
                            "callers": address.to_string(), "phase": "serving"})
                    })
                    .collect();
                json!({"instance": name, "incarnation": 1, "config": 1, "phase": "serving",
                    "durable": true, "requests": 0, "members": members, "services": []})
            }
            "/v1/quarantine" => json!([{"fingerprint": "f1", "crashes": [format!("a-{name}")],
                "releases": 0, "refused": name == "r1"}]),
            _ if is_failing => {
                let fields = "Content-Length: 0\r\n";
                environment::respond(stream, head, 500, fields, "");
                return true;
            }
            _ => json!({}),
        };
        respond_with_body(stream, head, &body.to_string())
    })
}

/// The first router that fails must not keep the release from the others, and each router
/// may know other crashes.
#[test]
fn quarantine_asks_all_routers_although_one_fails() {
    let members = Arc::default();
    let routers = [("r0", true), ("r1", false), ("r2", false)]
        .map(|(name, is_failing)| start_member(name, &members, is_failing));
    let addresses = routers.each_ref().map(|router| router.address);
    members
        .lock()
        .expect("no thread panicked")
        .extend(addresses);
    let entrance = addresses[0].to_string();
    let list = run(&["quarantine", "list", "--router", &entrance]);
    assert!(list.stdout.contains("a-r0 a-r1 a-r2"), "{list:?}");
    assert!(list.stdout.contains("refused"), "{list:?}");
    let release = run(&["quarantine", "release", "--router", &entrance, "f1"]);
    assert_eq!(release.exit_code, 1, "{release:?}");
    for router in &routers {
        let requests = router.requests();
        let releases = requests.iter().filter(|text| text.contains("/release"));
        assert_eq!(releases.count(), 1);
    }
}
