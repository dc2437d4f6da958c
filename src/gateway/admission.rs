//! Second stage: bounds on what is open, who waits for it, and repeats that run nothing twice.

use super::intake::Caller;
use super::{Answer, EventStream, Rejected};
use crate::interface::RequestId;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bounds on what may be open at once, and on what is kept for repeats.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Open requests.
    pub requests: usize,
    /// Bytes of their bodies together.
    pub bytes: usize,
    /// For how long the answer under an idempotency key is kept.
    pub keep: Duration,
    /// Bytes of kept answers together.
    pub keep_bytes: usize,
}

/// An idempotency key and a number that all requests under it must share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// The key, unique for its client.
    pub key: Arc<str>,
    /// What the request asks, as a number.
    pub fingerprint: u64,
}

/// What admission made of a request.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Admitted {
    /// It is new and is to be routed.
    New,
    /// It waits for the open request of that id.
    Joined(RequestId),
    /// It was answered with what an earlier try got.
    Answered,
}

struct Held<S: EventStream> {
    size: usize,
    key: Option<Key>,
    callers: Vec<Caller<S>>,
}

enum Try<S: EventStream> {
    Runs(RequestId),
    Ended(Answer<S>),
}

/// The requests that hold room, and the answers kept for repeats.
pub(super) struct Admission<S: EventStream> {
    limits: Limits,
    bytes: usize,
    kept_bytes: usize,
    open: HashMap<RequestId, Held<S>>,
    keys: HashMap<Arc<str>, (u64, Try<S>)>,
    /// Keys of kept answers, the oldest first, with their sizes.
    kept: VecDeque<(Instant, Arc<str>, usize)>,
}

impl<S: EventStream> Admission<S> {
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            limits,
            bytes: 0,
            kept_bytes: 0,
            open: HashMap::new(),
            keys: HashMap::new(),
            kept: VecDeque::new(),
        }
    }

    pub(super) fn admit(
        &mut self,
        id: &RequestId,
        size: usize,
        key: Option<Key>,
        caller: Caller<S>,
    ) -> Result<Admitted, Rejected> {
        self.trim();
        if let Some(key) = &key
            && let Some((fingerprint, earlier)) = self.keys.get(&key.key)
        {
            if *fingerprint != key.fingerprint {
                return Err(Rejected::KeyReused);
            }
            return match earlier {
                Try::Ended(answer) => {
                    caller.take(answer.again());
                    Ok(Admitted::Answered)
                }
                Try::Runs(running) => {
                    let joined = running.clone();
                    if let Some(held) = self.open.get_mut(&joined) {
                        held.callers.push(caller);
                    }
                    Ok(Admitted::Joined(joined))
                }
            };
        }
        if self.open.contains_key(id) {
            return Err(Rejected::Duplicate);
        }
        if self.open.len() >= self.limits.requests || self.bytes + size > self.limits.bytes {
            return Err(Rejected::Busy);
        }
        self.bytes += size;
        if let Some(key) = &key {
            self.keys.insert(key.key.clone(), (key.fingerprint, Try::Runs(id.clone())));
        }
        self.open.insert(id.clone(), Held { size, key, callers: vec![caller] });
        Ok(Admitted::New)
    }

    /// A caller has gone. Whether the request is abandoned by that: one under a key is not, since its
    /// client is likely to ask again while it runs.
    pub(super) fn gone(&mut self, id: &RequestId, caller: u64) -> bool {
        let Some(held) = self.open.get_mut(id) else { return false };
        let waited = held.callers.len();
        held.callers.retain(|c| c.number != caller);
        waited > 0 && held.callers.is_empty() && held.key.is_none()
    }

    /// The request has its answer: gives who waits for it, and keeps what repeats must be told. `keep`
    /// says whether it is one that a repeat must be told instead of running again.
    pub(super) fn answered(&mut self, id: &RequestId, answer: &Answer<S>, keep: bool) -> Vec<Caller<S>> {
        let Some(held) = self.open.get_mut(id) else { return Vec::new() };
        let callers = std::mem::take(&mut held.callers);
        if let Some(Key { key, fingerprint }) = held.key.take() {
            self.keys.remove(&key);
            if keep {
                let size = answer.size();
                self.kept_bytes += size;
                self.kept.push_back((Instant::now() + self.limits.keep, key.clone(), size));
                self.keys.insert(key, (fingerprint, Try::Ended(answer.again())));
                self.trim();
            }
        }
        callers
    }

    /// The request is over.
    pub(super) fn leave(&mut self, id: &RequestId) {
        if let Some(held) = self.open.remove(id) {
            self.bytes -= held.size;
        }
    }

    pub(super) fn open(&self) -> usize {
        self.open.len()
    }

    /// Drops kept answers, the oldest first, that are past their time or beyond what may be kept.
    fn trim(&mut self) {
        while let Some((until, key, size)) = self.kept.front()
            && (*until <= Instant::now() || self.kept_bytes > self.limits.keep_bytes)
        {
            self.keys.remove(key);
            self.kept_bytes -= size;
            self.kept.pop_front();
        }
    }
}
