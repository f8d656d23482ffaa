//! The relay that cuts and freezes connections.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;

use balsamchute_standin::link::Link;

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Starts a server that sends back what it gets.
fn echo() -> SocketAddr {
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

fn say(connection: &mut TcpStream, text: &[u8]) -> std::io::Result<Vec<u8>> {
    connection.write_all(text)?;
    let mut answer = vec![0; text.len()];
    connection.read_exact(&mut answer)?;
    Ok(answer)
}

#[test]
fn bytes_pass_both_ways() {
    let link = Link::start(loopback(), echo()).unwrap();
    let mut connection = TcpStream::connect(link.address()).unwrap();
    assert_eq!(say(&mut connection, b"abc").unwrap(), b"abc");
}

#[test]
fn a_closed_link_cuts_refuses_and_comes_back_at_its_address() {
    let link = Link::start(loopback(), echo()).unwrap();
    let mut connection = TcpStream::connect(link.address()).unwrap();
    say(&mut connection, b"abc").unwrap();
    for _ in 0..20 {
        link.close();
        assert!(say(&mut connection, b"abc").is_err());
        assert!(TcpStream::connect(link.address()).is_err());
        link.open().unwrap();
        connection = TcpStream::connect(link.address()).unwrap();
        assert_eq!(say(&mut connection, b"abc").unwrap(), b"abc");
    }
}

#[test]
fn a_frozen_link_holds_bytes_back_until_it_thaws() {
    let link = Link::start(loopback(), echo()).unwrap();
    let mut connection = TcpStream::connect(link.address()).unwrap();
    say(&mut connection, b"abc").unwrap();
    link.set_frozen(true);
    connection.write_all(b"def").unwrap();
    connection.set_nonblocking(true).unwrap();
    let mut answer = [0; 3];
    assert!(connection.read(&mut answer).is_err());
    connection.set_nonblocking(false).unwrap();
    link.set_frozen(false);
    connection.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"def");
}
