//! The operator's file for the embeddings and rerank API.

use super::{ConfigError, List, config_error};
use crate::interface::{Class, Effect, Micros, Role, Settings};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Which of the two calls a pool of engines answers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Api {
    /// `POST /v1/embeddings`
    Embeddings,
    /// `POST /v1/rerank`
    Rerank,
}

/// What repeating a call does, as the file says it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// Nothing.
    Safe,
    /// Harm: what may have run is not sent again.
    Unsafe,
}

/// How the list of engines comes.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum MembershipMode {
    /// An agent beside the gateway is told.
    Push,
    /// One service is asked by all gateways.
    Ask,
}

/// The engines of one model, and how calls to it are handled.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct InferencePool {
    /// The model's name, in calls and in the list of engines.
    pub model: String,
    /// Which call it answers.
    pub api: Api,
    /// What repeating a call does.
    pub effect: Repeat,
    /// What a call should take.
    pub aim_ms: u64,
    /// How long a call may take.
    pub deadline_ms: u64,
    /// Tokens that an engine can hold; not bounded if absent.
    #[serde(default)]
    pub memory_tokens: Option<f64>,
    /// Most inputs or documents in a call.
    #[serde(default = "max_inputs")]
    pub max_inputs: usize,
    /// Where the list of engines is watched.
    pub discovery: String,
    /// Whether that is one service that all gateways ask; as for chat if absent.
    #[serde(default)]
    pub membership_mode: Option<MembershipMode>,
    /// The list to begin with.
    #[serde(default)]
    pub known: Option<List>,
}

fn max_inputs() -> usize {
    2048
}

/// A checked file.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Inference {
    /// Routers that share these engines, this one included.
    #[serde(default = "super::default_replicas")]
    pub replicas: u32,
    /// For how long the answer to a call with an idempotency key is kept for its repeats.
    #[serde(default = "keep_ms")]
    pub keep_answers_ms: u64,
    /// One pool for each model.
    pub pools: Vec<InferencePool>,
}

fn keep_ms() -> u64 {
    60_000
}

impl Inference {
    /// Decodes and checks the file.
    pub fn decode(text: &[u8]) -> Result<Self, ConfigError> {
        let file: Self = serde_json::from_slice(text).map_err(config_error)?;
        if file.pools.is_empty() {
            return Err(config_error("pools: none"));
        }
        let mut models = BTreeSet::new();
        for pool in &file.pools {
            let says = |what: &str| Err(config_error(format!("pool {}: {what}", pool.model)));
            if pool.model.is_empty() || !models.insert(&pool.model) {
                return says("model: empty or there twice");
            }
            if pool.deadline_ms == 0 || pool.aim_ms == 0 || pool.aim_ms > pool.deadline_ms {
                return says("aimMs must lie above 0 and not above deadlineMs");
            }
            if pool.max_inputs == 0 {
                return says("maxInputs: none allowed");
            }
            if pool.discovery.parse::<SocketAddr>().is_err() {
                return says("discovery: not an address and port");
            }
        }
        Ok(file)
    }

    /// How long answers are kept for repeats.
    pub fn keep_answers(&self) -> Duration {
        Duration::from_millis(self.keep_answers_ms)
    }

    /// What the decision module is told of a pool: one kind of server, which does all by itself.
    pub fn settings(&self, pool: &InferencePool) -> Settings {
        let micros = |ms: u64| -> Micros { ms * 1000 };
        let effect = match pool.effect {
            Repeat::Safe => Effect::Safe,
            Repeat::Unsafe => Effect::Unsafe,
        };
        Settings {
            replicas: self.replicas,
            roles: vec![Role::Both],
            memory_tokens: pool.memory_tokens.into_iter().collect(),
            classes: vec![Class {
                aim: micros(pool.aim_ms),
                deadline: micros(pool.deadline_ms),
                effect,
                ..Class::default()
            }],
            ..Settings::default()
        }
    }
}

#[cfg(test)]
mod tests {
    use super::Inference;
    use rstest::rstest;

    const POOL: &str =
        r#"{"model":"m","api":"rerank","effect":"safe","aimMs":5,"deadlineMs":9,"discovery":"127.0.0.1:1"}"#;

    // An operator's slip must stop the start, not surface as odd answers later.
    #[rstest]
    #[case::good("", "", "")]
    #[case::aim_past_deadline(r#""aimMs":5"#, r#""aimMs":10"#, "aimMs")]
    #[case::no_such_api("rerank", "summarise", "unknown variant")]
    #[case::no_such_effect("safe", "maybe", "unknown variant")]
    #[case::misspelt_key("aimMs", "aimms", "unknown field")]
    #[case::no_such_mode(r#""aimMs""#, r#""membershipMode":"guess","aimMs""#, "unknown variant")]
    #[case::mode_of_its_own(r#""aimMs""#, r#""membershipMode":"push","aimMs""#, "")]
    #[case::no_address("127.0.0.1:1", "engines", "discovery")]
    #[case::no_model(r#""m""#, r#""""#, "model")]
    fn file_is_checked(#[case] from: &str, #[case] to: &str, #[case] complaint: &str) {
        let text = format!(r#"{{"pools":[{}]}}"#, POOL.replacen(from, to, 1));
        match Inference::decode(text.as_bytes()) {
            Ok(_) => assert_eq!(complaint, ""),
            Err(error) => assert!(!complaint.is_empty() && error.to_string().contains(complaint), "{error}"),
        }
    }

    #[test]
    fn a_model_has_one_pool() {
        let text = format!(r#"{{"pools":[{POOL},{POOL}]}}"#);
        assert!(Inference::decode(text.as_bytes()).is_err());
    }
}
