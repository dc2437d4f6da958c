//! Accounts for the memory that connections, requests and answers may hold together.
//!
//! Whoever allocates a buffer whose size clients or engines determine first reserves its capacity here, and
//! returns the reservation when the buffer is freed. All reservations come from one total, so that the sum
//! over all kinds of buffers stays within the memory limit of the process, whatever is held by which kind.

use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Interval at which a reservation that waits checks how much of the total is left.
const TOTAL_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What a reservation is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// The buffers and the state of a client connection.
    ClientConnection,
    /// The buffers of a connection to an engine.
    EngineConnection,
    /// Bytes that were read ahead of the parser of a client connection.
    ReadAhead,
    /// A request body that is being received.
    IncomingBody,
    /// An open request: its body, its state, and what is buffered of its stream.
    OpenRequest,
    /// An engine's answer that is buffered completely, or a large event of a stream.
    Answer,
}

impl MemoryUse {
    /// All uses, in the order of their discriminants.
    pub const ALL: [Self; 6] = [
        Self::ClientConnection,
        Self::EngineConnection,
        Self::ReadAhead,
        Self::IncomingBody,
        Self::OpenRequest,
        Self::Answer,
    ];

    /// Returns the name of the use in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ClientConnection => "client_connection",
            Self::EngineConnection => "engine_connection",
            Self::ReadAhead => "read_ahead",
            Self::IncomingBody => "incoming_body",
            Self::OpenRequest => "open_request",
            Self::Answer => "answer",
        }
    }
}

/// Limits on reserved memory, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Maximum of all reservations together.
    pub total_bytes: usize,
    /// Maximum of the reservations for [`MemoryUse::ReadAhead`].
    pub read_ahead_bytes: usize,
    /// Maximum of these reservations for one connection.
    pub read_ahead_bytes_per_connection: usize,
    /// Maximum of the reservations for [`MemoryUse::IncomingBody`].
    pub incoming_body_bytes: usize,
    /// Maximum of the reservations for [`MemoryUse::Answer`].
    pub answer_bytes: usize,
}

impl MemoryLimits {
    /// Limits that are never reached.
    pub const UNLIMITED: Self = Self {
        total_bytes: Semaphore::MAX_PERMITS,
        read_ahead_bytes: Semaphore::MAX_PERMITS,
        read_ahead_bytes_per_connection: Semaphore::MAX_PERMITS,
        incoming_body_bytes: Semaphore::MAX_PERMITS,
        answer_bytes: Semaphore::MAX_PERMITS,
    };

    fn of(&self, memory_use: MemoryUse) -> usize {
        match memory_use {
            MemoryUse::ReadAhead => self.read_ahead_bytes,
            MemoryUse::IncomingBody => self.incoming_body_bytes,
            MemoryUse::Answer => self.answer_bytes,
            MemoryUse::ClientConnection | MemoryUse::EngineConnection | MemoryUse::OpenRequest => {
                self.total_bytes
            }
        }
    }
}

/// The memory that can be reserved.
#[derive(Debug)]
pub struct Memory {
    limits: MemoryLimits,
    total: Arc<Semaphore>,
    by_use: [Arc<Semaphore>; MemoryUse::ALL.len()],
}

impl Memory {
    /// Creates the account with the given limits.
    pub fn new(limits: MemoryLimits) -> Arc<Self> {
        let total = Arc::new(Semaphore::new(limits.total_bytes));
        let by_use = MemoryUse::ALL.map(|memory_use| Arc::new(Semaphore::new(limits.of(memory_use))));
        Arc::new(Self { limits, total, by_use })
    }

    /// Returns the limits.
    pub fn limits(&self) -> &MemoryLimits {
        &self.limits
    }

    /// Returns the number of bytes that are reserved for a use.
    pub fn reserved_bytes(&self, memory_use: MemoryUse) -> usize {
        self.limits.of(memory_use) - self.by_use[memory_use as usize].available_permits()
    }

    /// Returns the number of bytes that can be reserved for a use at this moment.
    pub fn available_bytes(&self, memory_use: MemoryUse) -> usize {
        self.total.available_permits().min(self.by_use[memory_use as usize].available_permits())
    }

