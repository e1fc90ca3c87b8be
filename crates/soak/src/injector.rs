//! Injects the faults of a run: single ones, and bursts that overlap them.

use std::cmp::Reverse;
use std::fs::File;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bbv_stand::fleet::Fleet;
use eyre::Result;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::bursts::{self, Action, Step};
use crate::faults::{self, Fault, Node};
use crate::run::RunOptions;
use crate::versions::version_route;

/// Probability that an upstream turns cold along with a fault.
const COLD_PROBABILITY: f64 = 0.12;
/// XORed with the seed of a run to seed the cold periods.
const COLD_SEED_MASK: u64 = 0xc01d;
/// Probability that a burst starts along with a fault.
const BURST_PROBABILITY: f64 = 0.2;
/// XORed with the seed of a run to seed the bursts.
const BURST_SEED_MASK: u64 = 0xb0b5;

/// Injects faults into the nodes of a fleet.
pub struct Injector<'a> {
    fleet: &'a Fleet,
    nodes: &'a mut [Node],
    /// Newest version of the routing that was published.
    newest: &'a AtomicU64,
    started: Instant,
    log: File,
    /// Faults injected.
    count: usize,
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
    ) -> Result<Self> {
        let log = File::create(options.folder.join("faults.log"))?;
        let started = Instant::now();
        Ok(Injector { fleet, nodes, newest, started, log, count: 0, steps: Vec::new() })
    }

    /// Injects faults for the duration of the run; returns their number.
    pub async fn run(mut self, options: &RunOptions) -> Result<usize> {
        let mut rng = SmallRng::seed_from_u64(options.seed);
        // Separate generators keep the single faults of a seed as they were without the others.
        let mut cold_rng = SmallRng::seed_from_u64(options.seed ^ COLD_SEED_MASK);
        let mut burst_rng = SmallRng::seed_from_u64(options.seed ^ BURST_SEED_MASK);
        while self.started.elapsed() < options.duration {
            self.wait(Duration::from_millis(rng.random_range(20..400))).await?;
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
            if rng.random_bool(0.1) {
                self.publish(rng.random_range(1..4))?;
            }
        }
        Ok(self.count)
    }

    /// Waits for `pause`, and takes the steps of bursts that are due meanwhile.
    async fn wait(&mut self, pause: Duration) -> Result<()> {
        let end = self.started.elapsed() + pause;
        while let Some(step) = self.steps.pop_if(|step| step.at < end) {
            tokio::time::sleep_until((self.started + step.at).into()).await;
            faults::restart_ended(self.nodes)?;
            match step.action {
                Action::Inject(index, fault) => self.inject(index, fault)?,
                Action::Publish => self.publish(1)?,
            }
        }
        tokio::time::sleep_until((self.started + end).into()).await;
        Ok(())
    }

    fn inject(&mut self, index: usize, fault: Fault) -> Result<()> {
        let ms = self.started.elapsed().as_millis();
        writeln!(self.log, "at_ms={ms} node={index} fault={fault:?}")?;
        self.count += 1;
        fault.inject(self.fleet, index, &mut self.nodes[index])
    }

    /// Publishes a version of the routing that is newer by `step`.
    fn publish(&mut self, step: u64) -> Result<()> {
        let version = self.newest.load(Ordering::SeqCst) + step;
        let ms = self.started.elapsed().as_millis();
        writeln!(self.log, "at_ms={ms} version={version}")?;
        self.fleet
            .store
            .put("op/config", &self.fleet.config_with(version, &version_route(version)));
        self.newest.store(version, Ordering::SeqCst);
        Ok(())
    }
}
