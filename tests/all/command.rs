//! Runs the shipped binary.

use std::net::IpAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

use balsamchute_standin::platform::Platform;

/// An inventory without faults.
pub const INVENTORY: &str = "
domains: [{name: mids-brum, region: mids}]
services: [{name: drafting-desk, kind: engine}]
runners: [{name: dd-1, service: drafting-desk, domain: mids-brum, address: '127.0.0.1:9', slots: 8}]
workspaces: [{name: care-home, weight: 1}, {name: large-1, weight: 4}]
";

/// A command with the shipped binary's path and no settings from outside.
pub fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_balsamchute"));
    command
        .args(args)
        .env_remove("BALSAMCHUTE_PLATFORM")
        .env_remove("BALSAMCHUTE_ROUTER")
        .env("RUST_LOG", "warn");
    command
}

/// What a run has printed, and its exit code.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl From<Output> for Run {
    fn from(output: Output) -> Self {
        Run {
            code: output.status.code().expect("no signal ends it"),
            out: String::from_utf8(output.stdout).expect("output is text"),
            err: String::from_utf8(output.stderr).expect("messages are text"),
        }
    }
}

/// Runs the binary to its end.
pub fn run(args: &[&str]) -> Run {
    command(args).output().expect("the binary runs").into()
}

/// Starts the binary; [`end`] waits for it.
pub fn start(args: &[&str]) -> Child {
    let mut command = command(args);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command.spawn().expect("the binary starts")
}

/// Waits for a started binary.
pub fn end(child: Child) -> Run {
    child.wait_with_output().expect("the binary ends").into()
}

/// Starts a platform on a free port.
pub fn platform() -> Platform {
    Platform::start(([127, 0, 0, 1], 0).into()).expect("a free port")
}

/// Returns the address of a machine that nobody else uses, so that its ports are
/// free whatever other tests connect to: the whole of 127.0.0.0/8 is loopback.
pub fn machine() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    IpAddr::from([127, 64 + high % 128, low, number])
}

/// A directory that is removed at the end of a test.
pub struct Directory(PathBuf);

impl Directory {
    pub fn new(test: &str) -> Self {
        let name = format!("balsamchute-{test}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the directory can be made");
        Directory(path)
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the file can be written");
        path.to_str().expect("the path is text").to_owned()
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        // What is left lies in the directory for temporary files.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
