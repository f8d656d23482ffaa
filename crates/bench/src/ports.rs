//! Loopback ports for routers, from blocks that no two benches share.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use crate::error::Error;

/// First port of the first block, below the ports that systems hand out themselves.
const FIRST_PORT: u16 = 12_000;

/// Ports in a block; the first one is the block's lock.
const BLOCK_PORTS: u16 = 100;

/// Number of blocks.
const BLOCKS: u16 = 200;

/// A block of ports, held until it is dropped.
#[derive(Debug)]
pub struct Block {
    _lock: TcpListener,
    next: u16,
    end: u16,
}

impl Block {
    /// Takes a block that no other process holds.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Ports`] if all blocks are held.
    pub fn new() -> Result<Self, Error> {
        let offset = (std::process::id() % u32::from(BLOCKS)) as u16;
        for turn in 0..BLOCKS {
            let start = FIRST_PORT + (offset + turn) % BLOCKS * BLOCK_PORTS;
            if let Ok(lock) = TcpListener::bind((Ipv4Addr::LOCALHOST, start)) {
                return Ok(Block {
                    _lock: lock,
                    next: start + 1,
                    end: start + BLOCK_PORTS,
                });
            }
        }
        Err(Error::Ports)
    }

    /// Returns the next address of the block at which nothing listens.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Ports`] if the block is used up.
    pub fn take(&mut self) -> Result<SocketAddr, Error> {
        while self.next < self.end {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            self.next += 1;
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
        Err(Error::Ports)
    }
}
