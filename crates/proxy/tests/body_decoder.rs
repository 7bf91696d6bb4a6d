//! Bodies are decoded to the same bytes however their input is cut into pieces.

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use bytes::BytesMut;
use proxy::BodyDecoder;
use proxy::BodyFraming;
use proxy::DecodedPart;
use proxy::MalformedBody;

/// What follows the body on its connection.
const NEXT: &[u8] = b"GET / HTTP/1.1\r\n";

/// Decodes `input`, of which the next byte arrives whenever the decoder needs more; returns the
/// body, and what is left of the input.
fn decode(
    framing: BodyFraming,
    input: &[u8],
    piece_bytes: usize,
) -> std::result::Result<(Vec<u8>, Vec<u8>), MalformedBody> {
    let mut decoder = BodyDecoder::new(framing);
    let mut arriving = input.chunks(piece_bytes);
    let mut buffer = BytesMut::new();
    let mut body = Vec::new();
    loop {
        match decoder.decode(&mut buffer)? {
            DecodedPart::Piece(piece) => body.extend_from_slice(&piece),
            DecodedPart::Incomplete => match arriving.next() {
                Some(piece) => buffer.extend_from_slice(piece),
                None => return Ok((body, b"incomplete".to_vec())),
            },
            DecodedPart::End => {
                arriving.for_each(|piece| buffer.extend_from_slice(piece));
                return Ok((body, buffer.to_vec()));
            }
        }
    }
}

fn chunked(u: &mut Unstructured<'_>, body: &[u8]) -> Result<Vec<u8>> {
    let mut input = Vec::new();
    let mut rest = body;
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(u.int_in_range(1..=rest.len())?);
        let extension = if u.arbitrary()? { ";name=value" } else { "" };
        input.extend_from_slice(format!("{:x}{extension}\r\n", chunk.len()).as_bytes());
        input.extend_from_slice(chunk);
        input.extend_from_slice(b"\r\n");
        rest = after;
    }
    let trailers: &[u8] = if u.arbitrary()? { b"X-Sum: 1\r\n" } else { b"" };
    input.extend_from_slice(b"0\r\n");
    input.extend_from_slice(trailers);
    input.extend_from_slice(b"\r\n");
    Ok(input)
}

#[test]
fn a_body_is_the_same_however_it_arrives_and_takes_nothing_of_the_next_request() {
    arbtest(|u| {
        let piece_bytes = u.int_in_range(1..=40)?;
        let body: Vec<u8> = u.arbitrary()?;
        let length = BodyFraming::Length(body.len() as u64);
        let plain = [body.as_slice(), NEXT].concat();
        assert_eq!(
            decode(length, &plain, piece_bytes),
            Ok((body.clone(), NEXT.to_vec()))
        );
        let chunks = [chunked(u, &body)?.as_slice(), NEXT].concat();
        let decoded = decode(BodyFraming::Chunked, &chunks, piece_bytes);
        assert_eq!(decoded, Ok((body, NEXT.to_vec())));
        Ok(())
    });
}

#[test]
fn a_body_that_has_not_arrived_whole_does_not_end() {
    let incomplete = |framing, input: &[u8]| {
        let (_, left) = decode(framing, input, 3).unwrap();
        assert_eq!(left, b"incomplete", "{framing:?} {input:?}");
    };
    incomplete(BodyFraming::Length(5), b"four");
    let whole = b"4\r\nfour\r\n0\r\n\r\n";
    for arrived in 0..whole.len() {
        incomplete(BodyFraming::Chunked, &whole[..arrived]);
    }
}

#[test]
fn malformed_chunks_are_refused() {
    let endless_line = vec![b'0'; 4 * 1024];
    let endless_trailer = [b"0\r\nX-Long: ".to_vec(), vec![b'x'; 20 * 1024]].concat();
    let malformed: [&[u8]; 6] = [
        b"x\r\n",
        b"-1\r\na\r\n0\r\n\r\n",
        b"2\r\nabc\r\n0\r\n\r\n",
        b"fffffffffffffffff\r\n",
        &endless_line,
        &endless_trailer,
    ];
    for input in malformed {
        let decoded = decode(BodyFraming::Chunked, input, 64);
        assert_eq!(
            decoded,
            Err(MalformedBody),
            "{:?}",
            &input[..input.len().min(20)]
        );
    }
}
