//! Reports events to the balancer and carries out its decisions.

use granitelb_balancer::EndpointUpdate;
use granitelb_balancer::balancer::Balancer;
use granitelb_balancer::settings::Settings;
use granitelb_balancer::time::{Span, Time};
use granitelb_settings::Names;

use super::discovery_watch::{DiscoveryWatch, WatchEvent};
use super::downstream::Downstream;
use super::endpoint_directory::EndpointDirectory;
use super::final_response::FinalResponse;
use super::observation_recorder::ObservationRecorder;
use super::request_table::FinishedAttempt;
use super::turn_context::TurnContext;
use super::upstream::Upstream;
use crate::http::EndpointListUpdate;

/// The shortest interval between two log lines about the warm-up budget.
const WARMUP_LOG_INTERVAL: Span = Span::from_millis(1000);

/// The parts of the proxy that carry out the balancer's decisions, borrowed for one turn of the event loop.
pub(super) struct ProxyContext<'a> {
    pub(super) turn: TurnContext<'a>,
    pub(super) downstream: &'a mut Downstream,
    pub(super) upstream: &'a mut Upstream,
    pub(super) watch: &'a mut DiscoveryWatch,
}

/// Owns the balancer and the endpoint directory that provides its endpoint updates.
pub(super) struct BalancerDriver {
    balancer: Balancer,
    directory: EndpointDirectory,
    /// The number of endpoints that accept requests, as last logged.
    logged_endpoint_count: usize,
    /// When the warm-up budget may next be logged.
    next_warmup_log_at: Time,
    /// Present where the node is part of a fleet with a control plane.
    recorder: Option<ObservationRecorder>,
}

impl BalancerDriver {
    pub(super) fn new(
        balancer: Balancer,
        directory: EndpointDirectory,
        recorder: Option<ObservationRecorder>,
    ) -> BalancerDriver {
        BalancerDriver {
            balancer,
            directory,
            logged_endpoint_count: 0,
            next_warmup_log_at: Time(0),
            recorder,
        }
    }

    /// Replaces the settings of the balancer, the endpoint directory and the recorder.
    pub(super) fn on_settings_update(&mut self, now: Time, settings: Settings, names: Names) {
        if let Some(recorder) = &mut self.recorder {
            recorder.on_settings_update(settings.clone());
        }
        self.directory.on_settings_update(names, settings.only_draining_excludes);
        self.balancer.on_settings_update(now, settings);
    }

    /// Restores the endpoint list that an earlier incarnation of this node stored.
    pub(super) fn restore_endpoints(&mut self, context: &mut ProxyContext<'_>, known: &EndpointListUpdate) {
        let updates = self.apply_endpoint_list(context, known);
        self.balancer.on_endpoints_restored(context.turn.now, &updates);
    }

    /// Opens the watch when the node starts, where the settings say that the endpoint list is pushed: over
    /// sockets, discovery pushes the list on a watch. The balancer requests a watch only where the list comes
    /// on request, or after a watch was lost.
    pub(super) fn open_initial_watch(&mut self, context: &mut ProxyContext<'_>) {
        self.request_watch(context);
    }

    /// Handles an event of the watch on the endpoint list.
    pub(super) fn on_watch_event(&mut self, context: &mut ProxyContext<'_>, event: &WatchEvent) {
        let now = context.turn.now;
        match event {
            WatchEvent::Update(list) => {
                let updates = self.apply_endpoint_list(context, list);
                self.log_endpoint_count(list.revision);
                self.balancer.on_endpoints_update(now, &updates, list.complete);
            }
            WatchEvent::Failed => self.balancer.on_endpoints_watch_failed(now),
        }
    }

    /// Applies a list to the directory and the upstream side, and returns the updates for the balancer.
    fn apply_endpoint_list(
        &mut self,
        context: &mut ProxyContext<'_>,
        list: &EndpointListUpdate,
    ) -> Vec<EndpointUpdate> {
        let now = context.turn.now;
        let updates = self.directory.apply(now, list);
        let endpoints = self.directory.endpoints();
        context.upstream.set_endpoints(&mut context.turn, endpoints);
        if let Some(recorder) = &mut self.recorder {
            recorder.on_endpoints_change(now, endpoints.values().map(|endpoint| &endpoint.update));
        }
        updates
    }

    fn log_endpoint_count(&mut self, revision: u64) {
        let count = self.directory.endpoints().len();
        if count == self.logged_endpoint_count {
            return;
        }
        self.logged_endpoint_count = count;
        log::info!(
            event = "endpoints_updated", revision = revision, ready = count;
            "endpoint list at revision {revision}: {count} endpoints accept requests"
        );
    }

    /// Reports events and carries out decisions until neither an event nor a decision is left.
    pub(super) fn run_until_idle(&mut self, context: &mut ProxyContext<'_>) {
        self.begin_turn(context.turn.now);
        loop {
            let reported = self.report_events(&mut context.turn);
            let acted = self.carry_out_decisions(context);
            if !reported && !acted {
                break;
            }
        }
        if let Some(recorder) = &mut self.recorder {
            recorder.end_turn();
        }
        self.log_warmup(context.turn.now);
    }

