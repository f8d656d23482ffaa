//! Decoding of bodies and event streams that arrive in arbitrary fragments.

use balsamchute_http::Error;
use balsamchute_http::body::Decoder;
use balsamchute_http::event::Splitter;
use balsamchute_http::framing::Framing;
use balsamchute_http::write;

fn decode(framing: Framing, fragments: &[&[u8]]) -> Result<(Vec<u8>, bool), Error> {
    let mut decoder = Decoder::new(framing);
    let mut out = Vec::new();
    for fragment in fragments {
        decoder.decode(fragment, &mut out)?;
    }
    Ok((out, decoder.is_done()))
}

#[test]
fn chunks_are_joined_and_the_next_message_is_not_consumed() {
    let mut decoder = Decoder::new(Framing::Chunked);
    let mut out = Vec::new();
    let text = b"3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nA: b\r\n\r\nnext";
    let consumed = decoder.decode(text, &mut out).unwrap();
    assert_eq!(
        (out.as_slice(), &text[consumed..]),
        (&b"abcde"[..], &b"next"[..])
    );
    assert!(decoder.is_done());
}

#[test]
fn malformed_chunks_are_rejected() {
    let malformed: [&[u8]; 5] = [
        b"x\r\n",
        b"\r\n",
        b"2\nab\r\n",
        b"2\r\nabc\r\n",
        b"fffffffffffffffff\r\n",
    ];
    for text in malformed {
        assert!(decode(Framing::Chunked, &[text]).is_err(), "{text:?}");
    }
}

#[test]
fn malformed_trailers_and_extensions_are_rejected() {
    let fields = [
        "A B: c",
        "A\tB: c",
        "A\u{1}: c",
        "A\u{7f}: c",
        "A\0: c",
        "A\r: c",
        "\u{e4}: c",
        "A",
        ": c",
        "A : c",
        " A: c",
        "\tfolded",
        "A: b\u{1}",
        "A: b\u{7f}",
        "A: b\0",
        "A: b\rc",
    ];
    let trailers = fields.map(|field| format!("0\r\n{field}\r\n"));
    let later = fields.map(|field| format!("0\r\nD: e\r\n{field}\r\n"));
    let extensions = ["a=\u{1}", "a=\"\0\"", "\u{7f}", "a\rb", "a=b;\u{b}"];
    let first = extensions.map(|extension| format!("4;{extension}\r\n"));
    let last = extensions.map(|extension| format!("0;{extension}\r\n"));
    for text in [&trailers[..], &later, &first, &last].concat() {
        assert!(
            decode(Framing::Chunked, &[text.as_bytes()]).is_err(),
            "{text:?}"
        );
        for cut in 0..text.len() {
            let (start, end) = text.as_bytes().split_at(cut);
            assert!(
                decode(Framing::Chunked, &[start, end]).is_err(),
                "{text:?} {cut}"
            );
        }
    }
}

#[test]
fn sound_trailers_and_extensions_are_ignored_wherever_they_are_split() {
    let text = "2;a;b=c;d=\"e\tf; \\\" g\"\r\nab\r\n2 \t; h\r\ncd\r\n0;i=j\r\nK: l\tm \r\nN:\r\n\
                O:\u{e4}\r\n!#$%&'*+-.^_`|~1: p: q\r\n\r\n";
    for cut in 0..=text.len() {
        let (start, end) = text.as_bytes().split_at(cut);
        let decoded = decode(Framing::Chunked, &[start, end]);
        assert_eq!(decoded, Ok((b"abcd".to_vec(), true)), "{cut}");
    }
}

#[test]
fn a_close_truncates_a_body_unless_the_body_extends_to_it() {
    for (framing, text) in [
        (Framing::Length(4), &b"abc"[..]),
        (Framing::Chunked, b"3\r\nabc\r\n"),
    ] {
        let mut decoder = Decoder::new(framing);
        decoder.decode(text, &mut Vec::new()).unwrap();
        assert_eq!(decoder.finish(), Err(Error::Truncated));
    }
    let mut decoder = Decoder::new(Framing::UntilClose);
    decoder.decode(b"abc", &mut Vec::new()).unwrap();
    assert!(!decoder.is_done());
    assert_eq!(decoder.finish(), Ok(()));
}

