//! Adapter that hosts router instances for the simulator. Lines on standard input become events, and actions
//! become lines on standard output. All decisions are made by the routers.
#![forbid(unsafe_code)]

mod wire;

use meadowlug::Router;
use meadowlug::interface::{Event, Micros};
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::process::ExitCode;
use wire::{Line, ReportFields};

/// A hosted router instance, and the events received for it in the current batch.
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
    /// Roster event that is being read: its instance and the number of entries still missing.
    pending_roster: Option<(u32, usize)>,
}

impl Host {
    /// Processes a line. Returns the reply if the line ends a batch.
    fn process_line(&mut self, text: &str) -> Result<Option<String>, String> {
        let line = Line::split(text);
        let to_message = |e: wire::Malformed| e.to_string();
        if let Some((id, missing)) = self.pending_roster {
            if line.message != "M" {
                return Err(format!(
                    "malformed SYNC: field rows: {missing} entries missing before {}",
                    line.message
                ));
            }
            let entry = wire::parse_entry(&line).map_err(to_message)?;
            let events = self.instances.get_mut(&id).map(|instance| &mut instance.events);
            if let Some(Event::Roster { entries, .. }) = events.and_then(|e| e.last_mut()) {
                entries.push(entry);
            }
            self.pending_roster = (missing > 1).then_some((id, missing - 1));
            return Ok(None);
        }
        match line.message {
            "" => {}
            "CLOCK" => {
                let now = line.time("timeMs").map_err(to_message)?;
                self.now = now.ok_or("malformed CLOCK: field timeMs: missing")?;
                self.turn = line.required("turn").map_err(to_message)?;
            }
            "YOUR_TURN" => return Ok(Some(self.reply())),
            "SPAWN" => {
                let (settings, seed, fields) = wire::parse_settings(&line).map_err(to_message)?;
                let router = Router::new(settings, seed).map_err(|e| format!("SPAWN: {e}"))?;
                let id = line.required("routerId").map_err(to_message)?;
                self.instances.insert(id, Instance { router, fields, events: Vec::new() });
            }
            "CRASH_NOW" => {
                self.instances.remove(&line.required("routerId").map_err(to_message)?);
            }
            "SYNC" => {
                let id = line.required("routerId").map_err(to_message)?;
                let (form, rows) = wire::parse_roster_form(&line).map_err(to_message)?;
                if let Some(instance) = self.instances.get_mut(&id) {
                    instance.events.push(Event::Roster { form, entries: Vec::new() });
                }
                self.pending_roster = (rows > 0).then_some((id, rows));
            }
            _ => {
                let Some(id) = line.optional("routerId").map_err(to_message)? else {
                    return Ok(None);
                };
                if let Some(instance) = self.instances.get_mut(&id) {
                    instance.events.extend(wire::parse_event(&line, instance.fields).map_err(to_message)?);
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
                wire::format_action(*id, &action, &mut reply);
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
        if let Some(reply) = host.process_line(line.trim_end())? {
            output.write_all(reply.as_bytes()).map_err(|e| format!("standard output: {e}"))?;
            output.flush().map_err(|e| format!("standard output: {e}"))?;
        }
    }
    match host.pending_roster {
        Some((_, missing)) => Err(format!("malformed SYNC: field rows: {missing} entries missing")),
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
