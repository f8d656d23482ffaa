//! Response of a runner to the question which process it is.

use balsamchute_adapter::runner;
use balsamchute_http::body::Decoder;
use balsamchute_http::framing::Framing;
use balsamchute_http::head::Response;
use balsamchute_model::prelude::*;

use crate::upstream::MAX_HEAD_BYTES;

/// Time for which a request waits for the runner's report before it is sent or goes elsewhere.
pub(crate) const IDENTIFY_TIMEOUT: Span = Span(250);

/// Upper bound of a report in bytes, with its head.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// What a connection shows of the process that it leads to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Identity {
    /// Start of the process in milliseconds since the Unix epoch, if it names it.
    pub started_at: Option<u64>,
    /// Whether the connection can carry a request after the report.
    pub is_reusable: bool,
}

impl Identity {
    /// Reads the response to a report request. Returns `None` until it is complete. A response
    /// that is not a report names no start.
    pub fn parse(input: &[u8]) -> Option<Self> {
        let unknown = Identity {
            started_at: None,
            is_reusable: false,
        };
        if input.len() > MAX_REPORT_BYTES {
            return Some(unknown);
        }
        let (head, length) = match Response::parse_final(input, MAX_HEAD_BYTES) {
            Ok(parsed) => parsed?,
            Err(_) => return Some(unknown),
        };
        let framing = match Framing::of_response(&head, "GET") {
            Ok(framing) if framing != Framing::UntilClose => framing,
            _ => return Some(unknown),
        };
        let (mut decoder, mut body) = (Decoder::new(framing), Vec::new());
        let Ok(consumed) = decoder.decode(&input[length..], &mut body) else {
            return Some(unknown);
        };
        if !decoder.is_done() {
            return None;
        }
        let report = (head.status == 200).then(|| runner::decode_start(&body));
        Some(Identity {
            started_at: report.and_then(|start| start.ok().flatten()),
            is_reusable: head.is_keep_alive() && length + consumed == input.len(),
        })
    }
}
