//! `balsamchute serve` and the commands that ask routers.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

use balsamchute_standin::platform::{Instance, Kind, Platform, State};

use crate::command::{Directory, INVENTORY, Run, command, end, machine, platform, run};

/// Longest time for anything to come true.
const PATIENCE: Duration = Duration::from_secs(60);

/// Port of addresses in these tests, below those that the system hands out
/// itself.
const PORT: u16 = 7001;

/// Returns an address that nobody else uses.
fn free() -> SocketAddr {
    SocketAddr::new(machine(), PORT)
}

fn settings(name: &str, callers: SocketAddr, inner: SocketAddr, platform: SocketAddr) -> String {
    format!(
        "instance: {name}\ndomain: mids-brum\ncallers: {callers}\ninner: {inner}\nplatform: {platform}\n"
    )
}

/// A router process that is killed when dropped.
pub struct Router {
    child: Option<Child>,
    log: String,
    pub callers: SocketAddr,
    inner: SocketAddr,
}

impl Router {
    pub fn start(directory: &Directory, name: &str, platform: SocketAddr) -> Self {
        let (callers, inner) = (free(), free());
        let text = settings(name, callers, inner, platform);
        let file = directory.file(&format!("{name}.yaml"), &text);
        let mut command = command(&["serve", "--settings", &file]);
        let log = directory.file(&format!("{name}.log"), "");
        let writer = std::fs::File::create(&log).expect("the log can be written");
        command.stdout(Stdio::null()).stderr(writer);
        let child = command.spawn().expect("the router starts");
        Router {
            child: Some(child),
            log,
            callers,
            inner,
        }
    }

    pub fn health(&self) -> Option<u16> {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(2)))
            .build()
            .into();
        let answer = agent.get(format!("http://{}/health", self.callers)).call();
        answer.ok().map(|answer| answer.status().as_u16())
    }

    /// Asks it to stop and waits for its end.
    fn stop(mut self) -> Run {
        let child = self.child.take().expect("it was not stopped before");
        let pid = nix::unistd::Pid::from_raw(child.id() as i32);
        nix::sys::signal::kill(pid, nix::sys::signal::SIGTERM).expect("it runs");
        end(child)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Waits for a condition.
pub fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < PATIENCE, "never: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn list(platform: &Platform, name: &str, router: &Router) {
    platform.put_instance(Instance {
        name: name.to_owned(),
        kind: Kind::Router,
        address: router.inner,
        domain: "mids-brum".to_owned(),
        state: State::Live,
    });
}

#[test]
fn faults_in_settings_name_the_setting() {
    let directory = Directory::new("settings");
    let (callers, inner) = (free(), free());
    let good = settings("r-1", callers, inner, free());
    let serve = |text: &str| run(&["serve", "--settings", &directory.file("s.yaml", text)]);
    let cases = [
        (format!("{good}colour: red\n"), "colour"),
        (good.replace("r-1", "r 1"), "r 1"),
        (
            good.replace(&inner.to_string(), &callers.to_string()),
            "\"inner\"",
        ),
        (format!("{good}limits: {{queue: 0}}\n"), "limits.queue"),
        (good.replace("domain: mids-brum\n", ""), "domain"),
        (good.replace(&inner.to_string(), "localhost"), "localhost"),
        ("- 1\n".to_owned(), "s.yaml"),
    ];
    for (text, name) in cases {
        let failed = serve(&text);
        assert_eq!(failed.code, 3, "{failed:?}");
        assert!(failed.err.contains(name), "{name} is not in {failed:?}");
    }
}

#[test]
fn an_address_in_use_is_named_with_its_setting() {
    let directory = Directory::new("in-use");
    let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = taken.local_addr().expect("an address");
    let file = directory.file("s.yaml", &settings("r-1", free(), address, free()));
    let failed = run(&["serve", "--settings", &file]);
    assert_eq!(failed.code, 1, "{failed:?}");
    let named = failed.err.contains(&address.to_string()) && failed.err.contains("\"inner\"");
    assert!(named, "{failed:?}");
}

#[test]
fn a_router_whose_platform_does_not_answer_waits_and_says_so() {
    let directory = Directory::new("no-platform");
    let nobody = free();
    let router = Router::start(&directory, "router-1", nobody);
    until("the router answers", || router.health() == Some(503));
    let asked = run(&["status", "--router", &router.callers.to_string()]);
    assert!(
        asked.code == 0 && asked.out.contains("starting"),
        "{asked:?}"
    );
    let log = router.log.clone();
    let named = || std::fs::read_to_string(&log).is_ok_and(|log| log.contains(&nobody.to_string()));
    until("the log names the platform", named);
    assert_eq!(router.stop().code, 0);
}

#[test]
fn operators_see_two_routers_take_a_change_and_one_stop() {
    let directory = Directory::new("two");
    let platform = platform();
    let address = platform.address();
    let file = directory.file("all.yaml", INVENTORY);
    let at = address.to_string();
    assert_eq!(run(&["apply", "--platform", &at, &file]).code, 0);
    let first = Router::start(&directory, "router-1", address);
    let second = Router::start(&directory, "router-2", address);
    list(&platform, "router-1", &first);
    list(&platform, "router-2", &second);
    until("both serve", || {
        [&first, &second]
            .iter()
            .all(|router| router.health() == Some(200))
    });
    let heavier = INVENTORY.replace("weight: 4", "weight: 9");
    let next = directory.file("next.yaml", &heavier);
    let done = run(&["apply", "--wait", "--platform", &at, &next]);
    assert!(
        done.code == 0 && done.out.contains("version 2 is in force"),
        "{done:?}"
    );
    let entrance = first.callers.to_string();
    let status = || {
        run(&[
            "status",
            "--output",
            "json",
            "--router",
            &entrance,
            "--platform",
            &at,
        ])
    };
    until("both are seen", || {
        status().out.matches("\"phase\":\"serving\"").count() >= 4
    });
    let seen = status();
    assert!(seen.out.contains("\"dd-1\":\"router-"), "{seen:?}");
    assert!(seen.out.contains("\"large-1\":[\"router-"), "{seen:?}");
    let unknown = run(&["explain", "nothing", "--router", &entrance]);
    assert_eq!(unknown.code, 7, "{unknown:?}");
    assert_eq!(second.stop().code, 0);
    until("one is left", || {
        status().out.matches("\"instance\"").count() == 2
    });
}
