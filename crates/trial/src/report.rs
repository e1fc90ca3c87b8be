//! Result of a trial.

use std::collections::BTreeMap;

use bbv_core::reconciliation::{self, Statement};
use bbv_core::units::{MS, SEC};
use bbv_node::audit::Event;
use serde::{Deserialize, Serialize};

use crate::links::Counted;
use crate::member::Member;
use crate::scene::Scene;

/// Figures of one trial.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Name of the trial.
    pub name: String,
    /// Policy.
    pub policy: String,
    /// Seed.
    pub seed: u64,
    /// Calls that ended within the measured time.
    pub calls: u64,
    /// Calls answered.
    pub answered: u64,
    /// Calls refused and not run.
    pub refused_not_run: u64,
    /// Calls that the upstream failed.
    pub failed: u64,
    /// Calls of unknown outcome.
    pub unknown: u64,
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency in milliseconds.
    pub p999_ms: f64,
    /// 99th percentile of the latency by entry in milliseconds.
    pub entry_p99_ms: BTreeMap<String, f64>,
    /// 99th percentile of the time to a refusal in milliseconds.
    pub refusal_p99_ms: f64,
    /// Answers a second as a share of the capacity of all warm upstreams.
    pub goodput: f64,
    /// Requests on an upstream above its slots, at most.
    pub max_inflight_over_cap: u64,
    /// Starts on a cold upstream above its cold limit.
    pub cold_overload: u64,
    /// Operations that ran more than once.
    pub double_runs: u64,
    /// Calls that ran although the caller was told that they did not.
    pub false_not_run: u64,
    /// Calls answered although they never ran.
    pub false_answers: u64,
    /// Answers that belong to another call.
    pub crossed_answers: u64,
    /// Requests that ran when their node exited as planned.
    pub cut_requests: u64,
    /// Longest time after an order at which an out zone got new work, in seconds.
    pub late_work_after_out_s: f64,
    /// Upstreams crashed by one request, at most.
    pub poison_crashes: u64,
    /// Attempts on which the statements of two live nodes differ.
    pub differing: u64,
    /// Attempts that both sides counted alike.
    pub agreed: u64,
    /// Messages sent only to measure.
    pub probe_msgs: u64,
    /// Their bytes.
    pub probe_bytes: u64,
    /// Messages sent only to measure, as a share of the calls.
    pub probe_ratio: f64,
    /// Bytes of control messages a node and second.
    pub control_bytes_per_node_s: f64,
    /// Runs beyond the first of each call, as a share of the calls.
    pub retries_ratio: f64,
    /// The same share in the worst window of 100 ms.
    pub retries_peak: f64,
    /// 99th percentile of the time from publication to force in milliseconds.
    pub in_force_p99_ms: u64,
    /// Longest time from publication to force in milliseconds.
    pub in_force_max_ms: u64,
    /// Nodes that do not know the latest revision at the end.
    pub behind: u64,
    /// Upstreams taken to be cold after the lead.
    pub chills: u64,
    /// Revisions that went back on a node.
    pub reversions: u64,
    /// Platform reads in the busiest second.
    pub platform_reads_per_s: u64,
}

impl Report {
    /// Gathers the figures at the end of a trial.
    pub fn gather(
        scene: &Scene,
        policy: &str,
        seed: u64,
        members: &[Member],
        gone: &[Member],
        before: Counted,
        counted: Counted,
    ) -> Self {
        let plan = &scene.plan;
        let seconds = plan.length as f64 / SEC as f64;
        let capacity: f64 = plan.pools.iter().map(|pool| plan.capacity(&pool.service)).sum();
        let nodes = members.len().max(1) as f64;
        let probe_msgs = counted.probe_msgs - before.probe_msgs;
        let control = counted.control_bytes - before.control_bytes;
        let delays = in_force_delays(scene, members);
        let latest = scene.platform.revision();
        let behind = members.iter().filter(|m| m.node.status().revision < latest).count() as u64;
        let reconciled = reconcile(members, gone);
        scene.observer.read(|facts| Report {
            name: plan.name.clone(),
            policy: policy.to_owned(),
            seed,
            calls: facts.ended,
            answered: facts.answered,
            refused_not_run: facts.refused,
            failed: facts.failed,
            unknown: facts.unknown,
            p50_ms: facts.latency_ms(0.5),
            p99_ms: facts.latency_ms(0.99),
            p999_ms: facts.latency_ms(0.999),
            entry_p99_ms: facts.entry_ms(0.99),
            refusal_p99_ms: facts.refusal_ms(0.99),
            goodput: facts.answered as f64 / seconds / capacity.max(1.0),
            max_inflight_over_cap: facts.over_cap,
            cold_overload: facts.cold_overload,
            double_runs: facts.double_runs(),
            false_not_run: facts.false_not_run(),
            false_answers: facts.false_answers(),
            crossed_answers: facts.crossed,
            cut_requests: facts.cut,
            late_work_after_out_s: facts.late_out as f64 / SEC as f64,
            poison_crashes: facts.poison_crashes.values().copied().max().unwrap_or(0),
            differing: reconciled.differing.len() as u64,
            agreed: reconciled.agreed,
            probe_msgs,
            probe_bytes: counted.probe_bytes - before.probe_bytes,
            probe_ratio: probe_msgs as f64 / facts.ended.max(1) as f64,
            control_bytes_per_node_s: control as f64 / seconds / nodes,
            retries_ratio: facts.extra_runs(),
            retries_peak: facts.extra_peak(),
            in_force_p99_ms: quantile(&delays, 0.99),
            in_force_max_ms: delays.last().copied().unwrap_or(0),
            behind,
            chills: chills(scene, members),
            reversions: reversions(members),
            platform_reads_per_s: scene.platform.read_counts().max_per_s,
        })
    }
}

fn quantile(sorted: &[u64], quantile: f64) -> u64 {
    let at = (sorted.len() as f64 * quantile) as usize;
    sorted.get(at.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}

/// Times to force of documents published after the lead, in order.
fn in_force_delays(scene: &Scene, members: &[Member]) -> Vec<u64> {
    let mut delays = Vec::new();
    for member in members {
        for line in member.node.audit(0) {
            let Some(delay) = line.delay_ms else { continue };
            let published = line.at.saturating_sub(delay * MS);
            // A node that started later took older documents over when it began.
            let counts = published >= member.started.max(scene.plan.lead);
            if counts && line.event == Event::InForce && !line.subject.starts_with("vm/") {
                delays.push(delay);
            }
        }
    }
    delays.sort_unstable();
    delays
}

/// Counts how often gates took their upstream to be cold after the lead.
fn chills(scene: &Scene, members: &[Member]) -> u64 {
    let lines = members.iter().flat_map(|member| member.node.audit(0));
    let chilled = lines.filter(|line| {
        line.event == Event::UpstreamState && line.subject == "cold" && line.at > scene.plan.lead
    });
    chilled.count() as u64
}

/// Counts documents whose revision went back on a node.
fn reversions(members: &[Member]) -> u64 {
    let mut count = 0;
    for member in members {
        let mut highest = BTreeMap::new();
        let lines = member.node.audit(0);
        for line in lines.iter().filter(|line| line.event == Event::InForce) {
            let known = highest.entry(line.subject.clone()).or_insert(0);
            count += u64::from(line.revision < *known);
            *known = line.revision.max(*known);
        }
    }
    count
}

fn reconcile(members: &[Member], gone: &[Member]) -> reconciliation::Reconciliation {
    let all = members.iter().chain(gone);
    let statements: Vec<Statement> = all.map(|member| member.node.statement()).collect();
    reconciliation::reconcile(&statements)
}
