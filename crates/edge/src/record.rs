//! Refusals in a router's object in the store: hexadecimal MessagePack.

use balsamchute_model::prelude::*;
use balsamchute_schedule::report::Refusals;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Age above which a record is out of date; refusals last as long.
const MAX_AGE: Span = Span::from_secs(3600);

/// text is not a record of refusals: {0}
#[derive(Debug, Display)]
pub(crate) struct Error(String);

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
pub(crate) fn encode(now: Time, refusals: &Refusals) -> String {
    let record = Record {
        written_at: now,
        refusals: refusals.clone(),
    };
    let bytes = rmp_serde::to_vec(&record).expect("a record encodes as MessagePack");
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes refusals; they are empty if the record is out of date.
///
/// # Errors
///
/// Returns [`Error`] if the text is not a record.
pub(crate) fn decode(now: Time, text: &str) -> Result<Refusals, Error> {
    let bytes = decode_hex(text).ok_or_else(|| Error("not hexadecimal".to_owned()))?;
    let record: Record = rmp_serde::from_slice(&bytes).map_err(|error| Error(error.to_string()))?;
    match now.since(record.written_at) {
        age if age < MAX_AGE => Ok(record.refusals),
        _ => Ok(Refusals::default()),
    }
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
