//! Discovery's watch: each call waits for what is newer than the last answer. It moves when it is told
//! another address, and goes on at the old one until the new one has answered and is not behind: an older
//! revision has nothing to tell of what was told since, so the engines known stay in use.

use super::backoff::{Asking, Backoff, GRACE, Opening};
use super::pool::{Channel, Pool, PoolLimits};
use super::transport::WriteWatch;
use crate::config::{List, Names, Numbers};
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

/// How long a watch may wait for news. With the grace it is a second less than the 6 s after which, by the
/// protocol, what a silent watch misses counts as told: the next one has to be open and answered by then.
const WAIT: Duration = Duration::from_secs(3);
/// How long the call that opens a watch may wait for news.
const FIRST_WAIT: Duration = Duration::from_secs(1);
/// How long a new address may be behind what was told before. By the protocol all that there is to tell has
/// been told by then: a lower revision is another history, and its list counts.
const BEHIND: Duration = Duration::from_secs(6);
const LIST_BYTES: usize = 4 << 20;
const BUFFER: usize = 64 << 10;

/// A watch at one address.
struct Source {
    address: Arc<str>,
    pool: Rc<Pool>,
    channel: Option<Channel>,
    revision: Option<u64>,
    backoff: Backoff,
}

impl Source {
    fn new(address: Arc<str>, backoff: Backoff) -> Self {
        let limits =
            PoolLimits { connections: 2, reserved: 0, buffer: BUFFER, dial_timeout: GRACE, idle: WAIT };
        Self { address, pool: Pool::new(limits), channel: None, revision: None, backoff }
    }

    /// Asks for what is new, or for all. A watch that is open is renewed; else it is opened, with less patience and
    /// a shorter wait for news: nothing shows yet that anybody listens there.
    async fn ask(&mut self, open: bool) -> Result<List, AttemptError> {
        let (wait, patience) =
            if open { (WAIT, WAIT + GRACE) } else { (FIRST_WAIT, self.backoff.patience()) };
        let path = match self.revision {
            None => "/v1/endpoints".to_owned(),
            Some(rev) => format!("/v1/endpoints?index={rev}&wait={}", wait.as_millis()),
        };
        let request = Request::get(path).header(HOST, &*self.address).body(Full::new(Bytes::new()));
        let request = request.map_err(|e| AttemptError::new(Progress::Unconnected, e))?;
        let kept = self.channel.take();
        let call = async {
            let mut channel = match kept {
                Some(channel) => channel,
                None => self.pool.take(&self.address).await?,
            };
            let answer = channel.send(request, 0, WriteWatch::default()).await?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), LIST_BYTES).collect().await;
            let body = body.map_err(|e| AttemptError::new(Progress::Written, e))?.to_bytes();
            if !status.is_success() {
                return Err(AttemptError::new(Progress::Written, format!("status {status}")));
            }
            channel.answered();
            let list = serde_json::from_slice(&body).map_err(|e| AttemptError::new(Progress::Written, e))?;
            Ok((list, channel))
        };
        let late = |_| Err(AttemptError::new(Progress::TimedOut, "silent"));
        // The dial is part of the call: one that does not come up is as silent as an answer that does not.
        let (list, channel) = tokio::time::timeout(patience, call).await.unwrap_or_else(late)?;
        self.channel = Some(channel);
        Ok(list)
    }

    /// Hands on every answer that tells something, for as long as somebody listens. A source that knows a
    /// revision opens its watch from there.
    async fn run(mut self, opening: Opening, number: u64, lists: mpsc::Sender<(u64, List)>) {
        tokio::time::sleep(self.backoff.begin(opening)).await;
        let mut open = false;
        loop {
            let began = Instant::now();
            match self.ask(open).await {
                Ok(list) if !list.all && self.revision.is_some_and(|known| list.rev < known) => {
                    // Its changes apply to another list than the one that is known.
                    log::warn!("discovery at={} steps back rev={}: asked for all", self.address, list.rev);
                    self.revision = None;
                    tokio::time::sleep(self.backoff.failed(began.elapsed()).0).await;
                }
                Ok(list) => {
                    // The first answer tells, also where it is empty, that this address can be followed.
                    let first = !std::mem::replace(&mut open, true);
                    let failures = self.backoff.answered();
                    if failures > 0 {
                        log::info!("discovery answers again at={} after failures={failures}", self.address);
                    }
                    self.revision = Some(list.rev);
                    let tells = first || list.all || !list.targets.is_empty();
                    if tells && lists.send((number, list)).await.is_err() {
                        return;
                    }
                }
                Err(error) => {
                    let (pause, first) = self.backoff.failed(began.elapsed());
                    // A watch that fell silent is broken, and the service may be well: what it misses counts as
                    // told soon. Gateways notice it at moments of their own.
                    let silent = std::mem::take(&mut open) && error.progress == Progress::TimedOut;
                    let pause = if silent { Duration::ZERO } else { pause };
                    // One line for each outage, not one for each call in it.
                    let level = if first { log::Level::Warn } else { log::Level::Debug };
                    log::log!(level, "discovery at={} {error}", self.address);
                    tokio::time::sleep(pause).await;
                }
            }
        }
    }
}

