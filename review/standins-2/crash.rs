//! One runner crashes while it runs two equal, sound requests of a tenant. Rule Starved: no tenant
//! is served less than a quarter as often as all.

#[path = "common.rs"]
mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Runners of the application, by the sheet; one crashes.
const RUNNERS: usize = 4;

/// Time before the crash, time for which the runner is down, and length of the whole run.
const CRASH_AT: Duration = Duration::from_secs(5);
const DOWN_TIME: Duration = Duration::from_millis(4500);
const LENGTH: Duration = Duration::from_secs(80);

/// Callers of each tenant; those of the first tenant all read one page.
const CALLERS: [usize; 4] = [16, 3, 3, 3];

/// Interval at which each caller sends a request, and the work of one; the sheet has 30 ms of work
/// on average and 220 at most.
const INTERVAL: Duration = Duration::from_millis(100);
const WORK: Duration = Duration::from_millis(80);

const TENANTS: [&str; 4] = ["t1", "t2", "t3", "t4"];

const MANIFEST: &str = r#"{"version":7,"routes":[
{"name":"read","host":"h.example","path_prefix":"/read/","kind":"idempotent","timeout_ms":2500,"slo_ms":150,"priority":2,"service":"app","max_attempts":2,"public":false}],
"services":[{"name":"app","health_path":"/healthz","max_conns":510,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["key-t1"],"priority":1},{"name":"t2","api_keys":["key-t2"],"priority":1},{"name":"t3","api_keys":["key-t3"],"priority":1},{"name":"t4","api_keys":["key-t4"],"priority":1}]}"#;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let first = arguments.next().expect("the folder of the case");
    if first == "runner" {
        let id = arguments.next().expect("the runner's id");
        let address = arguments.next().expect("the runner's address");
        serve(&id, address.parse().expect("an address"));
    }
    let temp = TempDir::new("crash");
    let code = run(Path::new(&first), &temp.0).unwrap_or(NOT_RUN);
    drop(temp);
    std::process::exit(code);
}

