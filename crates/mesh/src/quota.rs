//! Keeps organisations within their quotas: asks granters for tokens, and grants them.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use bbv_core::claims::Claims;
use bbv_core::granter::{Grant, Granter};
use bbv_core::route::Name;
use bbv_core::shares::Shares;
use bbv_core::units::{MS, Micros, SEC};
use http::StatusCode;
use rand::Rng;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use crate::datagram::Datagram;
use crate::event::{self, Event};
use crate::ingress::{ANSWERED, Call, CallOutcome, DEFAULT_RETRY_AFTER};
use crate::node::Node;
use crate::notice::vm_of;
use crate::settings::Settings;
use crate::state::State;

/// Time without an answer after which all other granters are asked.
const HEDGE_DELAY: Micros = 20 * MS;
/// Number of such times for which a request waits once all are asked. They are waited for one by one, so that
/// answers which arrived while the process did not run are read before they count as missing.
const MAX_HEDGED_WAITS: u32 = 3;
/// Age of proofs from which a node does not grant: a node that took its share over may know of it.
pub(crate) const GRANT_TIME: Micros = 4 * SEC;
/// Shortest time after which a request beyond the quota may come again.
const MIN_RETRY_AFTER: Micros = 10 * MS;
/// Time in which all nodes in touch learn a new listing.
const TAKEOVER_DELAY: Micros = SEC;
/// Time from its start within which a process learns the listing.
const RESTART_TIME: Micros = 3 * SEC;
/// Time for which a question to a granter is kept, so that a late token is not lost.
const QUESTION_TTL: Micros = SEC;

/// Answer of a granter, as handed to the request that waits for it.
type Reply = (IpAddr, Grant);

/// Question to a granter.
struct OpenQuestion {
    to: IpAddr,
    organisation: Name,
    asked_at: Micros,
    replies: mpsc::UnboundedSender<Reply>,
}

/// Quotas as an ingress and a granter keep them.
#[derive(Default)]
pub(crate) struct Quotas {
    /// Version of the routing that the shares were assigned by.
    version: u64,
    shares: Shares,
    granter: Granter,
    claims: Claims,
    open: HashMap<u32, OpenQuestion>,
}

impl Quotas {
    /// Forgets what no longer holds.
    pub fn forget_old(&mut self, now: Micros) {
        self.claims.forget_old(now);
        self.open.retain(|_, open| now < open.asked_at + QUESTION_TTL);
    }
}

impl State {
    /// Assigns the quotas that this node grants, by the routing and the listing in force.
    pub fn assign_quotas(&mut self, now: Micros, settings: &Settings) {
        let Some(routing) = &self.view.routing else { return };
        let quotas = &mut self.quotas;
        if routing.organisations.is_empty() && quotas.granter.is_empty() {
            return;
        }
        let vms = self.index.vms().map(|(ip, zone)| (u64::from(vm_of(ip).0), ip, &**zone));
        let shares = Shares::new(settings.regions.keys().map(String::as_str), vms);
        if quotas.version == routing.version && quotas.shares == shares {
            return;
        }
        let own = settings.peers.ip();
        let limited = routing.organisations.iter().filter_map(|organisation| {
            let quota = organisation.quota?;
            let grants = shares.is_granter(&organisation.name, own);
            grants.then(|| (organisation.name.clone(), quota))
        });
        // The VM that granted before may not know yet that it no longer does. A process that has just
        // started takes over from its predecessor on this VM.
        let takeover = if now < RESTART_TIME { 0 } else { TAKEOVER_DELAY };
        quotas.granter.assign(now, now + takeover, limited.collect(), shares.count());
        (quotas.version, quotas.shares) = (routing.version, shares);
        event::info(
            Event::QuotasAssigned,
            &[("granted", &quotas.granter.len()), ("shares", &quotas.shares.count())],
        );
    }
}

