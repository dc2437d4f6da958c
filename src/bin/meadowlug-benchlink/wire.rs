//! Text protocol of the simulator: parses lines into events and settings, and formats actions as lines.

use meadowlug::interface::*;
use std::collections::BTreeMap;
use std::fmt;
use std::fmt::Write as _;
use std::str::FromStr;
use std::sync::Arc;

/// Error of a malformed line: the name of the message, the field, and the problem.
#[derive(Debug, PartialEq)]
pub struct Malformed {
    message: String,
    field: String,
    problem: &'static str,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed {}: field {}: {}", self.message, self.field, self.problem)
    }
}

/// A line, split into the name of its message and its fields.
pub struct Line<'a> {
    /// Name of the message.
    pub message: &'a str,
    fields: BTreeMap<&'a str, &'a str>,
}

impl<'a> Line<'a> {
    /// Splits a line. Parts without `=` are ignored.
    pub fn split(line: &'a str) -> Self {
        let mut parts = line.split(' ');
        let message = parts.next().unwrap_or("");
        Self { message, fields: parts.filter_map(|part| part.split_once('=')).collect() }
    }

    fn malformed(&self, field: &str, problem: &'static str) -> Malformed {
        Malformed { message: self.message.into(), field: field.into(), problem }
    }

    /// Parses a field that may be absent.
    pub fn optional<T: FromStr>(&self, field: &str) -> Result<Option<T>, Malformed> {
        let parse = |text: &&str| text.parse().map_err(|_| self.malformed(field, "not a value of its type"));
        self.fields.get(field).map(parse).transpose()
    }

    /// Parses a field that must be present.
    pub fn required<T: FromStr>(&self, field: &str) -> Result<T, Malformed> {
        self.optional(field)?.ok_or_else(|| self.malformed(field, "missing"))
    }

    fn number(&self, field: &str) -> Result<Option<f64>, Malformed> {
        match self.optional::<f64>(field)? {
            Some(value) if !value.is_finite() => Err(self.malformed(field, "not a finite number")),
            value => Ok(value),
        }
    }

    /// Parses a time or duration in milliseconds as microseconds. Negative values count as zero.
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

/// Indices of the values in a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportFields {
    memory_share: Option<usize>,
    queued_kilotokens: Option<usize>,
}

fn parse_load(line: &Line, fields: ReportFields) -> Result<Load, Malformed> {
    let values: Vec<f64> = line.list("feedback")?;
    let valid_value = |index: Option<usize>| {
        index.and_then(|i| values.get(i)).copied().filter(|v| v.is_finite() && *v >= 0.0)
    };
    Ok(Load {
        memory_share: valid_value(fields.memory_share),
        queued_kilotokens: valid_value(fields.queued_kilotokens),
    })
}

fn parse_status(line: &Line) -> Result<Status, Malformed> {
    Ok(match line.required::<String>("stateCode")?.as_str() {
        "GOOD" => Status::Served,
        "prefilled" => Status::Read,
        "BAD" => Status::Error,
        "FULL" => Status::Rejected,
        "LATE" => Status::TimedOut,
        "NOCONN" => Status::NoConnection,
        "RST" => Status::Reset,
        "CXL" => Status::Cancelled,
        "NOP" => Status::NeverSent,
        _ => return Err(line.malformed("stateCode", "unknown outcome")),
    })
}

/// Parses one entry of a roster.
pub fn parse_entry(line: &Line) -> Result<Entry, Malformed> {
    Ok(Entry {
        server: line.server()?,
        zone: line.optional("az")?.unwrap_or(0),
        cell: line.optional("unitGroup")?.unwrap_or(0),
        kind: line.optional("classOfHost")?.unwrap_or(0),
        condition: match line.required::<String>("condition")?.as_str() {
            "ready" => Condition::Ready,
            "draining" => Condition::Draining,
            "gone" => Condition::Gone,
            _ => return Err(line.malformed("condition", "unknown condition")),
        },
        started_at: line.time("startTimeMs")?.unwrap_or(0),
    })
}

