//! Sockets: connections to engines, discovery's watch, the server side, and signals.

mod discovery;
mod engines;
mod pool;
mod serve;
mod signals;
mod transport;

pub use discovery::Watch;
pub use engines::{HttpEngines, HttpEvents, Job, Manner};
pub use pool::{Pool, PoolLimits};
pub use serve::{Front, FrontBody, Phase, ServeLimits, serve};
pub use signals::{reload_asked, stop_asked};