impl State {
    /// Returns whether the routing in force has `organisation` without a quota. An ingress with an older
    /// one may ask for a token all the same.
    fn is_unlimited(&self, organisation: &str) -> bool {
        let routing = self.view.routing.as_ref();
        let known = routing.and_then(|routing| routing.organisations.get(organisation));
        known.is_some_and(|known| known.quota.is_none())
    }
}

impl Node {
    /// Sends a request if the quota of its organisation allows that.
    pub(crate) async fn send_within_quota(self: &Arc<Self>, call: Call) -> CallOutcome {
        let limited =
            call.organisation.as_ref().filter(|organisation| organisation.quota.is_some());
        let Some(name) = limited.map(|organisation| organisation.name.clone()) else {
            return self.send(call).await;
        };
        let granted_at = match self.take_token(&name).await {
            Ok(granted_at) => granted_at,
            Err(outcome) => return outcome,
        };
        let outcome = self.send(call).await;
        let status = outcome.response.status();
        if outcome.name != ANSWERED && status == StatusCode::SERVICE_UNAVAILABLE {
            self.lock().quotas.claims.keep_spare(name, granted_at);
        }
        outcome
    }

    /// Takes a token of `organisation`; returns the time of its grant.
    async fn take_token(&self, organisation: &Name) -> Result<Micros, CallOutcome> {
        let now = self.now();
        let order = {
            let mut state = self.lock();
            let quotas = &mut state.quotas;
            if let Some(granted_at) = quotas.claims.take_spare(now, organisation) {
                self.count_grant("spare");
                return Ok(granted_at);
            }
            let granters = quotas.shares.granters(organisation, &self.settings.zone);
            quotas.claims.order(now, organisation, granters)
        };
        let (sender, replies) = mpsc::unbounded_channel();
        if self.ask_granters(organisation, order, sender, replies).await {
            self.count_grant("token");
            return Ok(self.now());
        }
        Err(self.refuse_over_quota(organisation))
    }

    fn refuse_over_quota(&self, organisation: &str) -> CallOutcome {
        let now = self.now();
        let Some(wait) = self.lock().quotas.claims.wait(now, organisation) else {
            self.count_grant("silent");
            return CallOutcome::refused("no-granter", DEFAULT_RETRY_AFTER);
        };
        self.count_grant("empty");
        let mut outcome = CallOutcome::refused("over-quota", wait.max(MIN_RETRY_AFTER));
        *outcome.response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
        outcome
    }

    fn count_grant(&self, result: &str) {
        self.metrics.quota_claims.with_label_values(&[result]).inc();
    }

    /// Asks the granters of `order` one after the other, and all of them once one is silent; returns
    /// whether one gave a token.
    async fn ask_granters(
        &self,
        organisation: &Name,
        order: Vec<IpAddr>,
        sender: mpsc::UnboundedSender<Reply>,
        mut replies: mpsc::UnboundedReceiver<Reply>,
    ) -> bool {
        let mut left = order.into_iter();
        let mut asked: Vec<IpAddr> = Vec::new();
        let mut waits = 0;
        while waits <= MAX_HEDGED_WAITS {
            if asked.is_empty() {
                let Some(granter) = left.next() else { return false };
                self.ask_granter(granter, organisation, &sender);
                asked.push(granter);
            }
            let end = self.now() + HEDGE_DELAY;
            match self.timer.timeout_at(end, replies.recv()).await {
                Some(Some((_, Grant::Token))) => return true,
                Some(Some((granter, _))) => asked.retain(|ip| *ip != granter),
                Some(None) => return false,
                None => {
                    waits += 1;
                    for granter in left.by_ref() {
                        self.ask_granter(granter, organisation, &sender);
                        asked.push(granter);
                    }
                }
            }
        }
        self.record_silent(organisation, &asked);
        false
    }

