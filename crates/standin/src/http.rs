//! What the stand-ins share of an HTTP server.

use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use serde::Serialize;
use tiny_http::{Header, Method, Request, Response};

use crate::link::Link;

/// Stack of a thread that handles one request, in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// Largest body that is read, in bytes.
pub const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// A server behind a link.
pub struct Server {
    http: Arc<tiny_http::Server>,
    link: Arc<Link>,
}

impl Server {
    /// Starts a server at `address` that gives each request to `handle` on a
    /// thread of its own.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if it cannot be listened on.
    pub fn start<F>(address: SocketAddr, handle: F) -> io::Result<Self>
    where
        F: Fn(Request, &Arc<Link>) + Send + Sync + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        // Accepted sockets inherit this; without it a token waits for the
        // acknowledgement of the one before.
        socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
        let upstream = listener.local_addr()?;
        let http = tiny_http::Server::from_listener(listener, None).map_err(io::Error::other)?;
        let http = Arc::new(http);
        let link = Arc::new(Link::start(address, upstream)?);
        let server = Self {
            http: Arc::clone(&http),
            link: Arc::clone(&link),
        };
        thread::Builder::new()
            .name("standin-http".to_owned())
            .spawn(move || serve(&http, &link, &Arc::new(handle)))?;
        Ok(server)
    }

    /// Returns the link in front of the server.
    #[must_use]
    pub fn link(&self) -> &Link {
        &self.link
    }

    /// Returns the link for a thread that outlives the borrow.
    #[must_use]
    pub fn shared_link(&self) -> Arc<Link> {
        Arc::clone(&self.link)
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.link.close();
        self.http.unblock();
    }
}

fn serve<F>(http: &tiny_http::Server, link: &Arc<Link>, handle: &Arc<F>)
where
    F: Fn(Request, &Arc<Link>) + Send + Sync + 'static,
{
    while let Ok(request) = http.recv() {
        let (link, handle) = (Arc::clone(link), Arc::clone(handle));
        let spawned = thread::Builder::new()
            .name("standin-request".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || handle(request, &link));
        if let Err(error) = spawned {
            log::warn!("standin: no thread for a request: {error}");
        }
    }
}

/// A request's method, path and query, taken apart.
pub struct Target {
    /// The method.
    pub method: Method,
    /// The path without the first slash, percent-decoded.
    pub path: String,
    query: Vec<(String, String)>,
}

impl Target {
    /// Takes the request line of `request` apart.
    #[must_use]
    pub fn new(request: &Request) -> Self {
        let (path, query) = request.url().split_once('?').unwrap_or((request.url(), ""));
        let pair = |pair: &str| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (decode(name), decode(value))
        };
        Self {
            method: request.method().clone(),
            path: decode(path.trim_start_matches('/')),
            query: query.split('&').map(pair).collect(),
        }
    }

    /// Returns the number that a query parameter holds, 0 without it.
    #[must_use]
    pub fn number(&self, name: &str) -> u64 {
        let value = self.query.iter().find(|(key, _)| key == name);
        value.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
    }
}

fn decode(text: &str) -> String {
    let bytes = percent_encoding::percent_decode_str(text);
    bytes.decode_utf8_lossy().into_owned()
}

/// Returns the value of a header.
#[must_use]
pub fn header(request: &Request, name: &'static str) -> Option<String> {
    let headers = request.headers().iter();
    let mut found = headers.filter(|header| header.field.equiv(name));
    found.next().map(|header| header.value.as_str().to_owned())
}

/// Reads the body of a request up to [`MAX_BODY_BYTES`].
///
/// # Errors
///
/// Returns the error of the connection.
pub fn body(request: &mut Request) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let reader = request.as_reader();
    reader.take(MAX_BODY_BYTES).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// An answer with its headers.
pub struct Answer {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl Answer {
    /// Creates an answer without a body.
    #[must_use]
    pub fn new(status: u16) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Creates an answer with `value` as JSON.
    #[must_use]
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        let body = serde_json::to_vec(value).expect("answers always encode");
        Self::new(status)
            .with_header("content-type", "application/json")
            .with_body(body)
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// Sends the answer. An error means that the caller has gone.
    pub fn send(self, request: Request) {
        let mut response = Response::from_data(self.body).with_status_code(self.status);
        for (name, value) in self.headers {
            let header = Header::from_bytes(name, value).expect("stand-in headers are ASCII");
            response.add_header(header);
        }
        let _ = request.respond(response);
    }
}
