//! Runs the binary and sets up what it needs: files, addresses and a platform.

use std::net::IpAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};

use balsamchute_standin::platform::Platform;

/// Valid inventory with one runner and two workspaces.
pub const INVENTORY: &str = "
domains: [{name: mids-brum, region: mids}]
services: [{name: drafting-desk, kind: engine}]
runners: [{name: dd-1, service: drafting-desk, domain: mids-brum, address: '127.0.0.1:9', slots: 8}]
workspaces: [{name: care-home, weight: 1}, {name: large-1, weight: 4}]
";

/// Returns a command for the binary, without the addresses of a platform or router in
/// the environment.
pub fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_balsamchute"));
    command
        .args(args)
        .env_remove("BALSAMCHUTE_PLATFORM")
        .env_remove("BALSAMCHUTE_ROUTER")
        .env("RUST_LOG", "warn");
    command
}

/// Exit code and output of a finished process.
#[derive(Debug)]
pub struct Run {
    pub exit_code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl From<Output> for Run {
    fn from(output: Output) -> Self {
        Run {
            exit_code: output
                .status
                .code()
                .expect("the process exits without a signal"),
            stdout: String::from_utf8(output.stdout).expect("standard output is UTF-8"),
            stderr: String::from_utf8(output.stderr).expect("standard error is UTF-8"),
        }
    }
}

/// Runs the binary and waits for it to exit.
pub fn run(args: &[&str]) -> Run {
    command(args).output().expect("the binary runs").into()
}

/// Starts the binary with captured output; [`wait_for_exit`] returns the result.
pub fn start(args: &[&str]) -> Child {
    let mut command = command(args);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command.spawn().expect("the binary starts")
}

/// Waits until a started process exits.
pub fn wait_for_exit(child: Child) -> Run {
    child
        .wait_with_output()
        .expect("the process can be waited for")
        .into()
}

/// Starts a stand-in platform on a free port.
pub fn start_platform() -> Platform {
    Platform::start(([127, 0, 0, 1], 0).into()).expect("a free port")
}

/// Returns a loopback address that no other test uses.
///
/// All of 127.0.0.0/8 is loopback. An address of its own keeps a fixed port free,
/// regardless of the ports that connections of other tests occupy.
pub fn unused_loopback_ip() -> IpAddr {
    static NEXT_HOST: AtomicU16 = AtomicU16::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let [block, host] = NEXT_HOST.fetch_add(1, Ordering::SeqCst).to_be_bytes();
    // Only a soak with a large fleet needs more than the first block.
    let network = match block {
        0 => 64 + high % 128,
        1 => 192 + high % 63,
        2 => 1 + high % 63,
        _ => panic!("no more than 767 addresses in one process"),
    };
    IpAddr::from([127, network, low, host])
}

/// Temporary directory that is removed when dropped.
pub struct TempDir(PathBuf);

impl TempDir {
    pub fn new(test: &str) -> Self {
        let name = format!("balsamchute-{test}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the directory can be created");
        TempDir(path)
    }

    /// Writes a file and returns its path.
    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the file can be written");
        path.to_str().expect("the path is UTF-8").to_owned()
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        // Files that cannot be removed stay in the system's temporary directory.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
