//! Collects the results of a trial; written as JSON under the names of the fields.

use std::collections::BTreeMap;

use bbv_core::reconciliation::{self, Statement};
use bbv_core::units::{MS, SEC};
use bbv_node::audit::Event;
use serde::{Deserialize, Serialize};

use crate::environment::Environment;
use crate::links::MessageCounts;
use crate::member::SimulatedMember;

/// Results of one trial.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Name of the trial.
    pub name: String,
    /// Load-balancing policy.
    pub policy: String,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Calls that ended, among those that started in the measured period.
    pub calls: u64,
    /// Calls answered.
    pub answered: u64,
    /// Calls refused and not run.
    pub refused_not_run: u64,
    /// Calls that the upstream answered with an error.
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
    /// 99th percentile of the latency of refused calls in milliseconds.
    pub refusal_p99_ms: f64,
    /// Answers per second as a share of the capacity of all warm upstreams.
    pub goodput: f64,
    /// Largest number of requests by which an upstream exceeded its slots.
    pub max_inflight_over_cap: u64,
    /// Requests that started on a cold upstream above its cold limit.
    pub cold_overload: u64,
    /// At-most-once calls that ran more than once.
    pub double_runs: u64,
    /// Calls that ran although they were reported to the caller as not run.
    pub false_not_run: u64,
    /// Calls answered although they never ran.
    pub false_answers: u64,
    /// Answers that belonged to another call.
    pub crossed_answers: u64,
    /// Requests still running when their node exited in a planned stop.
    pub cut_requests: u64,
    /// Longest time from taking a zone out of service to the last request that started there,
    /// in seconds.
    pub late_work_after_out_s: f64,
    /// Largest number of upstream crashes by one request.
    pub poison_crashes: u64,
    /// Attempts on which the statements of two running nodes differ.
    pub differing: u64,
    /// Attempts on which the statements of both sides agree.
    pub agreed: u64,
    /// Messages that only report or request load: notices and probes.
    pub probe_msgs: u64,
    /// Bytes of these messages and their replies.
    pub probe_bytes: u64,
    /// Messages that only report or request load, as a share of the calls.
    pub probe_ratio: f64,
    /// Bytes of control messages per node and second.
    pub control_bytes_per_node_s: f64,
    /// Runs beyond the first of each call, as a share of the calls that ran.
    pub retries_ratio: f64,
    /// Largest ratio of repeated to first runs in any window of 100 ms with at least 50 first
    /// runs.
    pub retries_peak: f64,
    /// 99th percentile of the time from the publication of a document until a node has it in
    /// force, in milliseconds.
    pub in_force_p99_ms: u64,
    /// Longest time from the publication of a document until a node has it in force, in
    /// milliseconds.
    pub in_force_max_ms: u64,
    /// Nodes that don't have the latest revision at the end.
    pub behind: u64,
    /// Detections of a cold upstream after the warm-up.
    pub chills: u64,
    /// Decreases of a document's revision on a node.
    pub reversions: u64,
    /// Platform reads in the busiest second.
    pub platform_reads_per_s: u64,
}