    fn log_warmup(&mut self, now: Time) {
        if now < self.next_warmup_log_at || !log::log_enabled!(log::Level::Debug) {
            return;
        }
        self.next_warmup_log_at = now + WARMUP_LOG_INTERVAL;
        let Some(report) = self.balancer.warmup_report(now) else { return };
        log::debug!(
            event = "warmup_budget", requested = report.requested_work, sent = report.sent_work,
            warm_size = report.warm_size, work_per_size = report.work_per_size;
            "warm-up budget: {:.3} s of cache work requested in a window, {:.3} s sent; \
            serving caches have a warm size of {:.2}, and each unit of size is granted {:.3} s",
            report.requested_work, report.sent_work, report.warm_size, report.work_per_size
        );
    }

    fn begin_turn(&mut self, now: Time) {
        let Some(recorder) = &mut self.recorder else { return };
        if let Some(update) = recorder.begin_turn(now) {
            self.balancer.on_control_plane_update(now, &update);
        }
    }

    /// Reports events to the balancer, and returns whether there were any.
    fn report_events(&mut self, turn: &mut TurnContext<'_>) -> bool {
        let now = turn.now;
        let mut any = false;
        while let Some(finished) = turn.requests.poll_finished_attempt() {
            self.report_finished_attempt(now, &finished);
            any = true;
        }
        while let Some((id, request)) = turn.requests.poll_arrived() {
            self.balancer.on_request(now, id, request);
            any = true;
        }
        while let Some(id) = turn.requests.poll_disconnected() {
            self.balancer.on_client_disconnect(now, id);
            any = true;
        }
        any
    }

    fn report_finished_attempt(&mut self, now: Time, finished: &FinishedAttempt) {
        let FinishedAttempt { request, result, response_bytes, load_report } = finished;
        if let Some(report) = load_report {
            self.balancer.on_load_report(now, result.endpoint, report);
        }
        self.balancer.on_attempt_finished(now, *request, result);
        if let Some(recorder) = &mut self.recorder {
            recorder.on_attempt_finished(now, *request, result, *response_bytes);
        }
    }

    /// Carries out the balancer's decisions, and returns whether there were any.
    ///
    /// Cancellations are polled after attempts and responses, since polling attempts and responses advances
    /// the balancer's time and may cancel attempts. Polled earlier, such a cancellation would wait for the
    /// next event, which comes too late on a node with little traffic.
    fn carry_out_decisions(&mut self, context: &mut ProxyContext<'_>) -> bool {
        let sent = self.send_attempts(context);
        let replied = self.accept_local_replies(&mut context.turn);
        let cancelled = self.cancel_attempts(context);
        let delivered = deliver_responses(context);
        let now = context.turn.now;
        let requested = self.balancer.poll_watch_request(now) && self.request_watch(context);
        sent || replied || cancelled || delivered || requested
    }

    fn send_attempts(&mut self, context: &mut ProxyContext<'_>) -> bool {
        let turn = &mut context.turn;
        let mut any = false;
        while let Some(attempt) = self.balancer.poll_attempt(turn.now) {
            any = true;
            let Some(number) = turn.requests.start_attempt(attempt.request) else { continue };
            if let Some(recorder) = &mut self.recorder {
                recorder.on_attempt_sent(turn.now, &self.balancer, turn.requests, &attempt, number);
            }
            context.upstream.send(turn, &attempt, number);
        }
        any
    }

    fn accept_local_replies(&mut self, turn: &mut TurnContext<'_>) -> bool {
        let mut any = false;
        while let Some((id, reply)) = self.balancer.poll_response(turn.now) {
            if let Some(recorder) = &mut self.recorder {
                recorder.on_local_reply(turn.now, turn.requests, id, &reply);
            }
            turn.requests.finish(id, FinalResponse::Local(reply));
            any = true;
        }
        any
    }

    fn cancel_attempts(&mut self, context: &mut ProxyContext<'_>) -> bool {
        let mut any = false;
        while let Some((id, number)) = self.balancer.poll_cancellation() {
            context.upstream.cancel(&mut context.turn, id, number);
            any = true;
        }
        any
    }

    /// Opens the watch on the endpoint list, and returns whether opening it failed at once.
    fn request_watch(&mut self, context: &mut ProxyContext<'_>) -> bool {
        let Some(event) = context.watch.request(context.turn.transport, context.turn.now) else {
            return false;
        };
        self.on_watch_event(context, &event);
        true
    }

    /// Stops the control-plane agent when the node ends; no further observations are sent.
    pub(super) fn close(&mut self) {
        if let Some(recorder) = self.recorder.take() {
            recorder.close();
        }
    }

    /// The time at which [`BalancerDriver::run_until_idle`] is due if no event comes before.
    pub(super) fn poll_timeout(&self, now: Time) -> Option<Time> {
        self.balancer.poll_timeout(now)
    }
}

/// Delivers final responses to clients, and returns whether there were any.
fn deliver_responses(context: &mut ProxyContext<'_>) -> bool {
    let mut any = false;
    while let Some(undelivered) = context.turn.requests.poll_response() {
        context.downstream.deliver(&mut context.turn, &undelivered);
        any = true;
    }
    any
}
