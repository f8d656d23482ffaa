//! Refusals, versions and streams in a router's object in the store: hexadecimal MessagePack.

use balsamchute_model::prelude::*;
use balsamchute_schedule::report::{Begun, Refusals};
use balsamchute_schedule::route;
use balsamchute_schedule::version::Set;
use displaydoc::Display;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Age above which a record is out of date; refusals last as long.
const MAX_AGE: Span = Span::from_secs(3600);

/// Age above which origins of streams are out of date: no caller resumes a stream later.
const MAX_STREAM_AGE: Span = Span::from_secs(60);

/// text is not a record: {0}
#[derive(Debug, Display)]
pub struct Error(String);

impl std::error::Error for Error {}

#[derive(Deserialize, Serialize)]
struct Record {
    /// Time at which the record was written, by the clock of the router.
    written_at: Time,
    refusals: Refusals,
}

/// Encodes refusals together with the time at which they are written.
///
/// # Panics
///
/// Panics if the record cannot be encoded, which cannot occur.
#[must_use]
pub fn encode(now: Time, refusals: &Refusals) -> String {
    let record = Record {
        written_at: now,
        refusals: refusals.clone(),
    };
    to_text(&record)
}

/// Encodes versions that serve.
#[must_use]
pub fn encode_versions(versions: &Set) -> String {
    to_text(versions)
}

/// Decodes versions that serve. They have no age: the router writes them again when they
/// change, so until its end no others served.
///
/// # Errors
///
/// Returns [`Error`] if the text is not a record.
pub fn decode_versions(text: &str) -> Result<Set, Error> {
    from_text(text)
}

/// Encodes origins of streams with the time at which they are written; empty if there are
/// none.
#[must_use]
pub fn encode_streams(now: Time, streams: &[Begun]) -> String {
    match streams.is_empty() {
        true => String::new(),
        false => to_text(&(now, streams)),
    }
}

/// Decodes origins of streams; there are none if the record is out of date.
///
/// # Errors
///
/// Returns [`Error`] if the text is not a record.
pub fn decode_streams(now: Time, text: &str) -> Result<Vec<Begun>, Error> {
    if text.is_empty() {
        return Ok(Vec::new());
    }
    let (written_at, streams): (Time, Vec<Begun>) = from_text(text)?;
    match now.since(written_at) {
        age if age <= MAX_STREAM_AGE => Ok(streams),
        _ => Ok(Vec::new()),
    }
}

/// Encodes the routes under which a router serves.
#[must_use]
pub fn encode_routes(routes: &route::Record) -> String {
    to_text(routes)
}

/// Decodes the routes under which a router served; those of a router that wrote none are
/// not settled.
///
/// # Errors
///
/// Returns [`Error`] if the text is not a record.
pub fn decode_routes(text: &str) -> Result<route::Record, Error> {
    match text.is_empty() {
        true => Ok(route::Record::default()),
        false => from_text(text),
    }
}

fn to_text(record: &impl Serialize) -> String {
    let bytes = rmp_serde::to_vec(record).expect("a record encodes as MessagePack");
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes refusals; they are empty if the record is out of date.
///
/// # Errors
///
/// Returns [`Error`] if the text is not a record.
pub fn decode(now: Time, text: &str) -> Result<Refusals, Error> {
    let record: Record = from_text(text)?;
    match now.since(record.written_at) {
        age if age < MAX_AGE => Ok(record.refusals),
        _ => Ok(Refusals::default()),
    }
}

fn from_text<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let bytes = decode_hex(text).ok_or_else(|| Error("not hexadecimal".to_owned()))?;
    rmp_serde::from_slice(&bytes).map_err(|error| Error(error.to_string()))
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    let pairs = (0..text.len()).step_by(2);
    pairs
        .map(|index| u8::from_str_radix(&text[index..index + 2], 16).ok())
        .collect()
}
