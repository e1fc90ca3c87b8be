//! Injects the faults of a run: single ones, and bursts and series of configurations that overlap
//! them.

use std::cmp::Reverse;
use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bbv_stand::fleet::Fleet;
use bbv_stand::proxy::Mode;
use bbv_stand::store::StoreCopy;
use eyre::Result;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::bursts::{self, Action, Step};
use crate::departures;
use crate::drills;
use crate::faults::{self, Fault, Node};
use crate::growth;
use crate::history::History;
use crate::leaving::Absence;
use crate::outages;
use crate::pieces;
use crate::run::RunOptions;
use crate::store_faults;

/// Probability that an upstream turns cold along with a fault.
const COLD_PROBABILITY: f64 = 0.12;
/// XORed with the seed of a run to seed the cold periods.
const COLD_SEED_MASK: u64 = 0xc01d;
/// Probability that a burst starts along with a fault.
const BURST_PROBABILITY: f64 = 0.2;
/// XORed with the seed of a run to seed the bursts.
const BURST_SEED_MASK: u64 = 0xb0b5;
/// Largest number of added routes of the many versions of a burst, which the slow link has to carry.
const MAX_BURST_ROUTES: usize = 200;
/// Probability that a series of growing configurations starts along with a fault.
const GROWTH_PROBABILITY: f64 = 0.3;
/// XORed with the seed of a run to seed these series.
const GROWTH_SEED_MASK: u64 = 0x960;

/// Factor of the pauses between other faults in a run with silent outages alone, which even seeds have.
const OUTAGE_PAUSES: u32 = 10;
/// XORed with the seed of a run to seed the silent outages.
const OUTAGE_SEED_MASK: u64 = 0xda_2c;
/// Probability that a fault of the store starts along with a fault.
const STORE_PROBABILITY: f64 = 0.3;
/// XORed with the seed of a run to seed the faults of the store.
const STORE_SEED_MASK: u64 = 0x5_70fe;

/// Probability that a drill starts along with a fault.
const DRILL_PROBABILITY: f64 = 0.2;
/// XORed with the seed of a run to seed the drills.
const DRILL_SEED_MASK: u64 = 0xe7a;

/// Probability that a cut with departures starts along with a fault.
const CUT_PROBABILITY: f64 = 0.3;
/// XORed with the seed of a run to seed these cuts.
const CUT_SEED_MASK: u64 = 0xc07;

/// Probability that a flood of pieces starts along with a fault.
const FLOOD_PROBABILITY: f64 = 0.3;
/// XORed with the seed of a run to seed the floods.
const FLOOD_SEED_MASK: u64 = 0x71_ece5;

/// Injects faults into the nodes of a fleet.
pub struct Injector<'a> {
    fleet: &'a Fleet,
    nodes: &'a mut [Node],
    /// Newest version of the routing that was published.
    newest: &'a AtomicU64,
    history: &'a Arc<History>,
    /// Nodes without faults that disturb them.
    calm: &'a [usize],
    started: Instant,
    log: File,
    /// Faults injected.
    count: usize,
    /// Spans in which upstreams were published as leaving.
    absences: Vec<Absence>,
    /// Time from which the next series may start.
    next_series: Duration,
    /// Time from which the next fault of the store may start.
    next_store: Duration,
    /// Time from which the next silent outage may start.
    next_outage: Duration,
    /// Time from which the next drill may start.
    next_drill: Duration,
    /// Time from which the next flood may start.
    next_flood: Duration,
    /// Time from which the next cut with departures may start.
    next_cut: Duration,
    /// Copy of the store, while a drill lasts.
    copy: Option<StoreCopy>,
    /// What the store has lost in a drill.
    lost: Option<StoreCopy>,
    /// Steps of bursts to come, the latest first.
    steps: Vec<Step>,
}

impl<'a> Injector<'a> {
    /// Creates an injector that writes a log of its faults to the folder of the run.
    pub fn new(
        options: &RunOptions,
        fleet: &'a Fleet,
        nodes: &'a mut [Node],
        newest: &'a AtomicU64,
        history: &'a Arc<History>,
        calm: &'a [usize],
    ) -> Result<Self> {
        let log = File::create(options.folder.join("faults.log"))?;
        let started = Instant::now();
        Ok(Injector {
            fleet,
            nodes,
            newest,
            history,
            calm,
            started,
            log,
            count: 0,
            absences: Vec::new(),
            next_series: Duration::ZERO,
            next_store: Duration::ZERO,
            next_outage: Duration::ZERO,
            next_drill: Duration::ZERO,
            next_flood: Duration::ZERO,
            next_cut: Duration::ZERO,
            copy: None,
            lost: None,
            steps: Vec::new(),
        })
    }

