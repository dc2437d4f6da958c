//! The simulator's text wire: lines to events and settings, actions to lines.

use meadowlug::interface::*;
use std::collections::BTreeMap;
use std::fmt;
use std::fmt::Write as _;
use std::str::FromStr;
use std::sync::Arc;

/// What is wrong with a line: its message, the field, and how.
#[derive(Debug, PartialEq)]
pub struct Malformed {
    message: String,
    field: String,
    what: &'static str,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed {}: field {}: {}", self.message, self.field, self.what)
    }
}

/// One line, split into its message and its fields.
pub struct Line<'a> {
    /// The message's name.
    pub message: &'a str,
    fields: BTreeMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    /// Splits a line; parts without `=` are passed over.
    pub fn split(line: &'a str) -> Self {
        let mut parts = line.split(' ');
        let message = parts.next().unwrap_or("");
        Self { message, fields: parts.filter_map(|part| part.split_once('=')).collect() }
    }

    fn malformed(&self, field: &str, what: &'static str) -> Malformed {
        Malformed { message: self.message.into(), field: field.into(), what }
    }

    /// A field that may be absent.
    pub fn optional<T: FromStr>(&self, field: &str) -> Result<Option<T>, Malformed> {
        let parse = |text: &&str| text.parse().map_err(|_| self.malformed(field, "not a value of its type"));
        self.fields.get(field).map(parse).transpose()
    }

    /// A field that must be there.
    pub fn required<T: FromStr>(&self, field: &str) -> Result<T, Malformed> {
        self.optional(field)?.ok_or_else(|| self.malformed(field, "missing"))
    }

    fn number(&self, field: &str) -> Result<Option<f64>, Malformed> {
        match self.optional::<f64>(field)? {
            Some(value) if !value.is_finite() => Err(self.malformed(field, "not a finite number")),
            value => Ok(value),
        }
    }

    /// A time or span in milliseconds, as microseconds; below zero counts as zero.
    pub fn time(&self, field: &str) -> Result<Option<Micros>, Malformed> {
        Ok(self.number(field)?.map(to_micros))
    }

    fn flag(&self, field: &str) -> Result<bool, Malformed> {
        match self.fields.get(field).copied() {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(_) => Err(self.malformed(field, "not a flag")),
        }
    }

    fn list<T: FromStr>(&self, field: &str) -> Result<Vec<T>, Malformed> {
        let Some(text) = self.fields.get(field).filter(|text| !text.is_empty()) else {
            return Ok(Vec::new());
        };
        let parse = |item: &str| item.parse().map_err(|_| self.malformed(field, "not a list of its type"));
        text.split(',').map(parse).collect()
    }

    fn request(&self) -> Result<RequestId, Malformed> {
        Ok(RequestId(Arc::from(self.required::<String>("ref")?)))
    }

    fn server(&self) -> Result<ServerId, Malformed> {
        Ok(ServerId(self.required("worker")?))
    }
}

fn to_micros(milliseconds: f64) -> Micros {
    (milliseconds.max(0.0) * 1000.0).round() as Micros
}

/// Which place of a load report holds what.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportFields {
    memory_share: Option<usize>,
    queued_kilotokens: Option<usize>,
}

fn load(line: &Line, fields: ReportFields) -> Result<Load, Malformed> {
    let values: Vec<f64> = line.list("feedback")?;
    let at = |place: Option<usize>| {
        place.and_then(|i| values.get(i)).copied().filter(|v| v.is_finite() && *v >= 0.0)
    };
    Ok(Load { memory_share: at(fields.memory_share), queued_kilotokens: at(fields.queued_kilotokens) })
}

fn status(line: &Line) -> Result<Status, Malformed> {
    Ok(match line.required::<String>("stateCode")?.as_str() {
        "GOOD" => Status::Served,
        "prefilled" => Status::Read,
        "BAD" => Status::Error,
        "FULL" => Status::Full,
        "LATE" => Status::TimedOut,
        "NOCONN" => Status::NoConnection,
        "RST" => Status::Reset,
        "CXL" => Status::Cancelled,
        "NOP" => Status::Moot,
        _ => return Err(line.malformed("stateCode", "no known outcome")),
    })
}

