//! A platform, an engine and one router process.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, ExitCode};
use std::thread;
use std::time::{Duration, Instant};

use balsamchute_router::hooks::Hooks;
use balsamchute_router::settings::Settings;
use balsamchute_standin::engine::{self, Engine};
use balsamchute_standin::platform::Platform;
use balsamchute_standin::prompt::Prompt;
use balsamchute_wire::config::Document;
use ureq::BodyReader;

/// Holds the settings of the router process.
const SETTINGS_VARIABLE: &str = "BALSAMCHUTE_BENCH_EDGE_ROUTER";

/// Tokens a second, so fast that generation adds nothing.
const FAST: f64 = 100_000.0;

/// Tokens a second of a stream that stays open.
const SLOW: f64 = 2.0;

/// Slots of the engine, above the most open streams.
const SLOTS: u32 = 1_000;

/// Longest wait for a condition. Reaching it is a failure.
const PATIENCE: Duration = Duration::from_secs(60);

/// What the router process uses.
pub struct Usage {
    /// Resident memory in KiB.
    pub kib: u64,
    /// Threads.
    pub threads: u64,
}

/// Whether this process is to be the router.
pub fn is_router() -> bool {
    std::env::var_os(SETTINGS_VARIABLE).is_some()
}

/// Runs the router.
pub fn run_router() -> ExitCode {
    let text = std::env::var(SETTINGS_VARIABLE).expect("settings are text");
    let settings = Settings::parse(&text).expect("sound settings");
    match balsamchute_router::serve(settings, Hooks::new()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

/// The parts.
pub struct Fleet {
    platform: Platform,
    engine: Engine,
    router: SocketAddr,
    process: Child,
}

impl Fleet {
    /// Starts the parts and waits until the router serves.
    pub fn start() -> Self {
        let loopback = "127.0.0.1:0".parse().expect("an address");
        let platform = Platform::start(loopback).expect("platform starts");
        let settings = engine::Settings::new("e1", SLOTS).with_speed(FAST);
        let engine = Engine::start(settings).expect("engine starts");
        let (router, inner) = (free_address(), free_address());
        let settings = format!(
            "instance: r0\ndomain: d1\ncallers: {router}\ninner: {inner}\nplatform: {}\n",
            platform.address()
        );
        let process = Command::new(std::env::current_exe().expect("a program"))
            .env(SETTINGS_VARIABLE, settings)
            .spawn()
            .expect("router starts");
        let fleet = Self {
            platform,
            engine,
            router,
            process,
        };
        fleet.put_config();
        fleet.wait(|| fleet.is_ready(), "the router serves");
        fleet
    }

    /// Returns where the engine listens.
    pub fn engine_address(&self) -> SocketAddr {
        self.engine.address()
    }

    /// Returns where the router listens for callers.
    pub fn router_address(&self) -> SocketAddr {
        self.router
    }

    /// Opens a stream through the router that goes on for long.
    pub fn open_stream(&self) -> BufReader<BodyReader<'static>> {
        self.engine.set_speed(SLOW);
        let agent = ureq::Agent::new_with_defaults();
        let request = agent.post(format!("http://{}/v1/run/draft", self.router));
        let request = request.header("x-workspace", "w1");
        let request = request.header("x-deadline-ms", "600000");
        let answer = request.send(Prompt::new(1_000_000).to_body());
        let body = answer.expect("router answers").into_body();
        let mut lines = BufReader::new(body.into_reader());
        let mut line = String::new();
        lines.read_line(&mut line).expect("a token");
        lines
    }

    /// Waits until the engine runs `count` requests.
    pub fn wait_running(&self, count: usize) {
        let running = || self.engine.running() as usize == count;
        self.wait(running, "streams run or end");
    }

    /// Returns what the router process uses.
    pub fn usage(&self) -> Usage {
        let path = format!("/proc/{}/status", self.process.id());
        let status = fs::read_to_string(path).expect("router runs");
        let field = |name: &str| {
            let mut lines = status.lines();
            let line = lines.find(|line| line.starts_with(name)).expect("a field");
            let mut words = line.split_whitespace();
            words.nth(1).expect("a value").parse().expect("a number")
        };
        Usage {
            kib: field("VmRSS:"),
            threads: field("Threads:"),
        }
    }

    fn is_ready(&self) -> bool {
        ureq::get(format!("http://{}/health", self.router))
            .call()
            .is_ok()
    }

    fn wait(&self, condition: impl Fn() -> bool, name: &str) {
        let start = Instant::now();
        while !condition() {
            assert!(start.elapsed() < PATIENCE, "waited in vain: {name}");
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn put_config(&self) {
        let text = format!(
            "domains: [{{name: d1, region: r}}]\n\
             services: [{{name: draft, kind: engine}}]\n\
             runners:\n\
             - {{name: e1, service: draft, domain: d1, address: \"{}\", slots: {SLOTS}, \
             fencing: true}}\n\
             workspaces: [{{name: w1, weight: 1}}]\n",
            self.engine.address()
        );
        let document = Document {
            change: "c1".to_owned(),
            author: "bench".to_owned(),
            text,
            ..Document::default()
        };
        let bytes = serde_json::to_vec(&document).expect("documents always encode");
        self.platform.put("config/current", bytes);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // An error means that the process has ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("a bound address")
}