    /// Injects faults for the duration of the run; returns their number, and which upstreams left.
    pub async fn run(mut self, options: &RunOptions) -> Result<(usize, Vec<Absence>)> {
        let mut rng = SmallRng::seed_from_u64(options.seed);
        // Separate generators keep the single faults of a seed as they were without the others.
        let mut cold_rng = SmallRng::seed_from_u64(options.seed ^ COLD_SEED_MASK);
        let mut burst_rng = SmallRng::seed_from_u64(options.seed ^ BURST_SEED_MASK);
        let mut growth_rng = SmallRng::seed_from_u64(options.seed ^ GROWTH_SEED_MASK);
        let mut store_rng = SmallRng::seed_from_u64(options.seed ^ STORE_SEED_MASK);
        let mut outage_rng = SmallRng::seed_from_u64(options.seed ^ OUTAGE_SEED_MASK);
        let mut flood_rng = SmallRng::seed_from_u64(options.seed ^ FLOOD_SEED_MASK);
        let mut drill_rng = SmallRng::seed_from_u64(options.seed ^ DRILL_SEED_MASK);
        let mut cut_rng = SmallRng::seed_from_u64(options.seed ^ CUT_SEED_MASK);
        // Faults that reset connections to the store hide calls that an outage has silenced.
        let only_outages = options.site && options.seed.is_multiple_of(2);
        let pauses = if only_outages { OUTAGE_PAUSES } else { 1 };
        while self.started.elapsed() < options.duration {
            self.wait(Duration::from_millis(rng.random_range(20..400)) * pauses).await?;
            faults::restart_ended(self.nodes)?;
            let index = rng.random_range(0..self.nodes.len());
            self.inject(index, Fault::draw(&mut rng))?;
            if cold_rng.random_bool(COLD_PROBABILITY) {
                self.inject(cold_rng.random_range(0..self.nodes.len()), Fault::Cold)?;
            }
            if burst_rng.random_bool(BURST_PROBABILITY) {
                let now = self.started.elapsed();
                self.steps.extend(bursts::draw(&mut burst_rng, self.nodes.len(), now));
                self.steps.sort_by_key(|step| Reverse(step.at));
            }
            if growth_rng.random_bool(GROWTH_PROBABILITY) && options.routes > 0 {
                self.add_series(&mut growth_rng, options.routes);
            }
            if !only_outages && store_rng.random_bool(STORE_PROBABILITY) {
                self.add_store_fault(&mut store_rng);
            }
            if options.drills && drill_rng.random_bool(DRILL_PROBABILITY) {
                self.add_drill(&mut drill_rng);
            }
            if options.cuts && cut_rng.random_bool(CUT_PROBABILITY) {
                self.add_cut(&mut cut_rng);
            }
            if flood_rng.random_bool(FLOOD_PROBABILITY) {
                self.add_flood(&mut flood_rng);
            }
            if options.site {
                self.add_outage(&mut outage_rng, options.routes);
            }
            if rng.random_bool(0.1) {
                self.publish(rng.random_range(1..4), None)?;
            }
        }
        self.mute(false);
        self.write_again();
        self.set_outage(false);
        self.cut_zone(false);
        for node in 0..self.nodes.len() {
            self.end_absence(node)?;
        }
        Ok((self.count, self.absences))
    }

    /// Adds a series of growing configurations if the last one is long enough ago.
    fn add_series(&mut self, rng: &mut SmallRng, routes: usize) {
        let now = self.started.elapsed();
        let series = growth::draw(rng, self.nodes.len(), routes, now);
        if now >= self.next_series {
            self.next_series = now + growth::MIN_PAUSE;
            self.steps.extend(series);
            self.steps.sort_by_key(|step| Reverse(step.at));
        }
    }

    /// Adds a fault of the store if the last one is long enough ago.
    fn add_store_fault(&mut self, rng: &mut SmallRng) {
        let now = self.started.elapsed();
        let steps = store_faults::draw(rng, self.nodes.len(), now);
        if now >= self.next_store {
            self.next_store = now + store_faults::MIN_PAUSE;
            self.steps.extend(steps);
            self.steps.sort_by_key(|step| Reverse(step.at));
        }
    }

