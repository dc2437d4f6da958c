//! Configuration file of the embeddings and rerank API.

use super::{ConfigError, EngineList, config_error};
use crate::interface::{Class, Effect, Micros, Role, Settings};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// API call that a pool of engines answers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Api {
    /// `POST /v1/embeddings`
    Embeddings,
    /// `POST /v1/rerank`
    Rerank,
}

/// Effect of running a call more than once, as configured in the file.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum RepeatEffect {
    /// A repeat does no harm.
    Safe,
    /// A repeat does harm: a call that may have run is not sent again.
    Unsafe,
}

/// How the gateway learns the list of engines.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum MembershipMode {
    /// A local agent is notified of changes, and the gateway watches the agent.
    Push,
    /// All gateways query one service.
    Ask,
}

/// The engines of one model and the limits of calls to the model.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct InferencePool {
    /// Name of the model, in calls and in the list of engines.
    pub model: String,
    /// API call that the pool answers.
    pub api: Api,
    /// Effect of running a call more than once.
    pub effect: RepeatEffect,
    /// Target duration of a call, in milliseconds.
    pub aim_ms: u64,
    /// Maximum duration of a call, in milliseconds.
    pub deadline_ms: u64,
    /// Number of tokens that an engine can hold. Unlimited if absent.
    #[serde(default)]
    pub memory_tokens: Option<f64>,
    /// Maximum number of inputs or documents in a call.
    #[serde(default = "default_max_inputs")]
    pub max_inputs: usize,
    /// Address of the discovery service that lists the engines.
    pub discovery: String,
    /// How the gateway learns the list of engines. If absent, the mode of the chat front applies.
    #[serde(default)]
    pub membership_mode: Option<MembershipMode>,
    /// List of engines to start with, before discovery has answered.
    #[serde(default)]
    pub known: Option<EngineList>,
}

fn default_max_inputs() -> usize {
    2048
}

/// A validated configuration file.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase", deny_unknown_fields)]
pub struct Inference {
    /// Number of routers that share these engines, including this one.
    #[serde(default = "super::default_replicas")]
    pub replicas: u32,
    /// Maximum time for which the answer to a call with an idempotency key is kept for repeats, in
    /// milliseconds. The oldest answers are dropped earlier if too many bytes are kept.
    #[serde(default = "default_keep_answers_ms")]
    pub keep_answers_ms: u64,
    /// One pool for each model.
    pub pools: Vec<InferencePool>,
}

fn default_keep_answers_ms() -> u64 {
    60_000
}

impl Inference {
    /// Decodes and validates the file.
    pub fn decode(text: &[u8]) -> Result<Self, ConfigError> {
        let file: Self = serde_json::from_slice(text).map_err(config_error)?;
        if file.pools.is_empty() {
            return Err(config_error("pools: empty"));
        }
        let mut models = BTreeSet::new();
        for pool in &file.pools {
            let invalid = |message: &str| Err(config_error(format!("pool {}: {message}", pool.model)));
            if pool.model.is_empty() || !models.insert(&pool.model) {
                return invalid("model: empty or used by two pools");
            }
            if pool.deadline_ms == 0 || pool.aim_ms == 0 || pool.aim_ms > pool.deadline_ms {
                return invalid("aimMs must be above 0 and at most deadlineMs");
            }
            if pool.max_inputs == 0 {
                return invalid("maxInputs must be above 0");
            }
            if pool.discovery.parse::<SocketAddr>().is_err() {
                return invalid("discovery: not an IP address and port");
            }
        }
        Ok(file)
    }

    /// Maximum time for which answers are kept for repeats.
    pub fn keep_answers(&self) -> Duration {
        Duration::from_millis(self.keep_answers_ms)
    }

    /// Decision module settings of a pool, which has one kind of server with the role `Both`.
    pub fn settings(&self, pool: &InferencePool) -> Settings {
        let micros = |ms: u64| -> Micros { ms * 1000 };
        let effect = match pool.effect {
            RepeatEffect::Safe => Effect::Safe,
            RepeatEffect::Unsafe => Effect::Unsafe,
        };
        Settings {
            replicas: self.replicas,
            roles: vec![Role::Both],
            memory_tokens: pool.memory_tokens.into_iter().collect(),
            classes: vec![Class {
                first_token_target: micros(pool.aim_ms),
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

    // A mistake in the file must prevent the start instead of causing wrong answers later.
    #[rstest]
    #[case::valid("", "", "")]
    #[case::target_above_deadline(r#""aimMs":5"#, r#""aimMs":10"#, "aimMs")]
    #[case::unknown_api("rerank", "summarise", "unknown variant")]
    #[case::unknown_effect("safe", "maybe", "unknown variant")]
    #[case::misspelt_field("aimMs", "aimms", "unknown field")]
    #[case::unknown_membership_mode(r#""aimMs""#, r#""membershipMode":"guess","aimMs""#, "unknown variant")]
    #[case::membership_mode_of_the_pool(r#""aimMs""#, r#""membershipMode":"push","aimMs""#, "")]
    #[case::invalid_discovery_address("127.0.0.1:1", "engines", "discovery")]
    #[case::empty_model(r#""m""#, r#""""#, "model")]
    fn file_is_validated(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
        let text = format!(r#"{{"pools":[{}]}}"#, POOL.replacen(from, to, 1));
        match Inference::decode(text.as_bytes()) {
            Ok(_) => assert_eq!(expected, ""),
            Err(error) => assert!(!expected.is_empty() && error.to_string().contains(expected), "{error}"),
        }
    }

    #[test]
    fn two_pools_of_one_model_are_rejected() {
        let text = format!(r#"{{"pools":[{POOL},{POOL}]}}"#);
        assert!(Inference::decode(text.as_bytes()).is_err());
    }
}
