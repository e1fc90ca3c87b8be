//! Health checks of the upstream beside this node, and detection of its crashes. Admission takes
//! the cold state from them and, while no response carries it, the upstream's load.

use std::sync::Arc;
use std::time::Duration;

use bbv_core::open_runs::Blame;
use bbv_core::poison::{Crash, Fingerprint};
use bbv_core::units::{MS, Micros};
use bbv_platform::header;
use http::header::HOST;
use http::{HeaderMap, Request};
use http_body_util::Full;

use crate::event::{self, Event};
use crate::node::Node;
use crate::notice::vm_of;
use crate::open_run::OpenRun;
use crate::pool::SendError;
use crate::verdict::Verdict;

/// Interval at which the loop looks whether a check is due; that of checks while the upstream does
/// not accept connections.
const CHECK_INTERVAL: Micros = 60 * MS;
/// Maximum time between two checks while requests run; only a check shows whether the upstream is
/// cold.
const MAX_CHECK_INTERVAL: Micros = 200 * MS;
/// Maximum time between two checks of an idle upstream, which is checked again before it gets a
/// request.
const IDLE_CHECK_INTERVAL: Micros = 600 * MS;
/// Timeout of a health check.
const CHECK_TIMEOUT: Micros = 400 * MS;
/// Timeout of the connection attempt that detects a crash: a crashed upstream refuses it.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

impl Node {
    /// Runs health checks until the process ends.
    pub(crate) async fn probe(self: Arc<Self>) {
        let mut ticks = self.timer.every(CHECK_INTERVAL);
        loop {
            let now = ticks.next().await.now;
            let interval = self.check_interval();
            if now >= self.lock().local.checked_at + interval {
                self.check_health().await;
            }
        }
    }

    /// Returns the time between two checks in the present state of the upstream.
    fn check_interval(&self) -> Micros {
        let state = self.lock();
        if state.local.down || state.local.instance.is_none() {
            CHECK_INTERVAL
        } else if state.admission.running() > 0 {
            MAX_CHECK_INTERVAL
        } else {
            IDLE_CHECK_INTERVAL
        }
    }

    /// Checks the upstream before it gets a request if its cold state or, for a request that takes
    /// long, its speed is not known well enough. Requests that arrive together share one check.
    pub(crate) async fn refresh_report(self: &Arc<Self>, max_speed_age: Micros) {
        let _turn = self.check_turn.lock().await;
        let now = self.now();
        let (reported_at, checked_at) = {
            let local = &self.lock().local;
            (local.reported_at, local.checked_at)
        };
        if now.saturating_sub(reported_at) > max_speed_age || now > checked_at + MAX_CHECK_INTERVAL
        {
            self.check_health().await;
        }
    }

    /// Runs one health check.
    pub(crate) async fn check_health(self: &Arc<Self>) {
        let path = self.lock().local_limits(&self.settings).map(|limits| limits.health.clone());
        let Some(path) = path else { return };
        let host = self.settings.upstream.to_string();
        let request = Request::get(path).header(HOST, host).body(Full::default());
        let Ok(request) = request else { return };
        self.metrics.probes.inc();
        let now = self.now();
        self.lock().local.checked_at = now;
        let sent = self.upstream_pool.send(self.settings.upstream, request);
        let deadline = self.now() + CHECK_TIMEOUT;
        match self.timer.timeout_at(deadline, sent).await {
            Some(Ok((response, conn))) => {
                let (head, body) = response.into_parts();
                if !header::is_health(&head.headers) {
                    // A late copy of an answer; the connection is closed with it.
                    event::info(Event::ProbeFailed, &[("why", &"not a health response")]);
                    return;
                }
                let body = self.upstream_pool.read_body(body, &conn);
                if let Some(Ok(_)) = self.timer.timeout_at(deadline, body).await {
                    self.upstream_pool.put(conn, None);
                }
                self.apply_health(&head.headers);
            }
            Some(Err(SendError::Unsent(cause))) => {
                // A request whose caller has left may have crashed it.
                if self.lock().local.runs.may_crash(now) {
                    self.detect_crash();
                }
                self.mark_down(&cause);
            }
            Some(Err(SendError::Lost(cause))) => {
                event::info(Event::ProbeFailed, &[("why", &cause)])
            }
            None => event::info(Event::ProbeFailed, &[("why", &"late")]),
        }
    }

