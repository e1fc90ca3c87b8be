//! Follows the platform's store. The readers of a zone watch it; a starting node lists it, and a
//! node that is behind others and cannot get their changes reads it as well.

use std::sync::Arc;
use std::time::Duration;

use bbv_core::freshness::FRESH_TIME;
use bbv_core::revision::begins_era;
use bbv_core::units::{MS, Micros, Revision};
use bbv_core::view::{Topic, Update};
use bbv_platform::store::{Changes, Freshness, StoreClient, StoreError};
use rand::Rng;

use crate::event::{self, Event};
use crate::knowledge::StoreCall;
use crate::node::Node;
use crate::notice::vm_of;

/// Longest time for which a watch call waits for changes. A connection that has gone silent is found
/// when the response is overdue, early enough for a change to be in force in time.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay between calls to the store. Changes arrive in bursts; the delay lets one call return a
/// whole burst.
const BATCH_DELAY: Micros = 300 * MS;
/// Bounds of the exponential backoff after a failed call to the store.
const MIN_BACKOFF: Micros = 100 * MS;
const MAX_BACKOFF: Micros = 1_000 * MS;
/// Interval at which a node that is not a reader checks whether it should become one.
const READER_CHECK_INTERVAL: Micros = 100 * MS;
/// Interval of that check until the view is confirmed.
const CONFIRM_CHECK_INTERVAL: Micros = 5 * MS;
/// Interval of listings while a starting node does not know the fleet yet.
const START_LIST_INTERVAL: Micros = 800 * MS;
/// Time for which a starting node that knows the routing waits for its own upstream to register,
/// since the whole fleet registers then.
const REGISTRATION_PATIENCE: Micros = 3_000 * MS;
/// Interval of pulls of a starting node until a peer confirms its view.
const START_PULL_INTERVAL: Micros = 200 * MS;
/// Interval at which a node that other nodes do not know checks what it knows, and pulls if that is not
/// fresh.
const UNKNOWN_CHECK_INTERVAL: Micros = 200 * MS;
/// Age from which such a node reads the store itself. Together with a read it is less than the time in
/// which a change has to be in force.
const MAX_UNKNOWN_AGE: Micros = 1_200 * MS;

/// Least status of a store that does not serve calls.
const SERVER_ERROR: u16 = 500;

/// Progress of a node in following one topic of the store.
struct Follower {
    topic: Topic,
    store: StoreClient,
    backoff: Micros,
    /// Whether the next call may ask for changes only; a listing comes first otherwise.
    listed: bool,
    /// Whether the loss of the store was logged.
    lost: bool,
    /// Whether the last call was answered.
    reachable: bool,
    /// Time since the start of the VM at which the latest call began.
    asked_at: Micros,
}

fn log_faults(changes: &Changes) {
    for fault in &changes.faults {
        event::warn(Event::ItemUnreadable, &[("key", &fault.key), ("why", &fault.cause)]);
    }
}

/// Returns `listing` unless it is of an older era than `after`, the position that was known when it was
/// asked for: it says nothing of the present era.
fn check_era(after: Revision, listing: Changes) -> Result<Changes, StoreError> {
    if begins_era(listing.through, after) {
        return Err(StoreError::Malformed("listing of an older era".to_owned()));
    }
    Ok(listing)
}

fn log_lost(topic: Topic, revision: Revision, error: &StoreError) {
    let values: [(&str, &dyn std::fmt::Display); 3] =
        [("topic", &topic.name()), ("revision", &revision), ("why", error)];
    event::warn(Event::StoreLost, &values);
}