/// Runs a runner as a process of its own.
fn serve(id: &str, address: SocketAddr) -> ! {
    let handler: Arc<Handler> = Arc::new(|message: &Message, stream: &mut TcpStream| {
        let id = message.header("x-request-id").unwrap_or("-").to_owned();
        thread::sleep(WORK);
        stream.write_all(&answer(&id, &[b'a'; 800])).is_ok()
    });
    Runner::start_at(id, address, handler);
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

/// A runner's process, killed when it is dropped.
struct Process {
    child: Child,
}

impl Process {
    fn start(id: &str, address: SocketAddr) -> Option<Self> {
        let program = std::env::current_exe().ok()?;
        let child = Command::new(program)
            .args(["runner", id, &address.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .ok()?;
        for _ in 0..200 {
            if TcpStream::connect(address).is_ok() {
                return Some(Process { child });
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One caller of a tenant. All callers of tenant t1 read the same page, as those do that wait for one
/// result.
fn call(router: SocketAddr, tenant: &str, number: usize, done: &AtomicBool, counts: &Counts, record: &Record) {
    thread::sleep(INTERVAL * number as u32 / 16);
    let mut open: Option<Reader> = None;
    let mut sent = 0;
    while !done.load(Ordering::SeqCst) {
        sent += 1;
        let began = Instant::now();
        let page = if tenant == "t1" { 0 } else { number };
        let id = format!("{tenant}.{number}.{sent}");
        let request = format!("GET /read/{tenant}-page-{page} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 2500\r\nAuthorization: Token key-{tenant}\r\n\r\n");
        if open.is_none() {
            open = TcpStream::connect(router).ok().map(|stream| {
                let _ = stream.set_read_timeout(Some(Duration::from_millis(2600)));
                Reader::new(stream)
            });
        }
        let message = open.as_mut().and_then(|reader| {
            reader.stream.write_all(request.as_bytes()).ok()?;
            reader.message()
        });
        let status = message.as_ref().map_or(0, Message::status);
        if counts.add(&format!("{tenant} {status}")) == 1 || status == 0 {
            let reason = message.as_ref().map(|message| String::from_utf8_lossy(&message.body[..message.body.len().min(40)]).into_owned());
            let retry = message.as_ref().and_then(|message| message.header("retry-after")).unwrap_or("-");
            record.line(format!("{tenant}: {id} is answered {status}, Retry-After {retry}, body {reason:?}"));
        }
        counts.add(&format!("{tenant} all"));
        // A refused request is tried again on a new connection.
        let closes = message.as_ref().is_none_or(|message| message.header("connection") == Some("close"));
        if status != 200 || closes {
            open = None;
        }
        thread::sleep(INTERVAL.saturating_sub(began.elapsed()));
    }
}

fn run(folder: &Path, temp: &Path) -> Option<i32> {
    let record = Record::create(folder);
    let store = Store::start();
    let mut processes = Vec::new();
    let mut addresses = Vec::new();
    for number in 0..RUNNERS {
        let listener = TcpListener::bind("127.0.0.1:0").ok()?;
        let address = listener.local_addr().ok()?;
        drop(listener);
        let id = format!("i-app-{number}");
        processes.push(Some(Process::start(&id, address)?));
        store.put("servers", &id, Some(entry("app", address, 6, "ready", 1)));
        addresses.push(address);
    }
    store.put("config", "main", Some(MANIFEST.replace('\n', "")));
    let ips = [free_ip(1)];
    let mut routers = Vec::new();
    for (number, ip) in ips.iter().enumerate() {
        let name = format!("front-muscat-a-{}", number + 1);
        let settings = Settings {
            name: &name,
            ip,
            zone: "muscat-a",
            store: store.address,
            seeds: &ips,
            bootstrap: true,
            memory_mb: 120,
            max_fds: 3075,
            bounds: SABLA_BOUNDS,
        };
        routers.push(Router::start(temp, &settings, &name)?);
    }
    if !routers.iter().all(|router| router.wait_ready(Duration::from_secs(10))) {
        record.line("a router did not become ready");
        return None;
    }
    let counts = Arc::new(Counts::default());
    let done = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    for (tenant, number) in TENANTS.into_iter().zip(CALLERS) {
        for caller in 0..number {
            let router = routers[caller % routers.len()].callers();
            let (counts, done, record) = (counts.clone(), done.clone(), record.clone());
            callers.push(thread::spawn(move || call(router, tenant, caller, &done, &counts, &record)));
        }
    }
    let began = Instant::now();
    if with_trouble() {
        thread::sleep(CRASH_AT);
        record.line("runner i-app-0 is killed");
        processes[0] = None;
        thread::sleep(DOWN_TIME);
        store.put("servers", "i-app-0", None);
        processes[0] = Some(Process::start("i-app-9", addresses[0])?);
        store.put("servers", "i-app-9", Some(entry("app", addresses[0], 6, "ready", 1)));
        record.line("its successor i-app-9 is listed");
    }
    thread::sleep(LENGTH.saturating_sub(began.elapsed()));
    done.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let (mut all, mut all_served) = (0, 0);
    let mut shares = Vec::new();
    for tenant in TENANTS {
        let (sent, served) = (counts.get(&format!("{tenant} all")), counts.get(&format!("{tenant} 200")));
        all += sent;
        all_served += served;
        shares.push((tenant, served as f64 / sent.max(1) as f64));
        record.line(format!("{tenant}: {sent} requests, {served} served, {} refused with 503", counts.get(&format!("{tenant} 503"))));
    }
    let mean = all_served as f64 / all.max(1) as f64;
    // Of all requests, and of those of the other tenants, as the refused one has most.
    let others: Vec<f64> = shares.iter().skip(1).map(|(_, share)| *share).collect();
    let others = others.iter().sum::<f64>() / others.len() as f64;
    record.line(format!("served of all requests: {mean:.3}; of the other tenants': {others:.3}"));
    for router in &routers {
        for line in router.log_lines(&["reason=crashes_runners"]).iter().take(2) {
            record.line(format!("router: {line}"));
        }
    }
    let starved: Vec<&str> =
        shares.iter().filter(|(_, share)| *share < mean / 4.0).map(|(tenant, _)| *tenant).collect();
    for tenant in &starved {
        record.line(format!("BROKEN Starved: {tenant} is served less than a quarter as often as all"));
    }
    Some(if starved.is_empty() { HELD } else { BROKEN })
}