    fn apply_health(&self, headers: &HeaderMap) {
        self.update_load(headers);
        let now = self.now();
        let mut state = self.lock();
        let instance = header::instance(headers);
        if instance.is_some() && instance != state.local.instance.as_deref() {
            let previous = state.local.instance.as_deref().unwrap_or("none").to_owned();
            let current = instance.unwrap_or("none");
            event::info(Event::UpstreamInstance, &[("was", &previous), ("is", &current)]);
            state.local.instance = instance.map(Into::into);
            state.local.listed = false;
        }
        let cold =
            header::cold_remaining(headers).map_or(0, |remaining| remaining.as_micros() as Micros);
        state.admission.set_cold_until(if cold > 0 { now + cold } else { 0 });
        if cold > 0 {
            let cold_period = state.local_limits(&self.settings).map_or(0, |limits| limits.cold);
            state.admission.record_cold_age(now, cold_period.saturating_sub(cold));
        }
        if state.local.down {
            event::info(Event::UpstreamUp, &[("instance", &instance.unwrap_or("none"))]);
        }
        state.set_down(&self.settings, false);
    }

    fn mark_down(&self, cause: &str) {
        let mut state = self.lock();
        if !state.local.down {
            event::warn(Event::UpstreamDown, &[("why", &cause)]);
        }
        state.set_down(&self.settings, true);
    }

    /// Checks whether the upstream crashed, after a request has lost its connection at any point. If so,
    /// decides which requests that is put down to and tells the other nodes of the service.
    pub(crate) fn detect_crash(self: &Arc<Self>) {
        let node = Arc::clone(self);
        tokio::spawn(async move { node.blame_if_refused().await });
    }

    /// Checks whether the upstream crashed, after the answer to `run` has ended with its connection.
    pub(crate) fn check_end(self: &Arc<Self>, run: OpenRun, fingerprint: Fingerprint) {
        let node = Arc::clone(self);
        tokio::spawn(async move {
            if !node.blame_if_refused().await {
                run.end();
                node.record_sound(fingerprint);
            }
        });
    }

    /// Blames requests for a crash if the upstream refuses connections; returns whether it does.
    async fn blame_if_refused(&self) -> bool {
        let connect = tokio::net::TcpStream::connect(self.settings.upstream);
        let refused = match tokio::time::timeout(CRASH_CHECK_TIMEOUT, connect).await {
            Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
            _ => false,
        };
        if refused {
            self.mark_down("connection refused after a request was lost");
            self.blame_crash();
        }
        refused
    }

    /// Decides which requests a crash of the upstream is put down to. An upstream that was leaving has ended
    /// as planned.
    fn blame_crash(&self) {
        let now = self.now();
        let vm = vm_of(self.settings.upstream.ip());
        let verdicts: Vec<Verdict> = {
            let mut state = self.lock();
            let state = &mut *state;
            let blame = state.local.runs.take_blame(now);
            let ends = match state.local_entry(&self.settings) {
                Some((_, entry)) => entry.draining,
                None => state.local.listed,
            };
            let crash = |fingerprint| Crash { fingerprint, vm };
            match blame {
                _ if ends => Vec::new(),
                Blame::Nobody => Vec::new(),
                Blame::Proven(fingerprint) => {
                    state.suspects.prove(now, crash(fingerprint));
                    Verdict::of(&state.suspects.crashes(fingerprint)).into_iter().collect()
                }
                Blame::OneOf(open) => {
                    let mut is_new = |fingerprint: &Fingerprint| {
                        state.suspects.suspect(now, crash(*fingerprint))
                    };
                    let new: Vec<Fingerprint> = open.into_iter().filter(&mut is_new).collect();
                    new.into_iter().map(|new| Verdict::Suspect(crash(new))).collect()
                }
            }
        };
        for verdict in &verdicts {
            let (fingerprint, proven) = match verdict {
                Verdict::Suspect(crash) => (crash.fingerprint, false),
                Verdict::Poison(fingerprint, _) => (*fingerprint, true),
                Verdict::Clear(_) => continue,
            };
            let fingerprint = format!("{fingerprint:016x}");
            let values: [(&str, &dyn std::fmt::Display); 2] =
                [("print", &fingerprint), ("proven", &proven)];
            event::warn(Event::UpstreamCrashed, &values);
        }
        self.tell_verdicts(&verdicts);
    }
}
