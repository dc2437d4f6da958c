//! Discovery's list of engines, and the names that the list uses.

use crate::gateway::{Change, ChangeContent, ListedEngine};
use crate::interface::{Condition, Entry, Micros, RosterForm, ServerId};
use serde::Deserialize;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// The state of an engine that is no longer listed.
const GONE: &str = "DELETED";

/// A list of engines, or a change to the list, in discovery's format.
#[derive(Clone, Debug, Deserialize)]
pub struct EngineList {
    /// Revision of the list after this update.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// True if `targets` is the complete list, false if it holds only changed entries.
    #[serde(default, rename = "all")]
    pub is_full: bool,
    /// Entries of the list. A malformed entry is skipped without affecting the others.
    #[serde(default, deserialize_with = "deserialize_valid_targets")]
    pub targets: Vec<Target>,
}

fn deserialize_valid_targets<'de, D: serde::Deserializer<'de>>(targets: D) -> Result<Vec<Target>, D::Error> {
    let entries = Vec::<serde_json::Value>::deserialize(targets)?;
    let decode_entry = |target: serde_json::Value| {
        let log_skipped =
            |e| log::warn!("list entry skipped uid={} error={e}", target.get("uid").unwrap_or_default());
        Target::deserialize(&target).map_err(log_skipped).ok()
    };
    Ok(entries.into_iter().filter_map(decode_entry).collect())
}

/// One engine in discovery's format.
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

/// Names of the entries that the settings refer to by index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct NameTables {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the engine kinds.
    pub kinds: Vec<String>,
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
}

/// Index of a name in a list of names.
pub fn index_of(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|known| known == name)
}

/// Assigns ids to engines. All gateways derive the same id from a uid unless the hashes of two uids collide.
/// Ids of unlisted engines are removed: new uids appear for as long as the gateway runs, and the tables would
/// grow without limit.
#[derive(Debug, Default)]
pub struct ServerIds {
    by_uid: HashMap<String, u32>,
    taken: HashSet<u32>,
}

impl ServerIds {
    /// Returns the id of a uid. The id stays the same for as long as the uid is listed, even when another
    /// engine whose uid has the same hash is removed.
    pub(super) fn id_for(&mut self, uid: &str) -> ServerId {
        if let Some(number) = self.by_uid.get(uid) {
            return ServerId(*number);
        }
        let hash = |state: u32, byte: u8| (state ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        let mut number = uid.bytes().fold(0x811c_9dc5, hash);
        while !self.taken.insert(number) {
            number = number.wrapping_add(1);
        }
        self.by_uid.insert(uid.to_owned(), number);
        ServerId(number)
    }

    /// Returns true if the engine is in the list received so far.
    pub fn contains(&self, target: &Target) -> bool {
        self.by_uid.contains_key(&target.uid)
    }

    fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        let taken = &mut self.taken;
        self.by_uid.retain(|uid, number| {
            let listed = is_listed(uid);
            if !listed {
                taken.remove(number);
            }
            listed
        });
    }
}

impl Target {
    fn condition(&self) -> Condition {
        match self.state.as_str() {
            "SERVING" => Condition::Ready,
            GONE => Condition::Gone,
            // An engine in an unknown state gets no new work, like a draining one.
            _ => Condition::Draining,
        }
    }

    /// Returns true if the engine accepts new work.
    pub fn is_serving(&self) -> bool {
        self.condition() == Condition::Ready
    }

    fn to_listed(&self, names: &NameTables, server_ids: &mut ServerIds) -> Option<ListedEngine> {
        let Some(kind) = index_of(&names.kinds, &self.model) else {
            log::debug!("list entry of an unknown model skipped uid={} model={}", self.uid, self.model);
            return None;
        };
        let entry = Entry {
            server: server_ids.id_for(&self.uid),
            zone: index_of(&names.zones, &self.az).map_or(u32::MAX, |zone| zone as u32),
            cell: self.pod_group,
            kind,
            condition: self.condition(),
            started_at: (self.boot_ms.max(0.0) * 1000.0) as Micros,
        };
        Some(ListedEngine {
            entry,
            name: Arc::from(self.uid.as_str()),
            endpoint: Arc::from(self.endpoint.as_str()),
        })
    }
}

