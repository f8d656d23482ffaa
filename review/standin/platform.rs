//! What the platform hands out: addresses, settings, the manifest and entries of runners.

use std::net::{SocketAddr, TcpListener};

use crate::record::cannot_run;

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";
pub const TENANT: &str = "hule930";

/// Service of model runners.
pub const MODEL: &str = "huvo11a";
/// Service that takes bookings.
pub const PLAIN: &str = "wuno96b";

/// Loopback address of a machine; each run has addresses of its own.
pub fn ip(machine: u8) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{machine}", 64 + pid % 128, (pid / 128) % 256)
}

/// Returns a port that is free at the address.
pub fn free_address(ip: &str) -> SocketAddr {
    match TcpListener::bind((ip, 0)).and_then(|listener| listener.local_addr()) {
        Ok(address) => address,
        Err(error) => cannot_run(&format!("{ip}: {error}")),
    }
}

/// Route of a manifest.
#[derive(Clone, Copy)]
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub slo_ms: u64,
    pub can_resume: bool,
}

/// `panel-log-report` of mfaea-dispatch, streams that may be resumed.
pub const REPORT: Route = Route {
    prefix: "/lohu930/",
    kind: "stream",
    service: MODEL,
    timeout_ms: 15_000,
    slo_ms: 800,
    can_resume: true,
};

/// `job-status` of mfaea-dispatch.
pub const STATUS: Route = Route {
    prefix: "/cufi504/",
    kind: "idempotent",
    service: PLAIN,
    timeout_ms: 1500,
    slo_ms: 300,
    can_resume: false,
};

/// `dispatch-book` of mfaea-dispatch.
pub const BOOKING: Route = Route {
    prefix: "/puxa403/",
    kind: "non_idempotent",
    ..STATUS
};

/// Returns the manifest with these routes, as the operator writes it.
pub fn manifest(version: u64, routes: &[Route]) -> String {
    let routes: Vec<String> = routes.iter().map(route_text).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"{MODEL}\",\"health_path\":\"/healthz\",\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kv_tokens\":627365,\"kv_bytes\":163840,\"link_mbps\":180000.0,\"moves\":true,\
         \"backups\":true,\"stride\":5,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"{PLAIN}\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000,\"tokens_per_s\":340000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

fn route_text(route: &Route) -> String {
    let Route {
        prefix,
        kind,
        service,
        timeout_ms,
        slo_ms,
        can_resume,
    } = route;
    let is_stream = *kind == "stream";
    let gap = match is_stream {
        true => ",\"gap_aim_ms\":200",
        false => "",
    };
    let name = prefix.trim_matches('/');
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"slo_ms\":{slo_ms},\"priority\":1,\"service\":\"{service}\",\
         \"max_attempts\":2,\"public\":false,\"sticky\":{is_stream},\"can_resume\":{can_resume}{gap}}}"
    )
}

/// Returns the entry that a ready runner writes to the store.
pub fn entry(service: &str, address: SocketAddr, version: &str, born: u64) -> String {
    let slots = match service {
        MODEL => 64,
        _ => 6,
    };
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"mids-brum\",\"version\":\"{version}\",\
         \"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\
         \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":1,\"born\":{born}}}"
    )
}

/// Addresses of a router's listeners.
pub struct Listen {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub directory: SocketAddr,
    pub inner: SocketAddr,
}

impl Listen {
    pub fn at(ip: &str) -> Self {
        Listen {
            front: free_address(ip),
            ready: free_address(ip),
            control: free_address(ip),
            directory: free_address(ip),
            inner: free_address(ip),
        }
    }
}

/// Returns the settings file of a machine.
pub fn settings(machine: u8, listen: &Listen, store: SocketAddr, memory_mb: u64) -> String {
    let Listen {
        front,
        ready,
        control,
        directory,
        inner,
    } = listen;
    let (ip, port) = (inner.ip(), inner.port());
    format!(
        "node_name = \"front-mids-brum-{machine}\"\nrole = \"edge\"\nmachine_class = \"front\"\n\
         serves = [\"front\",\"directory\",\"control\"]\nip = \"{ip}\"\nzone = \"mids-brum\"\n\
         region = \"mids\"\nport_range = [{port},{port}]\nseeds = [\"{control}\"]\n\
         bootstrap = true\ncount_loss = false\ndiscovery = \"platform\"\nentry = \"directory\"\n\
         heartbeat_ms = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\
         \"stream\",\"tenants\",\"platform\"]\n\
         [zones]\nmids-brum = \"mids\"\n\
         [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
         directory = \"{directory}\"\n\
         [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = {memory_mb}\nmax_fds = 4100\n\
         link_mbps = 1000.0\ndisk_mb = 0\n\
         [fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n\
         [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\nsync_s = 4\n\
         drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\napply_ms = 2000\nrollback_slack_ms = 250\n\
         max_skew_ms = 5000\nstrict_revoke = false\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n\
         budget_window_s = 10\nbudget_slack = 56\nrecover_s = 12\npass_ms = 120\nretry_after_s = 10\n\
         quota_window_s = 4\nttl_max_s = 5\n\
         [provider]\naddress = \"{store}\"\nform = \"objects\"\nwrites_per_s = 400\n\
         reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n"
    )
}

/// Returns a plain request of a consumer.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    let length = match method {
        "POST" => "Content-Length: 0\r\n",
        _ => "",
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n{length}\r\n"
    )
}

/// Returns a consumer's request for a stream, or to resume one after an event, as on the page
/// of the protocol.
pub fn stream_request(id: &str, deadline_ms: u64, after: Option<u64>, body_bytes: usize) -> String {
    let after = after.map_or_else(String::new, |event| format!("Last-Event-Id: {event}\r\n"));
    format!(
        "POST {}2f HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n{after}X-Model: m\r\n\
         X-Token-Usage: 1460,300\r\n\
         X-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n\
         Content-Length: {body_bytes}\r\n\r\n",
        REPORT.prefix
    )
}
