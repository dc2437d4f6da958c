//! meadowlug routes requests to the prefill servers ("readers") and decode servers ("writers") of a language
//! model.
//!
//! The decision module, [`Router`], performs no input or output and reads no clock. Its host passes events
//! with the current time to the router and executes the actions that the router returns.
//!
//! ```
//! use meadowlug::interface::*;
//! use meadowlug::Router;
//! use std::sync::Arc;
//!
//! let settings = Settings {
//!     roles: vec![Role::Read, Role::Write],
//!     memory_tokens: vec![200_000.0, 120_000.0],
//!     classes: vec![Class::default()],
//!     ..Settings::default()
//! };
//! let mut router = Router::new(settings, 7).expect("valid settings");
//! let server = |id, kind| Entry { server: ServerId(id), kind, ..Entry::default() };
//! let roster = Event::Roster { form: RosterForm::Full, entries: vec![server(1, 0), server(2, 1)] };
//! let request = Event::Request(Arrival {
//!     id: RequestId(Arc::from("a")),
//!     prompt_tokens: 900.0,
//!     max_output_tokens: 200.0,
//!     expires_in: 5_000_000,
//!     ..Arrival::default()
//! });
//! let actions = router.handle(1_000_000, &[roster, request]);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: ServerId(1), .. })));
//! ```
#![forbid(unsafe_code)]

pub mod choice;
pub mod config;
pub mod daemon;
pub mod front;
pub mod gateway;
pub mod interface;
pub mod log;
pub mod memory;
pub mod net;
pub mod numeric;
pub mod slow_start;

pub use choice::Router;