impl Report {
    /// Collects the results at the end of a trial.
    pub fn collect(
        env: &Environment,
        policy: &str,
        seed: u64,
        members: &[SimulatedMember],
        exited: &[SimulatedMember],
        counts_before: MessageCounts,
        message_counts: MessageCounts,
    ) -> Self {
        let plan = &env.plan;
        let seconds = plan.duration as f64 / SEC as f64;
        let capacity: f64 = plan.pools.iter().map(|pool| plan.capacity(&pool.service)).sum();
        let nodes = members.len().max(1) as f64;
        let probe_msgs = message_counts.probe_msgs - counts_before.probe_msgs;
        let control = message_counts.control_bytes - counts_before.control_bytes;
        let delays = in_force_delays(env, members);
        let latest = env.platform.revision();
        let behind = members.iter().filter(|m| m.node.status().revision < latest).count() as u64;
        let reconciled = reconcile(members, exited);
        env.observer.read(|metrics| Report {
            name: plan.name.clone(),
            policy: policy.to_owned(),
            seed,
            calls: metrics.ended,
            answered: metrics.answered,
            refused_not_run: metrics.refused,
            failed: metrics.failed,
            unknown: metrics.unknown,
            p50_ms: metrics.latency_ms(0.5),
            p99_ms: metrics.latency_ms(0.99),
            p999_ms: metrics.latency_ms(0.999),
            entry_p99_ms: metrics.entry_latency_ms(0.99),
            refusal_p99_ms: metrics.refusal_latency_ms(0.99),
            goodput: metrics.answered as f64 / seconds / capacity.max(1.0),
            max_inflight_over_cap: metrics.over_slots,
            cold_overload: metrics.cold_overload,
            double_runs: metrics.double_runs(),
            false_not_run: metrics.false_not_run(),
            false_answers: metrics.false_answers(),
            crossed_answers: metrics.crossed_answers,
            cut_requests: metrics.cut_requests,
            late_work_after_out_s: metrics.late_work as f64 / SEC as f64,
            poison_crashes: metrics.poison_crashes.values().copied().max().unwrap_or(0),
            differing: reconciled.differing.len() as u64,
            agreed: reconciled.agreed,
            probe_msgs,
            probe_bytes: message_counts.probe_bytes - counts_before.probe_bytes,
            probe_ratio: probe_msgs as f64 / metrics.ended.max(1) as f64,
            control_bytes_per_node_s: control as f64 / seconds / nodes,
            retries_ratio: metrics.repeat_ratio(),
            retries_peak: metrics.peak_repeat_ratio(),
            in_force_p99_ms: quantile(&delays, 0.99),
            in_force_max_ms: delays.last().copied().unwrap_or(0),
            behind,
            chills: cold_detections(env, members),
            reversions: reversions(members),
            platform_reads_per_s: env.platform.read_counts().peak_per_s,
        })
    }
}

fn quantile(sorted: &[u64], quantile: f64) -> u64 {
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0)
}

/// Returns the sorted times until documents published after the warm-up were in force.
fn in_force_delays(env: &Environment, members: &[SimulatedMember]) -> Vec<u64> {
    let mut delays = Vec::new();
    for member in members {
        for line in member.node.audit(0) {
            let Some(delay) = line.delay_ms else { continue };
            let published = line.at.saturating_sub(delay * MS);
            // A node that started later received older documents when it joined.
            let is_counted = published >= member.started.max(env.plan.warmup);
            if is_counted && line.event == Event::InForce && !line.subject.starts_with("vm/") {
                delays.push(delay);
            }
        }
    }
    delays.sort_unstable();
    delays
}

/// Counts how often gates found their upstream cold after the warm-up.
fn cold_detections(env: &Environment, members: &[SimulatedMember]) -> u64 {
    let lines = members.iter().flat_map(|member| member.node.audit(0));
    let detections = lines.filter(|line| {
        line.event == Event::UpstreamState && line.subject == "cold" && line.at > env.plan.warmup
    });
    detections.count() as u64
}

/// Counts the decreases of a document's revision on a node.
fn reversions(members: &[SimulatedMember]) -> u64 {
    let mut count = 0;
    for member in members {
        let mut highest_revisions = BTreeMap::new();
        let lines = member.node.audit(0);
        for line in lines.iter().filter(|line| line.event == Event::InForce) {
            let highest = highest_revisions.entry(line.subject.clone()).or_insert(0);
            count += u64::from(line.revision < *highest);
            *highest = line.revision.max(*highest);
        }
    }
    count
}

fn reconcile(
    members: &[SimulatedMember],
    exited: &[SimulatedMember],
) -> reconciliation::Reconciliation {
    let all = members.iter().chain(exited);
    let statements: Vec<Statement> = all.map(|member| member.node.statement()).collect();
    reconciliation::reconcile(&statements)
}
