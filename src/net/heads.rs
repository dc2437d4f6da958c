//! Tracks where the requests on a client connection begin and end, from its raw bytes. If a head gives both a
//! content length and a transfer encoding, which conflict, the HTTP parser drops one of them and no longer
//! shows that there were two.

/// Maximum length of a header line whose value is parsed,
/// in bytes; a content length in a longer line is invalid.
const MAX_LINE_BYTES: usize = 256;

/// How a request head says where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// By a content length, or there is no body.
    Length,
    /// By chunked encoding; the requests after it are not tracked.
    Chunks,
    /// By both, which conflict: another request may hide in the body.
    Both,
}

/// The position in the byte stream.
#[derive(Debug, Default)]
enum Position {
    #[default]
    Head,
    /// Within a body; the given number of bytes is still to come.
    Body(u64),
    /// After a head that does not say by a length where its body ends.
    Unknown,
}

/// The requests on one connection.
#[derive(Debug, Default)]
pub(super) struct Heads {
    position: Position,
    /// Number of complete lines of the current head.
    lines: usize,
    /// The incomplete last line of the current head.
    line: Vec<u8>,
    /// True if the current head has a transfer encoding.
    chunked: bool,
    /// The content length of the current head, an error if it is unreadable.
    length: Option<Result<u64, ()>>,
    /// Number of complete heads with `Framing::Length` that were not retrieved yet.
    length_framed: usize,
    /// The framing of a head after these, if it is another one. No head is tracked behind it.
    last: Option<Framing>,
}

