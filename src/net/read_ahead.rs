//! Bytes that were received behind a request that is still being answered, until the parser takes them.

use crate::memory::{Memory, MemoryUse, Reservation};
use std::collections::VecDeque;
use std::num::NonZeroUsize;
use std::sync::Arc;
use tokio::io::ReadBuf;

/// Size of the segments in which the bytes are stored.
pub(super) const SEGMENT_BYTES: usize = 2 << 10;
/// Number of segments for which space in the list is kept.
const MIN_LIST_CAPACITY: usize = 8;

/// A part of the bytes. Its memory is reserved as a whole, however few bytes it holds.
struct Segment {
    bytes: Vec<u8>,
    /// Number of bytes at the start that the parser has taken.
    taken: usize,
    _reservation: Reservation,
}

/// The bytes that were read ahead on one connection. Each segment is freed once the parser has taken its bytes.
pub(super) struct ReadAhead {
    segments: VecDeque<Segment>,
    memory: Arc<Memory>,
}

impl ReadAhead {
    pub(super) fn new(memory: Arc<Memory>) -> Self {
        Self { segments: VecDeque::new(), memory }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }

    /// Returns the number of bytes that `push` accepts now, `SEGMENT_BYTES` at most. `None` while the connection
    /// is at its limit or no memory is left: nothing may be read then, since a read into an empty buffer looks
    /// like the end of the stream.
    pub(super) fn room(&self) -> Option<NonZeroUsize> {
        let connection_bytes = (self.segments.len() + 1) * SEGMENT_BYTES;
        if connection_bytes <= self.memory.limits().read_ahead_bytes_per_connection
            && self.memory.available_bytes(MemoryUse::ReadAhead) >= SEGMENT_BYTES
        {
            return NonZeroUsize::new(SEGMENT_BYTES);
        }
        NonZeroUsize::new(self.free_in_last_segment())
    }

    fn free_in_last_segment(&self) -> usize {
        self.segments.back().map_or(0, |segment| SEGMENT_BYTES - segment.bytes.len())
    }

    /// Stores received bytes, of which there are at most as many as there is room for.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        debug_assert!(bytes.len() <= self.room().map_or(0, NonZeroUsize::get));
        let (first, rest) = bytes.split_at(self.free_in_last_segment().min(bytes.len()));
        if let Some(segment) = self.segments.back_mut() {
            segment.bytes.extend_from_slice(first);
        }
        if !rest.is_empty()
            && let Some(reservation) = self.memory.try_reserve(MemoryUse::ReadAhead, SEGMENT_BYTES)
        {
            let mut segment =
                Segment { bytes: Vec::with_capacity(SEGMENT_BYTES), taken: 0, _reservation: reservation };
            segment.bytes.extend_from_slice(rest);
            self.segments.push_back(segment);
        }
    }

    /// Discards all stored bytes and returns their memory.
    pub(super) fn clear(&mut self) {
        self.segments = VecDeque::new();
    }

    /// Moves bytes to the parser's buffer.
    pub(super) fn take(&mut self, buffer: &mut ReadBuf<'_>) {
        while buffer.remaining() > 0
            && let Some(segment) = self.segments.front_mut()
        {
            let waiting = &segment.bytes[segment.taken..];
            let count = waiting.len().min(buffer.remaining());
            buffer.put_slice(&waiting[..count]);
            segment.taken += count;
            if segment.taken == segment.bytes.len() {
                self.segments.pop_front();
            }
        }
        if self.segments.len() < self.segments.capacity() / 4 {
            self.segments.shrink_to((2 * self.segments.len()).max(MIN_LIST_CAPACITY));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::memory::MemoryLimits;
    use rstest::rstest;

    fn memory(segments: usize) -> Arc<Memory> {
        let limits = MemoryLimits { read_ahead_bytes: segments * SEGMENT_BYTES, ..MemoryLimits::UNLIMITED };
        Memory::new(limits)
    }

    /// Takes at most `count` bytes.
    fn take(read_ahead: &mut ReadAhead, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        let mut buffer = ReadBuf::new(&mut bytes);
        read_ahead.take(&mut buffer);
        buffer.filled().to_vec()
    }

    #[rstest]
    fn bytes_are_taken_in_the_order_of_their_arrival(#[values(1, 700, 2048)] piece: usize) {
        let mut read_ahead = ReadAhead::new(memory(4));
        let bytes: Vec<u8> = (0..6000u32).map(|n| n as u8).collect();
        for piece in bytes.chunks(piece) {
            assert!(read_ahead.room().is_some_and(|room| room.get() >= piece.len()));
            read_ahead.push(piece);
        }
        let taken: Vec<u8> = std::iter::from_fn(|| Some(take(&mut read_ahead, 999)))
            .take_while(|taken| !taken.is_empty())
            .flatten()
            .collect();
        assert!(taken == bytes && read_ahead.is_empty());
    }

    // The buffer kept the largest capacity it ever had until its connection closed, while the budget for all
    // connections counted the bytes that waited: one connection after the other came to hold the whole budget.
    #[test]
    fn capacity_is_returned_as_the_bytes_are_taken() {
        let memory = memory(64);
        let mut read_ahead = ReadAhead::new(memory.clone());
        while let Some(room) = read_ahead.room() {
            read_ahead.push(&[7; SEGMENT_BYTES][..room.get()]);
        }
        assert_eq!(memory.reserved_bytes(MemoryUse::ReadAhead), 64 * SEGMENT_BYTES);
        take(&mut read_ahead, 63 * SEGMENT_BYTES);
        assert_eq!(memory.reserved_bytes(MemoryUse::ReadAhead), SEGMENT_BYTES);
        assert!(read_ahead.segments.capacity() <= 2 * MIN_LIST_CAPACITY);
        take(&mut read_ahead, SEGMENT_BYTES);
        assert_eq!(memory.reserved_bytes(MemoryUse::ReadAhead), 0);
    }

    // One connection could use up the memory that all connections share.
    #[test]
    fn connection_stays_within_its_own_limit() {
        let limits = MemoryLimits {
            read_ahead_bytes: 8 * SEGMENT_BYTES,
            read_ahead_bytes_per_connection: 3 * SEGMENT_BYTES,
            ..MemoryLimits::UNLIMITED
        };
        let memory = Memory::new(limits);
        let mut read_ahead = ReadAhead::new(memory.clone());
        while let Some(room) = read_ahead.room() {
            read_ahead.push(&[7; SEGMENT_BYTES][..room.get()]);
        }
        assert_eq!(memory.reserved_bytes(MemoryUse::ReadAhead), 3 * SEGMENT_BYTES);
        read_ahead.clear();
        assert!(read_ahead.is_empty() && read_ahead.room().is_some());
        assert_eq!(memory.reserved_bytes(MemoryUse::ReadAhead), 0);
    }

    // A client that sends single bytes must not be charged less than what is allocated for them.
    #[test]
    fn single_bytes_are_charged_with_their_segment() {
        let memory = memory(2);
        let mut read_ahead = ReadAhead::new(memory.clone());
        let mut other = ReadAhead::new(memory.clone());
        read_ahead.push(&[1]);
        other.push(&[1]);
        assert_eq!(memory.available_bytes(MemoryUse::ReadAhead), 0);
        assert_eq!(read_ahead.room(), NonZeroUsize::new(SEGMENT_BYTES - 1));
        read_ahead.push(&[1; SEGMENT_BYTES - 1]);
        assert_eq!(read_ahead.room(), None);
    }
}