/// Reads one entry of a roster.
pub fn entry(line: &Line) -> Result<Entry, Malformed> {
    Ok(Entry {
        server: line.server()?,
        zone: line.optional("az")?.unwrap_or(0),
        cell: line.optional("unitGroup")?.unwrap_or(0),
        kind: line.optional("classOfHost")?.unwrap_or(0),
        condition: match line.required::<String>("condition")?.as_str() {
            "ready" => Condition::Ready,
            "draining" => Condition::Draining,
            "gone" => Condition::Gone,
            _ => return Err(line.malformed("condition", "no known condition")),
        },
        started_at: line.time("startTimeMs")?.unwrap_or(0),
    })
}

/// Reads a roster event's head; its entries follow on lines of their own.
pub fn roster_form(line: &Line) -> Result<(RosterForm, usize), Malformed> {
    let form = match line.required::<String>("form")?.as_str() {
        "delta" => RosterForm::Delta,
        "full" | "cached" => RosterForm::Full,
        "failed" => RosterForm::Failed,
        _ => return Err(line.malformed("form", "no known form")),
    };
    Ok((form, line.optional("rows")?.unwrap_or(0)))
}

/// Reads an event other than a roster's; `None` for one that is not known.
pub fn event(line: &Line, fields: ReportFields) -> Result<Option<Event>, Malformed> {
    Ok(Some(match line.message {
        "JOB_IN" => Event::Request(Arrival {
            id: line.request()?,
            class: line.required("kind")?,
            tenant: line.optional("owner")?.unwrap_or(0),
            session: line.optional::<String>("session")?.map(Arc::from),
            prefix: line.optional::<String>("prefixId")?.map(Arc::from),
            prefix_tokens: line.number("prefixTokens")?.unwrap_or(0.0).max(0.0),
            prompt_tokens: line.number("inputLen")?.unwrap_or(0.0).max(0.0),
            max_output_tokens: line.number("outputCap")?.unwrap_or(0.0).max(0.0),
            hint: line.time("predictedMs")?,
            expires_in: line.time("expiresInMs")?.ok_or_else(|| line.malformed("expiresInMs", "missing"))?,
            resumed: line.flag("reconnect")?,
        }),
        "STREAMING" => Event::First { id: line.request()?, attempt: line.required("n")? },
        "DONE" => Event::Outcome(Outcome {
            id: line.request()?,
            attempt: line.required("n")?,
            status: status(line)?,
            finished: line.flag("finished")?,
            note: line.number("detail")?.unwrap_or(0.0),
            load: load(line, fields)?,
        }),
        "SAMPLED" => {
            let told = line.required::<String>("stateCode")? == "GOOD";
            let load = told.then(|| load(line, fields)).transpose()?;
            Event::Probed { server: line.server()?, load: load.unwrap_or_default() }
        }
        "ABANDONED" => Event::Abandoned { id: line.request()? },
        "WAKEUP" => match line.required::<String>("ctx")?.parse() {
            Ok(token) => Event::Timer { token },
            Err(_) => return Ok(None),
        },
        _ => return Ok(None),
    }))
}

fn group(line: &Line, field: &str) -> Result<Group, Malformed> {
    match line.optional::<String>(field)?.as_deref() {
        None | Some("all") => Ok(Group::All),
        Some("zone") => Ok(Group::Zone),
        Some("cell") => Ok(Group::Cell),
        Some(_) => Err(line.malformed(field, "no known group")),
    }
}

fn class(line: &Line, at: usize) -> Result<Class, Malformed> {
    let key = |name: &str| format!("categories.{at}.{name}");
    let each = |name: &str| Ok(line.list::<f64>(name)?.get(at).copied().unwrap_or(0.0));
    let effect = match line.required::<String>(&key("effect"))?.as_str() {
        "safe" => Effect::Safe,
        "unsafe" => Effect::Unsafe,
        "keyed" => Effect::Keyed {
            group: group(line, &key("group"))?,
            window: line.time(&key("windowMs"))?.unwrap_or(0),
        },
        _ => return Err(line.malformed(&key("effect"), "no known effect")),
    };
    let needed = |name: &str| line.time(&key(name))?.ok_or_else(|| line.malformed(&key(name), "missing"));
    Ok(Class {
        aim: needed("objectiveMs")?,
        aim_per_1000: each("extra.aimUsPer1000PromptTokens")? as Micros,
        deadline: needed("hardLimitMs")?,
        token_aim: to_micros(each("extra.tokenAimMs")?),
        effect,
    })
}