impl Heads {
    /// Processes received bytes.
    pub(super) fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.position {
                Position::Unknown => return,
                Position::Body(remaining) => {
                    let consumed = (*remaining).min(bytes.len() as u64);
                    *remaining -= consumed;
                    if *remaining == 0 {
                        self.position = Position::Head;
                    }
                    bytes = &bytes[consumed as usize..];
                }
                Position::Head => {
                    let end = bytes.iter().position(|byte| *byte == b'\n');
                    let part = &bytes[..end.unwrap_or(bytes.len())];
                    let room = (MAX_LINE_BYTES + 1).saturating_sub(self.line.len());
                    self.line.extend_from_slice(&part[..part.len().min(room)]);
                    bytes = end.map_or(&[], |end| &bytes[end + 1..]);
                    if end.is_some() {
                        self.end_line();
                    }
                }
            }
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let text = line.strip_suffix(b"\r").unwrap_or(&line);
        if !text.is_empty() {
            self.lines += 1;
            if self.lines > 1 {
                self.parse_field(text);
            }
        } else if self.lines > 0 {
            self.end_head();
        }
    }

    fn parse_field(&mut self, line: &[u8]) {
        let colon = line.iter().position(|byte| *byte == b':').unwrap_or(line.len());
        let name = line[..colon].trim_ascii();
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.chunked = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            let value = line.get(colon + 1..).unwrap_or_default().trim_ascii();
            let text = std::str::from_utf8(value).ok().filter(|_| line.len() <= MAX_LINE_BYTES);
            self.length = Some(text.and_then(|text| text.parse().ok()).ok_or(()));
        }
    }

    fn end_head(&mut self) {
        let (framing, position) = match (std::mem::take(&mut self.chunked), self.length.take()) {
            (true, Some(_)) => (Framing::Both, Position::Unknown),
            (true, None) => (Framing::Chunks, Position::Unknown),
            (false, Some(Err(()))) => (Framing::Length, Position::Unknown),
            (false, None | Some(Ok(0))) => (Framing::Length, Position::Head),
            (false, Some(Ok(length))) => (Framing::Length, Position::Body(length)),
        };
        self.lines = 0;
        self.position = position;
        match framing {
            Framing::Length => self.length_framed += 1,
            Framing::Chunks | Framing::Both => self.last = Some(framing),
        }
    }

    /// Returns the framing of the next request, or `None` if its head has not arrived completely.
    pub(super) fn next(&mut self) -> Option<Framing> {
        if self.length_framed == 0 {
            return self.last.take();
        }
        self.length_framed -= 1;
        Some(Framing::Length)
    }

    /// Returns true while the body of the request that `next` returned last has been received only in part, as
    /// far as that is known.
    pub(super) fn is_body_incomplete(&self) -> bool {
        matches!(self.position, Position::Body(_)) && !self.has_waiting_head()
    }

    /// Returns true if the end of the request that `next` returned last is unknown.
    pub(super) fn is_end_unknown(&self) -> bool {
        matches!(self.position, Position::Unknown) && !self.has_waiting_head()
    }

    /// Returns the number of requests that were received completely, as far as that is known, and that `next`
    /// has not returned, and forgets them.
    pub(super) fn take_waiting_requests(&mut self) -> usize {
        let heads = std::mem::take(&mut self.length_framed) + usize::from(self.last.take().is_some());
        let is_last_incomplete = matches!(self.position, Position::Body(_));
        heads.saturating_sub(usize::from(is_last_incomplete))
    }

    /// Returns true if the head of a request was received that `next` has not returned.
    pub(super) fn has_waiting_head(&self) -> bool {
        self.length_framed > 0 || self.last.is_some()
    }

    /// Returns true while a request has been received in part, as far as that is known.
    pub(super) fn in_request(&self) -> bool {
        !matches!(self.position, Position::Head) || self.lines > 0 || !self.line.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    // The HTTP parser keeps either the content length or the transfer encoding,
    // depending on their order; both must be found here in either case.
    #[rstest]
    #[case::no_body("GET / HTTP/1.1\r\nA: b\r\n\r\n", &[Framing::Length], false)]
    #[case::length("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", &[Framing::Length], false)]
    #[case::body_to_come("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nabc", &[Framing::Length], true)]
    #[case::chunks("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", &[Framing::Chunks], true)]
    #[case::chunks_first("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", &[Framing::Both], true)]
    #[case::length_first("POST / HTTP/1.1\r\nCONTENT-LENGTH:5\r\nTransfer-encoding:\tchunked\r\n\r\n", &[Framing::Both], true)]
    #[case::bare_line_ends("POST / HTTP/1.1\nContent-Length: 5\nTransfer-Encoding: x\n\n", &[Framing::Both], true)]
    #[case::unreadable_length("POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", &[Framing::Length], true)]
    #[case::length_in_a_header_value("GET / HTTP/1.1\r\nA: Content-Length: 5\r\n\r\n", &[Framing::Length], false)]
    #[case::length_in_the_request_line("GET /Content-Length:5 HTTP/1.1\r\n\r\n", &[Framing::Length], false)]
    #[case::encoding_in_a_body("POST / HTTP/1.1\r\nContent-Length: 30\r\n\r\nTransfer-Encoding: chunked\r\n\r\n", &[Framing::Length], false)]
    #[case::two_requests("\r\nGET / HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        &[Framing::Length, Framing::Both], true)]
    #[case::incomplete_head("POST / HTTP/1.1\r\nContent-Le", &[], true)]
    fn framing_is_found_in_the_raw_bytes(
        #[case] text: &str,
        #[case] expected: &[Framing],
        #[case] in_request: bool,
        #[values(1, 7, 4096)] piece_len: usize,
    ) {
        let mut heads = Heads::default();
        text.as_bytes().chunks(piece_len).for_each(|bytes| heads.push(bytes));
        let framings: Vec<_> = std::iter::from_fn(|| heads.next()).collect();
        assert_eq!((framings.as_slice(), heads.in_request()), (expected, in_request));
    }

    #[rstest]
    #[case::none("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\na", 0)]
    #[case::two(
        "POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\naGET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n",
        2
    )]
    #[case::incomplete_body(
        "GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 2\r\n\r\na",
        1
    )]
    #[case::incomplete_head("GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\nGET / HT", 1)]
    #[case::chunks("GET / HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na", 1)]
    fn complete_requests_behind_the_first_are_counted(#[case] text: &str, #[case] expected: usize) {
        let mut heads = Heads::default();
        heads.push(text.as_bytes());
        heads.next();
        assert_eq!(heads.take_waiting_requests(), expected);
        assert_eq!(heads.take_waiting_requests(), 0);
    }

    // Bytes of the request in progress were taken for bytes that follow it.
    #[test]
    fn body_of_the_request_in_progress_is_distinguished_from_what_follows_it() {
        let mut heads = Heads::default();
        heads.push(b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab");
        assert_eq!(heads.next(), Some(Framing::Length));
        assert!(heads.is_body_incomplete());
        heads.push(b"c");
        assert!(!heads.is_body_incomplete());
        heads.push(b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\n");
        assert!(!heads.is_body_incomplete(), "the incomplete body is that of a later request");
        assert_eq!(heads.next(), Some(Framing::Length));
        assert!(heads.is_body_incomplete());
    }
}
