//! The driver's work on attempts: sent, given up, answered, over; and probes.

use super::dispatch::{self, Begun};
use super::driver::{Driver, Input};
use super::invariants::HELD_GRACE;
use super::open_request::{Attempt, Out};
use super::relay::{End, Relay};
use super::{Answer, AttemptError, Call, Engines, Replied, Reply, SendGuard};
use crate::interface::*;
use std::time::Duration;
use tokio::time::Instant;

/// An attempt's outcome in the log and among the figures.
fn outcome_name(status: Status) -> &'static str {
    match status {
        Status::Served => "served",
        Status::Read => "read",
        Status::Error => "error",
        Status::Full => "turned_away",
        Status::TimedOut => "timed_out",
        Status::NoConnection => "no_connection",
        Status::Reset => "reset",
        Status::Cancelled => "cancelled",
        Status::Moot => "never_sent",
    }
}

impl<E: Engines> Driver<E> {
    pub(super) fn take_begun(
        &mut self,
        id: RequestId,
        attempt: u32,
        result: Result<Begun<E::Events>, AttemptError>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(was) = open.attempts.get_mut(attempt as usize) else { return };
        if !matches!(was.out, Out::Sent(_)) {
            return;
        }
        let (server, reading) = (was.server, was.reading);
        let Begun { replied: Replied { reply, load, connected }, first } = match result {
            Ok(begun) => begun,
            Err(error) => {
                log::info!("attempt lost request={} n={attempt} server={:08x} {error}", id.0, server.0);
                let status = dispatch::status_of(&error);
                open.broken_read |= reading && !matches!(status, Status::Moot | Status::NoConnection);
                return self.attempt_over(id, attempt, status, 0.0, Load::default());
            }
        };
        self.releases.hear(server, self.clock.now());
        self.routing.tell(Event::LivedOn { server, since: self.clock.at(connected) });
        let (status, note) = match reply {
            Reply::Events(events) => {
                was.out = Out::Untasked;
                open.streamed = true;
                open.held_until.set(None);
                let (inbox, to) = (self.sender.clone(), id.clone());
                // A driver that has stopped needs no word of the end.
                let report = move |end| drop(inbox.send(Input::Ended { id: to, attempt, end }));
                let (silence, leaving) = (self.tuning.silence, self.leaving.clone());
                let relay = Relay::new(first, events, silence, leaving, Box::new(report));
                self.routing.tell(Event::First { id: id.clone(), attempt });
                return self.answer(id, Answer::Events(relay));
            }
            Reply::Whole(body) => {
                open.streamed = true;
                self.answer(id.clone(), Answer::Whole(body));
                (Status::Served, 0.0)
            }
            Reply::Faulty(body) => {
                self.answer(id.clone(), Answer::Faulty(body));
                // Turned down unread: it tells neither of the engine's health nor of its speed.
                (Status::Moot, 0.0)
            }
            Reply::Read { cached_tokens } if reading => (Status::Read, cached_tokens),
            // Whoever was to write an answer has no state to offer: what it did is not known.
            Reply::Read { .. } => (Status::Error, 0.0),
            Reply::Declined { no_state } => (Status::Full, f64::from(u8::from(no_state))),
            Reply::Error => (Status::Error, 0.0),
        };
        if !matches!(status, Status::Read | Status::Served | Status::Moot) {
            let why = if note > 0.0 { " no state" } else { "" };
            log::info!(
                "attempt turned away request={} n={attempt} server={:08x} {status:?}{why}",
                id.0,
                server.0
            );
        }
        self.attempt_over(id, attempt, status, note, load);
    }

    pub(super) fn take_ended(&mut self, id: RequestId, attempt: u32, end: &End) {
        if let Some(open) = self.open.get(&id) {
            self.accounting.ended(open.class, &id, end);
        }
        let status = match end {
            End::Whole => Status::Served,
            End::Broke(_) => Status::Reset,
            End::HandedOver => Status::Cancelled,
            End::ClientGone => {
                self.routing.tell(Event::Abandoned { id: id.clone() });
                Status::Cancelled
            }
        };
        self.attempt_over(id, attempt, status, 0.0, Load::default());
    }