/// Reads an instance's settings and seed.
pub fn settings(line: &Line) -> Result<(Settings, u64, ReportFields), Malformed> {
    let plain = Settings::default();
    let roles = line.list::<String>("extra.roleByKind")?;
    let role = |name: &String| match name.as_str() {
        "read" => Ok(Role::Read),
        "write" => Ok(Role::Write),
        "both" => Ok(Role::Both),
        _ => Err(line.malformed("extra.roleByKind", "no known role")),
    };
    let count = line.optional("categories.count")?.unwrap_or(0);
    let tenants = line.optional("projects.count")?.unwrap_or(0);
    let tenant = |i| Ok(line.number(&format!("projects.{i}.quotaPerS"))?.unwrap_or(0.0));
    let time = |field: &str, or: Micros| Ok(line.time(field)?.unwrap_or(or));
    let names = line.list::<String>("report.fields")?;
    let place = |word: &str| {
        let meant = ["x0", "x1"].into_iter().find(|x| {
            let meaning = format!("extra.report{}", x.to_uppercase());
            let told = line.fields.get(meaning.as_str());
            told.is_some_and(|told| told.contains(word))
        });
        meant.and_then(|x| names.iter().position(|n| n == x))
    };
    let fields =
        ReportFields { memory_share: place("share_of_memory"), queued_kilotokens: place("prompt_tokens") };
    let how = line.fields.get("report.how").copied();
    let reports_memory = fields.memory_share.is_some() && how != Some("none");
    let settings = Settings {
        replicas: line.optional("replicasOfMe")?.unwrap_or(plain.replicas),
        zone: line.optional("zone")?.unwrap_or(plain.zone),
        roles: roles.iter().map(role).collect::<Result<_, _>>()?,
        memory_tokens: line.list("extra.tokensByKind")?,
        classes: (0..count).map(|at| class(line, at)).collect::<Result<_, _>>()?,
        tenant_rates: (0..tenants).map(tenant).collect::<Result<_, _>>()?,
        max_attempts: line.optional("permissions.maxAttempts")?.unwrap_or(plain.max_attempts),
        may_cancel: line.flag("permissions.cancelling")?,
        reports_memory,
        may_probe: line.flag("permissions.probes")? && reports_memory,
        writers_read: line.flag("extra.readInPlace")?,
        ask_roster: line.optional::<String>("membershipMode")?.as_deref() == Some("ask"),
        resolution: time("resolutionMs", plain.resolution)?,
        let_go: time("extra.letGoByMs", plain.let_go)?,
        cold_from: line.number("rules.coldFrom")?.unwrap_or(plain.cold_from),
        warm_after: time("rules.warmAfterMs", plain.warm_after)?,
        overload_factor: line.number("rules.overloadFactor")?.unwrap_or(plain.overload_factor),
        fall_window: time("rules.fallMs", plain.fall_window)?,
        dial_timeout: time("permissions.dialTimeoutMs", plain.dial_timeout)?,
    };
    Ok((settings, line.required("randomSeed")?, fields))
}

/// Writes an action of an instance as a line.
pub fn action(instance: u32, action: &Action, to: &mut String) {
    let milliseconds = |t: Micros| t as f64 / 1000.0;
    let text = |id: &RequestId| id.0.clone();
    // Writing to a string cannot fail.
    let _ = match action {
        Action::Send { id, server, .. } => {
            writeln!(to, "SEND routerId={instance} ref={} worker={}", text(id), server.0)
        }
        Action::Probe { server } => writeln!(to, "TOUCH routerId={instance} worker={}", server.0),
        Action::Cancel { id, attempt } => {
            writeln!(to, "DROP_ATTEMPT routerId={instance} ref={} n={attempt}", text(id))
        }
        Action::Release { id } => writeln!(to, "DROP_STATE routerId={instance} ref={}", text(id)),
        Action::Refuse { id, retry_after, .. } => {
            let wait = milliseconds(*retry_after);
            writeln!(to, "SHED routerId={instance} ref={} waitMs={wait}", text(id))
        }
        Action::Fail { id, .. } => writeln!(to, "LOSE routerId={instance} ref={}", text(id)),
        Action::Watch => writeln!(to, "TRACK routerId={instance} want=1"),
        Action::Timer { token, after } => {
            writeln!(to, "ARM routerId={instance} ctx={token} spanMs={}", milliseconds(*after))
        }
    };
}
