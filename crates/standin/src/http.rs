//! HTTP server code shared by the stand-ins.

use std::io::{self, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use serde::Serialize;
use tiny_http::{Header, Method, Request, Response as HttpResponse};

use crate::link::Link;

/// Stack size of a request thread in bytes.
const STACK_BYTES: usize = 128 * 1024;

/// Maximum number of body bytes read; the rest is ignored.
pub const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// HTTP server behind a [`Link`].
pub struct Server {
    http: Arc<tiny_http::Server>,
    link: Arc<Link>,
}

impl Server {
    /// Starts a server at `address` that calls `handler` for each request on a
    /// thread of its own.
    ///
    /// # Errors
    ///
    /// Returns the socket error if the server cannot listen on the address.
    pub fn start<F>(address: SocketAddr, handler: F) -> io::Result<Self>
    where
        F: Fn(Request, &Arc<Link>) + Send + Sync + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        // Accepted sockets inherit this option. Without it, a token waits for the
        // acknowledgement of the previous one (Nagle's algorithm).
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
            .spawn(move || serve(&http, &link, &Arc::new(handler)))?;
        Ok(server)
    }

    /// Returns the link in front of the server.
    #[must_use]
    pub fn link(&self) -> &Link {
        &self.link
    }

    /// Returns a shared handle to the link, for threads.
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

fn serve<F>(http: &tiny_http::Server, link: &Arc<Link>, handler: &Arc<F>)
where
    F: Fn(Request, &Arc<Link>) + Send + Sync + 'static,
{
    while let Ok(request) = http.recv() {
        let (link, handler) = (Arc::clone(link), Arc::clone(handler));
        let spawned = thread::Builder::new()
            .name("standin-request".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || handler(request, &link));
        if let Err(error) = spawned {
            log::warn!("standin: cannot spawn a request thread: {error}");
        }
    }
}

/// Method, path and query of a request.
pub struct Parts {
    /// HTTP method of the request.
    pub method: Method,
    /// Percent-decoded path without leading slashes.
    pub path: String,
    query: Vec<(String, String)>,
}

impl Parts {
    /// Parses the method, path and query of `request`.
    #[must_use]
    pub fn new(request: &Request) -> Self {
        let (path, query) = request.url().split_once('?').unwrap_or((request.url(), ""));
        let parse_pair = |pair: &str| {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            (percent_decode(name), percent_decode(value))
        };
        Self {
            method: request.method().clone(),
            path: percent_decode(path.trim_start_matches('/')),
            query: query.split('&').map(parse_pair).collect(),
        }
    }

    /// Returns the value of a numeric query parameter, 0 if it is absent or
    /// invalid.
    #[must_use]
    pub fn query_u64(&self, name: &str) -> u64 {
        let value = self.query.iter().find(|(key, _)| key == name);
        value.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = percent_encoding::percent_decode_str(text);
    bytes.decode_utf8_lossy().into_owned()
}

/// Returns the value of the first header of this name.
#[must_use]
pub fn header(request: &Request, name: &'static str) -> Option<String> {
    let headers = request.headers().iter();
    let mut values = headers.filter(|header| header.field.equiv(name));
    values.next().map(|header| header.value.as_str().to_owned())
}

/// Reads the body of a request up to [`MAX_BODY_BYTES`].
///
/// # Errors
///
/// Returns the I/O error if reading from the connection fails.
pub fn read_body(request: &mut Request) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let reader = request.as_reader();
    reader.take(MAX_BODY_BYTES).read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Response with a complete body, as opposed to a stream.
pub struct Response {
    status: u16,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

impl Response {
    /// Creates a response without headers and body.
    #[must_use]
    pub fn new(status: u16) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: Vec::new(),
        }
    }

    /// Creates a response with `value` as its JSON body.
    #[must_use]
    pub fn json<T: Serialize>(status: u16, value: &T) -> Self {
        let body = serde_json::to_vec(value).expect("response bodies serialize to JSON");
        Self::new(status)
            .with_header("content-type", "application/json")
            .with_body(body)
    }

    /// Adds a header, whose name and value must be ASCII.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Sets the response body, which replaces an earlier one.
    #[must_use]
    pub fn with_body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }

    /// Sends the response. Errors are ignored: they mean that the client is gone.
    pub fn send(self, request: Request) {
        let mut response = HttpResponse::from_data(self.body).with_status_code(self.status);
        for (name, value) in self.headers {
            let header =
                Header::from_bytes(name, value).expect("header names and values are ASCII");
            response.add_header(header);
        }
        let _ = request.respond(response);
    }
}