/// A watch at the address that was told last.
pub struct Watch {
    names: Names,
    numbers: Numbers,
    /// The list as the gateway held it last, until it is handed on.
    known: Option<List>,
    address: watch::Receiver<Arc<str>>,
    asking: Asking,
    /// Sources with their numbers; all but the newest end once that one has answered.
    sources: Vec<(u64, AbortHandle)>,
    begun: u64,
    /// The revision of what was handed on last, once anything was.
    revision: Option<u64>,
    /// The newest source, once it was found behind, and when that is no longer believed of it.
    behind: Option<(u64, Instant)>,
    /// The source whose list counts whatever its revision.
    believed: u64,
    lists: mpsc::Receiver<(u64, List)>,
    found: mpsc::Sender<(u64, List)>,
}

impl Watch {
    /// A watch that begins with what is known and then asks, at the address that is told last, for the whole
    /// list, or at a shared service for what has changed since.
    pub fn new(
        address: watch::Receiver<Arc<str>>,
        names: Names,
        known: Option<List>,
        asking: Asking,
    ) -> Self {
        let (found, lists) = mpsc::channel(1);
        let numbers = Numbers::default();
        let mut watch = Self {
            names,
            numbers,
            known,
            address,
            asking,
            sources: Vec::new(),
            begun: 0,
            revision: None,
            behind: None,
            believed: 0,
            lists,
            found,
        };
        let known = watch.known.as_ref().map(|known| known.rev);
        watch.begin(known.map_or(Opening::Blank, |_| Opening::Known), known);
        watch
    }

    /// Begins at the address that was told last, from a revision if one is known.
    fn begin(&mut self, opening: Opening, from: Option<u64>) {
        self.begun += 1;
        let seed = self.asking.seed.wrapping_add(self.begun);
        let mut source = Source::new(
            self.address.borrow_and_update().clone(),
            Backoff::new(Asking { seed, ..self.asking }),
        );
        // At a shared service a whole list costs each of its lines, and gateways that start together would wait
        // for each other's: what has changed since the list that is known is enough. An agent's list is free.
        source.revision = from.filter(|_| self.asking.shared);
        let task = tokio::task::spawn_local(source.run(opening, self.begun, self.found.clone()));
        self.sources.push((self.begun, task.abort_handle()));
    }

    /// Whether an answer tells less than was told: it comes from an address that is not followed yet.
    /// Gives the revision that was told.
    fn behind_what(&self, number: u64, list: &List) -> Option<u64> {
        let followed = self.sources.first().is_some_and(|(oldest, _)| number <= *oldest);
        self.revision.filter(|known| !followed && number != self.believed && list.rev < *known)
    }

    /// What counts of an answer that is behind: drains do, whoever tells of them. Nothing comes back into use
    /// by it and nothing that it lacks is gone.
    fn of_behind(&mut self, number: u64, known: u64, mut list: List) -> Option<Change> {
        if self.behind.is_none_or(|(source, _)| source != number) {
            log::warn!("discovery is behind rev={} known={known}: engines known stay", list.rev);
            self.behind = Some((number, Instant::now() + BEHIND));
        }
        list.targets.retain(|target| !target.is_serving() && self.numbers.knows(target));
        (list.rev, list.all) = (known, false);
        (!list.targets.is_empty()).then(|| list.change(&self.names, &mut self.numbers))
    }

    /// An address that stays behind is believed: it is asked for its whole list again.
    fn believe(&mut self) {
        let Some((number, _)) = self.behind.take().filter(|(number, _)| *number == self.begun) else {
            return;
        };
        let known = self.revision.unwrap_or(0);
        log::warn!("discovery stays behind, its list counts from now on known={known}");
        self.sources.retain(|(source, task)| {
            if *source == number {
                task.abort();
            }
            *source != number
        });
        self.begin(Opening::Moved, None);
        self.believed = self.begun;
    }

    /// Whether an answer of that source counts; if so those before it have had their time.
    fn accept(&mut self, number: u64) -> bool {
        // One that was given up may have left a list: nothing follows from that.
        let Some(before) = self.sources.iter().position(|(source, _)| *source == number) else {
            return false;
        };
        self.sources.drain(..before).for_each(|(_, task)| task.abort());
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
            known.all = true;
            self.revision = Some(known.rev);
            return Some(known.change(&self.names, &mut self.numbers));
        }
        loop {
            let until = self.behind.map_or_else(Instant::now, |(_, until)| until);
            tokio::select! {
                Some((number, list)) = self.lists.recv() => {
                    if let Some(known) = self.behind_what(number, &list) {
                        if let Some(change) = self.of_behind(number, known, list) {
                            return Some(change);
                        }
                    } else if self.accept(number) {
                        self.revision = Some(list.rev);
                        return Some(list.change(&self.names, &mut self.numbers));
                    }
                }
                Ok(()) = self.address.changed() => {
                    log::info!("discovery moves to={}", *self.address.borrow());
                    // Without a list so far there is nothing to go on from.
                    let opening = self.revision.map_or(Opening::Blank, |_| Opening::Moved);
                    self.begin(opening, self.revision);
                }
                () = tokio::time::sleep_until(until), if self.behind.is_some() => self.believe(),
            }
        }
    }
}
