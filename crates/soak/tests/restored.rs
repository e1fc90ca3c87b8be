//! Runs real nodes whose store comes back from an older copy, and checks what is in force meanwhile and
//! afterwards.

mod program;

use std::path::Path;
use std::time::Duration;

use bbv_soak::versions::status_of;
use bbv_stand::fleet::{Fleet, config, route};
use bbv_stand::process::Process;
use bbv_stand::proxy::{Mode, Proxy};
use bbv_stand::store::StoreCopy;
use serde_json::{Value, json};

/// Time from the store's acknowledgement within which a change is in force.
const BOUND: Duration = Duration::from_secs(2);
/// Time for which the store is away, shorter than a heartbeat of an upstream.
const AWAY: Duration = Duration::from_millis(300);
/// Number of writes after the return, with which its revisions are beyond those before it.
const WRITES: usize = 20;
/// Requests sent to each node to find one that reaches an upstream that has left.
const REQUESTS: usize = 20;
const ZONES: [&str; 6] = ["a", "a", "a", "b", "b", "b"];
/// Upstream that begins to drain in the lost seconds.
const DRAINING: usize = 1;
/// Upstream that leaves in the lost seconds.
const GONE: usize = 2;
/// Upstream that leaves just after the return.
const LEAVING: usize = 4;
/// Time for which upstreams stay in use whose entries are missing after the return.
const REGISTRATION_GRACE: Duration = Duration::from_millis(2_250);

/// Returns a configuration with one more route, `/{name}/`.
fn config_with(version: u64, name: &str) -> Value {
    let mut config = config(version, 5.0);
    if let Some(resources) = config["resources"].as_array_mut() {
        resources.push(route(name, "idempotent", "s", 5.0));
    }
    config
}

fn publish_upstream(fleet: &Fleet, index: usize, state: &str) {
    let settings = &fleet.members[index].settings;
    let info = json!({"service": "s", "version": "v1", "zone": settings.zone, "slots": 9});
    let status = json!({"state": state, "sequence": 4, "cold_left_s": 0});
    let born = 1_700_000_000_000_u64 + index as u64;
    let entry = json!({"address": settings.upstream, "info": info, "status": status, "born": born});
    fleet.store.put(&format!("servers/i-{index}"), &entry);
}

/// Waits until each node answers requests on route `/{name}/`.
async fn wait_until_served(fleet: &Fleet, name: &str) {
    for index in 0..ZONES.len() {
        while status_of(fleet.callers(index), name).await != 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Nodes as processes, with a proxy between each of them and the store.
struct Nodes {
    fleet: Fleet,
    proxies: Vec<Proxy>,
    /// What the store comes back from, and lacks what was written since.
    copy: StoreCopy,
    /// Killed when dropped.
    _processes: Vec<Process>,
}

impl Nodes {
    /// Starts a fleet with route `/old/`, copies the store, and lets a routing with `/new/` in its place
    /// be in force and two upstreams leave.
    async fn start(name: &str) -> Self {
        let mut fleet = Fleet::without_nodes(&ZONES).await;
        let proxies = fleet.proxy_stores().await;
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let program = program::build();
        let start = |settings| Process::start(&program, &folder, settings);
        let processes = fleet.members.iter().map(|member| start(&member.settings));
        let processes = processes.collect::<Result<_, _>>().expect("could not start a node");
        fleet.store.put("op/config", &config_with(2, "old"));
        (0..ZONES.len()).for_each(|index| publish_upstream(&fleet, index, "ready"));
        wait_until_served(&fleet, "old").await;
        let copy = fleet.store.copy();
        fleet.store.put("op/config", &config_with(3, "new"));
        publish_upstream(&fleet, DRAINING, "draining");
        fleet.store.remove(&format!("servers/i-{GONE}"));
        write_others(&fleet, WRITES / 2);
        wait_until_served(&fleet, "new").await;
        tokio::time::sleep(BOUND).await;
        Nodes { fleet, proxies, copy, _processes: processes }
    }

    /// Lets the store be away for a moment and come back from the copy; `write` writes to it before a node
    /// reaches it.
    async fn restore(&self, write: impl FnOnce(&StoreCopy)) {
        let set_mode = |mode| self.proxies.iter().for_each(|proxy| *proxy.mode.lock() = mode);
        set_mode(Mode::Silent);
        tokio::time::sleep(AWAY).await;
        write(&self.fleet.store.restore(&self.copy));
        set_mode(Mode::Pass);
        self.proxies.iter().for_each(Proxy::reset_open);
    }

    /// Panics unless each node serves route `served` and none serves `missing`.
    async fn check_routes(&self, served: &str, missing: &str) {
        for index in 0..ZONES.len() {
            let node = self.fleet.callers(index);
            assert_eq!(status_of(node, served).await, 200, "/{served}/ at node {index}");
            assert_eq!(status_of(node, missing).await, 404, "/{missing}/ at node {index}");
        }
    }

    /// Panics if requests reach one of `upstreams`.
    async fn check_unused(&self, label: &str, upstreams: &[usize]) {
        let runs = || upstreams.iter().map(|index| self.fleet.members[*index].upstream.runs());
        let before: Vec<usize> = runs().collect();
        for index in 0..ZONES.len() {
            for number in 0..REQUESTS {
                self.fleet.get(index, "/get/1", &format!("{label}-{index}-{number}")).await;
            }
        }
        assert_eq!(runs().collect::<Vec<_>>(), before, "runs of upstreams {upstreams:?}");
    }
}

/// Writes `count` entries that name no upstream.
fn write_others(fleet: &Fleet, count: usize) {
    (0..count).for_each(|index| fleet.store.put(&format!("servers/odd-{index}"), &json!({})));
}

/// The store gave revisions out again after its return, and nodes that went on from the revision that they
/// knew missed all that was written up to it: the new routing was never in force, and an upstream that
/// left was used for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn changes_under_revisions_that_are_given_out_again_are_in_force() {
    let nodes = Nodes::start("restored-revisions").await;
    let fleet = &nodes.fleet;
    nodes
        .restore(|held| {
            fleet.store.put("op/config", &config_with(4, "newer"));
            fleet.store.remove(&format!("servers/i-{LEAVING}"));
            write_others(fleet, WRITES);
            fleet.store.write_again(held, &nodes.copy);
        })
        .await;
    tokio::time::sleep(BOUND + REGISTRATION_GRACE).await;
    nodes.check_routes("newer", "new").await;
    nodes.check_unused("late", &[DRAINING, GONE, LEAVING]).await;
}

/// The copy had an older routing, and showed upstreams as ready that were leaving: until that is written
/// again, nodes hold to what they knew.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nodes_hold_to_what_they_knew_until_it_is_written_again() {
    let nodes = Nodes::start("restored-copy").await;
    nodes.restore(|_| {}).await;
    tokio::time::sleep(BOUND / 2).await;
    nodes.check_routes("new", "old").await;
    nodes.check_unused("copy", &[DRAINING, GONE]).await;
}
