//! Fronts: what clients speak, turned into what the core takes in, and its answers turned back.

mod platform;
mod reply;

pub use platform::{Platform, Shared};
