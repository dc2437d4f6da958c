//! The gateway's configuration: decoded, checked, and turned into what the parts need.

mod bounds;
mod inference;
mod list;
mod reload;
mod shared;

pub use bounds::{Bounds, Resources};
pub use inference::{Api, Inference, InferencePool, MembershipMode, Repeat};
pub use list::{List, Names, Numbers, Target, place};
pub use reload::Reload;
pub use shared::{Orders, Shared};

use crate::interface::{Class, Effect, Group, Load, Micros, Role, Settings};
use serde::Deserialize;
use std::fmt;
use std::time::Duration;

/// What is wrong with a configuration.
#[derive(Debug)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}", self.0)
    }
}

impl std::error::Error for ConfigError {}

fn wrong(what: impl fmt::Display) -> ConfigError {
    ConfigError(what.to_string())
}

/// The file as it is written.
#[derive(Debug, Deserialize)]
struct File {
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
    settings: Told,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Told {
    #[serde(default = "one")]
    replicas_of_me: u32,
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

fn one() -> u32 {
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
    aim_per_1000: Vec<f64>,
    #[serde(rename = "tokenAimMs")]
    token_aim_ms: Vec<f64>,
    #[serde(rename = "letGoByMs")]
    let_go_ms: Option<f64>,
    #[serde(rename = "readInPlace")]
    writers_read: bool,
    resume: bool,
    #[serde(rename = "reportX0")]
    x0: String,
    #[serde(rename = "reportX1")]
    x1: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Report {
    fields: Vec<String>,
    how: String,
}

/// Which fields of a load report hold what the module asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadNames {
    memory_share: Option<String>,
    queued_kilotokens: Option<String>,
}

impl LoadNames {
    /// Reads a report; what is missing or malformed is absent.
    pub fn read(&self, report: &[u8]) -> Load {
        let report: serde_json::Value = serde_json::from_slice(report).unwrap_or_default();
        let field = |name: &Option<String>| {
            let value = report.get(name.as_deref()?)?.as_f64()?;
            (value >= 0.0).then_some(value)
        };
        Load { memory_share: field(&self.memory_share), queued_kilotokens: field(&self.queued_kilotokens) }
    }
}

/// A checked configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The gateway's name.
    pub name: String,
    /// Where clients connect.
    pub listen: String,
    /// Where discovery listens.
    pub discovery: String,
    /// Whether discovery is one service that all gateways ask, rather than an agent that is told.
    pub shared_discovery: bool,
    /// After what time without a watch there what is listed counts as told.
    pub told_after: Duration,
    /// Where operators connect, if they do.
    pub management: Option<String>,
    /// For random numbers.
    pub seed: u64,
    /// What the process may hold.
    pub resources: Resources,
    /// The list as it was held last.
    pub known: Option<List>,
    /// What the module is told.
    pub settings: Settings,
    /// The names that stand for places in the settings.
    pub names: Names,
    /// Fields of load reports.
    pub load: LoadNames,
    /// How long a connection may take to come up.
    pub dial_timeout: Duration,
    /// When engines close an idle connection.
    pub idle_limit: Duration,
    /// Whether clients ask for the rest of an answer that broke.
    pub resume: bool,
}

/// The part of a configuration that a running program cannot change.
#[derive(Clone, Debug, PartialEq)]
struct Fixed {
    names: Names,
    roles: Vec<Role>,
    load: LoadNames,
    dial_timeout: Duration,
    idle_limit: Duration,
    resume: bool,
    shared_discovery: bool,
    told_after: Duration,
}

fn micros(ms: f64) -> Micros {
    (ms.max(0.0) * 1000.0).round() as Micros
}

fn span(ms: Option<f64>, or: Micros) -> Micros {
    ms.map_or(or, micros)
}

impl Config {
    fn fixed(&self) -> Fixed {
        Fixed {
            names: self.names.clone(),
            roles: self.settings.roles.clone(),
            load: self.load.clone(),
            dial_timeout: self.dial_timeout,
            idle_limit: self.idle_limit,
            resume: self.resume,
            shared_discovery: self.shared_discovery,
            told_after: self.told_after,
        }
    }

