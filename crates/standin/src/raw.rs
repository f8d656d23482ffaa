//! Server that responds to every request with the same bytes, which need not be valid.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// End of a connection after a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The connection stays open for further requests.
    Open,
    /// The connection is closed in good order.
    Close,
    /// The connection is reset.
    Reset,
}

/// Starts a server that ends its connections as given, and returns its address. It runs
/// until the process ends.
///
/// # Errors
///
/// Returns the error of the listener or of the thread that accepts.
pub fn start(response: impl Into<Vec<u8>>, end: End) -> io::Result<SocketAddr> {
    let response = response.into();
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    thread::Builder::new().spawn(move || {
        for connection in listener.incoming().flatten() {
            let response = response.clone();
            thread::spawn(move || serve(&connection, &response, end));
        }
    })?;
    Ok(address)
}

fn serve(connection: &TcpStream, response: &[u8], end: End) -> io::Result<()> {
    let mut reader = BufReader::new(connection);
    while read_request(&mut reader)? {
        let mut writer = connection;
        writer.write_all(response)?;
        match end {
            End::Open => {}
            End::Close => return Ok(()),
            End::Reset => return SockRef::from(connection).set_linger(Some(Duration::ZERO)),
        }
    }
    Ok(())
}

/// Reads a request with its body, which has a length. Returns whether there was one.
fn read_request(reader: &mut BufReader<&TcpStream>) -> io::Result<bool> {
    let mut length = 0;
    let mut line = String::new();
    while reader.read_line(&mut line)? > 2 {
        let header = line.to_ascii_lowercase();
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().map_err(io::Error::other)?;
        }
        line.clear();
    }
    io::copy(&mut reader.by_ref().take(length), &mut io::sink())?;
    Ok(!line.is_empty())
}
