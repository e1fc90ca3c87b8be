//! Health checks of the upstream beside this node.

use std::sync::Arc;
use std::time::Duration;

use bbv_core::poison::Crash;
use bbv_core::units::{MS, Micros};
use bbv_platform::header;
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Full};

use crate::event::{self, Event};
use crate::message::Ask;
use crate::node::Node;
use crate::notice::vm_of;
use crate::pool::SendError;

/// Interval of checks; what the upstream says of its speed changes many times a second.
const INTERVAL: Micros = 60 * MS;
/// Age up to which a report that came with an answer spares a check.
const FRESH: Micros = 40 * MS;
/// Longest time between two checks, since only a check tells whether the upstream is cold.
const INTERVAL_MAX: Micros = 200 * MS;
/// Time in which a check is answered.
const ANSWER: Micros = 400 * MS;
/// Time in which an upstream that crashed refuses connections.
const CRASH_CHECK: Duration = Duration::from_millis(100);

impl Node {
    /// Checks the upstream for as long as the process runs.
    pub(crate) async fn probe(self: Arc<Self>) {
        let mut ticks = self.timer.every(INTERVAL);
        let mut checked: Micros = 0;
        loop {
            let now = ticks.next().await.now;
            let fresh = now < self.lock().own.reported + FRESH;
            if fresh && now < checked + INTERVAL_MAX {
                continue;
            }
            checked = now;
            self.check().await;
        }
    }

    /// Checks the upstream once.
    pub(crate) async fn check(&self) {
        let path = self.lock().own_limits(&self.settings).map(|limits| limits.health.clone());
        let Some(path) = path else { return };
        let host = self.settings.upstream.to_string();
        let request = Request::get(path).header(HOST, host).body(Full::new(Bytes::new()));
        let Ok(request) = request else { return };
        self.metrics.probes.inc();
        let sent = self.upstream_pool.send(self.settings.upstream, request);
        let limit = self.now() + ANSWER;
        match self.timer.limit(limit, sent).await {
            Some(Ok((response, conn))) => {
                let (head, body) = response.into_parts();
                let whole = self.timer.limit(limit, body.collect()).await;
                if matches!(whole, Some(Ok(_))) {
                    self.upstream_pool.put(conn, None);
                }
                self.learn_health(&head.headers);
            }
            Some(Err(SendError::Unsent(why))) => self.learn_down(&why),
            Some(Err(SendError::Lost(why))) => event::info(Event::ProbeFailed, &[("why", &why)]),
            None => event::info(Event::ProbeFailed, &[("why", &"late")]),
        }
    }

    fn learn_health(&self, headers: &HeaderMap) {
        self.learn_load(headers);
        let now = self.now();
        let mut state = self.lock();
        let instance = header::instance(headers);
        if instance.is_some() && instance != state.own.instance.as_deref() {
            let was = state.own.instance.as_deref().unwrap_or("none").to_owned();
            let is = instance.unwrap_or("none");
            event::info(Event::UpstreamInstance, &[("was", &was), ("is", &is)]);
            state.own.instance = instance.map(Into::into);
            state.own.listed = false;
        }
        let cold = header::cold_remaining(headers).map_or(0, |left| left.as_micros() as Micros);
        state.admission.set_cold_until(if cold > 0 { now + cold } else { 0 });
        if cold > 0 {
            let length = state.own_limits(&self.settings).map_or(0, |limits| limits.cold);
            state.admission.record_cold_age(now, length.saturating_sub(cold));
        }
        if state.own.down {
            event::info(Event::UpstreamUp, &[("instance", &instance.unwrap_or("none"))]);
        }
        state.set_down(&self.settings, false);
    }

    fn learn_down(&self, why: &str) {
        let mut state = self.lock();
        if !state.own.down {
            event::warn(Event::UpstreamDown, &[("why", &why)]);
        }
        state.set_down(&self.settings, true);
    }

    /// Finds out whether the upstream crashed when a request lost its connection.
    pub(crate) fn suspect_crash(self: &Arc<Self>, ask: &Ask) {
        let print = ask.print;
        let node = Arc::clone(self);
        tokio::spawn(async move {
            let upstream = node.settings.upstream;
            let connect = tokio::net::TcpStream::connect(upstream);
            let refused = match tokio::time::timeout(CRASH_CHECK, connect).await {
                Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
                _ => false,
            };
            if !refused {
                return;
            }
            node.learn_down("connection refused after a request was lost");
            let crash = Crash { fingerprint: print, vm: vm_of(upstream.ip()) };
            let now = node.now();
            let new = node.lock().suspects.record_crash(now, crash);
            let print = format!("{print:016x}");
            event::warn(Event::UpstreamCrashed, &[("print", &print), ("new", &new)]);
            if let (true, Some(socket)) = (new, node.socket.get()) {
                node.notify_crash(socket, crash);
            }
        });
    }
}
