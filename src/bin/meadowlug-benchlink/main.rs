//! Hosts router instances on the simulator's wire: standard input to events, actions to standard
//! output. It decides nothing.
#![forbid(unsafe_code)]

mod wire;

use meadowlug::Router;
use meadowlug::interface::{Event, Micros};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::process::ExitCode;
use wire::{Line, ReportFields};

/// One hosted instance and what has come in for it in this batch.
struct Instance {
    router: Router,
    fields: ReportFields,
    events: Vec<Event>,
}

#[derive(Default)]
struct Host {
    now: Micros,
    turn: u64,
    instances: BTreeMap<u32, Instance>,
    /// The roster event being read: its instance and how many entries are still to come.
    roster: Option<(u32, usize)>,
}

impl Host {
    /// Takes a line; gives the reply when it ends a batch.
    fn take(&mut self, text: &str) -> Result<Option<String>, String> {
        let line = Line::split(text);
        let plain = |e: wire::Malformed| e.to_string();
        if let Some((id, left)) = self.roster {
            if line.message != "M" {
                return Err(format!(
                    "malformed SYNC: field rows: {left} entries missing before {}",
                    line.message
                ));
            }
            let entry = wire::entry(&line).map_err(plain)?;
            let events = self.instances.get_mut(&id).map(|i| &mut i.events);
            if let Some(Event::Roster { entries, .. }) = events.and_then(|e| e.last_mut()) {
                entries.push(entry);
            }
            self.roster = (left > 1).then_some((id, left - 1));
            return Ok(None);
        }
        match line.message {
            "" => {}
            "CLOCK" => {
                let now = line.time("timeMs").map_err(plain)?;
                self.now = now.ok_or("malformed CLOCK: field timeMs: missing")?;
                self.turn = line.required("turn").map_err(plain)?;
            }
            "YOUR_TURN" => return Ok(Some(self.reply())),
            "SPAWN" => {
                let (settings, seed, fields) = wire::settings(&line).map_err(plain)?;
                let router = Router::new(settings, seed).map_err(|e| format!("SPAWN: {e}"))?;
                let id = line.required("routerId").map_err(plain)?;
                self.instances.insert(id, Instance { router, fields, events: Vec::new() });
            }
            "CRASH_NOW" => {
                self.instances.remove(&line.required("routerId").map_err(plain)?);
            }
            "SYNC" => {
                let id = line.required("routerId").map_err(plain)?;
                let (form, rows) = wire::roster_form(&line).map_err(plain)?;
                if let Some(instance) = self.instances.get_mut(&id) {
                    instance.events.push(Event::Roster { form, entries: Vec::new() });
                }
                self.roster = (rows > 0).then_some((id, rows));
            }
            _ => {
                let Some(id) = line.optional("routerId").map_err(plain)? else {
                    return Ok(None);
                };
                if let Some(instance) = self.instances.get_mut(&id) {
                    instance.events.extend(wire::event(&line, instance.fields).map_err(plain)?);
                }
            }
        }
        Ok(None)
    }

    fn reply(&mut self) -> String {
        let mut reply = String::new();
        for (id, instance) in &mut self.instances {
            if instance.events.is_empty() {
                continue;
            }
            let events = std::mem::take(&mut instance.events);
            for action in instance.router.handle(self.now, &events) {
                wire::action(*id, &action, &mut reply);
            }
        }
        reply.push_str(&format!("EOR turn={}\n", self.turn));
        reply
    }
}

fn run() -> Result<(), String> {
    let mut host = Host::default();
    let mut output = std::io::stdout().lock();
    for line in std::io::stdin().lock().lines() {
        let line = line.map_err(|e| format!("standard input: {e}"))?;
        if let Some(reply) = host.take(line.trim_end())? {
            output.write_all(reply.as_bytes()).map_err(|e| format!("standard output: {e}"))?;
            output.flush().map_err(|e| format!("standard output: {e}"))?;
        }
    }
    match host.roster {
        Some((_, left)) => Err(format!("malformed SYNC: field rows: {left} entries missing")),
        None => Ok(()),
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("meadowlug-benchlink: {message}");
            ExitCode::FAILURE
        }
    }
}
