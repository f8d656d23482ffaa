//! Bodies between routers and records to callers.

use balsamchute_wire::config::Document;
use balsamchute_wire::exchange::Frame;
use balsamchute_wire::forward::Forward;
use balsamchute_wire::message::Batch;
use balsamchute_wire::record::Record;
use balsamchute_wire::{claim, codec};

/// Inputs of each target in a test run.
const INPUTS: usize = 2_000;

#[test]
fn arbitrary_bodies_are_refused_or_read_but_never_panic() {
    bolero::check!()
        .with_iterations(INPUTS)
        .for_each(|bytes: &[u8]| {
            let _ = codec::decode::<Frame>(bytes);
            let _ = codec::decode::<Batch>(bytes);
            let _ = codec::decode::<Forward>(bytes);
            let _ = codec::decode::<claim::Batch>(bytes);
            let _ = codec::decode::<claim::Answer>(bytes);
            let _ = codec::decode::<Document>(bytes);
        });
}

#[test]
fn versioned_garbage_is_refused_or_read_but_never_panics() {
    bolero::check!()
        .with_iterations(INPUTS)
        .for_each(|bytes: &[u8]| {
            let mut body = vec![codec::VERSION];
            body.extend_from_slice(bytes);
            let _ = codec::decode::<Frame>(&body);
            let _ = codec::decode::<Batch>(&body);
            let _ = codec::decode::<Forward>(&body);
        });
}

#[test]
fn arbitrary_lines_are_no_record_or_one_that_writes_the_same() {
    bolero::check!()
        .with_iterations(INPUTS)
        .for_each(|bytes: &[u8]| {
            let line = String::from_utf8_lossy(bytes);
            if let Ok(record) = Record::from_line(&line) {
                let again = Record::from_line(&record.to_line());
                assert_eq!(again.ok(), Some(record));
            }
        });
}
