//! What a process uses, as the kernel counts it.

/// Clock ticks of `/proc` in a second, fixed for user space on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// What a process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time since its start in seconds.
    pub cpu_s: f64,
    /// Resident memory in bytes.
    pub resident: f64,
    /// Threads.
    pub threads: f64,
}

impl Usage {
    /// Returns what a process uses, `None` if it does not exist.
    #[must_use]
    pub fn new(pid: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let field = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<f64>().ok()
        };
        Some(Usage {
            cpu_s: cpu_s(&stat)?,
            resident: field("VmRSS:")? * 1024.0,
            threads: field("Threads:")?,
        })
    }
}

/// Reads user and system time from a line of `/proc/PID/stat`. The name before
/// them may hold spaces, but no closing parenthesis after its own.
fn cpu_s(stat: &str) -> Option<f64> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: f64 = fields.next()?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}
