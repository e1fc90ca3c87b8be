//! Tests that the cause of a failed request can be found by its id from the logs of `bbv-mesh`
//! processes alone.

use std::path::{Path, PathBuf};
use std::time::Duration;

use bbv_ctl::explain::{self, Explanation, LogLine};
use bbv_stand::caller;
use bbv_stand::fleet::{Fleet, wait_until};
use bbv_stand::process::Process;
use bbv_stand::upstream::Behaviour;

struct ProcessFleet {
    fleet: Fleet,
    processes: Vec<Process>,
}

impl ProcessFleet {
    async fn start(name: &str, zones: &[&str]) -> Self {
        let fleet = Fleet::without_nodes(zones).await;
        fleet.publish();
        let folder: PathBuf = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let program = Path::new(env!("CARGO_BIN_EXE_bbv-mesh"));
        let start = |settings| Process::start(program, &folder, settings).expect("bbv-mesh starts");
        let processes = fleet.members.iter().map(|member| start(&member.settings)).collect();
        let mesh = ProcessFleet { fleet, processes };
        for index in 0..zones.len() {
            mesh.wait_for_status(index, 200).await;
        }
        mesh
    }

    async fn wait_for_status(&self, index: usize, status: u16) {
        for _ in 0..500 {
            let text = caller::request("GET", "/get/ready", "ready", 1_000, "");
            if caller::try_send(self.fleet.callers(index), &text).await.status == status {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("node {index} never answered {status}");
    }

    /// Reads the logs until they contain the `call` event of request `id`.
    async fn explanation(&self, id: &str) -> Explanation {
        for _ in 0..200 {
            let mut lines = Vec::new();
            for process in &self.processes {
                let text = std::fs::read_to_string(process.log()).expect("the log is readable");
                lines.extend(text.lines().filter_map(|line| LogLine::parse("log", line)));
            }
            if let Some(explanation) = explain::explain(id, &lines)
                && explanation.lines.iter().any(|line| line.event == "call")
            {
                return explanation;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("no log has a call event of {id}");
    }
}

#[tokio::test]
async fn refusal_under_overload_is_traced_to_the_gate() {
    let mesh = ProcessFleet::start("overload", &["z"]).await;
    *mesh.fleet.members[0].upstream.delay.lock() = Duration::from_millis(600);
    let callers = mesh.fleet.callers(0);
    let mut sent = Vec::new();
    for index in 0..40 {
        let text = caller::request("POST", "/post/1", &format!("over-{index}"), 700, "body");
        sent.push(tokio::spawn(async move { caller::send(callers, &text).await }));
    }
    let mut refused = None;
    for (index, sent) in sent.into_iter().enumerate() {
        let response = sent.await.expect("the caller task finishes");
        if response.status == 503 {
            assert!(response.header("retry-after").is_some());
            refused = Some(format!("over-{index}"));
        }
    }
    let explanation = mesh.explanation(&refused.expect("some requests are refused")).await;
    assert!(
        explanation.cause.starts_with("refused: it could not have been answered"),
        "{}",
        explanation.cause
    );
}

#[tokio::test]
async fn lost_answer_is_traced_to_the_upstream() {
    let mesh = ProcessFleet::start("lost", &["z"]).await;
    mesh.fleet.members[0].upstream.set_behaviour(Behaviour::LosesAnswer);
    assert_eq!(mesh.fleet.post(0, "/post/1", "lost-1").await.status, 502);
    let explanation = mesh.explanation("lost-1").await;
    assert!(
        explanation.cause.starts_with("outcome unknown: the upstream's answer was lost"),
        "{}",
        explanation.cause
    );
}

#[tokio::test]
async fn missing_route_is_traced_to_stale_configuration() {
    let mesh = ProcessFleet::start("stale", &["z"]).await;
    mesh.fleet.members[0].listener.refuse.store(true, std::sync::atomic::Ordering::Relaxed);
    let log = mesh.processes[0].log();
    let lost = || std::fs::read_to_string(log).is_ok_and(|text| text.contains("store-lost"));
    wait_until("the node notices that the store refuses it", lost).await;
    assert_eq!(mesh.fleet.get(0, "/new/1", "stale-1").await.status, 404);
    let explanation = mesh.explanation("stale-1").await;
    assert!(explanation.cause.contains("the store was away"), "{}", explanation.cause);
}

#[tokio::test]
async fn caller_disconnect_is_distinguished_from_success() {
    let mesh = ProcessFleet::start("left", &["z"]).await;
    *mesh.fleet.members[0].upstream.delay.lock() = Duration::from_secs(2);
    let text = caller::request("GET", "/get/1", "left-1", 3_000, "");
    let sent = caller::try_send(mesh.fleet.callers(0), &text);
    assert!(tokio::time::timeout(Duration::from_millis(300), sent).await.is_err());
    let explanation = mesh.explanation("left-1").await;
    assert_eq!(explanation.cause, "its caller left before it was answered");
}
