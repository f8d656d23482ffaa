//! Bodies and event streams, in whatever pieces they come.

use balsamchute_http::Error;
use balsamchute_http::body::Decoder;
use balsamchute_http::event::Splitter;
use balsamchute_http::framing::Framing;
use balsamchute_http::write;

fn decode(framing: Framing, pieces: &[&[u8]]) -> Result<(Vec<u8>, bool), Error> {
    let mut decoder = Decoder::new(framing);
    let mut out = Vec::new();
    for piece in pieces {
        decoder.decode(piece, &mut out)?;
    }
    Ok((out, decoder.is_done()))
}

#[test]
fn chunks_are_joined_and_what_follows_is_left() {
    let mut decoder = Decoder::new(Framing::Chunked);
    let mut out = Vec::new();
    let text = b"3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nA: b\r\n\r\nnext";
    let used = decoder.decode(text, &mut out).unwrap();
    assert_eq!(
        (out.as_slice(), &text[used..]),
        (&b"abcde"[..], &b"next"[..])
    );
    assert!(decoder.is_done());
}

#[test]
fn malformed_chunks_are_refused() {
    let refused: [&[u8]; 5] = [
        b"x\r\n",
        b"\r\n",
        b"2\nab\r\n",
        b"2\r\nabc\r\n",
        b"fffffffffffffffff\r\n",
    ];
    for text in refused {
        assert!(decode(Framing::Chunked, &[text]).is_err(), "{text:?}");
    }
}

#[test]
fn a_body_that_ends_early_is_not_whole() {
    for (framing, text) in [
        (Framing::Length(4), &b"abc"[..]),
        (Framing::Chunked, b"3\r\nabc\r\n"),
    ] {
        let mut decoder = Decoder::new(framing);
        decoder.decode(text, &mut Vec::new()).unwrap();
        assert_eq!(decoder.end(), Err(Error::Truncated));
    }
    let mut decoder = Decoder::new(Framing::UntilClose);
    decoder.decode(b"abc", &mut Vec::new()).unwrap();
    assert!(!decoder.is_done());
    assert_eq!(decoder.end(), Ok(()));
}

#[test]
fn chunks_decode_alike_in_any_pieces() {
    bolero::check!()
        .with_iterations(1_000)
        .with_type::<(Vec<Vec<u8>>, Vec<u8>)>()
        .for_each(|(chunks, cuts)| {
            let mut text = Vec::new();
            for chunk in chunks {
                write::chunk(&mut text, chunk);
            }
            write::last_chunk(&mut text);
            let mut pieces = Vec::new();
            let mut rest = text.as_slice();
            for &cut in cuts {
                let (piece, left) = rest.split_at(usize::from(cut).min(rest.len()));
                pieces.push(piece);
                rest = left;
            }
            pieces.push(rest);
            let (out, done) = decode(Framing::Chunked, &pieces).unwrap();
            assert_eq!(out, chunks.concat());
            assert!(done);
        });
}

#[test]
fn arbitrary_chunks_are_refused_or_read_but_never_panic() {
    bolero::check!()
        .with_iterations(1_000)
        .for_each(|bytes: &[u8]| {
            let _ = decode(Framing::Chunked, &[bytes]);
        });
}

const STREAM: &[u8] = b"id: 1\ndata: a\n\nx-v: 2\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n";

#[test]
fn events_pass_whole_in_any_pieces() {
    for cut in 0..STREAM.len() {
        let mut splitter = Splitter::new();
        let mut out = Vec::new();
        splitter.push(&STREAM[..cut], &mut out).unwrap();
        assert!(out.is_empty() || out.ends_with(b"\n\n") || out.ends_with(b"\r\n\r\n"));
        splitter.push(&STREAM[cut..], &mut out).unwrap();
        assert_eq!(out, STREAM);
        assert_eq!((splitter.last_id(), splitter.events()), (Some(3), 3));
        assert!(splitter.is_whole());
    }
}

#[test]
fn the_start_of_a_broken_event_is_not_joined_to_the_next_run() {
    let mut splitter = Splitter::new();
    let mut out = Vec::new();
    splitter
        .push(b"id: 1\ndata: a\n\nid: 2\nda", &mut out)
        .unwrap();
    assert_eq!(splitter.last_id(), Some(1));
    splitter.restart();
    splitter.push(b"id: 2\ndata: b\n\n", &mut out).unwrap();
    assert_eq!(out, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

#[test]
fn an_event_without_end_is_refused() {
    let mut splitter = Splitter::new();
    let piece = [b'x'; 64 * 1024];
    let refused = (0..8).any(|_| splitter.push(&piece, &mut Vec::new()).is_err());
    assert!(refused);
}