    pub(super) fn attempt_over(
        &mut self,
        id: RequestId,
        attempt: u32,
        status: Status,
        note: f64,
        load: Load,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if let Some(server) = open.over(attempt, status) {
            log::debug!(
                "outcome request={} n={attempt} server={:08x} {status:?} note={note} share={:?} queued={:?}",
                id.0,
                server.0,
                load.memory_share,
                load.queued_kilotokens
            );
            open.reached |= !matches!(status, Status::NoConnection | Status::Moot | Status::Full);
            // What is held has its time anew from each outcome, but for those of sends that never arrived.
            let arrived = !matches!(status, Status::NoConnection | Status::Moot);
            if status == Status::Read || arrived && open.held_until.get().is_some() {
                let let_go = Duration::from_micros(open.settings.let_go);
                open.held_until.set(Some(Instant::now() + let_go + HELD_GRACE));
            }
            self.metrics.attempts.with_label_values(&[outcome_name(status)]).inc();
            let finished = open.answered;
            self.touched.push(id.clone());
            self.routing.tell(Event::Outcome(Outcome { id, attempt, status, finished, note, load }));
        }
    }

    pub(super) fn send(&mut self, id: RequestId, server: ServerId, repeat_before: Option<Micros>) {
        if let Some(at) = self.to_release.iter().position(|other| *other == id) {
            // What is held goes before the attempt: it may not come up, and the time of what is held runs on.
            let id = self.to_release.remove(at);
            self.release(id);
        }
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = open.attempts.len() as u32;
        log::debug!("send request={} n={attempt} server={:08x}", id.0, server.0);
        if let Some(outcome) = open.attempts.last().and_then(|last| last.outcome) {
            let after = outcome_name(outcome);
            self.metrics.retries.with_label_values(&[after]).inc();
            log::debug!("next attempt request={} n={attempt} after={after}", id.0);
        }
        let listed = self.roster.entry(server);
        let role = listed.as_ref().and_then(|l| open.settings.roles.get(l.entry.kind));
        let reading = role == Some(&Role::Read);
        let violated = open.violated_by_send(reading);
        if let Some(invariant) = violated {
            self.invariants.violated(invariant, &id, format!("n={attempt} server={:08x}", server.0));
        }
        let allowed = !open.answered && attempt < open.settings.max_attempts && violated.is_none();
        let task = listed.filter(|_| allowed).map(|listed| {
            let call = Call {
                endpoint: listed.endpoint,
                id: id.clone(),
                job: open.job.clone(),
                deadline: self.clock.instant(open.expires),
                guard: SendGuard {
                    roster: self.roster.clone(),
                    invariants: self.invariants.clone(),
                    request: id.clone(),
                    server,
                    lifecycle: open.lifecycle.clone(),
                    repeat_before: repeat_before.map(|until| self.clock.instant(until)),
                },
            };
            let first = (open.releasing.take(), self.tuning.release_first);
            dispatch::start(&self.engines, call, attempt, first, &self.sender)
        });
        let never_sent = task.is_none();
        let out = task.map_or(Out::Untasked, Out::Sent);
        open.attempts.push(Attempt { server, reading, out, outcome: None });
        open.out += 1;
        if never_sent {
            self.attempt_over(id, attempt, Status::Moot, 0.0, Load::default());
        }
    }

    /// Asks an engine for its load; one that does not answer soon tells nothing.
    pub(super) fn probe(&self, server: ServerId) {
        let (engines, inbox, patience) =
            (self.engines.clone(), self.sender.clone(), self.tuning.probe_patience);
        let endpoint = self.roster.entry(server).map(|listed| listed.endpoint);
        tokio::task::spawn_local(async move {
            let told = match endpoint {
                Some(endpoint) => tokio::time::timeout(patience, engines.probe(endpoint)).await.ok(),
                None => None,
            };
            // A driver that has stopped needs no word of it.
            let load = told.and_then(Result::ok).unwrap_or_default();
            let _ = inbox.send(Input::Probed { server, load });
        });
    }

    /// Gives an attempt up by closing its connection. It is over once the engine can have seen that: told
    /// at once, a refusal could reach the client while the attempt still counted as out.
    pub(super) fn cancel(&mut self, id: RequestId, attempt: u32) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(Attempt { out: Out::Sent(task), reading, .. }) = open.attempts.get(attempt as usize) else {
            return;
        };
        task.abort();
        open.broken_read |= *reading;
        open.attempts[attempt as usize].out = Out::Untasked;
        let (inbox, pause) = (self.sender.clone(), self.tuning.closing);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(pause).await;
            // A driver that has stopped needs no word of it.
            let _ = inbox.send(Input::Closed { id, attempt });
        });
    }
}
