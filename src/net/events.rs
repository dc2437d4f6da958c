//! A stream of events as an engine sends it: passed on event by event, each looked at first, so that noise
//! never reaches a client and a stream that is spoilt at its opening can still be tried elsewhere.

use bytes::{Bytes, BytesMut};
use serde::de::IgnoredAny;

/// Most bytes of one event; a chunk that never ends would otherwise be kept whole.
const EVENT_BYTES: usize = 64 << 10;
/// The fields that an event may have.
const FIELDS: [&[u8]; 4] = [b"data", b"event", b"id", b"retry"];

/// The events of one answer.
#[derive(Debug)]
pub(super) struct Events {
    /// What has come and was not handed on: before the first event all of it, then one that has not ended.
    kept: BytesMut,
    /// How much of that is events that have ended.
    ended: usize,
    /// Whether an event that carries something has come.
    begun: bool,
    /// Bytes that may still come.
    left: usize,
}

/// A line without its end, and how long it is with it; none if it has not ended.
fn line(text: &[u8]) -> Option<(&[u8], usize)> {
    let end = text.iter().position(|byte| *byte == b'\n')?;
    Some((text[..end].strip_suffix(b"\r").unwrap_or(&text[..end]), end + 1))
}

/// A field's name and value.
fn field(line: &[u8]) -> (&[u8], &[u8]) {
    match line.iter().position(|byte| *byte == b':') {
        Some(colon) => {
            let value = &line[colon + 1..];
            (&line[..colon], value.strip_prefix(b" ").unwrap_or(value))
        }
        None => (line, b""),
    }
}

/// Whether what has come of a line can still become one of an event.
fn may_become_line(part: &[u8]) -> bool {
    let (name, _) = field(part);
    let ends = part.contains(&b':');
    part == b"\r" || name.is_empty() || FIELDS.iter().any(|f| *f == name || !ends && f.starts_with(name))
}

/// Whether data are what an engine makes: an object, or the mark of the end.
fn is_data(data: &[u8]) -> bool {
    data == b"[DONE]" || data.starts_with(b"{") && serde_json::from_slice::<IgnoredAny>(data).is_ok()
}

impl Events {
    /// Events of so many bytes together at most.
    pub(super) fn new(most: usize) -> Self {
        Self { kept: BytesMut::new(), ended: 0, begun: false, left: most }
    }

