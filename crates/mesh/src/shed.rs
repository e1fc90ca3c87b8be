//! Refuses requests of callers at once, before they take room anywhere, when the services that they
//! need lack room for their rank.

use bbv_core::needs::Needs;
use bbv_core::room::{Room, urgency};
use bbv_core::route::Name;
use bbv_core::shedding::{self, ServiceRoom, Verdict};
use bbv_core::units::{MS, Micros};
use rand::Rng;

use crate::event::{self, Event};
use crate::ingress::{Call, CallOutcome};
use crate::message::GateRequest;
use crate::node::Node;
use crate::settings::Settings;
use crate::state::State;

/// Name of the outcome of a request that is refused since the services that it needs lack room.
const SHED: &str = "shed";
/// Least time between two lines of the log about the room of the upstream.
const ROOM_LOG_INTERVAL: Micros = 500 * MS;

impl State {
    /// Records the demand of a request that arrived at the gate of this node, at its first send.
    pub fn record_demand(&mut self, now: Micros, urgency: u8, metadata: &GateRequest) {
        if metadata.weight_pct == 0 {
            return;
        }
        let weight = f64::from(metadata.weight_pct) / 100.0;
        self.admission.record_demand(now, urgency, weight, metadata.service_time);
    }

    /// Returns the room of `service` for requests of `urgency`, by the fresh reports of upstreams to
    /// which `call` may be sent.
    fn service_room(
        &self,
        now: Micros,
        settings: &Settings,
        call: &Call,
        service: &str,
        urgency: u8,
    ) -> Option<ServiceRoom> {
        let usable = self.index.usable(service).iter();
        let usable = usable.filter(|(_, up)| call.homes.allows(settings.region(&up.zone)));
        let stats = usable.filter_map(|(id, _)| self.upstream_stats.get(id));
        let rooms = stats.filter(|stats| !stats.is_closed(now)).filter_map(|up| up.room(now));
        ServiceRoom::new(rooms, urgency)
    }

    /// Returns the services that requests of the route of `call` call, with their mean number of
    /// calls and their room.
    fn called_rooms(
        &self,
        now: Micros,
        settings: &Settings,
        call: &Call,
    ) -> Vec<(Name, ServiceRoom, f64)> {
        let needs = self.needs.get(&call.route.name).map(Needs::iter).into_iter().flatten();
        let room = |(service, calls): (&Name, f64)| {
            let urgency = urgency(call.rank, true);
            let room = self.service_room(now, settings, call, service, urgency)?;
            Some((service.clone(), room, calls))
        };
        needs.filter_map(room).collect()
    }

    /// Decides whether `call` is refused, and returns the service with the least room if it is.
    fn decide(&mut self, now: Micros, settings: &Settings, call: &Call) -> (Verdict, Name) {
        let urgency = urgency(call.rank, call.nested);
        let service = self.service_room(now, settings, call, &call.service, urgency);
        let called = self.called_rooms(now, settings, call);
        let least = called.iter().min_by(|a, b| a.1.share.total_cmp(&b.1.share));
        let scarce = least.filter(|least| service.is_none_or(|own| least.1.share < own.share));
        let scarce = scarce.map_or(&call.service, |(service, _, _)| service).clone();
        let (draw, spread) = (self.rng.random::<f64>(), self.rng.random::<f64>());
        let calls = called.iter().map(|(_, room, calls)| (*room, *calls));
        let needed = self.profile(&call.route).service_time as Micros;
        let slack = (call.arrived + call.route.target).saturating_sub(now + needed);
        (shedding::decide(service, calls, slack, draw, spread), scarce)
    }
}

impl Node {
    /// Refuses `call` if the services that it needs lack room for it. A call of a request that runs is
    /// always sent, since its request would have run for nothing.
    pub(crate) fn shed(&self, call: &mut Call) -> Option<CallOutcome> {
        if !self.settings.shedding || call.nested {
            return None;
        }
        let now = self.now();
        let (verdict, scarce) = self.lock().decide(now, &self.settings, call);
        match verdict {
            Verdict::Admit { weight } => {
                call.weight = weight;
                None
            }
            // Its calls follow it, so it is served.
            Verdict::Refuse { .. } if self.lock().shares.is_shut_out(now, call.rank) => {
                call.rank = 0;
                None
            }
            Verdict::Refuse { retry_after } => {
                self.record_shed(call, &scarce, retry_after);
                Some(CallOutcome::refused(SHED, retry_after))
            }
        }
    }

    /// Logs the room of the upstream beside this node when it has changed by a rank or more.
    pub(crate) fn log_room(&self, now: Micros, room: Room) {
        let mut state = self.lock();
        let (at, was) = state.logged_room;
        if was == room.ranks() || now < at + ROOM_LOG_INTERVAL {
            return;
        }
        state.logged_room = (now, room.ranks());
        drop(state);
        event::info(
            Event::RoomChanged,
            &[("was", &was), ("level_pct", &room.level_pct), ("lack_ms", &room.lack_ms)],
        );
    }

    fn record_shed(&self, call: &Call, scarce: &Name, retry_after: Micros) {
        let rank = call.rank.to_string();
        self.metrics.shed.with_label_values(&[&*call.service, scarce, &rank]).inc();
        let id = call.attempt_id.to_str().unwrap_or("none");
        event::info(
            Event::Shed,
            &[
                ("id", &id),
                ("route", &call.route.name),
                ("rank", &call.rank),
                ("service", &call.service),
                ("scarce", scarce),
                ("retry_after_us", &retry_after),
            ],
        );
    }
}