/// Parses the first line of a roster event, whose entries follow on separate lines.
pub fn parse_roster_form(line: &Line) -> Result<(RosterForm, usize), Malformed> {
    let form = match line.required::<String>("form")?.as_str() {
        "delta" => RosterForm::Delta,
        "full" | "cached" => RosterForm::Full,
        "failed" => RosterForm::Failed,
        _ => return Err(line.malformed("form", "unknown form")),
    };
    Ok((form, line.optional("rows")?.unwrap_or(0)))
}

/// Parses an event other than a roster event. Returns `None` for an unknown message, and for a timer whose
/// token is no number.
pub fn parse_event(line: &Line, fields: ReportFields) -> Result<Option<Event>, Malformed> {
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
            expected_answer_time: line.time("predictedMs")?,
            expires_in: line.time("expiresInMs")?.ok_or_else(|| line.malformed("expiresInMs", "missing"))?,
            resumed: line.flag("reconnect")?,
        }),
        "STREAMING" => Event::FirstToken { id: line.request()?, attempt: line.required("n")? },
        "DONE" => Event::Outcome(Outcome {
            id: line.request()?,
            attempt: line.required("n")?,
            status: parse_status(line)?,
            is_final: line.flag("finished")?,
            status_detail: line.number("detail")?.unwrap_or(0.0),
            load: parse_load(line, fields)?,
        }),
        "SAMPLED" => {
            let succeeded = line.required::<String>("stateCode")? == "GOOD";
            let load = succeeded.then(|| parse_load(line, fields)).transpose()?;
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

fn parse_group(line: &Line, field: &str) -> Result<Group, Malformed> {
    match line.optional::<String>(field)?.as_deref() {
        None | Some("all") => Ok(Group::All),
        Some("zone") => Ok(Group::Zone),
        Some("cell") => Ok(Group::Cell),
        Some(_) => Err(line.malformed(field, "unknown group")),
    }
}

fn parse_class(line: &Line, index: usize) -> Result<Class, Malformed> {
    let key = |name: &str| format!("categories.{index}.{name}");
    let value_or_zero = |name: &str| Ok(line.list::<f64>(name)?.get(index).copied().unwrap_or(0.0));
    let effect = match line.required::<String>(&key("effect"))?.as_str() {
        "safe" => Effect::Safe,
        "unsafe" => Effect::Unsafe,
        "keyed" => Effect::Keyed {
            group: parse_group(line, &key("group"))?,
            window: line.time(&key("windowMs"))?.unwrap_or(0),
        },
        _ => return Err(line.malformed(&key("effect"), "unknown effect")),
    };
    let required_time =
        |name: &str| line.time(&key(name))?.ok_or_else(|| line.malformed(&key(name), "missing"));
    Ok(Class {
        first_token_target: required_time("objectiveMs")?,
        first_token_target_per_1000: value_or_zero("extra.aimUsPer1000PromptTokens")? as Micros,
        deadline: required_time("hardLimitMs")?,
        inter_token_target: to_micros(value_or_zero("extra.tokenAimMs")?),
        effect,
    })
}

/// Parses the settings and seed of an instance, and the indices of the values in its load reports.
pub fn parse_settings(line: &Line) -> Result<(Settings, u64, ReportFields), Malformed> {
    let defaults = Settings::default();
    let roles = line.list::<String>("extra.roleByKind")?;
    let role = |name: &String| match name.as_str() {
        "read" => Ok(Role::Read),
        "write" => Ok(Role::Write),
        "both" => Ok(Role::Both),
        _ => Err(line.malformed("extra.roleByKind", "unknown role")),
    };
    let class_count = line.optional("categories.count")?.unwrap_or(0);
    let tenant_count = line.optional("projects.count")?.unwrap_or(0);
    let tenant_rate = |i| Ok(line.number(&format!("projects.{i}.quotaPerS"))?.unwrap_or(0.0));
    let time_or = |field: &str, default: Micros| Ok(line.time(field)?.unwrap_or(default));
    let names = line.list::<String>("report.fields")?;
    let index_by_meaning = |wanted: &str| {
        let field = ["x0", "x1"].into_iter().find(|name| {
            let key = format!("extra.report{}", name.to_uppercase());
            let meaning = line.fields.get(key.as_str());
            meaning.is_some_and(|meaning| meaning.contains(wanted))
        });
        field.and_then(|field| names.iter().position(|name| name == field))
    };
    let fields = ReportFields {
        memory_share: index_by_meaning("share_of_memory"),
        queued_kilotokens: index_by_meaning("prompt_tokens"),
    };
    let how = line.fields.get("report.how").copied();
    let reports_memory = fields.memory_share.is_some() && how != Some("none");
    let settings = Settings {
        replicas: line.optional("replicasOfMe")?.unwrap_or(defaults.replicas),
        instance: line.optional("me")?,
        zone: line.optional("zone")?.unwrap_or(defaults.zone),
        roles: roles.iter().map(role).collect::<Result<_, _>>()?,
        memory_tokens: line.list("extra.tokensByKind")?,
        classes: (0..class_count).map(|index| parse_class(line, index)).collect::<Result<_, _>>()?,
        tenant_rates: (0..tenant_count).map(tenant_rate).collect::<Result<_, _>>()?,
        max_attempts: line.optional("permissions.maxAttempts")?.unwrap_or(defaults.max_attempts),
        may_cancel: line.flag("permissions.cancelling")?,
        reports_memory,
        may_probe: line.flag("permissions.probes")? && reports_memory,
        writers_may_read: line.flag("extra.readInPlace")?,
        must_request_roster: line.optional::<String>("membershipMode")?.as_deref() == Some("ask"),
        resolution: time_or("resolutionMs", defaults.resolution)?,
        max_state_hold: time_or("extra.letGoByMs", defaults.max_state_hold)?,
        initial_capacity: line.number("rules.coldFrom")?.unwrap_or(defaults.initial_capacity),
        warm_up_time: time_or("rules.warmAfterMs", defaults.warm_up_time)?,
        overload_factor: line.number("rules.overloadFactor")?.unwrap_or(defaults.overload_factor),
        overload_window: time_or("rules.fallMs", defaults.overload_window)?,
        dial_timeout: time_or("permissions.dialTimeoutMs", defaults.dial_timeout)?,
    };
    Ok((settings, line.required("randomSeed")?, fields))
}

/// Formats an action of an instance as a line and appends the line to the output.
pub fn format_action(instance: u32, action: &Action, output: &mut String) {
    let milliseconds = |time: Micros| time as f64 / 1000.0;
    let id_text = |id: &RequestId| id.0.clone();
    // Writing to a string cannot fail.
    let _ = match action {
        Action::Send { id, server, .. } => {
            writeln!(output, "SEND routerId={instance} ref={} worker={}", id_text(id), server.0)
        }
        Action::Probe { server } => writeln!(output, "TOUCH routerId={instance} worker={}", server.0),
        Action::Cancel { id, attempt } => {
            writeln!(output, "DROP_ATTEMPT routerId={instance} ref={} n={attempt}", id_text(id))
        }
        Action::Release { id } => writeln!(output, "DROP_STATE routerId={instance} ref={}", id_text(id)),
        Action::Refuse { id, retry_after, .. } => {
            let wait = milliseconds(*retry_after);
            writeln!(output, "SHED routerId={instance} ref={} waitMs={wait}", id_text(id))
        }
        Action::Fail { id, .. } => writeln!(output, "LOSE routerId={instance} ref={}", id_text(id)),
        Action::WatchRoster => writeln!(output, "TRACK routerId={instance} want=1"),
        Action::Timer { token, after } => {
            writeln!(output, "ARM routerId={instance} ctx={token} spanMs={}", milliseconds(*after))
        }
    };
}
