//! `balsamchute explain` and `quarantine` against a router with an engine.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use balsamchute_standin::engine::{Engine, Settings};
use balsamchute_standin::platform::Platform;
use balsamchute_standin::prompt::Prompt;

use crate::command::{Directory, INVENTORY, Run, platform, run};
use crate::serve::{Router, until};

/// A router with one engine.
struct Fleet {
    router: Router,
    engine: Engine,
    _platform: Platform,
    _directory: Directory,
}

impl Fleet {
    fn start(test: &str) -> Self {
        let directory = Directory::new(test);
        let platform = platform();
        let engine = Engine::start(Settings::new("dd-1", 2)).expect("the engine starts");
        let text = INVENTORY.replace("127.0.0.1:9", &engine.address().to_string());
        let file = directory.file("all.yaml", &text);
        let at = platform.address().to_string();
        assert_eq!(run(&["apply", "--platform", &at, &file]).code, 0);
        let router = Router::start(&directory, "router-1", platform.address());
        until("the router serves", || router.health() == Some(200));
        Fleet {
            router,
            engine,
            _platform: platform,
            _directory: directory,
        }
    }

    /// Runs a command that asks the router.
    fn ask(&self, args: &[&str]) -> Run {
        let router = self.router.callers.to_string();
        run(&[args, &["--router", &router]].concat())
    }
}

/// Sends a request and returns the whole answer.
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
    let mut answer = request.send(prompt.to_body()).expect("the router answers");
    answer
        .body_mut()
        .read_to_string()
        .expect("the answer is text")
}

#[test]
fn explain_shows_the_decisions_about_a_request_and_a_workspace() {
    let fleet = Fleet::start("explain");
    let answer = send(fleet.router.callers, "panel-7", &Prompt::new(3));
    assert!(answer.contains("\"outcome\":\"done\""), "{answer}");
    for name in ["panel-7", "care-home"] {
        let explained = fleet.ask(&["explain", name]);
        assert_eq!(explained.code, 0, "{explained:?}");
        for part in ["panel-7", "queued", "runner \"dd-1\"", "ended as Done"] {
            assert!(
                explained.out.contains(part),
                "{part} is not in {explained:?}"
            );
        }
    }
    assert_eq!(fleet.ask(&["explain", "panel-8"]).code, 7);
    let json = fleet.ask(&["explain", "--output", "json", "panel-7"]);
    assert!(json.out.contains("\"request\":\"panel-7\""), "{json:?}");
}

#[test]
fn quarantine_lists_and_releases_a_request_that_crashed_its_targets() {
    let fleet = Fleet::start("quarantine");
    let router = fleet.router.callers;
    let list = || fleet.ask(&["quarantine", "list"]).out;
    until("the request is refused", || {
        if TcpStream::connect(fleet.engine.address()).is_err() {
            // It may still be ending; the next round tries again.
            let _ = fleet.engine.restart();
        }
        // Its caller sends it again and again.
        let answer = send(router, "bad", &Prompt::new(4).with_crash());
        assert!(!answer.contains("\"outcome\":\"done\""), "{answer}");
        list().contains("refused")
    });
    let listed = list();
    let line = listed.lines().find(|line| line.contains("refused"));
    let fingerprint = line.and_then(|line| line.split(' ').next());
    let fingerprint = fingerprint.expect("a line has a fingerprint");
    assert_eq!(fleet.ask(&["quarantine", "release", "0123"]).code, 7);
    assert_eq!(fleet.ask(&["quarantine", "release", fingerprint]).code, 0);
    assert!(!list().contains("refused"), "{}", list());
}
