//! Where the body of a message ends.

use crate::error::Error;
use crate::head::{Fields, Request, Response};

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body comes in chunks; an empty one ends it.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl Framing {
    /// Returns the framing of a request's body.
    ///
    /// # Errors
    ///
    /// Returns an error if the head could be understood in two ways.
    pub fn of_request(head: &Request) -> Result<Self, Error> {
        if head.fields.all("host").count() > 1 {
            return Err(Error::Repeated("Host"));
        }
        Ok(declared(&head.fields)?.unwrap_or(Framing::Length(0)))
    }

    /// Returns the framing of a response's body to a request with `method`.
    ///
    /// # Errors
    ///
    /// Returns an error if the head could be understood in two ways.
    pub fn of_response(head: &Response, method: &str) -> Result<Self, Error> {
        let declared = declared(&head.fields)?;
        let empty = matches!(head.status, 100..=199 | 204 | 304) || method == "HEAD";
        if empty {
            return Ok(Framing::Length(0));
        }
        Ok(declared.unwrap_or(Framing::UntilClose))
    }
}

fn declared(fields: &Fields) -> Result<Option<Framing>, Error> {
    let mut codings = fields.all("transfer-encoding");
    let coding = codings.next();
    if codings.next().is_some() {
        return Err(Error::Repeated("Transfer-Encoding"));
    }
    let mut lengths = fields.all("content-length");
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(Error::Repeated("Content-Length"));
    }
    match (coding, length) {
        (Some(_), Some(_)) => Err(Error::TwoLengths),
        (Some(coding), None) if coding.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        (Some(coding), None) => Err(Error::Coding(String::from_utf8_lossy(coding).into_owned())),
        (None, Some(length)) => Ok(Some(Framing::Length(number(length)?))),
        (None, None) => Ok(None),
    }
}

fn number(bytes: &[u8]) -> Result<u64, Error> {
    let text = String::from_utf8_lossy(bytes);
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    let number = if digits { text.parse().ok() } else { None };
    number.ok_or_else(|| Error::Length(text.into_owned()))
}
