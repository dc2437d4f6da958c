//! Discovery's watch: each call waits for what is newer than the last answer.

use super::pool::{Channel, Pool, PoolLimits};
use crate::config::{List, Names, Numbers};
use crate::gateway::{AttemptError, Change, Changes, Progress};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::header::HOST;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How long a watch may wait for news.
const WAIT: Duration = Duration::from_secs(20);
/// How much longer than it may wait an answer may take.
const GRACE: Duration = Duration::from_secs(2);
/// Pause after a failed call; a watch goes on only if it is renewed within 200 ms.
const PAUSE: Duration = Duration::from_millis(50);
const LIST_BYTES: usize = 4 << 20;
const BUFFER: usize = 64 << 10;

/// A running watch.
pub struct Watch {
    address: Arc<str>,
    names: Names,
    numbers: Numbers,
    pool: Rc<Pool>,
    channel: Option<Channel>,
    /// The list as the gateway held it last, until it is handed on.
    known: Option<List>,
    revision: Option<u64>,
}

impl Watch {
    /// A watch that begins with what is known and then asks for the whole list.
    pub fn new(address: &str, names: Names, known: Option<List>) -> Self {
        let limits = PoolLimits { connections: 2, buffer: BUFFER, dial_timeout: GRACE, idle: WAIT };
        Self {
            address: Arc::from(address),
            names,
            numbers: Numbers::default(),
            pool: Pool::new(limits),
            channel: None,
            known,
            revision: None,
        }
    }

    async fn ask(&mut self) -> Result<List, AttemptError> {
        let (path, wait) = match self.revision {
            None => ("/v1/endpoints".to_owned(), GRACE),
            Some(rev) => (format!("/v1/endpoints?index={rev}&wait={}", WAIT.as_millis()), WAIT + GRACE),
        };
        let request = Request::get(path).header(HOST, &*self.address).body(Full::new(Bytes::new()));
        let request = request.map_err(|e| AttemptError::new(Progress::Unconnected, e))?;
        let mut channel = match self.channel.take() {
            Some(channel) => channel,
            None => self.pool.take(&self.address).await?,
        };
        let call = async {
            let answer = channel.send(request, 0).await?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), LIST_BYTES).collect().await;
            let body = body.map_err(|e| AttemptError::new(Progress::Written, e))?.to_bytes();
            if !status.is_success() {
                return Err(AttemptError::new(Progress::Written, format!("status {status}")));
            }
            serde_json::from_slice(&body).map_err(|e| AttemptError::new(Progress::Written, e))
        };
        let late = |_| Err(AttemptError::new(Progress::TimedOut, "silent"));
        let list = tokio::time::timeout(wait, call).await.unwrap_or_else(late)?;
        self.channel = Some(channel);
        Ok(list)
    }
}

impl Changes for Watch {
    async fn next(&mut self) -> Option<Change> {
        if let Some(mut known) = self.known.take() {
            known.all = true;
            return Some(known.change(&self.names, &mut self.numbers));
        }
        loop {
            match self.ask().await {
                Ok(list) => {
                    self.revision = Some(list.rev);
                    if list.all || !list.targets.is_empty() {
                        return Some(list.change(&self.names, &mut self.numbers));
                    }
                }
                Err(error) => {
                    log::warn!("discovery {error}");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }
}
