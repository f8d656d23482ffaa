//! Memory and descriptors of a process, as the system reports them.

use std::net::{IpAddr, Ipv4Addr};

/// Returns the largest resident memory that a process has had, in bytes; `None` if the
/// process has ended.
pub fn peak_memory(pid: u32) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    let kib = line.split_whitespace().nth(1)?;
    kib.parse::<usize>().ok().map(|kib| kib * 1024)
}

/// Returns the number of open descriptors of a process.
pub fn open_descriptors(pid: u32) -> usize {
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd"));
    descriptors.expect("the process is running").count()
}

/// Returns the bytes that wait unread in the sockets of an address.
pub fn unread_bytes(ip: IpAddr) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
    table
        .lines()
        .skip(1)
        .filter_map(|line| unread(line, ip))
        .sum()
}

/// Returns the unread bytes of the socket in a line of the table, if it has this address.
fn unread(line: &str, ip: IpAddr) -> Option<usize> {
    let mut fields = line.split_whitespace();
    let (local, queues) = (fields.nth(1)?, fields.nth(2)?);
    let (address, _) = local.split_once(':')?;
    let address = u32::from_str_radix(address, 16).ok()?;
    let is_same = IpAddr::from(Ipv4Addr::from(address.to_ne_bytes())) == ip;
    let (_, unread) = queues.split_once(':')?;
    is_same.then(|| usize::from_str_radix(unread, 16).ok())?
}