    fn record_silent(&self, organisation: &Name, granters: &[IpAddr]) {
        let now = self.now();
        let mut state = self.lock();
        for granter in granters {
            state.quotas.claims.record_answer(now, *granter, false);
            event::info(
                Event::GranterSilent,
                &[("granter", granter), ("organisation", organisation)],
            );
        }
    }

    /// Asks one granter. This node answers itself at once.
    fn ask_granter(
        &self,
        granter: IpAddr,
        organisation: &Name,
        replies: &mpsc::UnboundedSender<Reply>,
    ) {
        if granter == self.settings.peers.ip() {
            let grant = self.grant(organisation);
            self.record_grant(granter, organisation.clone(), grant);
            // The caller waits for the reply.
            let _ = replies.send((granter, grant));
            return;
        }
        let Some(socket) = self.notice_socket.get() else { return };
        let id = {
            let now = self.now();
            let mut state = self.lock();
            let id = state.rng.random();
            let open = OpenQuestion {
                to: granter,
                organisation: organisation.clone(),
                asked_at: now,
                replies: replies.clone(),
            };
            state.quotas.open.insert(id, open);
            id
        };
        self.metrics.quota_asks.inc();
        self.send_datagram(
            socket,
            granter,
            &Datagram::AskToken { id, organisation: organisation.clone() },
        );
    }

    /// Takes a token from the bucket of `organisation`, if this node is its granter.
    fn grant(&self, organisation: &str) -> Grant {
        let (now, since_boot) = (self.now(), self.timer.since_boot());
        let mut state = self.lock();
        if state.proof.is_older(since_boot, GRANT_TIME) {
            return Grant::NotGranter;
        }
        if state.is_unlimited(organisation) {
            return Grant::Token;
        }
        state.quotas.granter.grant(now, organisation)
    }

    /// Records the answer of `granter`.
    fn record_grant(&self, granter: IpAddr, organisation: Name, grant: Grant) {
        let now = self.now();
        let mut state = self.lock();
        let claims = &mut state.quotas.claims;
        claims.record_answer(now, granter, grant != Grant::NotGranter);
        if let Grant::Empty(wait) = grant {
            claims.record_empty(now, organisation, granter, wait);
        }
    }

    /// Applies the answer of the granter at `from` to question `id`.
    fn apply_grant(&self, from: IpAddr, id: u32, grant: Grant) {
        let open = {
            let mut state = self.lock();
            let questions = &mut state.quotas.open;
            if questions.get(&id).is_none_or(|open| open.to != from) {
                return;
            }
            questions.remove(&id)
        };
        let Some(open) = open else { return };
        self.record_grant(from, open.organisation.clone(), grant);
        let delivered = open.replies.send((from, grant)).is_ok();
        if !delivered && grant == Grant::Token {
            self.lock().quotas.claims.keep_spare(open.organisation, open.asked_at);
        }
    }

    /// Applies a datagram of the node at `from`.
    pub(crate) fn apply_datagram(
        self: &Arc<Self>,
        socket: &UdpSocket,
        from: IpAddr,
        datagram: Datagram,
    ) {
        match datagram {
            Datagram::AskToken { id, organisation } => {
                let grant = self.grant(&organisation);
                self.send_datagram(socket, from, &Datagram::Grant { id, grant });
            }
            Datagram::Grant { id, grant } => self.apply_grant(from, id, grant),
            Datagram::AskProof { id } => {
                self.send_datagram(socket, from, &self.answer_proof(id));
            }
            Datagram::Proof { id, control, age } => self.apply_proof(from, id, control, age),
        }
    }

    /// Sends a datagram; a loss shows as a missing answer.
    pub(crate) fn send_datagram(&self, socket: &UdpSocket, to: IpAddr, datagram: &Datagram) {
        let Some(bytes) = datagram.encode() else { return };
        let addr = SocketAddr::new(to, self.settings.notices.port());
        if let Err(error) = socket.try_send_to(&bytes, addr) {
            event::debug(Event::NoticeFailed, &[("to", &addr), ("why", &error)]);
        }
    }
}
