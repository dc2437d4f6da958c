//! Reads response bodies of engines within the memory that is left for them.

use super::pool::{Channel, Pool};
use crate::gateway::{AttemptError, Progress};
use crate::memory::{MemoryUse, Reservation};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use serde::de::{Deserializer, IgnoredAny, MapAccess, Visitor};
use std::fmt;

/// Initial capacity of the buffer for a body of unknown length, in bytes.
const INITIAL_CAPACITY: usize = 1 << 10;

/// A response body as far as it has been received.
struct BodyBuffer<'a> {
    pool: &'a Pool,
    max_bytes: usize,
    bytes: Vec<u8>,
    /// The memory of `bytes`, unless the reservation of the connection covers it.
    reservation: Option<Reservation>,
}

fn answer_error(cause: impl fmt::Display) -> AttemptError {
    AttemptError::new(Progress::FullyWritten, cause)
}

impl BodyBuffer<'_> {
    /// Makes sure that the buffer may hold `needed` bytes. If the reservation of the connection does not cover
    /// them, waits until memory for the longest body is left: if bodies were extended step by step, all of
    /// them could come to wait for each other.
    async fn reserve(&mut self, needed: usize, longest: usize) -> Result<(), AttemptError> {
        if needed > self.max_bytes {
            return Err(answer_error("the response is too long"));
        }
        if needed > self.pool.buffer_bytes() && self.reservation.is_none() {
            let reservation = self.pool.memory().reserve(MemoryUse::Answer, longest).await;
            self.reservation = Some(reservation.ok_or_else(|| answer_error("no memory for the response"))?);
        }
        if needed > self.bytes.capacity() {
            let capacity = needed.max(2 * self.bytes.capacity()).max(INITIAL_CAPACITY).min(longest);
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        Ok(())
    }

    fn finish(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        let length = self.bytes.len();
        let bytes = Bytes::from(self.bytes);
        match self.reservation {
            Some(mut reservation) => {
                reservation.shrink_to(length);
                reservation.bind_to(bytes)
            }
            None => bytes,
        }
    }
}

/// Reads a response body to its end. The returned bytes hold the memory that is reserved for them.
pub(super) async fn read_body(
    pool: &Pool,
    channel: &Channel,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, AttemptError> {
    let mut buffer = BodyBuffer { pool, max_bytes, bytes: Vec::new(), reservation: None };
    let exact_length = body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    let longest = exact_length.unwrap_or(max_bytes);
    buffer.reserve(exact_length.unwrap_or(0), longest).await?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| channel.connection_error(error))?;
        // The data are copied, because each piece holds the whole buffer into which it was received.
        let Some(data) = frame.data_ref() else { continue };
        buffer.reserve(buffer.bytes.len() + data.len(), longest).await?;
        buffer.bytes.extend_from_slice(data);
    }
    Ok(buffer.finish())
}

/// Counts the entries of a list in a JSON object without building the object, which would take a multiple of
/// the memory of its text.
struct EntryCounter<'a> {
    list: &'a str,
}

impl<'de> Visitor<'de> for EntryCounter<'_> {
    type Value = Option<usize>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "an object with the list {}", self.list)
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut entries = None;
        while let Some(key) = map.next_key::<std::borrow::Cow<'de, str>>()? {
            if key == self.list {
                entries = Some(map.next_value::<Vec<IgnoredAny>>()?.len());
            } else {
                map.next_value::<IgnoredAny>()?;
            }
        }
        Ok(entries)
    }
}

/// Returns the number of entries of a list in a complete JSON object; `None` if the text is no such object.
pub(super) fn count_entries(text: &[u8], list: &str) -> Option<usize> {
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let entries = deserializer.deserialize_map(EntryCounter { list }).ok()?;
    deserializer.end().ok()?;
    entries
}

#[cfg(test)]
mod tests {
    use super::count_entries;
    use rstest::rstest;

    #[rstest]
    #[case::list(r#"{"object":"list","data":[{"a":[1,2]},[],"x",4],"usage":{"data":[1]}}"#, Some(4))]
    #[case::empty_list(r#" {"data":[]} "#, Some(0))]
    #[case::escaped_name(r#"{"d\u0061ta":[1]}"#, Some(1))]
    #[case::no_list(r#"{"data":{"a":1}}"#, None)]
    #[case::other_name(r#"{"results":[1]}"#, None)]
    #[case::no_object("[1,2]", None)]
    #[case::cut_short(r#"{"data":[1,2]"#, None)]
    #[case::more_behind_it(r#"{"data":[1]}{"#, None)]
    #[case::empty("", None)]
    fn entries_of_the_list_are_counted(#[case] text: &str, #[case] expected: Option<usize>) {
        assert_eq!(count_entries(text.as_bytes(), "data"), expected);
    }
}
