//! Accepting of connections, within the shares of file descriptors.

use std::io;
use std::time::Duration;

use stakker::CX;

use crate::caller;
use crate::edge::{Edge, Slot};
use crate::server;
use crate::socket::Socket;

/// Share of the file descriptors that callers' connections may use.
const CALLER_DESCRIPTOR_SHARE: f64 = 0.6;

/// Share of the file descriptors that connections to the internal endpoints may use.
const SERVER_DESCRIPTOR_SHARE: f64 = 0.1;

/// Time for which a caller may leave bytes unread or unacknowledged. Longer than for
/// connections between machines of the platform: callers read at their own pace.
const CALLER_USER_TIMEOUT: Duration = Duration::from_secs(10);

impl Edge {
    /// Accepts callers' connections that the last turn left in the queue.
    pub fn accept_more(&mut self, _cx: CX![]) {
        if std::mem::take(&mut self.has_pending_accepts) {
            self.accept(self.caller_listener);
            self.run_actions();
        }
    }

    pub(super) fn accept(&mut self, index: usize) {
        let began = self.now();
        let is_for_callers = index == self.caller_listener;
        if is_for_callers {
            self.accepts_wait_since.get_or_insert(self.arrived_after);
        }
        for count in 0.. {
            if is_for_callers && !self.admission.may_accept(began, self.now(), count) {
                self.record_accepts(true);
                return;
            }
            let accepted = match self.slots.get(index) {
                Some(Slot::CallerListener(listener) | Slot::ServerListener(listener, _)) => {
                    listener.accept()
                }
                _ => return,
            };
            match accepted {
                Ok((stream, _)) => self.add_connection(index, Socket::new(stream)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if is_for_callers {
                        self.accepts_wait_since = None;
                        self.record_accepts(false);
                    }
                    return;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => {
                    log::warn!(target: "process", "event=accept_failed error={:?}", error.to_string());
                    return;
                }
            }
        }
    }

    /// Records the end of accepting in this turn, and whether connections are left.
    fn record_accepts(&mut self, leaves_any: bool) {
        self.has_pending_accepts = leaves_any;
        let change = self.admission.record_turn(self.now(), leaves_any);
        if let Some(is_overloaded) = change {
            log::warn!(target: "caller", "event=accept_overload began={is_overloaded} open={}", self.caller_count);
        } else if leaves_any && !self.admission.is_overloaded(self.now()) {
            log::info!(target: "caller", "event=accepts_wait open={}", self.caller_count);
        }
    }

    fn add_connection(&mut self, listener_index: usize, socket: Socket) {
        let now = self.now();
        let descriptors = self.settings.resource_limits.descriptors as f64;
        let slot = match self.slots.get(listener_index) {
            Some(Slot::ServerListener(_, endpoint)) => {
                let endpoint = *endpoint;
                let limit = descriptors * SERVER_DESCRIPTOR_SHARE;
                if self.server_count as f64 >= limit {
                    self.evict_server();
                }
                self.server_count += 1;
                Slot::Server(Box::new(server::Connection::new(now, socket, endpoint)))
            }
            _ => {
                let limit = descriptors * CALLER_DESCRIPTOR_SHARE;
                if self.caller_count as f64 >= limit && !self.evict_callers() {
                    log::warn!(target: "caller", "event=connection_refused open={}", self.caller_count);
                    return;
                }
                self.caller_count += 1;
                let socket = socket.with_user_timeout(CALLER_USER_TIMEOUT);
                let arrived_after = self.accepts_wait_since.unwrap_or(self.arrived_after);
                Slot::Caller(Box::new(caller::Connection::new(
                    now,
                    arrived_after,
                    socket,
                )))
            }
        };
        let index = self.slots.insert(slot);
        if let Err(error) = self.register(index) {
            log::warn!(target: "process", "event=register_failed error={:?}", error.to_string());
            self.close(index);
        }
    }
}
