//! `balsamchute serve` and the commands that query routers.

use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

use balsamchute_standin::platform::{Instance, Kind, Platform, State};

use crate::command::{
    INVENTORY, Run, TempDir, command, run, start_platform, unused_loopback_ip, wait_for_exit,
};

/// Time after which [`wait_until`] fails the test.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(60);

/// Port of the addresses in these tests, below the ephemeral port range of the
/// system.
const PORT: u16 = 7001;

/// Returns an address that no other test uses.
fn unused_address() -> SocketAddr {
    SocketAddr::new(unused_loopback_ip(), PORT)
}

fn settings(name: &str, callers: SocketAddr, inner: SocketAddr, platform: SocketAddr) -> String {
    format!(
        "instance: {name}\ndomain: mids-brum\ncallers: {callers}\ninner: {inner}\nplatform: {platform}\n"
    )
}

/// Router process that is killed when dropped.
pub struct Router {
    child: Option<Child>,
    log_file: String,
    pub callers: SocketAddr,
    /// Address for other routers.
    inner: SocketAddr,
}

impl Router {
    pub fn start(dir: &TempDir, name: &str, platform: SocketAddr) -> Self {
        let (callers, inner) = (unused_address(), unused_address());
        let text = settings(name, callers, inner, platform);
        let file = dir.write(&format!("{name}.yaml"), &text);
        let mut command = command(&["serve", "--settings", &file]);
        let log_file = dir.write(&format!("{name}.log"), "");
        let writer = std::fs::File::create(&log_file).expect("the log can be written");
        command.stdout(Stdio::null()).stderr(writer);
        let child = command.spawn().expect("the router starts");
        Router {
            child: Some(child),
            log_file,
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
        let response = agent.get(format!("http://{}/health", self.callers)).call();
        response.ok().map(|response| response.status().as_u16())
    }

    /// Sends SIGTERM and waits until the process exits.
    fn stop(mut self) -> Run {
        let child = self
            .child
            .take()
            .expect("the process was not stopped before");
        let pid = nix::unistd::Pid::from_raw(child.id() as i32);
        nix::sys::signal::kill(pid, nix::sys::signal::SIGTERM).expect("the process is running");
        wait_for_exit(child)
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Polls until `condition` holds; fails the test after [`CONDITION_TIMEOUT`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < CONDITION_TIMEOUT,
            "condition not met in time: {description}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn register_router(platform: &Platform, name: &str, router: &Router) {
    platform.put_instance(Instance {
        name: name.to_owned(),
        kind: Kind::Router,
        address: router.inner,
        domain: "mids-brum".to_owned(),
        state: State::Live,
    });
}

#[test]
fn invalid_settings_are_reported_with_the_setting() {
    let dir = TempDir::new("settings");
    let (callers, inner) = (unused_address(), unused_address());
    let valid = settings("r-1", callers, inner, unused_address());
    let serve = |text: &str| run(&["serve", "--settings", &dir.write("s.yaml", text)]);
    let cases = [
        (format!("{valid}colour: red\n"), "colour"),
        (valid.replace("r-1", "r 1"), "r 1"),
        (
            valid.replace(&inner.to_string(), &callers.to_string()),
            "\"inner\"",
        ),
        (format!("{valid}limits: {{queue: 0}}\n"), "limits.queue"),
        (
            format!("{valid}limits: {{held_body_bytes: 1000}}\n"),
            "limits.held_body_bytes",
        ),
        (valid.replace("domain: mids-brum\n", ""), "domain"),
        (valid.replace(&inner.to_string(), "localhost"), "localhost"),
        ("- 1\n".to_owned(), "s.yaml"),
    ];
    for (text, name) in cases {
        let failed = serve(&text);
        assert_eq!(failed.exit_code, 3, "{failed:?}");
        assert!(failed.stderr.contains(name), "{name} is not in {failed:?}");
    }
}

#[test]
fn an_address_in_use_is_reported_with_its_setting() {
    let dir = TempDir::new("in-use");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let file = dir.write(
        "s.yaml",
        &settings("r-1", unused_address(), address, unused_address()),
    );
    let failed = run(&["serve", "--settings", &file]);
    assert_eq!(failed.exit_code, 1, "{failed:?}");
    let is_named =
        failed.stderr.contains(&address.to_string()) && failed.stderr.contains("\"inner\"");
    assert!(is_named, "{failed:?}");
}

/// Without a configuration the router cannot serve. It must keep retrying instead of
/// exiting, and operators must see the address of the platform that it cannot reach.
#[test]
fn a_router_that_cannot_reach_the_platform_keeps_starting_and_logs_its_address() {
    let dir = TempDir::new("no-platform");
    let unused = unused_address();
    let router = Router::start(&dir, "router-1", unused);
    wait_until("the router reports that it is starting", || {
        router.health() == Some(503)
    });
    let shown = run(&["status", "--router", &router.callers.to_string()]);
    assert!(
        shown.exit_code == 0 && shown.stdout.contains("starting"),
        "{shown:?}"
    );
    let log_file = router.log_file.clone();
    let is_named =
        || std::fs::read_to_string(&log_file).is_ok_and(|log| log.contains(&unused.to_string()));
    wait_until("the log names the platform", is_named);
    assert_eq!(router.stop().exit_code, 0);
}

#[test]
fn status_follows_a_change_at_two_routers_and_the_stop_of_one() {
    let dir = TempDir::new("two");
    let platform = start_platform();
    let address = platform.address();
    let file = dir.write("all.yaml", INVENTORY);
    let platform_address = address.to_string();
    assert_eq!(
        run(&["apply", "--platform", &platform_address, &file]).exit_code,
        0
    );
    let first = Router::start(&dir, "router-1", address);
    let second = Router::start(&dir, "router-2", address);
    register_router(&platform, "router-1", &first);
    register_router(&platform, "router-2", &second);
    wait_until("both routers serve", || {
        [&first, &second]
            .iter()
            .all(|router| router.health() == Some(200))
    });
    let changed_inventory = INVENTORY.replace("weight: 4", "weight: 9");
    let next = dir.write("next.yaml", &changed_inventory);
    let applied = run(&["apply", "--wait", "--platform", &platform_address, &next]);
    assert!(
        applied.exit_code == 0 && applied.stdout.contains("version 2 is in force"),
        "{applied:?}"
    );
    let router_address = first.callers.to_string();
    let status = || {
        run(&[
            "status",
            "--output",
            "json",
            "--router",
            &router_address,
            "--platform",
            &platform_address,
        ])
    };
    // The status of a router has its own phase and that of each member, itself included.
    wait_until("each router sees both as serving", || {
        status().stdout.matches("\"phase\":\"serving\"").count() >= 4
    });
    let shown = status();
    assert!(shown.stdout.contains("\"dd-1\":\"router-"), "{shown:?}");
    assert!(shown.stdout.contains("\"large-1\":[\"router-"), "{shown:?}");
    let unknown = run(&["explain", "nothing", "--router", &router_address]);
    assert_eq!(unknown.exit_code, 7, "{unknown:?}");
    assert_eq!(second.stop().exit_code, 0);
    // The name of the router and that of its only member.
    wait_until("one router is left", || {
        status().stdout.matches("\"instance\"").count() == 2
    });
}
