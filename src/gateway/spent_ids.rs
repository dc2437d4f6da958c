//! Ids of requests that may have run and must not run twice. A client that has left, or whose answer was lost, may
//! send its request again under the same id.

use crate::interface::RequestId;
use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Time for which an id is kept.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of ids that are kept; the oldest go first.
const MAX_IDS: usize = 4_096;

/// The ids that were spent last.
#[derive(Debug, Default)]
pub(super) struct SpentIds {
    ids: HashSet<RequestId>,
    /// The ids with the time at which each expires, the oldest first.
    by_expiry: VecDeque<(Instant, RequestId)>,
}

impl SpentIds {
    /// Adds an id.
    pub(super) fn insert(&mut self, id: RequestId, now: Instant) {
        self.remove_expired(now);
        if self.by_expiry.len() >= MAX_IDS {
            self.remove_oldest();
        }
        if self.ids.insert(id.clone()) {
            self.by_expiry.push_back((now + RETENTION, id));
        }
    }

    /// Returns true if the id was added and has not expired.
    pub(super) fn contains(&mut self, id: &RequestId, now: Instant) -> bool {
        self.remove_expired(now);
        self.ids.contains(id)
    }

    fn remove_expired(&mut self, now: Instant) {
        while self.by_expiry.front().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, id)) = self.by_expiry.pop_front() {
            self.ids.remove(&id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn id(n: usize) -> RequestId {
        RequestId(format!("id{n}").into())
    }

    #[test]
    fn ids_expire_and_their_number_is_limited() {
        let (mut spent, start) = (SpentIds::default(), Instant::now());
        for n in 0..=MAX_IDS {
            spent.insert(id(n), start);
        }
        assert!(!spent.contains(&id(0), start) && spent.contains(&id(1), start));
        assert!(spent.contains(&id(MAX_IDS), start + RETENTION / 2));
        assert!(!spent.contains(&id(MAX_IDS), start + RETENTION));
        assert!(spent.ids.is_empty() && spent.by_expiry.is_empty());
    }
}