    /// Reserves memory, or returns `None` if too little is left.
    pub fn try_reserve(&self, memory_use: MemoryUse, bytes: usize) -> Option<Reservation> {
        let permits = u32::try_from(bytes).ok()?;
        let of_use = self.by_use[memory_use as usize].clone().try_acquire_many_owned(permits).ok()?;
        let of_total = self.total.clone().try_acquire_many_owned(permits).ok()?;
        Some(Reservation { of_use, of_total })
    }

    /// Reserves memory and waits until enough is left. Reservations for the same use are granted in the order
    /// in which they were requested. Returns `None` if the size exceeds the limit of the use.
    pub async fn reserve(&self, memory_use: MemoryUse, bytes: usize) -> Option<Reservation> {
        if bytes > self.limits.of(memory_use) {
            return None;
        }
        let permits = u32::try_from(bytes).ok()?;
        let of_use = self.by_use[memory_use as usize].clone().acquire_many_owned(permits).await.ok()?;
        // A place in the queue of the total would hold what is left for the other uses.
        loop {
            if let Ok(of_total) = self.total.clone().try_acquire_many_owned(permits) {
                return Some(Reservation { of_use, of_total });
            }
            tokio::time::sleep(TOTAL_CHECK_INTERVAL).await;
        }
    }
}

/// Reserved memory, which is returned when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    of_use: OwnedSemaphorePermit,
    of_total: OwnedSemaphorePermit,
}

impl Reservation {
    /// Returns what exceeds the given number of bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        for permit in [&mut self.of_use, &mut self.of_total] {
            let surplus = permit.num_permits().saturating_sub(bytes);
            drop(permit.split(surplus));
        }
    }

    /// Binds the reservation to the bytes for which it was made: it is returned when they are freed.
    pub fn bind_to(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }
}

/// Bytes and the reservation of their memory.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LIMITS: MemoryLimits = MemoryLimits {
        total_bytes: 100,
        read_ahead_bytes: 30,
        read_ahead_bytes_per_connection: 30,
        incoming_body_bytes: 40,
        answer_bytes: 50,
    };

    #[test]
    fn reservations_stay_within_the_limit_of_their_use_and_the_total() {
        let memory = Memory::new(LIMITS);
        let answer = memory.try_reserve(MemoryUse::Answer, 50).expect("within the limits");
        assert!(memory.try_reserve(MemoryUse::Answer, 1).is_none(), "the limit of the use");
        let request = memory.try_reserve(MemoryUse::OpenRequest, 45).expect("within the limits");
        assert!(memory.try_reserve(MemoryUse::ReadAhead, 6).is_none(), "the total");
        assert_eq!(memory.reserved_bytes(MemoryUse::ReadAhead), 0, "a refused reservation holds nothing");
        drop((answer, request));
        assert_eq!(memory.available_bytes(MemoryUse::OpenRequest), 100);
    }

    #[test]
    fn memory_is_returned_when_the_last_copy_of_its_bytes_is_dropped() {
        let memory = Memory::new(LIMITS);
        let mut reservation = memory.try_reserve(MemoryUse::Answer, 50).expect("within the limits");
        reservation.shrink_to(4);
        assert_eq!(memory.available_bytes(MemoryUse::Answer), 46);
        let bytes = reservation.bind_to(Bytes::from_static(b"text"));
        let copy = bytes.clone();
        drop(bytes);
        assert_eq!(memory.reserved_bytes(MemoryUse::Answer), 4);
        drop(copy);
        assert_eq!(memory.reserved_bytes(MemoryUse::Answer), 0);
    }

    // If waiting answers were overtaken by smaller ones, the largest would never be read.
    #[tokio::test]
    async fn waiting_reservations_are_granted_in_order() {
        let memory = Memory::new(LIMITS);
        let held = memory.try_reserve(MemoryUse::Answer, 20).expect("within the limits");
        let (first, second) = (memory.reserve(MemoryUse::Answer, 40), memory.reserve(MemoryUse::Answer, 10));
        let mut first = std::pin::pin!(first);
        let mut second = std::pin::pin!(second);
        let (first_early, second_early) = (
            std::future::poll_fn(|context| std::task::Poll::Ready(first.as_mut().poll(context).is_ready()))
                .await,
            std::future::poll_fn(|context| std::task::Poll::Ready(second.as_mut().poll(context).is_ready()))
                .await,
        );
        assert!(!first_early && !second_early);
        drop(held);
        assert!(first.await.is_some() && second.await.is_some());
        assert!(memory.reserve(MemoryUse::Answer, 51).await.is_none(), "more than the limit of the use");
    }
}