    /// Decodes and checks a configuration.
    pub fn decode(text: &[u8]) -> Result<Self, ConfigError> {
        let file: File = serde_json::from_slice(text).map_err(wrong)?;
        let told = &file.settings;
        let settings = settings(told)?;
        let names = Names {
            zones: told.zones.clone(),
            kinds: told.kinds.clone(),
            classes: told.categories.iter().map(|c| c.name.clone()).collect(),
            tenants: told.projects.iter().map(|p| p.name.clone()).collect(),
        };
        Ok(Self {
            load: LoadNames {
                memory_share: share_field(told),
                queued_kilotokens: field(told, "prompt tokens"),
            },
            dial_timeout: Duration::from_micros(settings.dial_timeout),
            idle_limit: Duration::from_micros(span(told.permissions.conn_idle_ms, 15_000_000)),
            resume: told.extra.resume,
            settings,
            names,
            seed: u64::from_str_radix(&file.seed, 16).unwrap_or(0),
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            shared_discovery: told.membership_mode == "ask",
            told_after: Duration::from_micros(span(told.rules.ask_within_ms, 10_000_000)),
            management: file.management,
            resources: file.limits,
            known: file.known.and_then(known),
        })
    }
}

/// The list as it was held last. Without one that can be read there is discovery's: no reason not to start.
fn known(list: serde_json::Value) -> Option<List> {
    serde_json::from_value(list).map_err(|e| log::warn!("known list left out: {e}")).ok()
}

fn settings(told: &Told) -> Result<Settings, ConfigError> {
    let plain = Settings::default();
    let extra = &told.extra;
    let role = |name: &String| match name.as_str() {
        "read" => Ok(Role::Read),
        "write" => Ok(Role::Write),
        "both" => Ok(Role::Both),
        _ => Err(wrong(format!("extra.roleByKind: no role {name}"))),
    };
    let roles = extra.roles.iter().map(role).collect::<Result<Vec<_>, _>>()?;
    if roles.len() < told.kinds.len() {
        return Err(wrong("extra.roleByKind: a kind without a role"));
    }
    let reports_memory = told.report.how != "none" && share_field(told).is_some();
    let each = |list: &[f64], at: usize| list.get(at).copied().unwrap_or(0.0);
    let class = |(at, c): (usize, &Category)| {
        Ok(Class {
            aim: micros(c.objective_ms),
            aim_per_1000: each(&extra.aim_per_1000, at).max(0.0) as Micros,
            deadline: micros(c.hard_limit_ms),
            token_aim: micros(each(&extra.token_aim_ms, at)),
            effect: effect(c)?,
        })
    };
    Ok(Settings {
        replicas: told.replicas_of_me,
        zone: told.zone,
        roles,
        memory_tokens: extra.memory_tokens.clone(),
        classes: told.categories.iter().enumerate().map(class).collect::<Result<_, _>>()?,
        tenant_rates: told.projects.iter().map(|p| p.quota_per_s).collect(),
        max_attempts: told.permissions.max_attempts.unwrap_or(plain.max_attempts),
        may_cancel: told.permissions.cancelling.unwrap_or(false),
        reports_memory,
        may_probe: told.permissions.probes && reports_memory,
        writers_read: extra.writers_read,
        ask_roster: false,
        resolution: span(told.resolution_ms, plain.resolution),
        let_go: span(extra.let_go_ms, plain.let_go),
        cold_from: told.rules.cold_from.unwrap_or(plain.cold_from),
        warm_after: span(told.rules.warm_after_ms, plain.warm_after),
        overload_factor: told.rules.overload_factor.unwrap_or(plain.overload_factor),
        fall_window: span(told.rules.fall_ms, plain.fall_window),
        dial_timeout: span(told.permissions.dial_timeout_ms, plain.dial_timeout),
    })
}

/// The field of a load report that says so, by what the settings tell of it.
fn field(told: &Told, meaning: &str) -> Option<String> {
    let places = [("x0", &told.extra.x0), ("x1", &told.extra.x1)];
    let found = places.into_iter().find(|(_, means)| means.replace('_', " ").contains(meaning));
    found.map(|(name, _)| name.to_owned()).filter(|name| told.report.fields.contains(name))
}

fn share_field(told: &Told) -> Option<String> {
    field(told, "share of memory")
}

fn effect(category: &Category) -> Result<Effect, ConfigError> {
    let group = match category.group.as_deref() {
        None | Some("all") => Group::All,
        Some("zone") => Group::Zone,
        Some("cell") => Group::Cell,
        Some(other) => return Err(wrong(format!("categories.group: no group {other}"))),
    };
    match category.effect.as_str() {
        "safe" => Ok(Effect::Safe),
        "unsafe" => Ok(Effect::Unsafe),
        "keyed" => Ok(Effect::Keyed { group, window: micros(category.window_ms) }),
        other => Err(wrong(format!("categories.effect: no effect {other}"))),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    const FILE: &str = r#"{"listen":"l","discovery":"d","seed":"8c1f30d27a5be964","known":{"rev":4,"all":true,"targets":
        [{"uid":"s-1","endpoint":"e:1","az":"b","model":"decode","pod_group":3,"state":"DRAINING","boot_ms":2}]},
        "settings":{"replicasOfMe":3,"zones":["a","b"],"kinds":["prefill","decode"],"resolutionMs":4.0,"new":1,
        "categories":[{"name":"c","objectiveMs":1500.0,"hardLimitMs":7500.0,"effect":"unsafe"}],
        "projects":[{"name":"p","quotaPerS":15.0}],"rules":{"coldFrom":0.25},"report":{"fields":["active","x0"]},
        "extra":{"roleByKind":["read","write"],"tokenAimMs":[70],"reportX0":"share_of_memory_that_is_held"}}}"#;

