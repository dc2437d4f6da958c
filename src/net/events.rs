//! A stream of server-sent events from an engine. Each event is validated
//! before it is passed on, so that invalid bytes never reach a client and a stream
//! that is malformed at its start can still be tried at another engine.

use bytes::{Bytes, BytesMut};
use serde::de::IgnoredAny;

/// Maximum size of one event in bytes; a chunk that never ends would otherwise be buffered without limit.
pub(super) const MAX_EVENT_BYTES: usize = 64 << 10;
/// The field names that an event may have.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// The events of one response.
#[derive(Debug)]
pub(super) struct Events {
    /// Received bytes that were not passed on yet: everything
    /// before the first event with data, later an incomplete event.
    pending: BytesMut,
    /// Number of these bytes that belong to complete events.
    complete_bytes: usize,
    /// True once an event with data has arrived.
    has_first_event: bool,
    /// Number of bytes that the response may still have.
    remaining_bytes: usize,
}

/// Returns the first line without its line end, and its length with it, or `None` if the line is incomplete.
fn next_line(text: &[u8]) -> Option<(&[u8], usize)> {
    let end = text.iter().position(|byte| *byte == b'\n')?;
    Some((text[..end].strip_suffix(b"\r").unwrap_or(&text[..end]), end + 1))
}

