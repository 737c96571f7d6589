//! The strict check of responses: what is well-formed passes, however it is split, and anything else
//! fails with its reason before a byte of it is passed on.

use proptest::prelude::*;
use stackmast::response_check::{Accepted, Malformed, ResponseCheck};
use test_case::{test_case, test_matrix};

const OK: &str = "HTTP/1.1 200 OK\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Checks the bytes of one response, received in parts of this length.
fn check(bytes: &[u8], part: usize) -> Result<ResponseCheck, Malformed> {
    let mut check = ResponseCheck::default();
    check.begin(false);
    for part in bytes.chunks(part.max(1)) {
        let accepted = check.receive(part)?;
        assert_eq!(accepted, Accepted { bytes: part.len(), has_surplus: false });
    }
    Ok(check)
}

/// The fault of a response, which must not depend on how it is split.
fn fault(response: impl AsRef<[u8]>) -> Option<Malformed> {
    let response = response.as_ref();
    let faults = [response.len(), 1, 3].map(|part| check(response, part).err());
    assert!(faults.iter().all(|fault| *fault == faults[0]), "{faults:?}");
    faults[0]
}

/// Guards against a sound response that is refused.
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", true; "length")]
#[test_case("HTTP/1.0 200 OK\r\nContent-Length: 005\r\n\r\nwhole", true; "leading zeros")]
#[test_case("HTTP/1.1 200\r\ncontent-length:\t5 \r\n\r\nwhole", true; "no reason and other blanks")]
#[test_case("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", true; "no body")]
#[test_case("HTTP/1.1 204 No Content\r\n\r\n", true; "status without a body")]
#[test_case("HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", true; "not modified")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true; "chunks")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n00A;x=\"y\"\r\n0123456789\r\n0\r\nA: b\r\n\r\n", true; "extension and trailer")]
#[test_case("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true; "informational responses")]
#[test_case("HTTP/1.1 200 OK\r\nX-Empty:\r\n\r\nuntil the end", false; "end of the connection")]
fn sound_response_passes(response: &str, is_idle_behind: bool) {
    for part in [1, 2, 7, response.len()] {
        let check = check(response.as_bytes(), part).expect("a sound response");
        assert_eq!(check.is_idle(), is_idle_behind);
    }
}

/// Guards against a length that is read in more than one way.
#[test_case("", Malformed::Length; "empty")]
#[test_case("+5", Malformed::Length; "plus")]
#[test_case("-5", Malformed::Length; "minus")]
#[test_case("1 2", Malformed::Length; "blank inside")]
#[test_case("0x5", Malformed::Length; "hexadecimal")]
#[test_case("5a", Malformed::Length; "letter")]
#[test_case("5, 5", Malformed::Length; "list")]
#[test_case("5.0", Malformed::Length; "fraction")]
#[test_case("99999999999999999999", Malformed::Length; "20 digits")]
#[test_case("18446744073709551621", Malformed::Length; "overflow")]
fn length_that_is_no_number_is_refused(length: &str, expected: Malformed) {
    assert_eq!(fault(format!("{OK}Content-Length: {length}\r\n\r\nwhole")), Some(expected));
}

/// Guards against two statements on the end of a body.
#[test_case("Content-Length: 5\r\nContent-Length: 4\r\n", Malformed::SeveralLengths; "lengths that differ")]
#[test_case("Content-Length: 5\r\ncontent-length: 5\r\n", Malformed::SeveralLengths; "lengths that agree")]
#[test_case("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", Malformed::LengthAndCoding; "length first")]
#[test_case("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", Malformed::LengthAndCoding; "coding first")]
fn several_framings_are_refused(fields: &str, expected: Malformed) {
    assert_eq!(fault(format!("{OK}{fields}\r\n")), Some(expected));
}

/// Guards against a coding that the library reads to the end of the connection.
#[test_matrix(["", "\"chunked\"", "identity", "gzip", "gzip, chunked", "chunked, gzip",
    "chunked, chunked", "chunked;q=1", "chunkedd", "x"])]
fn unknown_transfer_coding_is_refused(coding: &str) {
    let expected = Some(Malformed::TransferCoding);
    let body = "5\r\nwhole\r\n0\r\n\r\n";
    assert_eq!(fault(format!("{OK}Transfer-Encoding: {coding}\r\n\r\n{body}")), expected);
    let two = format!("{OK}Transfer-Encoding: chunked\r\nTransfer-Encoding: {coding}\r\n\r\n");
    assert_eq!(fault(two), expected);
    let old = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(fault(old), expected);
}

