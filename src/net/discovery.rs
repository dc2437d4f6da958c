//! The discovery client. A watch is a sequence of long-poll calls, each of which waits for a list that is
//! newer than the last response. When another discovery address is configured, the watch connects there but
//! keeps following the old address until the new one has responded with a revision that is not older than the
//! last one applied. An older revision lacks later changes, so the known engines stay in use meanwhile.

use super::backoff::{Backoff, CALL_GRACE, DiscoveryCallParams, Opening};
use super::pool::{Channel, Pool, PoolLimits};
use super::transport::WriteWatch;
use crate::config::{EngineList, NameTables, ServerIds};
use crate::gateway::{AttemptError, Change, Changes, Progress};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::header::HOST;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Maximum time a long-poll call waits for an update. Together with `CALL_GRACE` it is one
/// second less than the 6 s after which the protocol counts a change as announced even
/// if a silent connection lost it: the next call must be open and answered by then.
const MAX_WAIT: Duration = Duration::from_secs(3);
/// Maximum time the call that opens a watch waits for an update.
const FIRST_MAX_WAIT: Duration = Duration::from_secs(1);
/// Maximum time a new address may report an older revision than the last
/// one applied. By then the protocol counts every change as announced, so
/// a lower revision belongs to another history, and its list is accepted.
const BEHIND_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum size of a response, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;
/// Maximum size of a connection's read buffer, in bytes.
const BUFFER_BYTES: usize = 64 << 10;

/// A watch at one discovery address.
struct Source {
    address: Arc<str>,
    pool: Rc<Pool>,
    channel: Option<Channel>,
    revision: Option<u64>,
    backoff: Backoff,
}

impl Source {
    fn new(address: Arc<str>, backoff: Backoff) -> Self {
        let limits = PoolLimits {
            connections: 2,
            reserved_for_releases: 0,
            buffer_bytes: BUFFER_BYTES,
            connection_bytes: 0,
            dial_timeout: CALL_GRACE,
            idle_timeout: MAX_WAIT,
        };
        Self { address, pool: Pool::new(limits), channel: None, revision: None, backoff }
    }

    /// Requests the changes since the known revision, or the whole list. On an open watch the call is a
    /// renewal. A call that opens a watch has a shorter timeout and a shorter wait for updates, since nothing
    /// shows yet that a server listens at the address.
    async fn request_update(&mut self, open: bool) -> Result<EngineList, AttemptError> {
        let (wait, call_timeout) = if open {
            (MAX_WAIT, MAX_WAIT + CALL_GRACE)
        } else {
            (FIRST_MAX_WAIT, self.backoff.opening_timeout())
        };
        let path = match self.revision {
            None => "/v1/endpoints".to_owned(),
            Some(revision) => format!("/v1/endpoints?index={revision}&wait={}", wait.as_millis()),
        };
        let request = Request::get(path).header(HOST, &*self.address).body(Full::new(Bytes::new()));
        let request = request.map_err(|e| AttemptError::new(Progress::NotConnected, e))?;
        let open_channel = self.channel.take();
        let call = async {
            let mut channel = match open_channel {
                Some(channel) => channel,
                None => self.pool.acquire(&self.address).await?,
            };
            let response = channel.send(request, 0, WriteWatch::default()).await?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await;
            let body = body.map_err(|e| AttemptError::new(Progress::FullyWritten, e))?.to_bytes();
            if !status.is_success() {
                return Err(AttemptError::new(Progress::FullyWritten, format!("status {status}")));
            }
            channel.mark_response_read();
            let list =
                serde_json::from_slice(&body).map_err(|e| AttemptError::new(Progress::FullyWritten, e))?;
            Ok((list, channel))
        };
        let timed_out = |_| Err(AttemptError::new(Progress::TimedOut, "no response in time"));
        // The timeout includes the dial: a connection that is
        // not established is treated like a missing response.
        let (list, channel) = tokio::time::timeout(call_timeout, call).await.unwrap_or_else(timed_out)?;
        self.channel = Some(channel);
        Ok(list)
    }

