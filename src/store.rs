//! Platform address option and client of the operator commands.

use std::net::SocketAddr;

use balsamchute_base::prelude::*;
use balsamchute_platform::client::{Client, Settings};
use bpaf::Bpaf;

/// Timeout of one call to the platform.
const RESPONSE_TIMEOUT: Span = Span::from_secs(5);

/// Option that names the platform.
#[derive(Clone, Copy, Debug, Bpaf)]
pub struct Address {
    /// Address of the platform's object API
    #[bpaf(long, env("BALSAMCHUTE_PLATFORM"), argument("IP:PORT"))]
    pub platform: SocketAddr,
}

/// Creates a platform client with the timeout of operator commands.
pub fn client(address: SocketAddr) -> Client {
    let settings = Settings {
        response_timeout: RESPONSE_TIMEOUT,
        ..Settings::default()
    };
    Client::new(address, settings)
}