    #[test]
    fn platform_file_is_read() {
        let config = Config::decode(FILE.as_bytes()).expect("lawful");
        let settings = &config.settings;
        assert_eq!((settings.replicas, settings.cold_from, config.seed), (3, 0.25, 0x8c1f_30d2_7a5b_e964));
        assert_eq!((settings.classes[0].aim, settings.classes[0].token_aim), (1_500_000, 70_000));
        assert_eq!(config.load.read(br#"{"active":7,"x0":0.5}"#).memory_share, Some(0.5));
        let change = config.known.expect("known").change(&config.names, &mut Numbers::default());
        let crate::gateway::News::Roster { engines, .. } = change.news else { panic!("no roster") };
        let entry = &engines[0].entry;
        assert_eq!((entry.zone, entry.cell, entry.kind, entry.started_at), (1, 3, 1, 2_000));
        assert_eq!(entry.condition, crate::interface::Condition::Draining);
    }

    // What the gateway held last may be spoilt: that would have kept it from starting, with discovery at hand.
    #[rstest]
    #[case::not_a_list("7")]
    #[case::without_a_version(r#"{"targets":[]}"#)]
    #[case::nothing("null")]
    fn known_list_that_cannot_be_read_is_left_out(#[case] known: &str) {
        let (before, rest) = FILE.split_once(r#""known":"#).expect("it has one");
        let (_, after) = rest.split_once("]},").expect("it ends");
        let config =
            Config::decode(format!(r#"{before}"known":{known},{after}"#).as_bytes()).expect("lawful");
        assert!(config.known.is_none());
    }

    // What the module would misread is refused at the start.
    #[rstest]
    #[case("unsafe", "harmless")]
    #[case(r#""read","write""#, r#""read""#)]
    #[case(r#""read","write""#, r#""read","think""#)]
    #[case("categories", "classes")]
    #[case("{", "")]
    fn file_that_makes_no_sense_is_refused(#[case] from: &str, #[case] to: &str) {
        assert!(Config::decode(FILE.replacen(from, to, 1).as_bytes()).is_err());
    }

    // Routers agree without a word only if an engine has one number at all of them.
    #[test]
    fn engine_has_its_number_whatever_came_before_it() {
        let numbers = |uids: &[&str]| {
            let mut known = Numbers::default();
            uids.iter().map(|uid| known.of(uid)).collect::<Vec<_>>()
        };
        assert_eq!(numbers(&["s-1", "s-2"])[1], numbers(&["s-2"])[0]);
    }
}