    /// Takes in what has come; gives the events that can be handed on, unchanged.
    pub(super) fn push(&mut self, piece: &[u8]) -> Result<Option<Bytes>, &'static str> {
        self.left = self.left.checked_sub(piece.len()).ok_or("the answer is too long")?;
        self.kept.extend_from_slice(piece);
        while let Some((length, carries)) = self.event()? {
            self.ended += length;
            self.begun |= carries;
        }
        if self.kept.len() - self.ended > EVENT_BYTES {
            return Err("an event does not end");
        }
        let ready = if self.begun { std::mem::take(&mut self.ended) } else { 0 };
        Ok((ready > 0).then(|| self.kept.split_to(ready).freeze()))
    }

    /// The length of the next event, if it has ended, and whether it carries data.
    fn event(&self) -> Result<Option<(usize, bool)>, &'static str> {
        let text = &self.kept[self.ended..];
        let (mut at, mut data, mut lines) = (0, None::<Vec<u8>>, 0);
        while let Some((line, length)) = line(&text[at..]) {
            at += length;
            if line.is_empty() && lines == 0 {
                // It belongs to what follows: a chunk that does not fit begins so too.
                continue;
            }
            lines += 1;
            if line.is_empty() {
                let good = data.as_ref().is_none_or(|data| is_data(data));
                return if good { Ok(Some((at, data.is_some()))) } else { Err("noise for an event's data") };
            }
            match field(line) {
                (b"", _) => {}
                (b"data", value) => match &mut data {
                    Some(data) => data.extend([b"\n", value].concat()),
                    None => data = Some(value.to_vec()),
                },
                (name, _) if FIELDS.contains(&name) => {}
                _ => return Err("noise between events"),
            }
        }
        if may_become_line(&text[at..]) { Ok(None) } else { Err("noise between events") }
    }

    /// The answer has ended: gives what is left of it, if that is nothing but comments.
    pub(super) fn end(&mut self) -> Result<Option<Bytes>, &'static str> {
        if !self.begun {
            return Err("the answer ended before its first event");
        }
        let rest = self.kept.split();
        let comments = rest[..].split(|byte| *byte == b'\n').all(|l| matches!(l, [] | b"\r" | [b':', ..]));
        let rest = (!rest.is_empty()).then(|| rest.freeze());
        if comments { Ok(rest) } else { Err("the answer ended within an event") }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    fn handed_on(text: &str, at_once: usize) -> (String, Result<(), &'static str>) {
        let mut events = Events::new(200_000);
        let mut all = String::new();
        let mut note = |piece: Option<Bytes>| {
            all += std::str::from_utf8(&piece.unwrap_or_default()).expect("text");
        };
        let mut run = || {
            for piece in text.as_bytes().chunks(at_once) {
                note(events.push(piece)?);
            }
            note(events.end()?);
            Ok(())
        };
        let result = run();
        (all, result)
    }

    #[rstest]
    #[case::usual("data: {\"a\":1}\n\ndata: [DONE]\n\n")]
    #[case::report_at_the_end("data: {\"a\":1}\n\n: Srv-Load: {\"inflight\":7}\n\n")]
    #[case::unreadable_report("data: {\"a\":1}\n\n: Srv-Load: {{{\n")]
    #[case::comment_first(": hello\n\ndata: {\"a\":1}\n\n")]
    #[case::blank_lines("data: {\"a\":1}\n\n\n\r\n")]
    #[case::other_line_ends("event: e\r\ndata: {\"a\":\r\ndata: 1}\r\n\r\n")]
    fn events_are_handed_on_unchanged(#[case] text: &str, #[values(1, 5, 4096)] at_once: usize) {
        assert_eq!(handed_on(text, at_once), (text.to_owned(), Ok(())));
    }

    // What was passed on of a spoilt opening could not be taken back, and the request was lost with it.
    #[rstest]
    #[case::half_an_event("data: {\"a\"")]
    #[case::noise_for_data("data: {\"a\n\n")]
    #[case::noise("\u{1}x8f!\n\n")]
    #[case::comment_and_noise(": hello\n\nzz")]
    #[case::chunk_that_does_not_fit("\r\n1f\r\ndata: {\"a\":1}\n\n")]
    #[case::none("")]
    #[case::comments_alone(": hello\n\n")]
    fn nothing_of_a_spoilt_opening_is_handed_on(#[case] text: &str, #[values(1, 4096)] at_once: usize) {
        let (handed, result) = handed_on(text, at_once);
        assert_eq!(handed, "");
        assert!(result.is_err());
    }

    #[rstest]
    #[case::noise("data: {\"a\":1}\n\n", "\u{1}x8f!")]
    #[case::chunk_that_does_not_fit("data: {\"a\":1}\n\n", "\r\n1f\r\ndata: {\"b\":1}\n\n")]
    #[case::event_cut_short("data: {\"a\":1}\n\n", "data: {\"b\"")]
    fn events_before_the_noise_are_all_that_is_handed_on(#[case] good: &str, #[case] noise: &str) {
        let (handed, result) = handed_on(&format!("{good}{noise}"), 1);
        assert_eq!(handed, good);
        assert!(result.is_err());
    }

    // A chunk declared as 3 GB that keeps coming must cost neither its length in memory nor a client's time.
    #[rstest]
    #[case::one_event("data: {\"a\":1}\n\ndata: ", &"x".repeat(4096))]
    #[case::many_events("", "data: {\"a\":1}\n\n")]
    fn endless_answer_is_given_up(#[case] opening: &str, #[case] more: &str) {
        let mut events = Events::new(200_000);
        assert!(events.push(opening.as_bytes()).is_ok());
        let given_up = (0..300_000).find(|_| events.push(more.as_bytes()).is_err());
        assert!(given_up.is_some());
    }
}
