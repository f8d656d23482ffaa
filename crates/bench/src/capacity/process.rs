//! A real router process before a synthetic fleet, which this process plays.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;

use balsamchute_base::prelude::*;
use balsamchute_inventory::document;
use balsamchute_standin::platform::Platform;
use balsamchute_wire::codec;
use balsamchute_wire::config::{Document, Stamp};
use balsamchute_wire::exchange::{Frame, Member};

use super::inventory;
use super::size::Size;
use crate::clock;
use crate::error::Error;
use crate::fleet::CONFIG_PATH;
use crate::fleet::router::{Router, Settings};
use crate::ports::Block;
use crate::process::Usage;

/// Time between two frames that keep the synthetic routers alive.
const BEAT: Span = Span(500);

/// Time for the router to take in the configuration and the members.
const SETTLE: Span = Span::from_secs(6);

/// Returns what a router uses that knows an inventory with so many runners and
/// workspaces, and as many other routers as the expected fleet has.
///
/// # Errors
///
/// Returns an [`Error`] if the router or its platform does not start.
pub fn usage(runners: u64, workspaces: u64) -> Result<Usage, Error> {
    let failed = |what: &str, reason: String| Error::Start {
        what: what.to_owned(),
        reason,
    };
    let platform = Platform::start((Ipv4Addr::LOCALHOST, 0).into());
    let platform = platform.map_err(|error| failed("platform", error.to_string()))?;
    let config = inventory::config(runners, workspaces, Size::letter().services);
    let document = Document {
        change: "capacity".to_owned(),
        text: document::text(&config),
        ..Document::default()
    };
    let bytes = serde_json::to_vec(&document);
    let bytes = bytes.map_err(|error| failed("configuration", error.to_string()))?;
    platform.put(CONFIG_PATH, bytes);
    let mut ports = Block::new()?;
    let settings = Settings {
        instance: inventory::instance(0).to_string(),
        domain: "domain-00".to_owned(),
        callers: ports.take()?,
        inner: ports.take()?,
        platform: platform.address(),
        grace: Span::from_secs(1),
        extra: String::new(),
    };
    let peers = play_peers().map_err(|error| failed("synthetic routers", error))?;
    let inner = settings.inner;
    let mut router = Router::start(settings)?;
    router.wait_ready()?;
    let end = clock::now() + SETTLE;
    let mut beat = 1;
    while clock::now() < end {
        beat += 1;
        show_peers(inner, peers, beat);
        thread::sleep(BEAT.into());
    }
    let seen = seen(router.settings().callers);
    if seen < Size::letter().nodes {
        return Err(failed("router", format!("it sees only {seen} routers")));
    }
    Usage::new(router.pid()).ok_or_else(|| failed("router", "it has ended".to_owned()))
}

/// Returns how many routers the router at this address takes for live.
fn seen(callers: SocketAddr) -> u64 {
    let status = ureq::get(format!("http://{callers}/v1/status")).call();
    let body = status.and_then(|mut status| status.body_mut().read_to_vec());
    let value: Option<serde_json::Value> = serde_json::from_slice(&body.unwrap_or_default()).ok();
    let members = value.and_then(|value| value.get("members")?.as_array().map(Vec::len));
    members.unwrap_or(0) as u64
}

fn members(peers: SocketAddr, beat: u64) -> Vec<Member> {
    let letter = Size::letter();
    let member = |number| Member {
        beat,
        inner: peers,
        callers: peers,
        ..inventory::member(number, letter.services)
    };
    (1..letter.nodes).map(member).collect()
}

fn frame(members: Vec<Member>) -> Frame {
    Frame {
        from: inventory::instance(1),
        config: Stamp::default(),
        members,
        doubts: Vec::new(),
        leaving: Vec::new(),
        suspects: Vec::new(),
    }
}

/// Posts a frame that shows every synthetic router with a new heartbeat.
fn show_peers(router: SocketAddr, peers: SocketAddr, beat: u64) {
    let body = codec::encode(&frame(members(peers, beat)));
    let sent = ureq::post(format!("http://{router}/inner/exchange")).send(&body[..]);
    if let Err(error) = sent {
        log::warn!("capacity: the router refused a frame: {error}");
    }
}

/// Starts a server that answers for all synthetic routers.
fn play_peers() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let server = tiny_http::Server::from_listener(listener, None).map_err(|e| e.to_string())?;
    thread::spawn(move || {
        for request in server.incoming_requests() {
            let body = codec::encode(&frame(Vec::new()));
            let sent = request.respond(tiny_http::Response::from_data(body));
            if let Err(error) = sent {
                log::debug!("capacity: an answer was not taken: {error}");
            }
        }
    });
    Ok(address)
}
