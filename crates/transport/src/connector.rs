//! TCP connections with a check of the responses.

use std::io::{self, ErrorKind};

use ureq::unversioned::transport::{
    self, Buffers, ConnectionDetails, NextTimeout, TcpConnector, Transport,
};

use crate::check::Check;
use crate::error::Error;

type Tcp = <TcpConnector as transport::Connector>::Out;

/// Connector of an agent without a proxy. Its connections fail the call of a response
/// that is malformed or broken off, with an [`Error`] in [`ureq::Error::Other`].
#[derive(Debug, Default)]
pub struct Connector(TcpConnector);

impl transport::Connector for Connector {
    type Out = Connection;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        let check = Check::new(details.config.max_response_header_size());
        let tcp = self.0.connect(details, chained)?;
        Ok(tcp.map(|tcp| Connection { tcp, check }))
    }
}

/// TCP connection whose responses are checked.
#[derive(Debug)]
pub struct Connection {
    tcp: Tcp,
    check: Check,
}

impl Transport for Connection {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.tcp.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        self.check.send();
        self.tcp.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        let before = self.tcp.buffers().input().len();
        let has_input = self.tcp.await_input(timeout).map_err(mark_broken)?;
        let checked = match has_input {
            true => self.check.receive(&self.tcp.buffers().input()[before..]),
            false => self.check.finish(),
        };
        checked.map_err(|error| ureq::Error::Other(Box::new(error)))?;
        Ok(has_input)
    }

    fn is_open(&mut self) -> bool {
        self.check.is_idle() && self.tcp.is_open()
    }
}

/// Wraps the errors that `ureq` takes for the end of a body.
fn mark_broken(error: ureq::Error) -> ureq::Error {
    match error {
        ureq::Error::Io(error) if is_broken(&error) => {
            ureq::Error::Other(Box::new(Error::Broken(error)))
        }
        error => error,
    }
}

fn is_broken(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted | ErrorKind::UnexpectedEof
    )
}
