//! Internal HTTP endpoints: readiness, directory of routers, views for peers,
//! and metrics.

use std::net::SocketAddr;

use balsamchute_adapter::directory::{self, MAX_ADDRESSES, Query};
use balsamchute_http::head::Request;
use balsamchute_model::prelude::*;
use balsamchute_schedule::directory::{Candidate, select};

use crate::edge::callers::MAX_READS_PER_TURN;
use crate::edge::{Edge, Slot};
use crate::frame::VIEW_PATH;
use crate::peers::Phase;
use crate::server::Endpoint;
use crate::socket::Input;

/// Time for which callers cache the list of routers. Kept short because some
/// callers use the list three times as long, and a router that shuts down must not
/// lose requests meanwhile.
const ADDRESS_TTL: Span = Span(1000);

/// Idle timeout of a connection to an internal endpoint.
const IDLE_TIMEOUT: Span = Span::from_secs(10);

/// Requests of one connection that are served in one turn of the event loop.
const MAX_REQUESTS_PER_TURN: usize = 16;

/// HTTP path of the metrics, as in `deploy/system.toml`.
const METRICS_PATH: &str = "/metrics";

const JSON: &str = "application/json";
const MESSAGE_PACK: &str = "application/msgpack";
const TEXT: &str = "text/plain";

impl Edge {
    pub(super) fn handle_server_ready(&mut self, index: usize) {
        // Requests may wait in the input for the responses before them.
        let is_open = self.flush_server(index) && self.serve_requests(index);
        if !is_open {
            return;
        }
        for _ in 0..MAX_READS_PER_TURN {
            let may_read = match self.slots.get(index) {
                Some(Slot::Server(connection)) => connection.may_read() && !connection.is_queued,
                _ => false,
            };
            if !may_read {
                return;
            }
            match self.read(index) {
                Input::Bytes(length) => {
                    let now = self.now();
                    if let Some(Slot::Server(connection)) = self.slots.get_mut(index) {
                        connection.receive(now, &self.read_buffer[..length]);
                    }
                    if !self.serve_requests(index) {
                        return;
                    }
                }
                Input::WouldBlock => return,
                Input::Eof | Input::Broken => {
                    self.close(index);
                    return;
                }
            }
        }
        self.queue(index);
    }

    /// Serves complete requests in the buffer. Returns whether the connection stays open.
    fn serve_requests(&mut self, index: usize) -> bool {
        for _ in 0..MAX_REQUESTS_PER_TURN {
            let request = match self.slots.get_mut(index) {
                Some(Slot::Server(connection)) if connection.may_read() => {
                    connection.next_request()
                }
                _ => return self.flush_server(index),
            };
            match request {
                Ok(Some(head)) => self.serve_request(index, &head),
                Ok(None) => return self.flush_server(index),
                Err(error) => {
                    if let Some(Slot::Server(connection)) = self.slots.get_mut(index) {
                        connection.refuse(&error);
                    }
                    return self.flush_server(index);
                }
            }
        }
        self.queue(index);
        self.flush_server(index)
    }

    fn serve_request(&mut self, index: usize, head: &Request) {
        let now = self.now();
        let Some(Slot::Server(connection)) = self.slots.get(index) else {
            return;
        };
        let endpoint = connection.endpoint;
        let (status, content_type, body) = match (endpoint, directory::decode(head)) {
            (Endpoint::Directory, Some(Query::Lookup { domain })) => {
                let routers = self.routers(now, domain);
                log::info!(
                    target: "directory",
                    "event=lookup domain={} alive={} listed={} first={}",
                    domain.unwrap_or("-"),
                    self.peers.alive(now).count(),
                    routers.len(),
                    routers.first().map_or_else(|| "-".to_owned(), SocketAddr::to_string)
                );
                match routers.is_empty() {
                    true => (503, TEXT, b"no router takes requests".to_vec()),
                    false => {
                        let ttl = ADDRESS_TTL.min(self.settings.bounds.address_ttl);
                        (200, JSON, directory::encode_addresses(&routers, ttl))
                    }
                }
            }
            (Endpoint::Ready, Some(Query::Readiness)) => match self.is_serving() {
                true => (200, TEXT, Vec::new()),
                false => (503, TEXT, b"not serving".to_vec()),
            },
            (Endpoint::Metrics, _) if head.path() == METRICS_PATH => self.metrics_page(now),
            (Endpoint::Peers, _) if head.path() == VIEW_PATH => {
                let peer_version = head.query("manifest").and_then(|text| text.parse().ok());
                match rmp_serde::to_vec(&self.view(now, peer_version.unwrap_or(0))) {
                    Ok(body) => (200, MESSAGE_PACK, body),
                    Err(error) => {
                        log::error!(target: "peer", "event=encode_failed error={:?}", error.to_string());
                        (500, TEXT, Vec::new())
                    }
                }
            }
            _ => (404, TEXT, b"nothing is served here".to_vec()),
        };
        if let Some(Slot::Server(connection)) = self.slots.get_mut(index) {
            connection.write_response(status, content_type, &body);
        }
    }

    fn metrics_page(&self, now: Time) -> (u16, &'static str, Vec<u8>) {
        let routers = self.peers.alive(now).count() + 1;
        let runners = self.registry.entries().count();
        let evacuated = self.scheduler.evacuated().len();
        let version = self.manifest_version();
        match self.stats.render(routers, version, runners, evacuated) {
            Ok(page) => (200, TEXT, page.into_bytes()),
            Err(error) => {
                log::error!(target: "process", "event=metrics_failed error={:?}", error.to_string());
                (500, TEXT, Vec::new())
            }
        }
    }

    /// Returns the request addresses of the serving routers for a caller in `domain`.
    fn routers(&self, now: Time, domain: Option<&str>) -> Vec<SocketAddr> {
        let serving = self
            .peers
            .alive(now)
            .filter(|peer| peer.descriptor.phase == Phase::Serving);
        let mut routers: Vec<Candidate> = serving
            .map(|peer| Candidate {
                address: peer.descriptor.callers,
                domain: &peer.descriptor.domain,
                millicores: peer.descriptor.millicores,
            })
            .collect();
        if self.is_serving() {
            routers.push(Candidate {
                address: self.settings.listen.callers,
                domain: &self.settings.domain,
                millicores: self.settings.resource_limits.millicores,
            });
        }
        let instance = &self.settings.instance;
        select(&routers, domain, instance, MAX_ADDRESSES)
    }

    /// Writes unsent bytes. Returns whether the connection stays open.
    fn flush_server(&mut self, index: usize) -> bool {
        let now = self.now();
        let Some(Slot::Server(connection)) = self.slots.get_mut(index) else {
            return false;
        };
        connection.flush(now);
        let is_finished = connection.close && connection.socket.unsent() == 0;
        if is_finished || connection.socket.is_broken() {
            self.close(index);
            return false;
        }
        self.charge(index);
        true
    }

    pub(super) fn sweep_servers(&mut self, now: Time) {
        let mut idle = Vec::new();
        for (index, slot) in &self.slots {
            if let Slot::Server(connection) = slot
                && now.since(connection.received.last()) > IDLE_TIMEOUT
            {
                idle.push(index);
            }
        }
        for index in idle {
            self.close(index);
        }
    }
}
