//! Relaying, dropping and stalling connections through a link.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;

use balsamchute_standin::link::Link;

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Starts a server that echoes all bytes.
fn start_echo_server() -> SocketAddr {
    let listener = TcpListener::bind(loopback()).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for connection in listener.incoming() {
            thread::spawn(move || {
                let connection = connection.unwrap();
                let _ = std::io::copy(&mut &connection, &mut &connection);
            });
        }
    });
    address
}

fn round_trip(connection: &mut TcpStream, message: &[u8]) -> std::io::Result<Vec<u8>> {
    connection.write_all(message)?;
    let mut response = vec![0; message.len()];
    connection.read_exact(&mut response)?;
    Ok(response)
}

#[test]
fn bytes_pass_both_ways() {
    let link = Link::start(loopback(), start_echo_server()).unwrap();
    let mut connection = TcpStream::connect(link.address()).unwrap();
    assert_eq!(round_trip(&mut connection, b"abc").unwrap(), b"abc");
}

#[test]
fn a_closed_link_drops_connections_and_reopens_at_its_address() {
    let link = Link::start(loopback(), start_echo_server()).unwrap();
    let mut connection = TcpStream::connect(link.address()).unwrap();
    round_trip(&mut connection, b"abc").unwrap();
    // Repeated, as a reconnection could race with the closing.
    for _ in 0..20 {
        link.close();
        assert!(round_trip(&mut connection, b"abc").is_err());
        assert!(TcpStream::connect(link.address()).is_err());
        link.open().unwrap();
        connection = TcpStream::connect(link.address()).unwrap();
        assert_eq!(round_trip(&mut connection, b"abc").unwrap(), b"abc");
    }
}

#[test]
fn a_stalled_link_holds_bytes_back_until_it_resumes() {
    let link = Link::start(loopback(), start_echo_server()).unwrap();
    let mut connection = TcpStream::connect(link.address()).unwrap();
    round_trip(&mut connection, b"abc").unwrap();
    link.set_stalled(true);
    connection.write_all(b"def").unwrap();
    connection.set_nonblocking(true).unwrap();
    let mut response = [0; 3];
    assert!(connection.read(&mut response).is_err());
    connection.set_nonblocking(false).unwrap();
    link.set_stalled(false);
    connection.read_exact(&mut response).unwrap();
    assert_eq!(&response, b"def");
}

/// A connection that is closed in good order looks like the end of an answer.
#[test]
fn a_reset_reaches_the_client_and_the_link_stays_open() {
    let link = Link::start(loopback(), start_echo_server()).unwrap();
    let mut connection = TcpStream::connect(link.address()).unwrap();
    assert_eq!(round_trip(&mut connection, b"abc").unwrap(), b"abc");
    link.reset().unwrap();
    let error = connection.read(&mut [0; 8]).unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    let mut next = TcpStream::connect(link.address()).unwrap();
    assert_eq!(round_trip(&mut next, b"abc").unwrap(), b"abc");
}
