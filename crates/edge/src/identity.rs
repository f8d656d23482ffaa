//! Response of a runner to the question which process it is.

use balsamchute_adapter::{response, runner};
use balsamchute_http::Error;
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
    /// Whether the response may be a report. Another message, such as a late answer to a
    /// request, does not show that the process lives.
    pub is_report: bool,
    /// Whether the process could not report now.
    pub is_failed: bool,
    /// Start of the process in milliseconds since the Unix epoch, if it names it.
    pub started_at: Option<u64>,
    /// Whether the connection can carry a request after the report.
    pub is_reusable: bool,
}

impl Identity {
    /// Nothing, from bytes that are not a report.
    const UNKNOWN: Identity = Identity {
        is_report: false,
        is_failed: true,
        started_at: None,
        is_reusable: false,
    };

    /// Reads the response to a report request, which has no id. Answers to requests before it
    /// are skipped. Returns `None` until it is complete. A response that is not a report names
    /// no start.
    pub fn parse(input: &[u8]) -> Option<Self> {
        if input.len() > MAX_REPORT_BYTES {
            return Some(Identity::UNKNOWN);
        }
        Identity::read(input).unwrap_or(Some(Identity::UNKNOWN))
    }

    fn read(mut input: &[u8]) -> Result<Option<Self>, Error> {
        while let Some((head, length)) = Response::parse_final(input, MAX_HEAD_BYTES)? {
            let framing = Framing::of_response(&head, "GET")?;
            let is_answer = response::has_request_id(&head);
            if framing == Framing::UntilClose {
                return Ok(Some(Identity {
                    is_report: !is_answer,
                    ..Identity::UNKNOWN
                }));
            }
            let (mut decoder, mut body) = (Decoder::new(framing), Vec::new());
            let consumed = decoder.decode(&input[length..], &mut body)?;
            if !decoder.is_done() {
                return Ok(None);
            }
            input = &input[length + consumed..];
            if is_answer {
                continue;
            }
            let report = (head.status == 200).then(|| runner::decode_start(&body));
            let is_malformed = matches!(report, Some(Err(_)));
            return Ok(Some(Identity {
                is_report: true,
                is_failed: is_malformed || is_transient(head.status),
                started_at: report.and_then(|start| start.ok().flatten()),
                is_reusable: head.is_keep_alive() && input.is_empty(),
            }));
        }
        Ok(None)
    }
}

/// Returns whether a later report may succeed after this status, as opposed to one of a runner
/// that offers no report.
fn is_transient(status: u16) -> bool {
    status == 429 || status >= 500
}