    /// Adds a silent outage beside versions that add routes if the last one is long enough ago.
    fn add_outage(&mut self, rng: &mut SmallRng, routes: usize) {
        let now = self.started.elapsed();
        if now >= self.next_outage {
            self.next_outage = now + outages::MIN_PAUSE;
            self.steps.extend(outages::draw(rng, routes, now));
            self.steps.sort_by_key(|step| Reverse(step.at));
        }
    }

    /// Adds a drill if the last one is long enough ago.
    fn add_drill(&mut self, rng: &mut SmallRng) {
        let now = self.started.elapsed();
        let steps = drills::draw(rng, now);
        if now >= self.next_drill {
            self.next_drill = now + drills::MIN_PAUSE;
            self.steps.extend(steps);
            self.steps.sort_by_key(|step| Reverse(step.at));
        }
    }

    /// Adds a cut with departures if the last one is long enough ago.
    fn add_cut(&mut self, rng: &mut SmallRng) {
        let now = self.started.elapsed();
        let steps = departures::draw(rng, self.nodes.len(), now);
        if now >= self.next_cut {
            self.next_cut = now + departures::MIN_PAUSE;
            self.steps.extend(steps);
            self.steps.sort_by_key(|step| Reverse(step.at));
        }
    }

    /// Adds a flood of pieces if the last one is long enough ago.
    fn add_flood(&mut self, rng: &mut SmallRng) {
        let now = self.started.elapsed();
        let steps = pieces::draw_flood(rng, self.nodes.len(), now);
        if now >= self.next_flood {
            self.next_flood = now + pieces::MIN_PAUSE;
            self.steps.extend(steps);
            self.steps.sort_by_key(|step| Reverse(step.at));
        }
    }

    /// Waits for `pause`, and takes the steps of bursts that are due meanwhile.
    async fn wait(&mut self, pause: Duration) -> Result<()> {
        let end = self.started.elapsed() + pause;
        while let Some(step) = self.steps.pop_if(|step| step.at < end) {
            tokio::time::sleep_until((self.started + step.at).into()).await;
            faults::restart_ended(self.nodes)?;
            match step.action {
                Action::Inject(index, fault) => self.inject(index, fault)?,
                Action::Publish => {
                    let routes = self.history.newest().routes.min(MAX_BURST_ROUTES);
                    self.publish(1, Some(routes))?;
                }
                Action::Resize(routes) => self.publish(1, Some(routes))?,
                Action::Leave(node) => self.begin_absence(node, "draining")?,
                Action::Remove(node) => self.begin_absence(node, "removed")?,
                Action::Return(node) => self.end_absence(node)?,
                Action::PublishInvalid => self.publish_invalid()?,
                Action::Cut(_)
                | Action::Silence
                | Action::Mute(_)
                | Action::Forget
                | Action::Outage(_)
                | Action::Copy
                | Action::Restore
                | Action::WriteAgain
                | Action::CutZone(_) => self.disturb_links(step.action)?,
            }
        }
        tokio::time::sleep_until((self.started + end).into()).await;
        Ok(())
    }

    /// Injects `fault` at node `index`. A node that stays calm gets SIGHUP in place of one that
    /// would disturb it.
    fn inject(&mut self, index: usize, fault: Fault) -> Result<()> {
        let spared = fault.disturbs() && self.calm.contains(&index);
        let fault = if spared { Fault::Reload } else { fault };
        let ms = self.started.elapsed().as_millis();
        writeln!(self.log, "at_ms={ms} node={index} fault={fault:?}")?;
        self.count += 1;
        fault.inject(self.fleet, index, &mut self.nodes[index])
    }

    /// Publishes that the upstream of `node` leaves, unless half of them are away or it is: its entry
    /// is `draining` or `removed`.
    fn begin_absence(&mut self, node: usize, how: &str) -> Result<()> {
        let away = self.absences.iter().filter(|absence| absence.end.is_none());
        let away: Vec<usize> = away.map(|absence| absence.node).collect();
        if away.contains(&node) || 2 * away.len() >= self.nodes.len() {
            return Ok(());
        }
        let ms = self.started.elapsed().as_millis();
        writeln!(self.log, "at_ms={ms} node={node} leaves how={how}")?;
        match how {
            "removed" => self.fleet.store.remove(&format!("servers/i-{node}")),
            state => self.fleet.publish_upstream(node, state),
        }
        self.absences.push(Absence { node, acked: Instant::now(), end: None });
        Ok(())
    }

