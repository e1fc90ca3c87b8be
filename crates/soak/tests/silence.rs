//! Runs real nodes whose connections to the store go silent, and checks that changes are in force in
//! time once the nodes count as calm again.

mod program;

use std::path::Path;
use std::time::Duration;

use bbv_soak::calm::SETTLING_TIME;
use bbv_soak::versions::status_of;
use bbv_stand::fleet::{Fleet, config, route};
use bbv_stand::process::Process;
use bbv_stand::proxy::{Mode, Proxy};
use serde_json::Value;

/// Time from the store's acknowledgement within which a change is in force at a calm node.
const BOUND: Duration = Duration::from_secs(2);
/// Time after a change within which the readers have got it and have not called again.
const GAP: Duration = Duration::from_millis(100);
/// Requests sent to each node to find one that reaches an upstream that has left.
const REQUESTS: usize = 20;
const ZONES: [&str; 6] = ["a", "a", "a", "b", "b", "b"];

/// Returns a configuration with one more route, `/{name}/`.
fn config_with(version: u64, name: &str) -> Value {
    let mut config = config(version, 5.0);
    if let Some(resources) = config["resources"].as_array_mut() {
        resources.push(route(name, "idempotent", "s", 5.0));
    }
    config
}

/// Nodes as processes, with a proxy between each of them and the store.
struct Nodes {
    fleet: Fleet,
    proxies: Vec<Proxy>,
    /// Killed when dropped.
    _processes: Vec<Process>,
}

impl Nodes {
    async fn start(name: &str) -> Self {
        let mut fleet = Fleet::without_nodes(&ZONES).await;
        let proxies = fleet.proxy_stores().await;
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let program = program::build();
        let start = |settings| Process::start(&program, &folder, settings);
        let processes = fleet.members.iter().map(|member| start(&member.settings));
        let processes = processes.collect::<Result<_, _>>().expect("could not start a node");
        fleet.publish();
        let nodes = Nodes { fleet, proxies, _processes: processes };
        nodes.publish_before().await;
        nodes
    }

    /// Publishes a route `/old/`, and waits until each node serves it.
    async fn publish_before(&self) {
        self.fleet.store.put("op/config", &config_with(2, "old"));
        for index in 0..ZONES.len() {
            while status_of(self.fleet.callers(index), "old").await != 200 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Publishes both topics, so that the readers are about to make their next calls.
    async fn end_watches(&self) {
        tokio::time::sleep(Duration::from_millis(800)).await;
        self.fleet.store.put("op/config", &config_with(3, "old"));
        self.fleet.publish_upstream(0, "draining");
        tokio::time::sleep(GAP).await;
    }

    /// Drops the route `/old/`, adds `/new/` and lets an upstream leave; panics unless that is in force
    /// at all nodes when the bound is over.
    async fn check_changes(&self) {
        self.fleet.store.put("op/config", &config_with(4, "new"));
        self.fleet.store.remove("servers/i-1");
        tokio::time::sleep(BOUND).await;
        let before = self.fleet.members[1].upstream.runs();
        for index in 0..ZONES.len() {
            let node = self.fleet.callers(index);
            assert_eq!(status_of(node, "new").await, 200, "added route at node {index}");
            assert_eq!(status_of(node, "old").await, 404, "dropped route at node {index}");
            for number in 0..REQUESTS {
                self.fleet.get(index, "/get/1", &format!("late-{index}-{number}")).await;
            }
        }
        let late = self.fleet.members[1].upstream.runs() - before;
        assert_eq!(late, 0, "requests for an upstream that has left");
    }
}

/// Lets the store be silent for `silence` once readers have been told of changes, and checks changes after
/// it.
async fn check_after_silence(name: &str, silence: Duration) {
    let nodes = Nodes::start(name).await;
    nodes.end_watches().await;
    let set_mode = |mode| nodes.proxies.iter().for_each(|proxy| *proxy.mode.lock() = mode);
    set_mode(Mode::Silent);
    tokio::time::sleep(silence).await;
    set_mode(Mode::Pass);
    tokio::time::sleep(SETTLING_TIME).await;
    nodes.check_changes().await;
}

/// Calls that readers made in the last moments of a silent outage were never answered, and they waited
/// for 26.5 s each while routes and upstreams changed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn changes_are_in_force_after_calls_were_lost_in_a_silent_outage() {
    check_after_silence("silent-700", Duration::from_millis(700)).await;
}

/// Open connections to the store went silent while new ones worked, and the readers waited on them for
/// 26.5 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn changes_are_in_force_after_open_connections_to_the_store_went_silent() {
    let nodes = Nodes::start("silent-connections").await;
    nodes.end_watches().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    nodes.proxies.iter().for_each(Proxy::silence_open);
    // The changes are acknowledged before the nodes count as calm, and the bound ends then.
    tokio::time::sleep(SETTLING_TIME - BOUND).await;
    nodes.check_changes().await;
}

/// Outages ended just after the readers had called again, so that these calls were lost as well.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn changes_are_in_force_after_long_silent_outages_that_end_at_any_moment() {
    tokio::join!(
        check_after_silence("silent-3300", Duration::from_millis(3_300)),
        check_after_silence("silent-3800", Duration::from_millis(3_800)),
        check_after_silence("silent-4300", Duration::from_millis(4_300)),
        check_after_silence("silent-4800", Duration::from_millis(4_800)),
    );
}