/// Guards against a line that is no field and reaches a caller.
#[test_case(b"no colon\r\n", Malformed::NoColon; "no colon")]
#[test_case(b"A: b\r\n folded: c\r\n", Malformed::FoldedLine; "folded line")]
#[test_case(b"A: b\r\n\tfolded\r\n", Malformed::FoldedLine; "folded by a tab")]
#[test_case(b": empty\r\n", Malformed::Name; "empty name")]
#[test_case(b"A : b\r\n", Malformed::Name; "blank before the colon")]
#[test_case(b"A B: c\r\n", Malformed::Name; "blank inside the name")]
#[test_case(b"A\x01: b\r\n", Malformed::Name; "control byte in the name")]
#[test_case(b"A\0: b\r\n", Malformed::Name; "NUL in the name")]
#[test_case(b"A\x7f: b\r\n", Malformed::Name; "delete in the name")]
#[test_case(b"A\xe9: b\r\n", Malformed::Name; "byte above 127 in the name")]
#[test_case(b"A(B): c\r\n", Malformed::Name; "bracket in the name")]
#[test_case(b"A: b\x01\r\n", Malformed::Value; "control byte in the value")]
#[test_case(b"A: b\0c\r\n", Malformed::Value; "NUL in the value")]
#[test_case(b"A: b\xe9\r\n", Malformed::Value; "byte above 127 in the value")]
#[test_case(b"A: b\rc\r\n", Malformed::LineEnd; "bare carriage return")]
#[test_case(b"A: b\nC: d\r\n", Malformed::LineEnd; "bare line feed")]
fn spoilt_line_is_refused(line: &[u8], expected: Malformed) {
    let fields = [OK.as_bytes(), b"Content-Length: 0\r\n", line, b"\r\n"].concat();
    assert_eq!(fault(fields), Some(expected));
    let informational = [b"HTTP/1.1 103 Early Hints\r\n", line, b"\r\n"].concat();
    assert_eq!(fault(informational), Some(expected));
}

/// Guards against a status that does not exist and reaches a caller.
#[test_case("HTTP/1.1 000 Status", Malformed::Status { status: 0 }; "status of zeros")]
#[test_case("HTTP/1.1 099 Status", Malformed::Status { status: 99 }; "status below 100")]
#[test_case("HTTP/1.1 101 Status", Malformed::Status { status: 101 }; "other protocol")]
#[test_case("HTTP/1.1 600 Status", Malformed::Status { status: 600 }; "status above 599")]
#[test_case("HTTP/1.1 999 Status", Malformed::Status { status: 999 }; "highest status")]
#[test_case("HTTP/1.1 1000 Status", Malformed::StatusLine; "four digits")]
#[test_case("HTTP/1.1 20 Status", Malformed::StatusLine; "two digits")]
#[test_case("HTTP/1.1 2x0 Status", Malformed::StatusLine; "letter")]
#[test_case("HTTP/1.1 -20 Status", Malformed::StatusLine; "sign")]
#[test_case("HTTP/1.1  200 Status", Malformed::StatusLine; "two blanks")]
#[test_case("HTTP/1.1 200 Status\x01", Malformed::StatusLine; "control byte in the reason")]
#[test_case("HTTP/1.2 200 Status", Malformed::StatusLine; "unknown minor version")]
#[test_case("HTTP/2.0 200 Status", Malformed::NotHttp; "version 2")]
#[test_case("HTTP/0.9 200 Status", Malformed::NotHttp; "version 0.9")]
#[test_case("http/1.1 200 Status", Malformed::NotHttp; "lower case")]
#[test_case("<html>", Malformed::NotHttp; "no head at all")]
#[test_case("\r\nHTTP/1.1 200 Status", Malformed::NotHttp; "empty line in front")]
fn invalid_status_line_is_refused(line: &str, expected: Malformed) {
    assert_eq!(fault(format!("{line}\r\nContent-Length: 0\r\n\r\n")), Some(expected));
}

/// Guards against chunks whose lengths reach a caller as content.
#[test_case("\r\nwhole", Malformed::ChunkLength; "no length")]
#[test_case("g\r\n", Malformed::ChunkLength; "no digit")]
#[test_case("-5\r\nwhole\r\n", Malformed::ChunkLength; "signed length")]
#[test_case("0x5\r\nwhole\r\n", Malformed::ChunkLength; "prefix")]
#[test_case("5 \r\nwhole\r\n", Malformed::ChunkLength; "blank")]
#[test_case("10000000000000000\r\n", Malformed::ChunkLength; "length that overflows")]
#[test_case("4\r\nwhole\r\n", Malformed::ChunkEnd; "chunk that is too long")]
#[test_case("5;\x01\r\nwhole\r\n", Malformed::ChunkLength; "control byte in an extension")]
#[test_case("5\nwhole\r\n", Malformed::ChunkLength; "line feed behind the length")]
#[test_case("5\r\nwhole\rx", Malformed::LineEnd; "carriage return behind a chunk")]
#[test_case("0\r\n A: b\r\n\r\n", Malformed::FoldedLine; "folded trailer")]
#[test_case("0\r\nno colon\r\n\r\n", Malformed::Name; "trailer without a colon")]
#[test_case("0\r\nnone\r\n\r\n", Malformed::NoColon; "trailer of one word")]
#[test_case("0\r\nA: \x01\r\n\r\n", Malformed::Value; "control byte in a trailer")]
fn spoilt_chunks_are_refused(body: &str, expected: Malformed) {
    assert_eq!(fault(format!("{CHUNKED}{body}")), Some(expected));
}