    /// Publishes that the upstream of `node` is ready again, if it is away.
    fn end_absence(&mut self, node: usize) -> Result<()> {
        let mut away = self.absences.iter_mut().filter(|absence| absence.end.is_none());
        if let Some(absence) = away.find(|absence| absence.node == node) {
            let ms = self.started.elapsed().as_millis();
            writeln!(self.log, "at_ms={ms} node={node} returns")?;
            absence.end = Some(Instant::now());
            self.fleet.publish_upstream(node, "ready");
        }
        Ok(())
    }

    /// Injects a fault of the store, of the connections to it, or of those between zones.
    fn disturb_links(&mut self, action: Action) -> Result<()> {
        let ms = self.started.elapsed().as_millis();
        writeln!(self.log, "at_ms={ms} store={action:?}")?;
        self.count += 1;
        match action {
            Action::Cut(Some(node)) => self.nodes[node].store_proxy.reset_open(),
            Action::Silence => self.nodes.iter().for_each(Node::silence_store),
            Action::Mute(muted) => self.mute(muted),
            Action::Outage(away) => self.set_outage(away),
            Action::CutZone(cut) => self.cut_zone(cut),
            Action::Copy => self.copy = Some(self.fleet.store.copy()),
            Action::Restore => self.restore(),
            Action::WriteAgain => {
                self.write_again();
                self.set_outage(false);
            }
            Action::Forget => {
                self.fleet.store.drop_history();
                self.nodes.iter().for_each(|node| node.store_proxy.reset_open());
                self.mute(false);
            }
            _ => self.nodes.iter().for_each(|node| node.store_proxy.reset_open()),
        }
        Ok(())
    }

    /// Lets the store come back from the copy. Nodes count as disturbed until what it has lost is written
    /// again.
    fn restore(&mut self) {
        let Some(copy) = &self.copy else { return };
        self.lost = Some(self.fleet.store.restore(copy));
        for node in self.nodes.iter() {
            *node.store_proxy.mode.lock() = Mode::Pass;
            node.store_proxy.reset_open();
        }
    }

    /// Writes again what the store has lost.
    fn write_again(&mut self) {
        if let (Some(copy), Some(lost)) = (self.copy.take(), self.lost.take()) {
            self.fleet.store.write_again(&lost, &copy);
        }
    }

    /// Makes the store silent for all nodes or ends that.
    fn set_outage(&self, away: bool) {
        for node in self.nodes.iter() {
            node.outage.store(away, Ordering::Relaxed);
            let mut mode = node.store_proxy.mode.lock();
            *mode = if away { Mode::Silent } else { Mode::Pass };
            drop(mode);
            node.record_disturbed();
        }
    }

    /// Silences the connections from other zones into the last one, or ends that.
    fn cut_zone(&self, cut: bool) {
        for node in self.nodes.iter().filter(|node| !node.peer_proxies.is_empty()) {
            let mode = if cut { Mode::Silent } else { Mode::Pass };
            node.peer_proxies.iter().for_each(|proxy| *proxy.mode.lock() = mode);
            node.record_disturbed();
        }
    }

    /// Publishes an invalid version of the routing, newer than all others.
    fn publish_invalid(&mut self) -> Result<()> {
        let version = self.newest.load(Ordering::SeqCst) + 1;
        let ms = self.started.elapsed().as_millis();
        writeln!(self.log, "at_ms={ms} invalid={version}")?;
        self.history.publish_invalid(self.fleet, version);
        Ok(())
    }

    fn mute(&self, muted: bool) {
        self.fleet.store.muted.store(muted, Ordering::Relaxed);
        self.nodes.iter().for_each(Node::record_disturbed);
    }

    /// Publishes a version of the routing that is newer by `step` and adds `routes` routes, or as
    /// many as the version before.
    fn publish(&mut self, step: u64, routes: Option<usize>) -> Result<()> {
        let version = self.newest.load(Ordering::SeqCst) + step;
        let routes = routes.unwrap_or(self.history.newest().routes);
        let ms = self.started.elapsed().as_millis();
        writeln!(self.log, "at_ms={ms} version={version} routes={routes}")?;
        self.history.publish(self.fleet, version, routes, |_| {});
        self.newest.store(version, Ordering::SeqCst);
        Ok(())
    }
}
