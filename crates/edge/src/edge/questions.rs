//! Answers to readiness checks, to callers that ask which router to use, and
//! to other routers.

use std::net::SocketAddr;

use balsamchute_adapter::directory::{self, Question};
use balsamchute_http::head::Request;
use balsamchute_model::prelude::*;

use crate::edge::{Edge, Slot};
use crate::frame::VIEW_PATH;
use crate::peers::Phase;
use crate::server::Purpose;
use crate::socket::Input;

/// How long callers keep a list of routers. Some keep it three times as long,
/// and a router that leaves must not lose requests meanwhile.
const ADDRESS_TTL: Span = Span(1000);

/// Longest silence of a connection for questions.
const QUESTION_IDLE: Span = Span::from_secs(10);

/// Path of the metrics, as in `deploy/system.toml`.
const METRICS_PATH: &str = "/metrics";

const JSON: &str = "application/json";
const MESSAGE_PACK: &str = "application/msgpack";
const TEXT: &str = "text/plain";

impl Edge {
    pub(super) fn question_ready(&mut self, index: usize) {
        loop {
            match self.read(index) {
                Input::Bytes(length) => {
                    let now = self.now();
                    if let Some(Slot::Question(connection)) = self.slots.get_mut(index) {
                        connection.receive(now, &self.scratch[..length]);
                    }
                    if !self.answer_questions(index) {
                        return;
                    }
                }
                Input::Nothing => break,
                Input::End | Input::Broken => {
                    self.close(index);
                    return;
                }
            }
        }
        self.flush_question(index);
    }

    /// Answers the questions that are whole; returns whether the connection
    /// goes on.
    fn answer_questions(&mut self, index: usize) -> bool {
        loop {
            let next = match self.slots.get_mut(index) {
                Some(Slot::Question(connection)) => connection.next(),
                _ => return false,
            };
            match next {
                Ok(Some(head)) => self.answer_question(index, &head),
                Ok(None) => break,
                Err(error) => {
                    if let Some(Slot::Question(connection)) = self.slots.get_mut(index) {
                        connection.close = true;
                        connection.answer(400, TEXT, error.to_string().as_bytes());
                    }
                    break;
                }
            }
        }
        self.flush_question(index)
    }

    fn answer_question(&mut self, index: usize, head: &Request) {
        let now = self.now();
        let Some(Slot::Question(connection)) = self.slots.get(index) else {
            return;
        };
        let purpose = connection.purpose;
        let (status, kind, body) = match (purpose, directory::question(head)) {
            (Purpose::Directory, Some(Question::Addresses { .. })) => {
                let routers = self.routers(now);
                match routers.is_empty() {
                    true => (503, TEXT, b"no router takes requests".to_vec()),
                    false => {
                        let ttl = ADDRESS_TTL.min(self.settings.bounds.address_ttl);
                        (200, JSON, directory::addresses(&routers, ttl))
                    }
                }
            }
            (Purpose::Ready, Some(Question::Ready)) => match self.is_serving() {
                true => (200, TEXT, Vec::new()),
                false => (503, TEXT, b"not serving".to_vec()),
            },
            (Purpose::Metrics, _) if head.path() == METRICS_PATH => self.metrics_page(now),
            (Purpose::Peers, _) if head.path() == VIEW_PATH => {
                let version = head.query("manifest").and_then(|text| text.parse().ok());
                match rmp_serde::to_vec(&self.view(version.unwrap_or(0))) {
                    Ok(body) => (200, MESSAGE_PACK, body),
                    Err(error) => {
                        log::error!(target: "peer", "event=encode_failed error={:?}", error.to_string());
                        (500, TEXT, Vec::new())
                    }
                }
            }
            _ => (404, TEXT, b"nothing is served here".to_vec()),
        };
        if let Some(Slot::Question(connection)) = self.slots.get_mut(index) {
            connection.answer(status, kind, &body);
        }
    }

    fn metrics_page(&self, now: Time) -> (u16, &'static str, Vec<u8>) {
        let routers = self.peers.alive(now).count() + 1;
        let runners = self.registry.entries().count();
        match self.report.page(routers, self.manifest_version(), runners) {
            Ok(page) => (200, TEXT, page.into_bytes()),
            Err(error) => {
                log::error!(target: "process", "event=metrics_failed error={:?}", error.to_string());
                (500, TEXT, Vec::new())
            }
        }
    }

    /// Returns the routers that callers may use.
    fn routers(&self, now: Time) -> Vec<SocketAddr> {
        let serving = self
            .peers
            .alive(now)
            .filter(|peer| peer.card.phase == Phase::Serving);
        let mut routers: Vec<SocketAddr> = serving.map(|peer| peer.card.callers).collect();
        if self.is_serving() {
            routers.push(self.settings.listen.callers);
        }
        routers
    }

    /// Sends what waits; returns whether the connection goes on.
    fn flush_question(&mut self, index: usize) -> bool {
        let Some(Slot::Question(connection)) = self.slots.get_mut(index) else {
            return false;
        };
        connection.socket.flush();
        let ends = connection.close && connection.socket.unsent() == 0;
        if ends || connection.socket.is_broken() {
            self.close(index);
            return false;
        }
        true
    }

    pub(super) fn sweep_questions(&mut self, now: Time) {
        let mut idle = Vec::new();
        for (index, slot) in &self.slots {
            if let Slot::Question(connection) = slot
                && now.since(connection.since) > QUESTION_IDLE
            {
                idle.push(index);
            }
        }
        for index in idle {
            self.close(index);
        }
    }
}
