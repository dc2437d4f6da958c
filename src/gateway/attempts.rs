//! The driver's handling of attempts (sending, results, cancellation, completion) and of load probes.

use super::dispatch::{self, StartedReply};
use super::driver::{Driver, Input};
use super::invariants::HELD_GRACE;
use super::open_request::{Attempt, AttemptState};
use super::relay::{Relay, RelayEnd};
use super::{Answer, AttemptError, Call, EngineReply, Engines, Reply, SendGuard};
use crate::interface::*;
use std::time::Duration;
use tokio::time::Instant;

/// Name of an attempt's outcome in the log and in the metrics.
fn outcome_name(status: Status) -> &'static str {
    match status {
        Status::Served => "served",
        Status::Read => "read",
        Status::Error => "error",
        Status::Rejected => "turned_away",
        Status::TimedOut => "timed_out",
        Status::NoConnection => "no_connection",
        Status::Reset => "reset",
        Status::Cancelled => "cancelled",
        Status::NeverSent => "never_sent",
    }
}

/// Name of an attempt's stage in the log.
fn stage_name(is_read: bool) -> &'static str {
    if is_read { "read" } else { "answer" }
}

impl<E: Engines> Driver<E> {
    /// Handles the start of an attempt's answer, or its failure before that.
    pub(super) fn handle_attempt_result(
        &mut self,
        id: RequestId,
        attempt: u32,
        result: Result<StartedReply<E::Events>, AttemptError>,
    ) {
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        let Some(sent_attempt) = request.attempts.get_mut(attempt as usize) else { return };
        if !matches!(sent_attempt.state, AttemptState::AwaitingReply(_)) {
            return;
        }
        let (server, is_read) = (sent_attempt.server, sent_attempt.is_read);
        let StartedReply { engine_reply: EngineReply { reply, load, connected_at }, first_chunk } =
            match result {
                Ok(started) => started,
                Err(error) => {
                    let stage = stage_name(is_read);
                    log::info!(
                        "attempt failed request={} n={attempt} stage={stage} server={:08x} {error}",
                        id.0,
                        server.0
                    );
                    let status = dispatch::status_for_error(&error);
                    request.had_broken_read |=
                        is_read && !matches!(status, Status::NeverSent | Status::NoConnection);
                    return self.finish_attempt(id, attempt, status, 0.0, Load::default());
                }
            };
        self.releases.record_response(server, self.clock.now());
        self.routing.push_event(Event::RunningSince { server, since: self.clock.at(connected_at) });
        let (status, status_detail) = match reply {
            Reply::Events(events) => {
                sent_attempt.state = AttemptState::WithoutTask;
                request.answer_started = true;
                request.hold_deadline.set(None);
                let (inbox, request_id) = (self.sender.clone(), id.clone());
                // The send fails only if the driver has stopped, and then the end need not be reported.
                let report_end =
                    move |end| drop(inbox.send(Input::RelayEnded { id: request_id, attempt, end }));
                let (max_silence, shutdown) = (self.tuning.max_engine_silence, self.shutdown.clone());
                let relay = Relay::new(first_chunk, events, max_silence, shutdown, Box::new(report_end));
                self.routing.push_event(Event::FirstToken { id: id.clone(), attempt });
                return self.send_answer(id, Answer::Events(relay));
            }
            Reply::Complete(body) => {
                request.answer_started = true;
                self.send_answer(id.clone(), Answer::Complete(body));
                (Status::Served, 0.0)
            }
            Reply::InvalidRequest(body) => {
                self.send_answer(id.clone(), Answer::InvalidRequest(body));
                // The engine rejected the request without running it, which says nothing about the engine's
                // health or speed.
                (Status::NeverSent, 0.0)
            }
            Reply::Read { cached_tokens } if is_read => (Status::Read, cached_tokens),
            // Only a reader may answer that a prompt is read. It is unknown what another engine did that
            // answers so, and the attempt counts as an error.
            Reply::Read { .. } => (Status::Error, 0.0),
            Reply::Rejected { no_state } => (Status::Rejected, f64::from(u8::from(no_state))),
            Reply::Error => (Status::Error, 0.0),
        };
        if !matches!(status, Status::Read | Status::Served | Status::NeverSent) {
            let detail = if status_detail > 0.0 { " no state" } else { "" };
            log::info!(
                "attempt rejected request={} n={attempt} stage={} server={:08x} {status:?}{detail}",
                id.0,
                stage_name(is_read),
                server.0
            );
        }
        self.finish_attempt(id, attempt, status, status_detail, load);
    }

    /// Handles the end of a relayed answer.
    pub(super) fn handle_relay_ended(&mut self, id: RequestId, attempt: u32, end: &RelayEnd) {
        if let Some(request) = self.open_requests.get(&id) {
            self.accounting.record_relay_end(request.class, &id, end);
        }
        let status = match end {
            RelayEnd::Complete => Status::Served,
            RelayEnd::Broken(_) => Status::Reset,
            RelayEnd::HandedOff => Status::Cancelled,
            RelayEnd::ClientGone => {
                self.routing.push_event(Event::Abandoned { id: id.clone() });
                Status::Cancelled
            }
        };
        self.finish_attempt(id, attempt, status, 0.0, Load::default());
    }

