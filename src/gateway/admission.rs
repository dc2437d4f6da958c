//! Second stage: limits the open requests, records which callers wait for each request, and answers repeats
//! under an idempotency key without running the request again.

use super::intake::Caller;
use super::spent_ids::SpentIds;
use super::{Answer, EventStream, Rejected};
use crate::interface::RequestId;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Limits on the requests open at the same time and on the answers retained for repeats.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open requests.
    pub max_requests: usize,
    /// Maximum total size of the bodies of open requests, in bytes.
    pub max_body_bytes: usize,
    /// Time for which the answer to a request under an idempotency key is retained.
    pub answer_retention: Duration,
    /// Maximum total size of retained answers, in bytes.
    pub max_retained_bytes: usize,
}

/// An idempotency key and a fingerprint, which must be the same for all requests under the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// The key, made unique for its client: the keys that two clients choose may be equal.
    pub key: Arc<str>,
    /// Hash of the content of the request.
    pub fingerprint: u64,
}

/// The result of admitting a request.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Admitted {
    /// The request is new and has to be routed.
    New,
    /// The caller waits for the open request of this id, which has the same idempotency key.
    Joined(RequestId),
    /// The caller received the retained answer of an earlier request under the same idempotency key.
    Answered,
}

/// An open request as admission records it.
struct OpenEntry<S: EventStream> {
    size: usize,
    key: Option<Key>,
    callers: Vec<Caller<S>>,
}

/// State of the request under an idempotency key.
enum KeyState<S: EventStream> {
    Running(RequestId),
    Completed(Answer<S>),
}

/// The open requests that count towards the limits, and the answers retained for repeats.
pub(super) struct Admission<S: EventStream> {
    limits: Limits,
    bytes: usize,
    retained_bytes: usize,
    open_requests: HashMap<RequestId, OpenEntry<S>>,
    spent_ids: SpentIds,
    keys: HashMap<Arc<str>, (u64, KeyState<S>)>,
    /// Expiry time, key and size of each retained answer, the oldest first.
    retained: VecDeque<(Instant, Arc<str>, usize)>,
}

impl<S: EventStream> Admission<S> {
    pub(super) fn new(limits: Limits) -> Self {
        Self {
            limits,
            bytes: 0,
            retained_bytes: 0,
            open_requests: HashMap::new(),
            spent_ids: SpentIds::default(),
            keys: HashMap::new(),
            retained: VecDeque::new(),
        }
    }

    /// Admits a request or answers its caller from an earlier request under the same idempotency key.
    pub(super) fn admit(
        &mut self,
        id: &RequestId,
        size: usize,
        key: Option<Key>,
        caller: Caller<S>,
    ) -> Result<Admitted, Rejected> {
        self.evict_retained();
        if let Some(key) = &key
            && let Some((fingerprint, earlier)) = self.keys.get(&key.key)
        {
            if *fingerprint != key.fingerprint {
                return Err(Rejected::KeyReused);
            }
            return match earlier {
                KeyState::Completed(answer) => {
                    caller.respond(answer.copy_for_repeat());
                    Ok(Admitted::Answered)
                }
                KeyState::Running(running_id) => {
                    let joined_id = running_id.clone();
                    if let Some(entry) = self.open_requests.get_mut(&joined_id) {
                        entry.callers.push(caller);
                    }
                    Ok(Admitted::Joined(joined_id))
                }
            };
        }
        if self.open_requests.contains_key(id) || self.spent_ids.contains(id, Instant::now()) {
            return Err(Rejected::Duplicate);
        }
        if self.open_requests.len() >= self.limits.max_requests
            || self.bytes + size > self.limits.max_body_bytes
        {
            return Err(Rejected::Busy);
        }
        self.bytes += size;
        if let Some(key) = &key {
            self.keys.insert(key.key.clone(), (key.fingerprint, KeyState::Running(id.clone())));
        }
        self.open_requests.insert(id.clone(), OpenEntry { size, key, callers: vec![caller] });
        Ok(Admitted::New)
    }

    /// Removes a caller that has disconnected. Returns true if the request is thereby abandoned. A request
    /// under an idempotency key is not abandoned, since its client is likely to repeat it while it runs.
    pub(super) fn remove_caller(&mut self, id: &RequestId, caller: u64) -> bool {
        let Some(entry) = self.open_requests.get_mut(id) else { return false };
        let callers_before = entry.callers.len();
        entry.callers.retain(|other| other.number != caller);
        callers_before > 0 && entry.callers.is_empty() && entry.key.is_none()
    }

    /// Records that a request has its answer, and returns the callers that wait for it. `retain_answer` is
    /// true if a repeat under the same idempotency key must get this answer instead of running again.
    pub(super) fn record_answer(
        &mut self,
        id: &RequestId,
        answer: &Answer<S>,
        retain_answer: bool,
    ) -> Vec<Caller<S>> {
        let Some(entry) = self.open_requests.get_mut(id) else { return Vec::new() };
        let callers = std::mem::take(&mut entry.callers);
        if let Some(Key { key, fingerprint }) = entry.key.take() {
            self.keys.remove(&key);
            if retain_answer {
                let size = answer.retained_size() + key.len();
                self.retained_bytes += size;
                self.retained.push_back((Instant::now() + self.limits.answer_retention, key.clone(), size));
                self.keys.insert(key, (fingerprint, KeyState::Completed(answer.copy_for_repeat())));
                self.evict_retained();
            }
        }
        callers
    }

    /// Removes a finished request, so that it no longer counts towards the limits. If its id is spent, no other
    /// request of this id is admitted for a while.
    pub(super) fn remove_request(&mut self, id: &RequestId, id_is_spent: bool) {
        if id_is_spent {
            self.spent_ids.insert(id.clone(), Instant::now());
        }
        if let Some(entry) = self.open_requests.remove(id) {
            self.bytes -= entry.size;
        }
    }

    /// Returns the number of open requests.
    pub(super) fn open_request_count(&self) -> usize {
        self.open_requests.len()
    }

    /// Drops retained answers, the oldest first, that have expired or exceed the size limit.
    fn evict_retained(&mut self) {
        while let Some((expires_at, key, size)) = self.retained.front()
            && (*expires_at <= Instant::now() || self.retained_bytes > self.limits.max_retained_bytes)
        {
            self.keys.remove(key);
            self.retained_bytes -= size;
            self.retained.pop_front();
        }
    }
}