impl Node {
    /// Learns the fleet from listings that may be seconds old, until a peer has confirmed the view
    /// or the fleet is complete enough to have readers.
    async fn learn_fleet(&self, store: &mut StoreClient) {
        let mut lost = false;
        loop {
            let listed = self.list_stale(store, Topic::Upstreams, &mut lost).await;
            // A routing may be large, and peers send it in less bytes than the store.
            let pulled = self.pull_from_any(&[Topic::Control]).await;
            if listed && !pulled && self.lock().view.routing.is_none() {
                self.list_stale(store, Topic::Control, &mut lost).await;
            }
            let next_at = self.now() + START_LIST_INTERVAL;
            while self.now() < next_at {
                if self.knows_fleet() || self.pull_from_any(&Topic::ALL).await {
                    return;
                }
                self.timer.sleep(START_PULL_INTERVAL).await;
            }
        }
    }

    /// Applies a listing that may be seconds old; returns whether the store sent it.
    async fn list_stale(&self, store: &mut StoreClient, topic: Topic, lost: &mut bool) -> bool {
        let result = store.list(topic, Freshness::Stale).await;
        self.count_store_call(&result);
        match result {
            Ok(listing) => {
                log_faults(&listing);
                self.apply_listing(topic, listing);
                true
            }
            Err(error) => {
                if !std::mem::replace(lost, true) {
                    log_lost(topic, self.revision(topic), &error);
                }
                false
            }
        }
    }

    /// Returns whether the routing is known and other nodes know this one.
    fn knows_fleet(&self) -> bool {
        let now = self.now();
        let state = self.lock();
        let patient = now < state.routed_at + REGISTRATION_PATIENCE;
        let registered = state.local_entry(&self.settings).is_some();
        state.is_confirmed() || state.view.routing.is_some() && (registered || !patient)
    }

    /// Returns whether other nodes do not know this one, since its upstream is not listed. Their
    /// heartbeats do not reach it then.
    fn is_unknown_to_peers(&self) -> bool {
        let state = self.lock();
        let own = self.settings.peers.ip();
        state.local_entry(&self.settings).is_none() && state.index.vms().any(|(ip, _)| ip != own)
    }

    /// Follows the store for the lifetime of the process: learns the fleet, then watches the store
    /// while this node is a reader of its zone.
    pub(crate) async fn follow_store(self: Arc<Self>) {
        let mut store = StoreClient::new(self.settings.platform);
        self.learn_fleet(&mut store).await;
        let others: Vec<u64> =
            self.zone_peers().into_iter().map(|ip| u64::from(vm_of(ip).0)).collect();
        let now = self.now();
        self.lock().readers.start(now, &others);
        tokio::join!(
            self.follow(Topic::Upstreams, store),
            self.follow(Topic::Control, StoreClient::new(self.settings.platform)),
        );
    }

    /// Follows one topic of the store for the lifetime of the process.
    async fn follow(&self, topic: Topic, store: StoreClient) {
        let mut follower = Follower {
            topic,
            store,
            backoff: MIN_BACKOFF,
            listed: true,
            lost: false,
            reachable: false,
            asked_at: 0,
        };
        loop {
            let now = self.now();
            self.log_reader(now);
            let unknown = self.is_unknown_to_peers();
            if follower.listed && unknown && !self.is_older(topic, now, MAX_UNKNOWN_AGE) {
                self.follow_unknown(topic, now).await;
                continue;
            }
            if follower.listed && !unknown && !self.reads_next(topic, now) {
                self.wait_as_follower(&mut follower).await;
                continue;
            }
            self.read_next(&mut follower).await;
        }
    }

    /// Returns whether what this node knows of `topic` is older than `limit`, counted from its source.
    fn is_older(&self, topic: Topic, now: Micros, limit: Micros) -> bool {
        self.lock().knowledge(topic).freshness.is_older(now, limit)
    }

    /// Pulls changes if what is known is not fresh, as a node that other nodes do not know.
    async fn follow_unknown(&self, topic: Topic, now: Micros) {
        {
            let mut state = self.lock();
            state.readers.stop();
            state.knowledge(topic).call = StoreCall::None;
        }
        if self.is_older(topic, now, FRESH_TIME) {
            self.pull_from_any(&[topic]).await;
        }
        self.timer.sleep(UNKNOWN_CHECK_INTERVAL).await;
    }

