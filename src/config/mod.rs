//! The gateway's configuration: decodes and validates the file and converts it for the other modules.

mod bounds;
mod inference;
mod lease;
mod list;
mod reload;
mod shared;

pub use bounds::{Bounds, Resources};
pub use inference::{Api, Inference, InferencePool, MembershipMode, RepeatEffect};
pub use list::{EngineList, NameTables, ServerIds, Target, index_of};
pub use reload::Reload;
pub use shared::{OperatorCommands, SharedState};

use crate::interface::{Class, Effect, Group, Load, Micros, Role, Settings};
use serde::Deserialize;
use std::fmt;
use std::time::Duration;

/// Error of a configuration that cannot be decoded or fails validation.
#[derive(Debug)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}", self.0)
    }
}

impl std::error::Error for ConfigError {}

fn config_error(message: impl fmt::Display) -> ConfigError {
    ConfigError(message.to_string())
}

/// The configuration file as it is written.
#[derive(Debug, Deserialize)]
struct ConfigFile {
    #[serde(default)]
    name: String,
    listen: String,
    discovery: String,
    #[serde(default)]
    management: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Resources,
    #[serde(default)]
    known: Option<serde_json::Value>,
    settings: SettingsSection,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsSection {
    #[serde(default = "default_replicas")]
    replicas_of_me: u32,
    #[serde(default)]
    me: Option<u32>,
    #[serde(default)]
    zone: u32,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    categories: Vec<Category>,
    #[serde(default)]
    projects: Vec<Project>,
    #[serde(default)]
    permissions: Permissions,
    #[serde(default)]
    rules: Rules,
    #[serde(default)]
    extra: Extra,
    #[serde(default)]
    report: Report,
    #[serde(default)]
    resolution_ms: Option<f64>,
    #[serde(default)]
    membership_mode: String,
}

fn default_replicas() -> u32 {
    1
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Category {
    name: String,
    objective_ms: f64,
    hard_limit_ms: f64,
    effect: String,
    #[serde(default)]
    group: Option<String>,
    #[serde(default)]
    window_ms: f64,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Project {
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Permissions {
    cancelling: Option<bool>,
    conn_idle_ms: Option<f64>,
    dial_timeout_ms: Option<f64>,
    max_attempts: Option<u32>,
    probes: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Rules {
    cold_from: Option<f64>,
    warm_after_ms: Option<f64>,
    overload_factor: Option<f64>,
    fall_ms: Option<f64>,
    ask_within_ms: Option<f64>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Extra {
    #[serde(rename = "roleByKind")]
    roles: Vec<String>,
    #[serde(rename = "tokensByKind")]
    memory_tokens: Vec<f64>,
    #[serde(rename = "aimUsPer1000PromptTokens")]
    target_us_per_1000: Vec<f64>,
    #[serde(rename = "tokenAimMs")]
    token_interval_target_ms: Vec<f64>,
    #[serde(rename = "letGoByMs")]
    release_within_ms: Option<f64>,
    #[serde(rename = "readInPlace")]
    writers_may_read: bool,
    resume: bool,
    #[serde(rename = "reportX0")]
    x0_meaning: String,
    #[serde(rename = "reportX1")]
    x1_meaning: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Report {
    fields: Vec<String>,
    how: String,
}

/// Names of the load report's fields that hold the values used by the decision module.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadReportFields {
    memory_share: Option<String>,
    queued_kilotokens: Option<String>,
}

impl LoadReportFields {
    /// Parses a report; a field that is missing or malformed is absent from the result.
    pub fn parse(&self, report: &[u8]) -> Load {
        let report: serde_json::Value = serde_json::from_slice(report).unwrap_or_default();
        let non_negative = |name: &Option<String>| {
            let value = report.get(name.as_deref()?)?.as_f64()?;
            (value >= 0.0).then_some(value)
        };
        Load {
            memory_share: non_negative(&self.memory_share),
            queued_kilotokens: non_negative(&self.queued_kilotokens),
        }
    }
}

/// A validated configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the gateway.
    pub name: String,
    /// Address that clients connect to.
    pub listen: String,
    /// Address of the discovery service.
    pub discovery: String,
    /// True if discovery is one service that all gateways query, false if each gateway has a local agent.
    pub shared_discovery: bool,
    /// Time after which the protocol counts a change to the list as announced, even to a gateway
    /// without an open watch.
    pub announced_after: Duration,
    /// Address that operators connect to, if management is enabled.
    pub management: Option<String>,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Limits on the memory and file descriptors of the process.
    pub resources: Resources,
    /// List of engines that the gateway held before its restart.
    pub known: Option<EngineList>,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the entries that the settings refer to by index.
    pub names: NameTables,
    /// Names of the fields in load reports.
    pub load: LoadReportFields,
    /// Timeout for establishing a connection to an engine.
    pub dial_timeout: Duration,
    /// Time after which engines close an idle connection.
    pub idle_limit: Duration,
    /// True if clients request the rest of a response whose connection broke.
    pub resume: bool,
}

/// The part of a configuration that changes only when the program is restarted.
#[derive(Clone, Debug, PartialEq)]
struct RestartOnly {
    names: NameTables,
    roles: Vec<Role>,
    load: LoadReportFields,
    dial_timeout: Duration,
    idle_limit: Duration,
    resume: bool,
    shared_discovery: bool,
    announced_after: Duration,
}

fn micros(ms: f64) -> Micros {
    (ms.max(0.0) * 1000.0).round() as Micros
}

fn micros_or(ms: Option<f64>, default: Micros) -> Micros {
    ms.map_or(default, micros)
}

impl Config {
    fn restart_only(&self) -> RestartOnly {
        RestartOnly {
            names: self.names.clone(),
            roles: self.settings.roles.clone(),
            load: self.load.clone(),
            dial_timeout: self.dial_timeout,
            idle_limit: self.idle_limit,
            resume: self.resume,
            shared_discovery: self.shared_discovery,
            announced_after: self.announced_after,
        }
    }

    /// Decodes and validates a configuration file.
    pub fn decode(text: &[u8]) -> Result<Self, ConfigError> {
        let file: ConfigFile = serde_json::from_slice(text).map_err(config_error)?;
        let section = &file.settings;
        let settings = decision_settings(section)?;
        let names = NameTables {
            zones: section.zones.clone(),
            kinds: section.kinds.clone(),
            classes: section.categories.iter().map(|category| category.name.clone()).collect(),
            tenants: section.projects.iter().map(|project| project.name.clone()).collect(),
        };
        Ok(Self {
            load: LoadReportFields {
                memory_share: memory_share_field(section),
                queued_kilotokens: report_field(section, "prompt tokens"),
            },
            dial_timeout: Duration::from_micros(settings.dial_timeout),
            idle_limit: Duration::from_micros(micros_or(section.permissions.conn_idle_ms, 15_000_000)),
            resume: section.extra.resume,
            settings,
            names,
            seed: u64::from_str_radix(&file.seed, 16).unwrap_or(0),
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            shared_discovery: section.membership_mode == "ask",
            announced_after: Duration::from_micros(micros_or(section.rules.ask_within_ms, 10_000_000)),
            management: file.management,
            resources: file.limits,
            known: file.known.and_then(decode_known_list),
        })
    }
}

/// Decodes the list of engines held before a restart. A malformed list does not prevent the start, because
/// discovery supplies a new list.
fn decode_known_list(list: serde_json::Value) -> Option<EngineList> {
    serde_json::from_value(list).map_err(|e| log::warn!("known list ignored: {e}")).ok()
}

/// Rejects values that would leave the load of a server in slow start without a limit or with a wrong one.
fn check_slow_start(section: &SettingsSection) -> Result<(), ConfigError> {
    let check_min = |field: &str, value: Option<f64>, min: f64| match value {
        Some(value) if value < min => Err(config_error(format!("{field}: {value} is less than {min}"))),
        _ => Ok(()),
    };
    check_min("replicasOfMe", Some(f64::from(section.replicas_of_me)), 1.0)?;
    check_min("rules.coldFrom", section.rules.cold_from, 0.0)?;
    check_min("rules.warmAfterMs", section.rules.warm_after_ms, 0.0)?;
    check_min("rules.overloadFactor", section.rules.overload_factor, 0.0)?;
    check_min("rules.fallMs", section.rules.fall_ms, 0.0)?;
    section
        .projects
        .iter()
        .try_for_each(|project| check_min("projects.quotaPerS", Some(project.quota_per_s), 0.0))
}

fn decision_settings(section: &SettingsSection) -> Result<Settings, ConfigError> {
    check_slow_start(section)?;
    let defaults = Settings::default();
    let extra = &section.extra;
    let role = |name: &String| match name.as_str() {
        "read" => Ok(Role::Read),
        "write" => Ok(Role::Write),
        "both" => Ok(Role::Both),
        _ => Err(config_error(format!("extra.roleByKind: unknown role {name}"))),
    };
    let roles = extra.roles.iter().map(role).collect::<Result<Vec<_>, _>>()?;
    if roles.len() < section.kinds.len() {
        return Err(config_error("extra.roleByKind: fewer roles than kinds"));
    }
    let reports_memory = section.report.how != "none" && memory_share_field(section).is_some();
    let value_or_zero = |values: &[f64], index: usize| values.get(index).copied().unwrap_or(0.0);
    let class = |(index, category): (usize, &Category)| {
        Ok(Class {
            first_token_target: micros(category.objective_ms),
            first_token_target_per_1000: value_or_zero(&extra.target_us_per_1000, index).max(0.0) as Micros,
            deadline: micros(category.hard_limit_ms),
            inter_token_target: micros(value_or_zero(&extra.token_interval_target_ms, index)),
            effect: effect(category)?,
        })
    };
    Ok(Settings {
        replicas: section.replicas_of_me,
        instance: section.me,
        zone: section.zone,
        roles,
        memory_tokens: extra.memory_tokens.clone(),
        classes: section.categories.iter().enumerate().map(class).collect::<Result<_, _>>()?,
        tenant_rates: section.projects.iter().map(|project| project.quota_per_s).collect(),
        max_attempts: section.permissions.max_attempts.unwrap_or(defaults.max_attempts),
        may_cancel: section.permissions.cancelling.unwrap_or(false),
        reports_memory,
        may_probe: section.permissions.probes && reports_memory,
        writers_may_read: extra.writers_may_read,
        must_request_roster: false,
        resolution: micros_or(section.resolution_ms, defaults.resolution),
        max_state_hold: micros_or(extra.release_within_ms, defaults.max_state_hold),
        initial_capacity: section.rules.cold_from.unwrap_or(defaults.initial_capacity),
        warm_up_time: micros_or(section.rules.warm_after_ms, defaults.warm_up_time),
        overload_factor: section.rules.overload_factor.unwrap_or(defaults.overload_factor),
        overload_window: micros_or(section.rules.fall_ms, defaults.overload_window),
        dial_timeout: micros_or(section.permissions.dial_timeout_ms, defaults.dial_timeout),
    })
}

/// Name of the load report's field whose meaning, as described in the settings, contains the given words.
fn report_field(section: &SettingsSection, wanted: &str) -> Option<String> {
    let meanings = [("x0", &section.extra.x0_meaning), ("x1", &section.extra.x1_meaning)];
    let found = meanings.into_iter().find(|(_, meaning)| meaning.replace('_', " ").contains(wanted));
    found.map(|(name, _)| name.to_owned()).filter(|name| section.report.fields.contains(name))
}

fn memory_share_field(section: &SettingsSection) -> Option<String> {
    report_field(section, "share of memory")
}

fn effect(category: &Category) -> Result<Effect, ConfigError> {
    let group = match category.group.as_deref() {
        None | Some("all") => Group::All,
        Some("zone") => Group::Zone,
        Some("cell") => Group::Cell,
        Some(other) => return Err(config_error(format!("categories.group: unknown group {other}"))),
    };
    match category.effect.as_str() {
        "safe" => Ok(Effect::Safe),
        "unsafe" => Ok(Effect::Unsafe),
        "keyed" => Ok(Effect::Keyed { group, window: micros(category.window_ms) }),
        other => Err(config_error(format!("categories.effect: unknown effect {other}"))),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const FILE: &str = r#"{"listen":"l","discovery":"d","seed":"8c1f30d27a5be964","known":{"rev":4,"all":true,"targets":
        [{"uid":"s-1","endpoint":"e:1","az":"b","model":"decode","pod_group":3,"state":"DRAINING","boot_ms":2}]},
        "settings":{"replicasOfMe":3,"me":2,"zones":["a","b"],"kinds":["prefill","decode"],"resolutionMs":4.0,"new":1,
        "categories":[{"name":"c","objectiveMs":1500.0,"hardLimitMs":7500.0,"effect":"unsafe"}],
        "projects":[{"name":"p","quotaPerS":15.0}],"rules":{"coldFrom":0.25},"report":{"fields":["active","x0"]},
        "extra":{"roleByKind":["read","write"],"tokenAimMs":[70],"reportX0":"share_of_memory_that_is_held"}}}"#;

    #[test]
    fn platform_file_is_decoded() {
        let config = Config::decode(FILE.as_bytes()).expect("the file is valid");
        let settings = &config.settings;
        assert_eq!(
            (settings.replicas, settings.instance, settings.initial_capacity, config.seed),
            (3, Some(2), 0.25, 0x8c1f_30d2_7a5b_e964)
        );
        assert_eq!(
            (settings.classes[0].first_token_target, settings.classes[0].inter_token_target),
            (1_500_000, 70_000)
        );
        assert_eq!(config.load.parse(br#"{"active":7,"x0":0.5}"#).memory_share, Some(0.5));
        let change = config
            .known
            .expect("the file has a known list")
            .to_change(&config.names, &mut ServerIds::default());
        let crate::gateway::ChangeContent::Roster { engines, .. } = change.content else {
            panic!("the change is no roster")
        };
        let entry = &engines[0].entry;
        assert_eq!((entry.zone, entry.cell, entry.kind, entry.started_at), (1, 3, 1, 2_000));
        assert_eq!(entry.condition, crate::interface::Condition::Draining);
    }

    // A malformed list from before a restart used to prevent the start, although discovery was reachable.
    #[rstest]
    #[case::not_a_list("7")]
    #[case::without_a_revision(r#"{"targets":[]}"#)]
    #[case::null("null")]
    fn malformed_known_list_is_ignored(#[case] known: &str) {
        let (before, rest) = FILE.split_once(r#""known":"#).expect("the file has a known list");
        let (_, after) = rest.split_once("]},").expect("the known list ends");
        let config = Config::decode(format!(r#"{before}"known":{known},{after}"#).as_bytes())
            .expect("the file is valid");
        assert!(config.known.is_none());
    }

    // A file that the decision module would misinterpret is rejected at the start.
    #[rstest]
    #[case("unsafe", "harmless")]
    #[case(r#""read","write""#, r#""read""#)]
    #[case(r#""read","write""#, r#""read","think""#)]
    #[case("categories", "classes")]
    #[case("{", "")]
    fn invalid_file_is_rejected(#[case] from: &str, #[case] to: &str) {
        assert!(Config::decode(FILE.replacen(from, to, 1).as_bytes()).is_err());
    }

    // With such values the load of a server in slow start would be unbounded. The error names the field.
    #[rstest]
    #[case::no_replica(r#""replicasOfMe":3"#, r#""replicasOfMe":0"#, "replicasOfMe")]
    #[case::negative_quota(r#""quotaPerS":15.0"#, r#""quotaPerS":-1"#, "projects.quotaPerS")]
    #[case::negative_cold_capacity(r#""coldFrom":0.25"#, r#""coldFrom":-0.5"#, "rules.coldFrom")]
    #[case::negative_overload_factor(r#""coldFrom":0.25"#, r#""overloadFactor":-2"#, "rules.overloadFactor")]
    #[case::negative_overload_window(r#""coldFrom":0.25"#, r#""fallMs":-1"#, "rules.fallMs")]
    #[case::negative_warm_up(r#""coldFrom":0.25"#, r#""warmAfterMs":-1"#, "rules.warmAfterMs")]
    fn invalid_slow_start_value_is_rejected_with_its_field_name(
        #[case] from: &str,
        #[case] to: &str,
        #[case] field: &str,
    ) {
        assert!(FILE.contains(from));
        let error =
            Config::decode(FILE.replacen(from, to, 1).as_bytes()).expect_err("the value must be rejected");
        assert!(error.0.contains(field), "{error}");
    }

    // Routers make the same decisions without communicating only if an engine has the same id at all of them.
    #[test]
    fn engine_id_does_not_depend_on_earlier_engines() {
        let ids = |uids: &[&str]| {
            let mut server_ids = ServerIds::default();
            uids.iter().map(|uid| server_ids.id_for(uid)).collect::<Vec<_>>()
        };
        assert_eq!(ids(&["s-1", "s-2"])[1], ids(&["s-2"])[0]);
    }
}