    /// Sends every response that carries an update to the channel until its receiver is dropped. A source
    /// that knows a revision opens its watch from that revision.
    async fn run(mut self, opening: Opening, number: u64, lists: mpsc::Sender<(u64, EngineList)>) {
        tokio::time::sleep(self.backoff.first_call_delay(opening)).await;
        let mut open = false;
        loop {
            let call_started = Instant::now();
            match self.request_update(open).await {
                Ok(list) if !list.is_full && self.revision.is_some_and(|known| list.revision < known) => {
                    // These changes apply to another list than the known one.
                    log::warn!(
                        "discovery at={} revision went backwards rev={}: requesting the whole list",
                        self.address,
                        list.revision
                    );
                    self.revision = None;
                    tokio::time::sleep(self.backoff.record_failure(call_started.elapsed()).0).await;
                }
                Ok(list) => {
                    // The first response is always sent on, even if it is
                    // empty: it shows that this address can be followed.
                    let first_response = !std::mem::replace(&mut open, true);
                    let failures = self.backoff.record_response();
                    if failures > 0 {
                        log::info!("discovery responds again at={} after failures={failures}", self.address);
                    }
                    self.revision = Some(list.revision);
                    let has_update = first_response || list.is_full || !list.targets.is_empty();
                    if has_update && lists.send((number, list)).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    let (delay, first_failure) = self.backoff.record_failure(call_started.elapsed());
                    // A timeout on an open watch means that its connection is broken, while
                    // the service may be healthy. A change lost with the connection soon
                    // counts as announced, so the next call follows at once. Gateways detect
                    // such a timeout at different moments, so these calls do not coincide.
                    let watch_timed_out = std::mem::take(&mut open) && error.progress == Progress::TimedOut;
                    let delay = if watch_timed_out { Duration::ZERO } else { delay };
                    // Only the first failure of an outage is logged as a warning, not every failed call.
                    let level = if first_failure { log::Level::Warn } else { log::Level::Debug };
                    log::log!(level, "discovery at={} {error}", self.address);
                    tokio::time::sleep(delay).await;
                }
            }
        }
    }
}

/// A watch at the discovery address that was configured last.
pub struct Watch {
    names: NameTables,
    server_ids: ServerIds,
    /// The list that the gateway last persisted, until it is passed on as the first change.
    known: Option<EngineList>,
    address: watch::Receiver<Arc<str>>,
    call_params: DiscoveryCallParams,
    /// Sources with their numbers, oldest first; once a list of one is accepted, all older ones are stopped.
    sources: Vec<(u64, AbortHandle)>,
    /// The number of the newest source.
    newest_source: u64,
    /// The revision of the last applied list, if any.
    revision: Option<u64>,
    /// A source that reported a revision older than the applied one, and the time until
    /// which its list is rejected. After that time it is accepted only if it is the newest source.
    behind: Option<(u64, Instant)>,
    /// The number of the source whose list is accepted whatever its revision, or 0.
    accepted_source: u64,
    lists: mpsc::Receiver<(u64, EngineList)>,
    list_sender: mpsc::Sender<(u64, EngineList)>,
}

impl Watch {
    /// Creates a watch that starts with the known list. It then requests the whole list at the address
    /// configured last, or, at a shared service, only the changes since the known list.
    pub fn new(
        address: watch::Receiver<Arc<str>>,
        names: NameTables,
        known: Option<EngineList>,
        call_params: DiscoveryCallParams,
    ) -> Self {
        let (list_sender, lists) = mpsc::channel(1);
        let server_ids = ServerIds::default();
        let mut watch = Self {
            names,
            server_ids,
            known,
            address,
            call_params,
            sources: Vec::new(),
            newest_source: 0,
            revision: None,
            behind: None,
            accepted_source: 0,
            lists,
            list_sender,
        };
        let known_revision = watch.known.as_ref().map(|known| known.revision);
        watch.open_source(known_revision.map_or(Opening::WithoutList, |_| Opening::WithList), known_revision);
        watch
    }