    /// Marks an attempt as finished and reports its outcome to the decision module. Does nothing if it had
    /// finished before.
    pub(super) fn finish_attempt(
        &mut self,
        id: RequestId,
        attempt: u32,
        status: Status,
        status_detail: f64,
        load: Load,
    ) {
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        if let Some(server) = request.mark_finished(attempt, status) {
            log::debug!(
                "outcome request={} n={attempt} server={:08x} {status:?} note={status_detail} share={:?} queued={:?}",
                id.0,
                server.0,
                load.memory_share,
                load.queued_kilotokens
            );
            request.may_have_reached_engine |=
                !matches!(status, Status::NoConnection | Status::NeverSent | Status::Rejected);
            // Each outcome restarts the time limit of a held state, except the outcome of a send that never
            // arrived.
            let arrived = !matches!(status, Status::NoConnection | Status::NeverSent);
            if status == Status::Read || arrived && request.hold_deadline.get().is_some() {
                let max_hold = Duration::from_micros(request.settings.max_state_hold);
                request.hold_deadline.set(Some(Instant::now() + max_hold + HELD_GRACE));
            }
            self.metrics.attempts.with_label_values(&[outcome_name(status)]).inc();
            let is_final = request.answered;
            self.maybe_finished.push(id.clone());
            self.routing.push_event(Event::Outcome(Outcome {
                id,
                attempt,
                status,
                is_final,
                status_detail,
                load,
            }));
        }
    }

    /// Starts the next attempt of a request. If the roster no longer lists the server, or the attempt would
    /// violate a rule, nothing is sent and the attempt ends as `NeverSent`.
    pub(super) fn send(&mut self, id: RequestId, server: ServerId, repeat_deadline: Option<Micros>) {
        if let Some(index) = self.release_queue.iter().position(|other| *other == id) {
            // Release held states before the attempt: its connection may never come up, and the time limit of
            // the states keeps running.
            let id = self.release_queue.remove(index);
            self.release(id);
        }
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        let attempt = request.attempts.len() as u32;
        log::debug!("send request={} n={attempt} server={:08x}", id.0, server.0);
        if let Some(outcome) = request.attempts.last().and_then(|last| last.outcome) {
            let after = outcome_name(outcome);
            self.metrics.retries.with_label_values(&[after]).inc();
            log::debug!("next attempt request={} n={attempt} after={after}", id.0);
        }
        let listed = self.roster.listed_engine(server);
        let role = listed.as_ref().and_then(|listed| request.settings.roles.get(listed.entry.kind));
        let is_read = role == Some(&Role::Read);
        let violated_invariant = request.invariant_violated_by_send(is_read);
        if let Some(invariant) = violated_invariant {
            self.invariants.report_violation(invariant, &id, format!("n={attempt} server={:08x}", server.0));
        }
        let allowed =
            !request.answered && attempt < request.settings.max_attempts && violated_invariant.is_none();
        let task = listed.filter(|_| allowed).map(|listed| {
            let call = Call {
                endpoint: listed.endpoint,
                id: id.clone(),
                job: request.job.clone(),
                deadline: self.clock.instant(request.deadline),
                guard: SendGuard {
                    roster: self.roster.clone(),
                    invariants: self.invariants.clone(),
                    request: id.clone(),
                    server,
                    lifecycle: request.lifecycle.clone(),
                    repeat_deadline: repeat_deadline.map(|until| self.clock.instant(until)),
                },
            };
            let preceding_release = (request.last_release.take(), self.tuning.max_release_wait);
            dispatch::start(&self.engines, call, attempt, preceding_release, &self.sender)
        });
        let never_sent = task.is_none();
        let state = task.map_or(AttemptState::WithoutTask, AttemptState::AwaitingReply);
        request.attempts.push(Attempt { server, is_read, state, outcome: None });
        request.in_flight += 1;
        if never_sent {
            self.finish_attempt(id, attempt, Status::NeverSent, 0.0, Load::default());
        }
    }

    /// Asks an engine for its load. If the engine does not answer within the timeout, the reported load is
    /// empty.
    pub(super) fn probe(&self, server: ServerId) {
        let (engines, inbox, timeout) =
            (self.engines.clone(), self.sender.clone(), self.tuning.probe_timeout);
        let endpoint = self.roster.listed_engine(server).map(|listed| listed.endpoint);
        tokio::task::spawn_local(async move {
            let reply = match endpoint {
                Some(endpoint) => tokio::time::timeout(timeout, engines.probe(endpoint)).await.ok(),
                None => None,
            };
            // The send fails only if the driver has stopped, and then the load is not needed.
            let load = reply.and_then(Result::ok).unwrap_or_default();
            let _ = inbox.send(Input::Probed { server, load });
        });
    }

    /// Cancels an attempt by closing its connection. The attempt counts as finished only after a delay in
    /// which the engine can notice the close. Without the delay, a refusal could reach the client while the
    /// attempt is still in flight at the engine.
    pub(super) fn cancel(&mut self, id: RequestId, attempt: u32) {
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        let Some(Attempt { state: AttemptState::AwaitingReply(task), is_read, .. }) =
            request.attempts.get(attempt as usize)
        else {
            return;
        };
        task.abort();
        request.had_broken_read |= *is_read;
        request.attempts[attempt as usize].state = AttemptState::WithoutTask;
        let (inbox, close_delay) = (self.sender.clone(), self.tuning.connection_close_delay);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(close_delay).await;
            // The send fails only if the driver has stopped, and then nothing is left to update.
            let _ = inbox.send(Input::ConnectionClosed { id, attempt });
        });
    }
}
