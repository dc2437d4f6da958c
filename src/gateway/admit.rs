//! Second stage: bounds on what is open, and repeats that join the try that runs.

use super::Rejected;
use crate::interface::RequestId;
use std::collections::HashMap;
use std::sync::Arc;

/// Bounds on what may be open at once.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Open requests.
    pub requests: usize,
    /// Bytes of their bodies together.
    pub bytes: usize,
}

/// What admission decides.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Admitted {
    /// It is new and is to be routed.
    New,
    /// It joins the open request of that id.
    Joins(RequestId),
}

struct Held {
    size: usize,
    key: Option<Arc<str>>,
}

/// The requests that hold room.
pub(super) struct Admission {
    limits: Limits,
    bytes: usize,
    open: HashMap<RequestId, Held>,
    /// By idempotency key: the request that runs under it and a fingerprint of what it asks.
    keys: HashMap<Arc<str>, (RequestId, u64)>,
}

impl Admission {
    pub(super) fn new(limits: Limits) -> Self {
        Self { limits, bytes: 0, open: HashMap::new(), keys: HashMap::new() }
    }

    pub(super) fn admit(
        &mut self,
        id: &RequestId,
        size: usize,
        key: Option<(Arc<str>, u64)>,
    ) -> Result<Admitted, Rejected> {
        if let Some((key, fingerprint)) = &key
            && let Some((running, asked)) = self.keys.get(key)
        {
            return if asked == fingerprint {
                Ok(Admitted::Joins(running.clone()))
            } else {
                Err(Rejected::KeyReused)
            };
        }
        if self.open.contains_key(id) {
            return Err(Rejected::Duplicate);
        }
        if self.open.len() >= self.limits.requests || self.bytes + size > self.limits.bytes {
            return Err(Rejected::Busy);
        }
        self.bytes += size;
        let held = key.map(|(key, fingerprint)| {
            self.keys.insert(key.clone(), (id.clone(), fingerprint));
            key
        });
        self.open.insert(id.clone(), Held { size, key: held });
        Ok(Admitted::New)
    }

    /// Nobody can join the request any more: it has its answer.
    pub(super) fn answered(&mut self, id: &RequestId) {
        if let Some(key) = self.open.get_mut(id).and_then(|held| held.key.take()) {
            self.keys.remove(&key);
        }
    }

    /// The request is over.
    pub(super) fn leave(&mut self, id: &RequestId) {
        self.answered(id);
        if let Some(held) = self.open.remove(id) {
            self.bytes -= held.size;
        }
    }

    pub(super) fn open(&self) -> usize {
        self.open.len()
    }
}
