//! Heads of requests and responses.

use crate::error::Error;

/// Header fields that a head may have at most.
const MAX_FIELDS: usize = 128;

/// Header fields in the order of their arrival.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Fields(Vec<(String, Vec<u8>)>);

impl Fields {
    /// Returns the value of the first field `name`, if it is text.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        let field = self
            .0
            .iter()
            .find(|(own, _)| own.eq_ignore_ascii_case(name));
        field.and_then(|(_, value)| std::str::from_utf8(value).ok())
    }

    /// Returns the values of all fields `name`.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.0
            .iter()
            .filter(move |(own, _)| own.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_slice())
    }

    /// Returns whether the comma-separated field `name` lists `token`.
    #[must_use]
    pub fn lists(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            value
                .split(|&b| b == b',')
                .any(|item| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Returns names and values.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Adds a field.
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

/// The head of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Request {
    /// Method, as sent.
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    /// Whether it is HTTP/1.1, not 1.0.
    pub is_modern: bool,
    /// Header fields.
    pub fields: Fields,
}

impl Request {
    /// Parses a head of at most `limit` bytes. Returns it with its length in
    /// bytes, `None` if its end has not arrived yet.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] and [`Error::HeadTooLong`].
    pub fn parse(bytes: &[u8], limit: usize) -> Result<Option<(Self, usize)>, Error> {
        let mut space = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut space);
        let Some(length) = length(parsed.parse(bytes), bytes.len(), limit)? else {
            return Ok(None);
        };
        let head = Request {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            is_modern: parsed.version == Some(1),
            fields: Fields::from_parsed(parsed.headers),
        };
        Ok(Some((head, length)))
    }

    /// Returns the path without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the value of `name` in the query, percent-encoding left as it is.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    /// Returns whether the sender keeps the connection open.
    #[must_use]
    pub fn keeps_open(&self) -> bool {
        keeps_open(self.is_modern, &self.fields)
    }
}

/// The head of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Whether it is HTTP/1.1, not 1.0.
    pub is_modern: bool,
    /// Header fields.
    pub fields: Fields,
}

impl Response {
    /// Parses a head of at most `limit` bytes. Returns it with its length in
    /// bytes, `None` if its end has not arrived yet.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] and [`Error::HeadTooLong`].
    pub fn parse(bytes: &[u8], limit: usize) -> Result<Option<(Self, usize)>, Error> {
        let mut space = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut space);
        let Some(length) = length(parsed.parse(bytes), bytes.len(), limit)? else {
            return Ok(None);
        };
        let head = Response {
            status: parsed.code.unwrap_or_default(),
            reason: parsed.reason.unwrap_or_default().to_owned(),
            is_modern: parsed.version == Some(1),
            fields: Fields::from_parsed(parsed.headers),
        };
        Ok(Some((head, length)))
    }

    /// Returns whether the sender keeps the connection open.
    #[must_use]
    pub fn keeps_open(&self) -> bool {
        keeps_open(self.is_modern, &self.fields)
    }
}

/// Returns the length of a head that is whole, `None` if its end is missing.
fn length(
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

fn keeps_open(is_modern: bool, fields: &Fields) -> bool {
    is_modern && !fields.lists("connection", "close")
}
