//! Parsing of request and response heads.

use crate::error::Error;

/// Maximum number of header fields in a head; a head with more is malformed.
const MAX_FIELDS: usize = 128;

const SWITCHING_PROTOCOLS: u16 = 101;

/// Header fields in the order in which they were received.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fields(Vec<(String, Vec<u8>)>);

impl Fields {
    /// Returns the value of the first field `name`, which is compared without
    /// regard to case, or `None` if that value is not valid UTF-8.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self
            .0
            .iter()
            .find(|(field_name, _)| field_name.eq_ignore_ascii_case(name));
        field.and_then(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// Returns the values of all fields `name`, which is compared without regard
    /// to case.
    pub fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.0
            .iter()
            .filter(move |(field_name, _)| field_name.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_slice())
    }

    /// Returns whether the comma-separated values of `name` contain `token`, both
    /// compared without regard to case.
    #[must_use]
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        self.values(name).any(|value| {
            value
                .split(|&b| b == b',')
                .any(|item| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Returns the name and value of each field, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Appends a field. Other fields of the same name are kept.
    pub fn push(&mut self, name: &str, value: &[u8]) {
        self.0.push((name.to_owned(), value.to_vec()));
    }

    fn from_parsed(parsed: &[httparse::Header<'_>]) -> Self {
        let fields = parsed
            .iter()
            .map(|field| (field.name.to_owned(), field.value.to_vec()));
        Fields(fields.collect())
    }
}

/// Head of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Method, with the case as received.
    pub method: String,
    /// Request target as received, usually a path with an optional query.
    pub target: String,
    /// Whether the version is HTTP/1.1 rather than HTTP/1.0.
    pub is_http_1_1: bool,
    /// Header fields as received.
    pub fields: Fields,
}

impl Request {
    /// Parses a head of at most `limit` bytes. Returns the head and its length in
    /// bytes, or `None` if `bytes` does not contain the end of the head.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] for bytes that are not a head, and
    /// [`Error::HeadTooLong`] if the head exceeds `limit`.
    pub fn parse(bytes: &[u8], limit: usize) -> Result<Option<(Self, usize)>, Error> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut headers);
        let Some(length) = head_length(parsed.parse(bytes), bytes.len(), limit)? else {
            return Ok(None);
        };
        let head = Request {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            is_http_1_1: parsed.version == Some(1),
            fields: Fields::from_parsed(parsed.headers),
        };
        Ok(Some((head, length)))
    }

    /// Returns the target without the query, which is the path if the target is in
    /// origin form.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the value of the first query parameter `name`, without decoding
    /// percent-encoded bytes. A parameter without `=` is ignored.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns whether the connection can carry another message after this one:
    /// HTTP/1.1 without `Connection: close`. Keep-alive of HTTP/1.0 is not supported.
    #[must_use]
    pub fn is_keep_alive(&self) -> bool {
        is_keep_alive(self.is_http_1_1, &self.fields)
    }
}

/// Head of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// Status code, from 100 to 599.
    pub status: u16,
    /// Reason phrase, empty if there is none.
    pub reason: String,
    /// Whether the version is HTTP/1.1 rather than HTTP/1.0.
    pub is_http_1_1: bool,
    /// Header fields as received.
    pub fields: Fields,
}

impl Response {
    /// Parses a head of at most `limit` bytes. Returns the head and its length in
    /// bytes, or `None` if `bytes` does not contain the end of the head.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] for bytes that are not a head, [`Error::HeadTooLong`]
    /// if the head exceeds `limit`, and [`Error::Status`] if the status is not in the
    /// range of RFC 9110, section 15.
    pub fn parse(bytes: &[u8], limit: usize) -> Result<Option<(Self, usize)>, Error> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut headers);
        let Some(length) = head_length(parsed.parse(bytes), bytes.len(), limit)? else {
            return Ok(None);
        };
        // The library checks that there are three digits.
        let status = parsed.code.unwrap_or_default();
        if !(100..=599).contains(&status) {
            return Err(Error::Status(status));
        }
        let head = Response {
            status,
            reason: parsed.reason.unwrap_or_default().to_owned(),
            is_http_1_1: parsed.version == Some(1),
            fields: Fields::from_parsed(parsed.headers),
        };
        Ok(Some((head, length)))
    }

    /// Parses the head of a final response after any number of interim ones (RFC 9110,
    /// section 15.2), which have at most `limit` bytes together. Returns the head and the
    /// number of bytes up to its end, or `None` if `bytes` does not contain that.
    ///
    /// # Errors
    ///
    /// Same as [`Response::parse`], and [`Error::Upgrade`] for an interim response that
    /// changes the protocol, which no request asks for.
    pub fn parse_final(bytes: &[u8], limit: usize) -> Result<Option<(Self, usize)>, Error> {
        let mut end = 0;
        loop {
            let parsed = Response::parse(&bytes[end..], limit - end);
            let parsed = parsed.map_err(|error| match error {
                Error::HeadTooLong(_) => Error::HeadTooLong(limit),
                error => error,
            })?;
            let Some((head, length)) = parsed else {
                return Ok(None);
            };
            end += length;
            match head.status {
                SWITCHING_PROTOCOLS => return Err(Error::Upgrade),
                100..=199 => {}
                _ => return Ok(Some((head, end))),
            }
        }
    }

    /// Returns whether the connection can carry another message after this one:
    /// HTTP/1.1 without `Connection: close`. Keep-alive of HTTP/1.0 is not supported.
    #[must_use]
    pub fn is_keep_alive(&self) -> bool {
        is_keep_alive(self.is_http_1_1, &self.fields)
    }
}

/// Returns the length in bytes of a complete head, or `None` if the end is missing
/// from the `received` bytes. Either number must not exceed `limit`.
fn head_length(
    parsed: httparse::Result<usize>,
    received: usize,
    limit: usize,
) -> Result<Option<usize>, Error> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length <= limit => Ok(Some(length)),
        Ok(httparse::Status::Partial) if received <= limit => Ok(None),
        Ok(_) => Err(Error::HeadTooLong(limit)),
        Err(error) => Err(Error::Malformed(error.to_string())),
    }
}

fn is_keep_alive(is_http_1_1: bool, fields: &Fields) -> bool {
    is_http_1_1 && !fields.contains_token("connection", "close")
}
