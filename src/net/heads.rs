//! Where the requests of a client's connection begin and end, followed on its raw bytes: a parser that has
//! dropped one of two contradicting lengths can no longer tell that there were two.

use std::collections::VecDeque;

/// Longest line of which the value is looked at; a length that needs more is none.
const LINE: usize = 256;

/// How a request's head says where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// By a length, or there is none.
    Length,
    /// By its chunks; what follows them cannot be followed here.
    Chunks,
    /// By both, which contradict each other: another request may hide in the body.
    Both,
}

#[derive(Debug, Default)]
enum At {
    #[default]
    Head,
    /// So many bytes of a body are still to come.
    Body(u64),
    /// Somewhere after a head that does not tell by a length where its body ends.
    Unknown,
}

/// The requests of one connection.
#[derive(Debug, Default)]
pub(super) struct Heads {
    at: At,
    /// Lines of the head in hand, and the beginning of the one that has not ended.
    lines: usize,
    line: Vec<u8>,
    chunks: bool,
    length: Option<Result<u64, ()>>,
    /// Of heads that have come whole and were not asked for yet.
    framings: VecDeque<Framing>,
}

impl Heads {
    /// Bytes as they came.
    pub(super) fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match &mut self.at {
                At::Unknown => return,
                At::Body(left) => {
                    let here = (*left).min(bytes.len() as u64);
                    *left -= here;
                    if *left == 0 {
                        self.at = At::Head;
                    }
                    bytes = &bytes[here as usize..];
                }
                At::Head => {
                    let end = bytes.iter().position(|byte| *byte == b'\n');
                    let part = &bytes[..end.unwrap_or(bytes.len())];
                    let room = (LINE + 1).saturating_sub(self.line.len());
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
                self.field(text);
            }
        } else if self.lines > 0 {
            self.end_head();
        }
    }

    fn field(&mut self, line: &[u8]) {
        let colon = line.iter().position(|byte| *byte == b':').unwrap_or(line.len());
        let name = line[..colon].trim_ascii();
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.chunks = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            let value = line.get(colon + 1..).unwrap_or_default().trim_ascii();
            let told = std::str::from_utf8(value).ok().filter(|_| line.len() <= LINE);
            self.length = Some(told.and_then(|told| told.parse().ok()).ok_or(()));
        }
    }

    fn end_head(&mut self) {
        let (framing, at) = match (std::mem::take(&mut self.chunks), self.length.take()) {
            (true, Some(_)) => (Framing::Both, At::Unknown),
            (true, None) => (Framing::Chunks, At::Unknown),
            (false, Some(Err(()))) => (Framing::Length, At::Unknown),
            (false, None | Some(Ok(0))) => (Framing::Length, At::Head),
            (false, Some(Ok(length))) => (Framing::Length, At::Body(length)),
        };
        self.lines = 0;
        self.at = at;
        self.framings.push_back(framing);
    }

    /// The framing of the next request; none if it has not come whole.
    pub(super) fn next(&mut self) -> Option<Framing> {
        self.framings.pop_front()
    }

    /// Whether a request has begun to come and has not ended, as far as that is known.
    pub(super) fn in_request(&self) -> bool {
        !matches!(self.at, At::Head) || self.lines > 0 || !self.line.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    // The parser behind keeps one of two lengths, by their order: whatever it keeps, both must show here.
    #[rstest]
    #[case::none("GET / HTTP/1.1\r\nA: b\r\n\r\n", &[Framing::Length], false)]
    #[case::length("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc", &[Framing::Length], false)]
    #[case::body_to_come("POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nabc", &[Framing::Length], true)]
    #[case::chunks("POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", &[Framing::Chunks], true)]
    #[case::chunks_first("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", &[Framing::Both], true)]
    #[case::length_first("POST / HTTP/1.1\r\nCONTENT-LENGTH:5\r\nTransfer-encoding:\tchunked\r\n\r\n", &[Framing::Both], true)]
    #[case::bare_line_ends("POST / HTTP/1.1\nContent-Length: 5\nTransfer-Encoding: x\n\n", &[Framing::Both], true)]
    #[case::unreadable_length("POST / HTTP/1.1\r\nContent-Length: -5\r\n\r\n", &[Framing::Length], true)]
    #[case::named_in_a_value("GET / HTTP/1.1\r\nA: Content-Length: 5\r\n\r\n", &[Framing::Length], false)]
    #[case::named_in_the_first_line("GET /Content-Length:5 HTTP/1.1\r\n\r\n", &[Framing::Length], false)]
    #[case::named_in_a_body("POST / HTTP/1.1\r\nContent-Length: 30\r\n\r\nTransfer-Encoding: chunked\r\n\r\n", &[Framing::Length], false)]
    #[case::two("\r\nGET / HTTP/1.1\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        &[Framing::Length, Framing::Both], true)]
    #[case::half("POST / HTTP/1.1\r\nContent-Le", &[], true)]
    fn framing_shows_on_the_raw_bytes(
        #[case] text: &str,
        #[case] expected: &[Framing],
        #[case] in_request: bool,
        #[values(1, 7, 4096)] at_once: usize,
    ) {
        let mut heads = Heads::default();
        text.as_bytes().chunks(at_once).for_each(|bytes| heads.push(bytes));
        let framings: Vec<_> = std::iter::from_fn(|| heads.next()).collect();
        assert_eq!((framings.as_slice(), heads.in_request()), (expected, in_request));
    }
}
