//! Discovery's list of engines, and the names in it.

use crate::gateway::{Change, Listed, News};
use crate::interface::{Condition, Entry, Micros, RosterForm, ServerId};
use serde::Deserialize;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// The state of an engine that is no longer listed.
const GONE: &str = "DELETED";

/// A list or a change of it, as discovery writes it.
#[derive(Clone, Debug, Deserialize)]
pub struct List {
    /// The version that it leads to.
    pub rev: u64,
    /// Whether it is the whole list.
    #[serde(default)]
    pub all: bool,
    /// The entries; one that cannot be read is left out, and takes none of the others with it.
    #[serde(default, deserialize_with = "readable")]
    pub targets: Vec<Target>,
}

fn readable<'de, D: serde::Deserializer<'de>>(targets: D) -> Result<Vec<Target>, D::Error> {
    let all = Vec::<serde_json::Value>::deserialize(targets)?;
    let read = |target: serde_json::Value| {
        let left_out =
            |e| log::warn!("list entry left out uid={} {e}", target.get("uid").unwrap_or_default());
        Target::deserialize(&target).map_err(left_out).ok()
    };
    Ok(all.into_iter().filter_map(read).collect())
}

/// One engine, as discovery writes it.
#[derive(Clone, Debug, Deserialize)]
pub struct Target {
    uid: String,
    endpoint: String,
    #[serde(default)]
    az: String,
    #[serde(default)]
    model: String,
    #[serde(default)]
    pod_group: u32,
    state: String,
    #[serde(default)]
    boot_ms: f64,
}

/// The names that stand for places in the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of engine.
    pub kinds: Vec<String>,
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants.
    pub tenants: Vec<String>,
}

/// The place of a name.
pub fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// Gives engines their numbers: the same for a uid at every gateway, as long as no two clash. Those that
/// are no longer listed are not kept: new ones come for as long as the gateway runs.
#[derive(Debug, Default)]
pub struct Numbers {
    by_uid: HashMap<String, u32>,
    taken: HashSet<u32>,
}

impl Numbers {
    /// The number that a uid has for as long as it is listed, whatever becomes of those that it clashed with.
    pub(super) fn id_for(&mut self, uid: &str) -> ServerId {
        if let Some(number) = self.by_uid.get(uid) {
            return ServerId(*number);
        }
        let hash = |h: u32, byte: u8| (h ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        let mut number = uid.bytes().fold(0x811c_9dc5, hash);
        while !self.taken.insert(number) {
            number = number.wrapping_add(1);
        }
        self.by_uid.insert(uid.to_owned(), number);
        ServerId(number)
    }

    /// Whether the engine is listed as things were told.
    pub fn knows(&self, target: &Target) -> bool {
        self.by_uid.contains_key(&target.uid)
    }

    fn keep(&mut self, which: impl Fn(&str) -> bool) {
        let taken = &mut self.taken;
        self.by_uid.retain(|uid, number| {
            let kept = which(uid);
            if !kept {
                taken.remove(number);
            }
            kept
        });
    }
}

impl Target {
    fn condition(&self) -> Condition {
        match self.state.as_str() {
            "SERVING" => Condition::Ready,
            GONE => Condition::Gone,
            // A state that is not known wants nothing new either.
            _ => Condition::Draining,
        }
    }

    /// Whether it takes new work.
    pub fn is_serving(&self) -> bool {
        self.condition() == Condition::Ready
    }

    fn listed(&self, names: &Names, numbers: &mut Numbers) -> Option<Listed> {
        let Some(kind) = place(&names.kinds, &self.model) else {
            log::debug!("roster entry skipped uid={} unknown model={}", self.uid, self.model);
            return None;
        };
        let entry = Entry {
            server: numbers.id_for(&self.uid),
            zone: place(&names.zones, &self.az).map_or(u32::MAX, |zone| zone as u32),
            cell: self.pod_group,
            kind,
            condition: self.condition(),
            started_at: (self.boot_ms.max(0.0) * 1000.0) as Micros,
        };
        Some(Listed {
            entry,
            name: Arc::from(self.uid.as_str()),
            endpoint: Arc::from(self.endpoint.as_str()),
        })
    }
}

impl List {
    /// The change that it is to the core.
    pub fn change(&self, names: &Names, numbers: &mut Numbers) -> Change {
        let news = News::Roster {
            form: if self.all { RosterForm::Full } else { RosterForm::Delta },
            engines: self.targets.iter().filter_map(|t| t.listed(names, numbers)).collect(),
        };
        let told: HashMap<&str, &Target> = self.targets.iter().map(|t| (t.uid.as_str(), t)).collect();
        numbers.keep(|uid| told.get(uid).map_or(!self.all, |target| target.state != GONE));
        Change { revision: self.rev, news }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    // One entry that made no sense had the whole list given up, and every drain in it unheard.
    #[rstest]
    #[case::no_uid(r#"{"endpoint":"e:2","state":"SERVING"}"#)]
    #[case::no_endpoint(r#"{"uid":"s-2","state":"SERVING"}"#)]
    #[case::uid_is_a_number(r#"{"uid":2,"endpoint":"e:2","state":"SERVING"}"#)]
    #[case::state_is_missing(r#"{"uid":"s-2","endpoint":"e:2"}"#)]
    #[case::group_below_zero(r#"{"uid":"s-2","endpoint":"e:2","state":"SERVING","pod_group":-1}"#)]
    #[case::no_entry_at_all("[]")]
    #[case::nothing("null")]
    fn entry_that_cannot_be_read_takes_no_other_with_it(#[case] spoilt: &str) {
        let good = r#"{"uid":"s-1","endpoint":"e:1","model":"k","state":"DRAINING"}"#;
        let text = format!(r#"{{"rev":3,"all":true,"targets":[{spoilt},{good}]}}"#);
        let list: List = serde_json::from_str(&text).expect("a list");
        let names = Names { kinds: vec!["k".into()], ..Names::default() };
        let News::Roster { engines, .. } = list.change(&names, &mut Numbers::default()).news else {
            panic!("no roster");
        };
        let told: Vec<_> = engines.iter().map(|e| (&*e.name, e.entry.condition)).collect();
        assert_eq!(told, [("s-1", Condition::Draining)]);
    }

    // Two servers whose uids share a hash were listed, and the first was removed. The other got the first one's number with
    // its next change, while what was known of it stayed under its own: told to drain, it was still sent to.
    #[test]
    fn server_keeps_its_number_when_one_that_it_clashed_with_goes() {
        const CLASHING: [&str; 2] = ["s-000179bb", "s-00054848"];
        let target = |uid: &str, state: &str| serde_json::json!({"uid": uid, "endpoint": "e", "model": "k", "state": state});
        let names = Names { kinds: vec!["k".into()], ..Names::default() };
        let mut numbers = Numbers::default();
        let mut told = |targets: Vec<serde_json::Value>| {
            let list = serde_json::json!({"rev": 1, "all": false, "targets": targets});
            let list: List = serde_json::from_value(list).expect("a list");
            match list.change(&names, &mut numbers).news {
                News::Roster { engines, .. } => engines.iter().map(|l| l.entry.server).collect::<Vec<_>>(),
                _ => panic!("no roster"),
            }
        };
        let both = told(CLASHING.map(|uid| target(uid, "SERVING")).to_vec());
        assert_ne!(both[0], both[1]);
        told(vec![target(CLASHING[0], GONE)]);
        assert_eq!(told(vec![target(CLASHING[1], "DRAINING")]), [both[1]]);
    }
}