    /// Opens a watch at the address configured last, starting from the given revision if there is one.
    fn open_source(&mut self, opening: Opening, from_revision: Option<u64>) {
        self.newest_source += 1;
        let seed = self.call_params.seed.wrapping_add(self.newest_source);
        let mut source = Source::new(
            self.address.borrow_and_update().clone(),
            Backoff::new(DiscoveryCallParams { seed, ..self.call_params }),
        );
        // At a shared service a whole list costs work for each of its lines, and gateways that start together
        // would queue behind each other's requests, so only the changes since the known list are requested.
        // An agent serves this gateway alone, so its whole list costs nobody else anything.
        source.revision = from_revision.filter(|_| self.call_params.shared);
        let task =
            tokio::task::spawn_local(source.run(opening, self.newest_source, self.list_sender.clone()));
        self.sources.push((self.newest_source, task.abort_handle()));
    }

    /// Returns the applied revision if a response is older than
    /// it and comes from an address that is not followed yet.
    fn applied_if_older(&self, number: u64, list: &EngineList) -> Option<u64> {
        let followed = self.sources.first().is_some_and(|(oldest, _)| number <= *oldest);
        self.revision.filter(|known_revision| {
            !followed && number != self.accepted_source && list.revision < *known_revision
        })
    }

    /// Returns the part of an older response that is applied: its drains and deletions of known engines are,
    /// whichever address reports them. Such a response puts no engine back into use, and an engine that its
    /// list lacks is not removed.
    fn change_from_older(
        &mut self,
        number: u64,
        known_revision: u64,
        mut list: EngineList,
    ) -> Option<Change> {
        if self.behind.is_none_or(|(source, _)| source != number) {
            log::warn!(
                "discovery reports an older revision rev={} known={known_revision}: known engines stay in use",
                list.revision
            );
            self.behind = Some((number, Instant::now() + BEHIND_TIMEOUT));
        }
        list.targets.retain(|target| !target.is_serving() && self.server_ids.contains(target));
        (list.revision, list.is_full) = (known_revision, false);
        (!list.targets.is_empty()).then(|| list.to_change(&self.names, &mut self.server_ids))
    }

    /// Accepts the list of an address that still reports an older revision
    /// after `BEHIND_TIMEOUT`, by requesting its whole list again.
    fn accept_older_list(&mut self) {
        let Some((number, _)) = self.behind.take().filter(|(number, _)| *number == self.newest_source) else {
            return;
        };
        let known_revision = self.revision.unwrap_or(0);
        log::warn!("discovery still reports an older revision, accepting its list known={known_revision}");
        self.sources.retain(|(source, task)| {
            if *source == number {
                task.abort();
            }
            *source != number
        });
        self.open_source(Opening::NewAddress, None);
        self.accepted_source = self.newest_source;
    }

    /// Returns true if responses of the given source are accepted; if so, all older sources are stopped.
    fn accept(&mut self, number: u64) -> bool {
        // A stopped source may have left a list in the channel, which is ignored.
        let Some(older_sources) = self.sources.iter().position(|(source, _)| *source == number) else {
            return false;
        };
        self.sources.drain(..older_sources).for_each(|(_, task)| task.abort());
        true
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.sources.iter().for_each(|(_, task)| task.abort());
    }
}

impl Changes for Watch {
    async fn next(&mut self) -> Option<Change> {
        if let Some(mut known) = self.known.take() {
            known.is_full = true;
            self.revision = Some(known.revision);
            return Some(known.to_change(&self.names, &mut self.server_ids));
        }
        loop {
            let rejected_until = self.behind.map_or_else(Instant::now, |(_, until)| until);
            tokio::select! {
                Some((number, list)) = self.lists.recv() => {
                    if let Some(known_revision) = self.applied_if_older(number, &list) {
                        if let Some(change) = self.change_from_older(number, known_revision, list) {
                            return Some(change);
                        }
                    } else if self.accept(number) {
                        self.revision = Some(list.revision);
                        return Some(list.to_change(&self.names, &mut self.server_ids));
                    }
                }
                Ok(()) = self.address.changed() => {
                    log::info!("discovery address changed to={}", *self.address.borrow());
                    // Without a list so far there is no revision to continue from.
                    let opening = self.revision.map_or(Opening::WithoutList, |_| Opening::NewAddress);
                    self.open_source(opening, self.revision);
                }
                () = tokio::time::sleep_until(rejected_until), if self.behind.is_some() => self.accept_older_list(),
            }
        }
    }
}