/// Returns a field's name and value.
fn field(line: &[u8]) -> (&[u8], &[u8]) {
    match line.iter().position(|byte| *byte == b':') {
        Some(colon) => {
            let value = &line[colon + 1..];
            (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
        }
        None => (line, b""),
    }
}

/// Returns true if an incomplete line can still become a line of an event.
fn may_become_line(part: &[u8]) -> bool {
    let (name, _) = field(part);
    let has_colon = part.contains(&b':');
    part == b"\r" || name.is_empty() || FIELDS.iter().any(|f| *f == name || !has_colon && f.starts_with(name))
}

/// Returns true if the data of an event have a form that engines produce: an object, or the end marker.
fn is_valid_data(data: &[u8]) -> bool {
    data == b"[DONE]" || data.starts_with(b"{") && serde_json::from_slice::<IgnoredAny>(data).is_ok()
}

impl Events {
    /// Creates an empty buffer for events of at most `max_bytes` bytes in total.
    pub(super) fn new(max_bytes: usize) -> Self {
        Self {
            pending: BytesMut::new(),
            complete_bytes: 0,
            has_first_event: false,
            remaining_bytes: max_bytes,
        }
    }

    /// Buffers received bytes and returns the events that can be passed on, unchanged.
    pub(super) fn push(&mut self, piece: &[u8]) -> Result<Option<Bytes>, &'static str> {
        self.remaining_bytes =
            self.remaining_bytes.checked_sub(piece.len()).ok_or("the response is too long")?;
        self.pending.extend_from_slice(piece);
        while let Some((length, has_data)) = self.next_event()? {
            self.complete_bytes += length;
            self.has_first_event |= has_data;
        }
        if !self.has_first_event && self.pending.len() > MAX_EVENT_BYTES {
            return Err("too much precedes the first event");
        }
        if self.pending.len() - self.complete_bytes > MAX_EVENT_BYTES {
            return Err("an event exceeds the maximum size");
        }
        let ready_bytes = if self.has_first_event { std::mem::take(&mut self.complete_bytes) } else { 0 };
        Ok((ready_bytes > 0).then(|| self.take_ready(ready_bytes)))
    }

    /// Takes the complete events. What remains is moved to a buffer of its own size.
    fn take_ready(&mut self, ready_bytes: usize) -> Bytes {
        let rest = BytesMut::from(&self.pending[ready_bytes..]);
        let mut ready = std::mem::replace(&mut self.pending, rest);
        ready.truncate(ready_bytes);
        ready.freeze()
    }

    /// Returns the number of bytes that were not passed on yet.
    pub(super) fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns the length of the next complete event, if any, and true if it carries data.
    fn next_event(&self) -> Result<Option<(usize, bool)>, &'static str> {
        let text = &self.pending[self.complete_bytes..];
        let (mut offset, mut data, mut lines) = (0, None::<Vec<u8>>, 0);
        while let Some((line, length)) = next_line(&text[offset..]) {
            offset += length;
            if line.is_empty() && lines == 0 {
                // A blank line before an event is passed on only together with the event,
                // since the invalid bytes after a chunk with a wrong size also start with one.
                continue;
            }
            lines += 1;
            if line.is_empty() {
                let valid = data.as_ref().is_none_or(|data| is_valid_data(data));
                return if valid { Ok(Some((offset, data.is_some()))) } else { Err("invalid event data") };
            }
            match field(line) {
                (b"", _) => {}
                (b"data", value) => match &mut data {
                    Some(data) => data.extend([b"\n", value].concat()),
                    None => data = Some(value.to_vec()),
                },
                (name, _) if FIELDS.contains(&name) => {}
                _ => return Err("invalid line between events"),
            }
        }
        if may_become_line(&text[offset..]) { Ok(None) } else { Err("invalid line between events") }
    }

    /// Returns true if a part of an event has arrived that can still become valid, and carries data so far.
    pub(super) fn has_valid_incomplete_event(&self) -> bool {
        let text = &self.pending[self.complete_bytes..];
        let mut data = Vec::new();
        for line in text.split(|byte| *byte == b'\n') {
            if let (b"data", value) = field(line.strip_suffix(b"\r").unwrap_or(line)) {
                if !data.is_empty() {
                    data.push(b'\n');
                }
                data.extend_from_slice(value);
            }
        }
        data.starts_with(b"{")
            && serde_json::from_slice::<IgnoredAny>(&data).map_or_else(|error| error.is_eof(), |_| true)
    }

    /// Ends the stream and returns the remaining bytes. Returns an error if no event
    /// with data has arrived, or if the remaining bytes are more than comments.
    pub(super) fn end(&mut self) -> Result<Option<Bytes>, &'static str> {
        if !self.has_first_event {
            return Err("the response ended before its first event");
        }
        let rest = self.pending.split();
        let only_comments =
            rest[..].split(|byte| *byte == b'\n').all(|l| matches!(l, [] | b"\r" | [b':', ..]));
        let rest = (!rest.is_empty()).then(|| rest.freeze());
        if only_comments { Ok(rest) } else { Err("the response ended within an event") }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    /// Feeds a stream in pieces of the given size; returns what was passed on, and the result.
    fn passed_on(text: &str, piece_len: usize) -> (String, Result<(), &'static str>) {
        let mut events = Events::new(200_000);
        let mut output = String::new();
        let mut append = |piece: Option<Bytes>| {
            output += std::str::from_utf8(&piece.unwrap_or_default()).expect("valid UTF-8");
        };
        let mut run = || {
            for piece in text.as_bytes().chunks(piece_len) {
                append(events.push(piece)?);
            }
            append(events.end()?);
            Ok(())
        };
        let result = run();
        (output, result)
    }

    #[rstest]
    #[case::data_and_end_marker("data: {\"a\":1}\n\ndata: [DONE]\n\n")]
    #[case::report_at_the_end("data: {\"a\":1}\n\n: Srv-Load: {\"inflight\":7}\n\n")]
    #[case::unreadable_report("data: {\"a\":1}\n\n: Srv-Load: {{{\n")]
    #[case::comment_first(": hello\n\ndata: {\"a\":1}\n\n")]
    #[case::blank_lines("data: {\"a\":1}\n\n\n\r\n")]
    #[case::carriage_returns("event: e\r\ndata: {\"a\":\r\ndata: 1}\r\n\r\n")]
    fn events_are_passed_on_unchanged(#[case] text: &str, #[values(1, 5, 4096)] piece_len: usize) {
        assert_eq!(passed_on(text, piece_len), (text.to_owned(), Ok(())));
    }

    // Once the start of a malformed stream was passed on, it could not be taken back, and the request failed.
    #[rstest]
    #[case::half_an_event("data: {\"a\"")]
    #[case::invalid_data("data: {\"a\n\n")]
    #[case::noise("\u{1}x8f!\n\n")]
    #[case::comment_and_noise(": hello\n\nzz")]
    #[case::chunk_with_wrong_size("\r\n1f\r\ndata: {\"a\":1}\n\n")]
    #[case::empty_response("")]
    #[case::only_comments(": hello\n\n")]
    fn nothing_of_a_malformed_start_is_passed_on(#[case] text: &str, #[values(1, 4096)] piece_len: usize) {
        let (output, result) = passed_on(text, piece_len);
        assert_eq!(output, "");
        assert!(result.is_err());
    }

    #[rstest]
    #[case::noise("data: {\"a\":1}\n\n", "\u{1}x8f!")]
    #[case::chunk_with_wrong_size("data: {\"a\":1}\n\n", "\r\n1f\r\ndata: {\"b\":1}\n\n")]
    #[case::event_cut_short("data: {\"a\":1}\n\n", "data: {\"b\"")]
    fn only_events_before_the_noise_are_passed_on(#[case] good: &str, #[case] noise: &str) {
        let (output, result) = passed_on(&format!("{good}{noise}"), 1);
        assert_eq!(output, good);
        assert!(result.is_err());
    }

    // An event that its engine was still writing was taken for silence. Noise must not be taken for such an event.
    #[rstest]
    #[case::in_a_string("data: {\"a\":\"xyz", true)]
    #[case::in_an_object("event: e\ndata: {\"a\":1,", true)]
    #[case::before_the_blank_line("data: {\"a\":1}\n", true)]
    #[case::in_a_second_line("data: {\"a\":\ndata: 1", true)]
    #[case::nothing("", false)]
    #[case::comment(": ping", false)]
    #[case::field_name("dat", false)]
    #[case::no_data_yet("event: e\n", false)]
    #[case::noise_in_the_data("data: {\"a\":zz", false)]
    #[case::no_object("data: xxxxxxxxxxxx", false)]
    fn valid_part_of_an_event_is_distinguished_from_noise(#[case] part: &str, #[case] expected: bool) {
        let mut events = Events::new(200_000);
        events.push(b"data: {\"a\":1}\n\n").expect("a valid event");
        events.push(part.as_bytes()).expect("it can still become an event");
        assert_eq!(events.has_valid_incomplete_event(), expected);
    }

    // A chunk declared as 3 GB that keeps arriving must neither fill the memory nor keep its client waiting.
    #[rstest]
    #[case::one_event("data: {\"a\":1}\n\ndata: ", &"x".repeat(4096))]
    #[case::many_events("", "data: {\"a\":1}\n\n")]
    fn endless_response_is_given_up(#[case] opening: &str, #[case] more: &str) {
        let mut events = Events::new(200_000);
        assert!(events.push(opening.as_bytes()).is_ok());
        let given_up = (0..300_000).find(|_| events.push(more.as_bytes()).is_err());
        assert!(given_up.is_some());
    }
}
