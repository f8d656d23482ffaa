//! Framing of message bodies (RFC 9112, section 6); ambiguous framing is an
//! error.

use crate::error::Error;
use crate::head::{Fields, Request, Response};

/// Way in which the end of a message body is found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// Body of this many bytes.
    Length(u64),
    /// Chunked transfer coding, ended by a chunk of size zero.
    Chunked,
    /// Body that extends until the connection closes.
    UntilClose,
}

impl Framing {
    /// Returns the name of the framing in logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Framing::Length(_) => "length",
            Framing::Chunked => "chunked",
            Framing::UntilClose => "until_close",
        }
    }

    /// Returns the framing of the body of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the framing is malformed or ambiguous, or if there is
    /// more than one `Host` field (RFC 9112, section 3.2).
    pub fn of_request(head: &Request) -> Result<Self, Error> {
        if head.fields.values("host").count() > 1 {
            return Err(Error::DuplicateHeader("Host"));
        }
        Ok(declared(head.is_http_1_1, &head.fields)?.unwrap_or(Framing::Length(0)))
    }

    /// Returns the framing of the body of a response to a request with `method`.
    ///
    /// # Errors
    ///
    /// Returns an error if the framing is malformed or ambiguous.
    pub fn of_response(head: &Response, method: &str) -> Result<Self, Error> {
        let declared = declared(head.is_http_1_1, &head.fields)?;
        let empty = matches!(head.status, 100..=199 | 204 | 304) || method == "HEAD";
        if empty {
            return Ok(Framing::Length(0));
        }
        Ok(declared.unwrap_or(Framing::UntilClose))
    }
}

/// Returns the framing that the header fields declare, if any.
fn declared(is_http_1_1: bool, fields: &Fields) -> Result<Option<Framing>, Error> {
    let mut codings = fields.values("transfer-encoding");
    let coding = codings.next();
    // RFC 9112, section 6.1: the framing of such a message is faulty.
    if coding.is_some() && !is_http_1_1 {
        return Err(Error::CodingVersion);
    }
    if codings.next().is_some() {
        return Err(Error::DuplicateHeader("Transfer-Encoding"));
    }
    let mut lengths = fields.values("content-length");
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(Error::DuplicateHeader("Content-Length"));
    }
    match (coding, length) {
        (Some(_), Some(_)) => Err(Error::ConflictingFraming),
        (Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (Some(coding), None) => Err(Error::TransferCoding(
            String::from_utf8_lossy(coding).into_owned(),
        )),
        (None, Some(length)) => Ok(Some(Framing::Length(content_length(length)?))),
        (None, None) => Ok(None),
    }
}

/// Parses the value of a Content-Length field: digits only, neither sign nor list.
fn content_length(bytes: &[u8]) -> Result<u64, Error> {
    let text = String::from_utf8_lossy(bytes);
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    let number = if digits { text.parse().ok() } else { None };
    number.ok_or_else(|| Error::ContentLength(text.into_owned()))
}
