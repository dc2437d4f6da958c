//! Networking: connections to engines, the discovery client, the server side, and signals.

mod accept;
mod answer;
mod backoff;
mod client_body;
mod client_stream;
mod closing;
mod connection;
mod discard;
mod discovery;
mod engines;
mod events;
mod eviction;
mod heads;
mod inherited;
mod limits;
mod listen;
mod pool;
mod read_ahead;
mod serve;
mod signals;
mod transport;

pub use backoff::DiscoveryCallParams;
pub use closing::{CloseReason, ClosedConnection};
pub use discovery::Watch;
pub use engines::{HttpEngines, HttpEvents, Job, Processing};
pub use inherited::inherited_listener;
pub use limits::ServeLimits;
pub use listen::bind;
pub use pool::{Pool, PoolLimits};
pub use serve::{Front, FrontBody, Phase, serve};
pub use signals::listen_for_signals;