/// Guards against a body where there is none.
#[test_case("HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n"; "length of no content")]
#[test_case("HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n"; "chunks of no content")]
#[test_case("HTTP/1.1 100 Continue\r\nContent-Length: 5\r\n\r\n"; "informational response")]
fn body_of_a_status_without_one_is_refused(response: &str) {
    assert_eq!(fault(response), Some(Malformed::UnexpectedBody));
}

/// Guards against a part of a body that is delivered since its length is too small.
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "whole"; "length")]
#[test_case("HTTP/1.1 204 No Content\r\n\r\n", "whole"; "status without a body")]
#[test_case("HTTP/1.1 304 Not Modified\r\n\r\n", "whole"; "not modified")]
fn body_that_is_longer_than_its_length_is_refused(head: &str, body: &str) {
    let mut check = ResponseCheck::default();
    check.begin(false);
    let response = format!("{head}{body}");
    assert_eq!(check.receive(response.as_bytes()), Err(Malformed::LengthTooSmall));
    assert!(!check.is_idle());
}

/// Guards against a body behind the response to a request for a head only.
#[test]
fn response_without_a_body_by_its_method_is_checked() {
    let head = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    let mut check = ResponseCheck::default();
    check.begin(true);
    let expected = Accepted { bytes: head.len(), has_surplus: false };
    assert_eq!(check.receive(head), Ok(expected));
    assert!(check.is_idle());
    check.begin(true);
    let with_body = [&head[..], b"whole"].concat();
    assert_eq!(check.receive(&with_body), Err(Malformed::LengthTooSmall));
}

/// Guards against bytes behind a response that are taken for the next one: the response is whole,
/// and the connection is not used again.
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 200 OK\r\n"; "second response")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "junk"; "bytes behind chunks")]
fn bytes_behind_a_response_end_its_connection(response: &str, surplus: &str) {
    let mut check = ResponseCheck::default();
    check.begin(false);
    let accepted = check.receive(format!("{response}{surplus}").as_bytes());
    assert_eq!(accepted, Ok(Accepted { bytes: response.len(), has_surplus: true }));
    assert_eq!(check.failed(), Some(Malformed::Surplus));
    check.begin(false);
    assert_eq!(check.receive(b"HTTP/1.1 200 OK\r\n"), Err(Malformed::Surplus));
}

/// Guards against bytes that are taken for the response to a later request.
#[test]
fn bytes_without_a_request_are_refused() {
    let mut check = ResponseCheck::default();
    assert_eq!(check.receive(b"HTTP/1.1 200 OK\r\n"), Err(Malformed::Surplus));
    assert!(!check.is_idle());
}

/// Guards against a head that fills the memory.
#[test]
fn head_without_end_is_refused() {
    let mut check = ResponseCheck::default();
    check.begin(false);
    check.receive(OK.as_bytes()).expect("a status line");
    let fault = (0..100).find_map(|_| check.receive(&[b'a'; 1_024]).err());
    assert_eq!(fault, Some(Malformed::HeadTooLong));
}

proptest! {
    /// Any bytes are accepted or refused, the same however they are split.
    #[test]
    fn any_bytes_give_one_verdict(head in "(HTTP/1\\.[01] [0-9]{3} ?)?", rest in ".{0,80}", part in 1_usize..9) {
        let response = format!("{head}{rest}");
        let verdict = |part: usize| {
            let mut check = ResponseCheck::default();
            check.begin(false);
            response.as_bytes().chunks(part).find_map(|part| check.receive(part).err())
        };
        prop_assert_eq!(verdict(part), verdict(1));
    }

    /// A body in chunks ends behind its last chunk, however it is split.
    #[test]
    fn chunks_end_behind_the_last(lengths in prop::collection::vec(1_usize..40, 0..6), part in 1_usize..30) {
        let chunks = lengths.iter().map(|length| format!("{length:x}\r\n{}\r\n", "a".repeat(*length)));
        let response = format!("{CHUNKED}{}0\r\n\r\n", chunks.collect::<String>());
        prop_assert!(check(response.as_bytes(), part).expect("a sound response").is_idle());
    }
}