    /// Waits for a while in which other nodes read the store.
    async fn wait_as_follower(&self, follower: &mut Follower) {
        follower.lost = false;
        follower.reachable = false;
        let confirmed = {
            let mut state = self.lock();
            state.knowledge(follower.topic).call = StoreCall::None;
            state.is_confirmed()
        };
        let interval = if confirmed { READER_CHECK_INTERVAL } else { CONFIRM_CHECK_INTERVAL };
        self.timer.sleep(interval).await;
    }

    /// Reads the next changes of a topic from the store and applies them.
    async fn read_next(&self, follower: &mut Follower) {
        let topic = follower.topic;
        let after = self.revision(topic);
        // The first call does not wait for changes, so it shows at once whether the store is
        // reachable.
        let wait = if follower.reachable { self.watch_timeout(topic) } else { Duration::ZERO };
        let asked = self.now();
        follower.asked_at = self.timer.since_boot();
        let result = if follower.listed {
            follower.store.watch(topic, after, wait).await
        } else {
            let listing = follower.store.list(topic, Freshness::Current).await;
            listing.and_then(|listing| check_era(after, listing))
        };
        self.count_store_call(&result);
        if matches!(result, Ok(_) | Err(StoreError::HistoryGone)) {
            self.record_answer(asked);
        }
        match result {
            Ok(changes) => {
                self.apply_read(follower, after, changes, asked);
                self.timer.sleep(BATCH_DELAY).await;
            }
            Err(StoreError::HistoryGone) => {
                let values: [(&str, &dyn std::fmt::Display); 2] =
                    [("topic", &topic.name()), ("revision", &after)];
                event::info(Event::StoreForgot, &values);
                follower.listed = false;
            }
            Err(error) => {
                let due = asked + wait.as_micros() as Micros;
                self.record_outage(asked, due, &error);
                let delay = self.record_failed_read(follower, after, &error);
                self.timer.sleep(delay).await;
            }
        }
    }

    /// Returns the longest time for which a watch of `topic` waits for changes.
    fn watch_timeout(&self, topic: Topic) -> Duration {
        let limit = self.watch_limit().filter(|_| topic == Topic::Control);
        limit.map_or(WATCH_TIMEOUT, |limit| WATCH_TIMEOUT.min(Duration::from_micros(limit)))
    }

    /// Records that the store has answered a call of this node that began at `asked`.
    fn record_answer(&self, asked: Micros) {
        let now = self.now();
        let mut state = self.lock();
        state.readers.record_answer();
        state.record_answer(&self.settings, now, asked);
    }

    /// Records a failed call, which began at `asked` and whose answer was due at `due`, if the store may
    /// be away. A node that reads only because it is behind leaves outages to the readers.
    fn record_outage(&self, asked: Micros, due: Micros, error: &StoreError) {
        let now = self.now();
        let since = match error {
            StoreError::Unreachable(_)
            | StoreError::Late(_)
            | StoreError::Refused(SERVER_ERROR..) => due.min(now),
            // Until now the connection was sound, or parts of the response arrived.
            StoreError::Cut(_) | StoreError::Incomplete(_) => now,
            // The store has responded.
            StoreError::Refused(_) | StoreError::Malformed(_) | StoreError::HistoryGone => return,
        };
        let mut state = self.lock();
        let state = &mut *state;
        if state.readers.is_reading() {
            state.outage.record_failure(since);
            state.outage.record_attempt(asked);
            state.readers.record_failure(now, state.rng.random());
        }
    }

