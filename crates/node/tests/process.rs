//! Runs the `bbv-node` program: invalid settings, SIGTERM during a call, and a platform that falls silent.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bbv_core::catalogue::Catalogue;
use bbv_core::fleet::ListedVm;
use bbv_core::id::Vm;
use bbv_node::timer::Timer;
use bbv_stand::proxy::{Mode, Proxy};
use bbv_trial::certs::Authority;
use bbv_trial::http::{serve_platform, serve_upstream};
use bbv_trial::model::UpstreamModel;
use bbv_trial::observer::Observer;
use bbv_trial::plan::Pool;
use bbv_trial::platform::Platform;

const CATALOGUE: &str = include_str!("../../../examples/pararrayos.yaml");
const SERVICE: &str = "inspection-records";
const READY_TRIES: usize = 200;
/// Time within which a change is in force.
const FORCE_LIMIT: Duration = Duration::from_secs(4);

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

/// Returns an address whose port is currently free.
fn free_addr() -> SocketAddr {
    let socket = std::net::TcpListener::bind(any_port()).expect("a free port");
    socket.local_addr().expect("an address")
}

fn start(settings: &str) -> Child {
    let node = Command::new(env!("CARGO_BIN_EXE_bbv-node"))
        .args(["run", settings])
        .stderr(Stdio::null())
        .spawn();
    node.expect("the node starts")
}

#[test]
fn check_lists_every_fault() {
    let folder = std::env::temp_dir().join(format!("bbv-settings-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("node.yaml");
    std::fs::write(&path, "vm: 1\nzone: a\nservice: b\ncallers: nowhere\n").expect("a file");
    let output = Command::new(env!("CARGO_BIN_EXE_bbv-node")).arg("check").arg(&path).output();
    let output = output.expect("the node runs");
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("line 4: callers: nowhere is not an IP address with a port"), "{text}");
    assert!(text.contains("tls: is missing"), "{text}");
    std::fs::remove_dir_all(folder).expect("the folder is removed");
}

/// One node as a process, with stand-ins of its upstream and of the platform, which a proxy precedes.
struct Running {
    node: Child,
    callers: SocketAddr,
    operators: SocketAddr,
    observer: Arc<Observer>,
    platform: Arc<Platform>,
    proxy: Proxy,
    folder: PathBuf,
}

impl Drop for Running {
    fn drop(&mut self) {
        // Fails only if the node has ended.
        let _ = self.node.kill();
        let _ = self.node.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Running {
    /// Starts a node and waits until it is ready; `name` tells the runs of one test process apart.
    async fn start(name: &str) -> Self {
        let catalogue = Catalogue::parse(CATALOGUE).expect("the example is valid");
        let timer = Timer::real();
        let platform = Arc::new(Platform::new(timer.clone(), 2_000));
        let observer = Arc::new(Observer::default());
        let pool = Pool { service: SERVICE.into(), endpoints: 1, median: 300_000, sigma: 0.0 };
        let service = &catalogue.services[SERVICE];
        let model = UpstreamModel::new(1, service, &pool, &timer, &observer, 1, false);
        let upstream = serve_upstream(any_port(), model).await.expect("an upstream");
        let served = serve_platform(any_port(), platform.clone()).await.expect("a platform");
        let (proxy, platform_addr) =
            Proxy::start(any_port(), served.addr).await.expect("a proxy of the platform");
        let (callers, operators, peer) = (free_addr(), free_addr(), free_addr());
        let zone = catalogue.zones.iter().next().expect("a zone").clone();
        for (key, value) in catalogue.documents() {
            platform.publish(&key, Some(value));
        }
        let listed = ListedVm {
            vm: Vm(1),
            addr: peer,
            zone: zone.clone(),
            service: SERVICE.into(),
            leaving: false,
        };
        let text = serde_json::to_string(&listed).expect("the list is encoded");
        platform.publish("vm/1", Some(text));

        let folder = std::env::temp_dir().join(format!("bbv-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let path = |name: &str| folder.join(name).display().to_string();
        let identity =
            Authority::new().and_then(|authority| authority.issue()).expect("certificates");
        for (name, text) in
            [("ca.pem", &identity.ca), ("cert.pem", &identity.cert), ("key.pem", &identity.key)]
        {
            std::fs::write(path(name), text).expect("a file");
        }
        let settings = format!(
            "vm: 1\nzone: {zone}\nservice: {SERVICE}\ncallers: {callers}\noperators: {operators}\n\
             peer: {peer}\nupstream: http://{}\nplatform: http://{platform_addr}\n\
             tls:\n  ca: {}\n  cert: {}\n  key: {}\n",
            upstream.addr,
            path("ca.pem"),
            path("cert.pem"),
            path("key.pem")
        );
        std::fs::write(path("node.yaml"), settings).expect("a file");
        let node = start(&path("node.yaml"));
        let running = Running { node, callers, operators, observer, platform, proxy, folder };
        running.wait_until_ready().await;
        running
    }

    async fn wait_until_ready(&self) {
        let ready = format!("http://{}/ready", self.operators);
        for _ in 0..READY_TRIES {
            if client().get(&ready).send().await.is_ok_and(|r| r.status().is_success()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("the node did not become ready");
    }

    /// Publishes a change; returns the time until it is in force, which is at most `limit`.
    async fn publish(&self, limit: Duration) -> Duration {
        self.platform.publish("out", Some("{\"zones\": [], \"vms\": []}".to_owned()));
        let published = Instant::now();
        let revision = format!("\"revision\":{}", self.platform.revision());
        let status = format!("http://{}/status", self.operators);
        while published.elapsed() < limit {
            let response = client().get(&status).send().await.expect("a response");
            if response.text().await.expect("a body").contains(&revision) {
                return published.elapsed();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("not in force after {limit:?}");
    }
}

fn client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().expect("a client")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigterm_lets_running_calls_finish() {
    let mut running = Running::start("process").await;
    let url = format!("http://{}/site-history/5", running.callers);
    let call = tokio::spawn(client().get(url).header("x-call", "5").send());
    while running.observer.read(|facts| facts.runs) == 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    // The call is running on the upstream, so the signal arrives during it.
    let kill = Command::new("kill").args(["-TERM", &running.node.id().to_string()]).status();
    assert!(kill.expect("kill runs").success());
    let response = call.await.expect("the call ends").expect("a response");
    assert_eq!(response.status(), 200);
    assert_eq!(response.text().await.expect("a body"), "call 5");
    let status = tokio::task::spawn_blocking(move || running.node.wait()).await;
    assert!(status.expect("the task ends").expect("the node exits").success());
}

/// A node waited for 12 s on a connection to the platform that had gone silent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_is_in_force_after_connections_to_the_platform_went_silent() {
    let running = Running::start("silent").await;
    running.publish(FORCE_LIMIT).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    running.proxy.silence_open();
    running.publish(FORCE_LIMIT).await;
}

/// A node noticed the end of an outage of the platform up to 15 s late.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_is_in_force_after_an_outage_of_the_platform() {
    let running = Running::start("outage").await;
    *running.proxy.mode.lock() = Mode::Reset;
    running.proxy.reset_open();
    tokio::time::sleep(Duration::from_secs(7)).await;
    *running.proxy.mode.lock() = Mode::Pass;
    running.publish(FORCE_LIMIT).await;
}