#[test]
fn chunked_decoding_does_not_depend_on_fragmentation() {
    bolero::check!()
        .with_iterations(1_000)
        .with_type::<(Vec<Vec<u8>>, Vec<u8>)>()
        .for_each(|(chunks, cuts)| {
            let mut text = Vec::new();
            for chunk in chunks {
                write::chunk(&mut text, chunk);
            }
            write::last_chunk(&mut text);
            let mut fragments = Vec::new();
            let mut rest = text.as_slice();
            for &cut in cuts {
                let (fragment, left) = rest.split_at(usize::from(cut).min(rest.len()));
                fragments.push(fragment);
                rest = left;
            }
            fragments.push(rest);
            let (out, is_done) = decode(Framing::Chunked, &fragments).unwrap();
            assert_eq!(out, chunks.concat());
            assert!(is_done);
        });
}

#[test]
fn decoding_arbitrary_chunked_bodies_does_not_panic() {
    bolero::check!()
        .with_iterations(1_000)
        .for_each(|bytes: &[u8]| {
            let _ = decode(Framing::Chunked, &[bytes]);
        });
}

const STREAM: &[u8] = b"id: 1\ndata: a\n\nx-v: 2\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n";

#[test]
fn events_are_passed_on_only_when_complete() {
    for cut in 0..STREAM.len() {
        let mut splitter = Splitter::new();
        let mut out = Vec::new();
        splitter.push(&STREAM[..cut], &mut out).unwrap();
        assert!(out.is_empty() || out.ends_with(b"\n\n") || out.ends_with(b"\r\n\r\n"));
        splitter.push(&STREAM[cut..], &mut out).unwrap();
        assert_eq!(out, STREAM);
        assert_eq!(
            (splitter.last_event_id(), splitter.event_count()),
            (Some(3), 3)
        );
        assert!(splitter.is_complete(Framing::UntilClose));
    }
}

#[test]
fn an_incomplete_event_is_discarded_before_the_stream_is_resumed() {
    let mut splitter = Splitter::new();
    let mut out = Vec::new();
    splitter
        .push(b"id: 1\ndata: a\n\nid: 2\nda", &mut out)
        .unwrap();
    assert_eq!(splitter.last_event_id(), Some(1));
    splitter.start_part();
    splitter.push(b"id: 2\ndata: b\n\n", &mut out).unwrap();
    assert_eq!(out, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

#[test]
fn a_stream_is_complete_only_between_events_and_without_framing_after_one_of_its_part() {
    let push = |splitter: &mut Splitter, bytes: &[u8]| {
        splitter.push(bytes, &mut Vec::new()).unwrap();
        [Framing::Chunked, Framing::UntilClose].map(|framing| splitter.is_complete(framing))
    };
    let mut splitter = Splitter::new();
    assert_eq!(push(&mut splitter, b""), [true, false]);
    assert_eq!(push(&mut splitter, b"id: 1\ndata: a\n"), [false, false]);
    assert_eq!(push(&mut splitter, b"\n"), [true, true]);
    splitter.start_part();
    assert_eq!(push(&mut splitter, b""), [true, false]);
}

#[test]
fn an_event_that_exceeds_the_buffer_limit_is_rejected() {
    let mut splitter = Splitter::new();
    let fragment = [b'x'; 64 * 1024];
    let rejected = (0..8).any(|_| splitter.push(&fragment, &mut Vec::new()).is_err());
    assert!(rejected);
}

/// Trailer fields are not kept, so a sender could continue them for as long as it likes.
#[test]
fn a_trailer_section_without_end_is_rejected() {
    let mut decoder = Decoder::new(Framing::Chunked);
    decoder.decode(b"0\r\n", &mut Vec::new()).unwrap();
    let field = format!("a: {}\r\n", "x".repeat(1000));
    let rejected = (0..100).any(|_| decoder.decode(field.as_bytes(), &mut Vec::new()).is_err());
    assert!(rejected);
}

#[test]
fn the_error_of_a_chunk_size_tells_a_large_number_from_none() {
    let error = |line: &[u8]| {
        let mut decoder = Decoder::new(Framing::Chunked);
        decoder.decode(line, &mut Vec::new()).unwrap_err()
    };
    assert_eq!(
        error(b"1ffffffffffffffff\r\n"),
        Error::Chunk("size is too large")
    );
    assert_eq!(
        error(b"0x1\r\n"),
        Error::Chunk("size is not a hexadecimal number")
    );
}
