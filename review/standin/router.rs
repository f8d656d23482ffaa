//! The router process, started as the deploy file says.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::platform::{Listen, ip, settings};
use crate::record::{Record, cannot_run};
use crate::store::Store;

/// Process that is killed when dropped. Its id goes to the file that `PIDS` names, so that the
/// script can end it if this program is stopped.
pub struct Process(Child);

impl Process {
    pub fn start(command: &mut Command) -> Self {
        let child = match command.stdin(Stdio::null()).spawn() {
            Ok(child) => child,
            Err(error) => cannot_run(&format!("{command:?}: {error}")),
        };
        if let Ok(path) = std::env::var("PIDS")
            && let Ok(mut file) = File::options().create(true).append(true).open(path)
        {
            use std::io::Write;
            let _ = writeln!(file, "{}", child.id());
        }
        Process(child)
    }

    /// Sends a signal, such as `STOP`.
    pub fn signal(&self, signal: &str) {
        let pid = self.0.id().to_string();
        let done = Command::new("kill")
            .args([&format!("-{signal}"), &pid])
            .status();
        if !done.is_ok_and(|status| status.success()) {
            cannot_run("a signal could not be sent");
        }
    }

    /// Kills a process with SIGKILL and waits for its end.
    pub fn crash(process: &mut Option<Process>) {
        drop(process.take());
    }

    /// Returns the resident memory in bytes.
    pub fn memory(&self) -> u64 {
        let path = format!("/proc/{}/status", self.0.id());
        let text = fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub struct Router {
    pub process: Process,
    pub front: SocketAddr,
    ready: SocketAddr,
    dir: PathBuf,
}

impl Router {
    /// Starts a router and waits until it is ready.
    pub fn start(machine: u8, store: &Store, memory_mb: u64) -> Self {
        let listen = Listen::at(&ip(machine));
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        let settings_file = dir.join("local.toml");
        let text = settings(machine, &listen, store.address, memory_mb);
        let written = fs::create_dir_all(&dir).and_then(|()| fs::write(&settings_file, text));
        let log = match written.and_then(|()| File::create(dir.join("log"))) {
            Ok(log) => log,
            Err(error) => cannot_run(&format!("{}: {error}", dir.display())),
        };
        let mut command = Command::new("target/release/balsamchute");
        command
            .arg("edge")
            .env("BALSAMCHUTE_SETTINGS", &settings_file)
            .stdout(log);
        let router = Router {
            process: Process::start(&mut command),
            front: listen.front,
            ready: listen.ready,
            dir,
        };
        let deadline = Instant::now() + Duration::from_secs(20);
        while !router.is_ready() {
            if Instant::now() > deadline {
                cannot_run("the router does not become ready");
            }
            sleep(Duration::from_millis(50));
        }
        router
    }

    fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::connect(self.ready) else {
            return false;
        };
        let call = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let sent = connection.send(call);
        let answer = connection.read(Duration::from_secs(1), false);
        sent.is_ok() && matches!(answer, Ok(Some(message)) if message.status() == 200)
    }

    /// Copies the lines of the router's log that contain a text to the record.
    pub fn record_log(&self, record: &Record, text: &str) {
        let log = fs::read_to_string(self.dir.join("log")).unwrap_or_default();
        for line in log.lines().filter(|line| line.contains(text)) {
            let end = line
                .char_indices()
                .nth(330)
                .map_or(line.len(), |(end, _)| end);
            record.line(format!("log of the router: {}", &line[..end]));
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}
