//! Nodes as processes, with stand-ins of their upstreams and of the platform.

use std::fs::File;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bbv_core::catalogue::Catalogue;
use bbv_core::fleet::ListedVm;
use bbv_core::id::Vm;
use bbv_node::timer::Timer;
use bbv_stand::proxy::Proxy;
use bbv_trial::certs::Authority;
use bbv_trial::http::{serve_platform, serve_upstream};
use bbv_trial::model::UpstreamModel;
use bbv_trial::observer::Observer;
use bbv_trial::plan::Pool;
use bbv_trial::platform::Platform;

const READY_TRIES: usize = 200;
const CALLERS_PORT: u16 = 22_001;
const OPERATORS_PORT: u16 = 22_002;
const PEER_PORT: u16 = 22_003;

/// Third address byte of the next fleet. A port that is only free for the moment may be taken by another
/// test before the node binds it.
static NEXT_FLEET: AtomicU8 = AtomicU8::new(0);

/// Returns an address with any port.
pub fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

/// Returns a client without a proxy.
pub fn client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().expect("a client")
}

/// Platform of a fleet, which a proxy precedes, with the catalogue that it publishes.
pub struct Fleet {
    pub platform: Arc<Platform>,
    pub proxy: Proxy,
    catalogue: Catalogue,
    platform_addr: SocketAddr,
    /// Third address byte of the nodes.
    number: u8,
    pub zone: String,
    authority: Authority,
    folder: PathBuf,
}

/// One node as a process.
pub struct Running {
    pub node: Child,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub observer: Arc<Observer>,
    log: PathBuf,
}

impl Drop for Running {
    fn drop(&mut self) {
        // Fails only if the node has ended.
        let _ = self.node.kill();
        let _ = self.node.wait();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Publishes `catalogue`; `name` tells the runs of one test process apart.
    pub async fn start(name: &str, catalogue: &str) -> Self {
        let catalogue = Catalogue::parse(catalogue).expect("the example is valid");
        let platform = Arc::new(Platform::new(Timer::real(), 2_000));
        let served = serve_platform(any_port(), platform.clone()).await.expect("a platform");
        let (proxy, platform_addr) =
            Proxy::start(any_port(), served.addr).await.expect("a proxy of the platform");
        for (key, value) in catalogue.documents() {
            platform.publish(&key, Some(value));
        }
        let zone = catalogue.zones.iter().next().expect("a zone").clone();
        let authority = Authority::new().expect("an authority");
        let folder = std::env::temp_dir().join(format!("bbv-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        Fleet { platform, proxy, catalogue, platform_addr, number, zone, authority, folder }
    }

    /// Starts node `vm` beside an upstream of `service` that takes `run_time`, and waits until it is
    /// ready.
    pub async fn start_node(&self, vm: u32, service: &str, run_time: Duration) -> Running {
        self.start_node_on(vm, service, run_time, self.platform_addr).await
    }

    /// Starts node `vm` with a proxy of its own in front of the platform.
    pub async fn start_apart(
        &self,
        vm: u32,
        service: &str,
        run_time: Duration,
    ) -> (Running, Proxy) {
        let (proxy, addr) = Proxy::start(any_port(), self.platform_addr).await.expect("a proxy");
        (self.start_node_on(vm, service, run_time, addr).await, proxy)
    }

    async fn start_node_on(
        &self,
        vm: u32,
        service: &str,
        run_time: Duration,
        platform: SocketAddr,
    ) -> Running {
        let observer = Arc::new(Observer::default());
        let median = run_time.as_micros() as u64;
        let pool = Pool { service: service.into(), endpoints: 1, median, sigma: 0.0 };
        let listed = &self.catalogue.services[service];
        let model = UpstreamModel::new(vm, listed, &pool, &Timer::real(), &observer, 1, false);
        let upstream = serve_upstream(any_port(), model).await.expect("an upstream");
        let process = (std::process::id() % 200) as u8 + 20;
        let ip = IpAddr::from([127, process, self.number, vm as u8]);
        let [callers, operators, peer] =
            [CALLERS_PORT, OPERATORS_PORT, PEER_PORT].map(|port| SocketAddr::new(ip, port));
        self.list(vm, service, peer);
        let folder = self.folder.join(vm.to_string());
        std::fs::create_dir_all(&folder).expect("a folder");
        let tls = self.write_identity(&folder);
        let (zone, upstream) = (&self.zone, upstream.addr);
        let settings = format!(
            "vm: {vm}\nzone: {zone}\nservice: {service}\ncallers: {callers}\n\
             operators: {operators}\npeer: {peer}\nupstream: http://{upstream}\n\
             platform: http://{platform}\n{tls}"
        );
        let (path, log) = (folder.join("node.yaml"), folder.join("node.log"));
        std::fs::write(&path, settings).expect("a file");
        let node = Command::new(env!("CARGO_BIN_EXE_bbv-node"))
            .arg("run")
            .arg(path)
            .stderr(File::create(&log).expect("a file"))
            .spawn()
            .expect("the node starts");
        let running = Running { node, callers, operators, observer, log };
        running.wait_until_ready().await;
        running
    }

    /// Publishes that node `vm` serves other nodes at `addr`.
    fn list(&self, vm: u32, service: &str, addr: SocketAddr) {
        let zone = self.zone.clone();
        let listed = ListedVm { vm: Vm(vm), addr, zone, service: service.into(), leaving: false };
        let text = serde_json::to_string(&listed).expect("the list is encoded");
        self.platform.publish(&format!("vm/{vm}"), Some(text));
    }

    /// Writes a certificate; returns the settings that name it.
    fn write_identity(&self, folder: &Path) -> String {
        let identity = self.authority.issue().expect("certificates");
        let files = [("ca", identity.ca), ("cert", identity.cert), ("key", identity.key)];
        let mut settings = "tls:\n".to_owned();
        for (name, text) in files {
            let path = folder.join(format!("{name}.pem"));
            std::fs::write(&path, text).expect("a file");
            settings.push_str(&format!("  {name}: {}\n", path.display()));
        }
        settings
    }
}

impl Running {
    async fn wait_until_ready(&self) {
        let ready = format!("http://{}/ready", self.operators);
        for _ in 0..READY_TRIES {
            if client().get(&ready).send().await.is_ok_and(|r| r.status().is_success()) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        panic!("the node did not become ready:\n{log}");
    }

    /// Waits until the upstream runs a request.
    pub async fn wait_until_run(&self) {
        while self.observer.read(|facts| facts.runs) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) {
        let kill = Command::new("kill").args(["-TERM", &self.node.id().to_string()]).status();
        assert!(kill.expect("kill runs").success());
    }

    /// Waits for the process to end; returns whether it ended with success.
    pub async fn wait_until_ended(mut self) -> bool {
        let status = tokio::task::spawn_blocking(move || self.node.wait()).await;
        status.expect("the task ends").expect("the node exits").success()
    }
}
