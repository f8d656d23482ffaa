//! The platform as operators' commands name it.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_platform::client::{Client, Settings};
use bpaf::Bpaf;

/// Longest time that an operator's command waits for one answer.
const ANSWER: Span = Span::from_secs(5);

/// The platform's address.
#[derive(Clone, Copy, Debug, Bpaf)]
pub struct Address {
    /// Address of the platform's object API
    #[bpaf(long, env("BALSAMCHUTE_PLATFORM"), argument("IP:PORT"))]
    pub platform: SocketAddr,
}

/// Creates a client for an operator's command.
pub fn client(address: SocketAddr) -> Client {
    let settings = Settings {
        answer: ANSWER,
        ..Settings::default()
    };
    Client::new(address, settings)
}