impl EngineList {
    /// Converts the list to a change for the gateway and frees the ids of engines that are no longer listed.
    pub fn to_change(&self, names: &NameTables, server_ids: &mut ServerIds) -> Change {
        let content = ChangeContent::Roster {
            form: if self.is_full { RosterForm::Full } else { RosterForm::Delta },
            engines: self.targets.iter().filter_map(|t| t.to_listed(names, server_ids)).collect(),
        };
        let by_uid: HashMap<&str, &Target> = self.targets.iter().map(|t| (t.uid.as_str(), t)).collect();
        server_ids.retain(|uid| by_uid.get(uid).map_or(!self.is_full, |target| target.state != GONE));
        Change { revision: self.revision, content }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    // One malformed entry used to discard the whole list, so that the gateway missed every drain in the list.
    #[rstest]
    #[case::no_uid(r#"{"endpoint":"e:2","state":"SERVING"}"#)]
    #[case::no_endpoint(r#"{"uid":"s-2","state":"SERVING"}"#)]
    #[case::uid_is_a_number(r#"{"uid":2,"endpoint":"e:2","state":"SERVING"}"#)]
    #[case::state_is_missing(r#"{"uid":"s-2","endpoint":"e:2"}"#)]
    #[case::negative_group(r#"{"uid":"s-2","endpoint":"e:2","state":"SERVING","pod_group":-1}"#)]
    #[case::not_an_object("[]")]
    #[case::null("null")]
    fn malformed_entry_does_not_discard_the_others(#[case] malformed: &str) {
        let valid = r#"{"uid":"s-1","endpoint":"e:1","model":"k","state":"DRAINING"}"#;
        let text = format!(r#"{{"rev":3,"all":true,"targets":[{malformed},{valid}]}}"#);
        let list: EngineList = serde_json::from_str(&text).expect("the list can be decoded");
        let names = NameTables { kinds: vec!["k".into()], ..NameTables::default() };
        let ChangeContent::Roster { engines, .. } = list.to_change(&names, &mut ServerIds::default()).content
        else {
            panic!("the change is no roster");
        };
        let conditions: Vec<_> =
            engines.iter().map(|engine| (&*engine.name, engine.entry.condition)).collect();
        assert_eq!(conditions, [("s-1", Condition::Draining)]);
    }

    // Two servers whose uids have the same hash were listed, and the first was removed. The second used to
    // get the first one's id with its next change, while its state was still stored under its own id: a
    // server that was announced as draining still got requests.
    #[test]
    fn server_keeps_its_id_when_a_server_with_a_colliding_hash_is_removed() {
        const COLLIDING: [&str; 2] = ["s-000179bb", "s-00054848"];
        let target = |uid: &str, state: &str| serde_json::json!({"uid": uid, "endpoint": "e", "model": "k", "state": state});
        let names = NameTables { kinds: vec!["k".into()], ..NameTables::default() };
        let mut server_ids = ServerIds::default();
        let mut apply = |targets: Vec<serde_json::Value>| {
            let list = serde_json::json!({"rev": 1, "all": false, "targets": targets});
            let list: EngineList = serde_json::from_value(list).expect("the list can be decoded");
            match list.to_change(&names, &mut server_ids).content {
                ChangeContent::Roster { engines, .. } => {
                    engines.iter().map(|e| e.entry.server).collect::<Vec<_>>()
                }
                _ => panic!("the change is no roster"),
            }
        };
        let ids = apply(COLLIDING.map(|uid| target(uid, "SERVING")).to_vec());
        assert_ne!(ids[0], ids[1]);
        apply(vec![target(COLLIDING[0], GONE)]);
        assert_eq!(apply(vec![target(COLLIDING[1], "DRAINING")]), [ids[1]]);
    }
}