    /// Applies what the store answered to a call that began at `asked`.
    fn apply_read(
        &self,
        follower: &mut Follower,
        after: Revision,
        changes: Changes,
        asked: Micros,
    ) {
        let topic = follower.topic;
        log_faults(&changes);
        if std::mem::take(&mut follower.lost) {
            let values: [(&str, &dyn std::fmt::Display); 2] =
                [("topic", &topic.name()), ("revision", &after)];
            event::info(Event::StoreRegained, &values);
        }
        follower.backoff = MIN_BACKOFF;
        follower.reachable = true;
        let told = changes.through;
        if std::mem::replace(&mut follower.listed, true) {
            self.apply_changes(topic, after, changes.through, changes.changes);
        } else {
            self.apply_listing(topic, changes);
        }
        let mut state = self.lock();
        if topic == Topic::Upstreams {
            state.view.end_grace();
        }
        let through = state.view.revision(topic);
        let now = self.now();
        state.knowledge(topic).confirm(now, asked, through);
        if topic == Topic::Control && through >= told {
            state.proof.confirm(follower.asked_at);
        }
    }

    /// Records a failed call; returns the delay before the next one.
    fn record_failed_read(
        &self,
        follower: &mut Follower,
        after: Revision,
        error: &StoreError,
    ) -> Micros {
        let topic = follower.topic;
        if !follower.lost {
            log_lost(topic, after, error);
        }
        // The same watch would return the same changes and more, so what could not be received or
        // decoded is replaced by a listing, which holds each item once.
        if matches!(error, StoreError::Incomplete(_) | StoreError::Malformed(_)) {
            follower.listed = false;
        }
        follower.reachable = false;
        // A late response has taken long enough, and the store may have returned meanwhile.
        let late = matches!(error, StoreError::Late(_));
        let backoff = if late { MIN_BACKOFF } else { follower.backoff };
        follower.backoff = (backoff * 2).min(MAX_BACKOFF);
        follower.lost = true;
        let mut state = self.lock();
        state.knowledge(topic).call = StoreCall::Failed;
        backoff / 2 + state.rng.random_range(0..=backoff)
    }

    /// Returns whether the next changes are to be read from the store: this node is a reader, or
    /// its peers know changes that it could not get from them.
    fn reads_next(&self, topic: Topic, now: Micros) -> bool {
        let mut state = self.lock();
        let reader = state.readers.decide(now);
        let through = state.view.revision(topic);
        reader || state.knowledge(topic).lag.is_overdue(now, through)
    }

    /// Logs whether this node is a reader, and the age of what it knows, if that has changed since the last
    /// line.
    fn log_reader(&self, now: Micros) {
        let mut state = self.lock();
        let reads = state.readers.is_reading();
        if std::mem::replace(&mut state.logged_reader, reads) == reads {
            return;
        }
        let age = |topic| state.age(now, topic).map_or(-1, |age| (age / MS) as i64);
        let [upstreams, control] = Topic::ALL.map(age);
        drop(state);
        let values: [(&str, &dyn std::fmt::Display); 3] =
            [("reads", &reads), ("upstreams_age_ms", &upstreams), ("control_age_ms", &control)];
        event::info(Event::ReaderChanged, &values);
    }

    fn count_store_call(&self, result: &Result<Changes, StoreError>) {
        let result = match result {
            Ok(_) => "ok",
            Err(StoreError::Unreachable(_)) => "unreachable",
            Err(StoreError::Late(_)) => "late",
            Err(StoreError::Cut(_)) => "cut",
            Err(StoreError::Refused(_)) => "refused",
            Err(StoreError::HistoryGone) => "history-gone",
            Err(StoreError::Malformed(_)) => "malformed",
            Err(StoreError::Incomplete(_)) => "incomplete",
        };
        self.metrics.store_calls.with_label_values(&[result]).inc();
    }

    fn apply_listing(&self, topic: Topic, listing: Changes) {
        let now = self.now();
        let known = self.revision(topic);
        let effects = {
            let mut state = self.lock();
            if listing.through < state.view.revision(topic) {
                // Changes pulled from a peer are newer than this listing.
                return;
            }
            if topic == Topic::Upstreams {
                state.history.reset(listing.through);
            }
            let updates: Vec<Update> =
                listing.changes.into_iter().map(|change| change.update).collect();
            let effects = state.view.replace(now, topic, listing.through, updates);
            state.record_routing();
            effects
        };
        self.log_restored("store", topic, known);
        self.view_changed("store", topic, &effects);
    }
}
