//! Runs real nodes on loopback in one process, with stand-ins of the platform and the upstreams.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use bbv_core::catalogue::Catalogue;
use bbv_core::fleet::ListedVm;
use bbv_core::id::Vm;
use bbv_node::ports::Ports;
use bbv_node::server::RunningServer;
use bbv_node::timer::Timer;
use bbv_node::{Node, Options, platform as platform_port, quic, server, upstream};
use eyre::{Result, WrapErr, eyre};
use quinn::Endpoint;
use tokio::task::JoinHandle;

use crate::certs::Authority;
use crate::http::{serve_platform, serve_upstream};
use crate::model::UpstreamModel;
use crate::observer::Observer;
use crate::plan::Pool;
use crate::platform::Platform;

/// One node of a cluster with its upstream.
pub struct ClusterNode {
    /// The node itself.
    pub node: Arc<Node>,
    /// Model of the upstream on the same VM.
    pub model: Arc<UpstreamModel>,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for operators.
    pub operator_addr: SocketAddr,
    /// Address for peers.
    pub peer_addr: SocketAddr,
    /// Address of the upstream stand-in.
    pub upstream_addr: SocketAddr,
    endpoint: Endpoint,
    servers: Vec<RunningServer>,
    tasks: Vec<JoinHandle<()>>,
}

/// Real nodes on loopback with their platform.
pub struct Cluster {
    /// Platform stand-in.
    pub platform: Arc<Platform>,
    /// Observer of the upstreams.
    pub observer: Arc<Observer>,
    /// Nodes by VM number.
    pub nodes: Vec<ClusterNode>,
    /// Certificate authority of the nodes.
    pub authority: Authority,
    /// Base URL of the platform stand-in.
    pub platform_url: String,
    _platform_server: RunningServer,
}

const PLATFORM_READ_LIMIT: u64 = 2_000;
const TICKET_CAPACITY: usize = 20_000;

fn loopback_addr() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl Cluster {
    /// Starts a node and an upstream for every endpoint of `pools`, spread over the zones of the
    /// catalogue in turn.
    pub async fn start(
        catalogue: &Catalogue,
        pools: &[Pool],
        seed: u64,
        warm: bool,
    ) -> Result<Self> {
        let timer = Timer::real();
        let platform = Arc::new(Platform::new(timer.clone(), PLATFORM_READ_LIMIT));
        let platform_server = serve_platform(loopback_addr(), platform.clone()).await?;
        for (key, value) in catalogue.documents() {
            platform.publish(&key, Some(value));
        }
        let mut cluster = Cluster {
            platform_url: format!("http://{}", platform_server.addr),
            platform,
            observer: Arc::default(),
            nodes: Vec::new(),
            authority: Authority::new()?,
            _platform_server: platform_server,
        };
        let zones: Vec<&String> = catalogue.zones.iter().collect();
        let mut vm = 0;
        for pool in pools {
            for _ in 0..pool.endpoints {
                let zone = zones.get(vm as usize % zones.len().max(1));
                let zone = zone
                    .ok_or_else(|| eyre!("could not place VM {vm}: the catalogue has no zone"))?;
                let seed = seed.wrapping_mul(1_000_003).wrapping_add(u64::from(vm));
                let node = cluster.start_node(catalogue, pool, Vm(vm), zone, seed, warm).await?;
                cluster.nodes.push(node);
                vm += 1;
            }
        }
        Ok(cluster)
    }

    async fn start_node(
        &self,
        catalogue: &Catalogue,
        pool: &Pool,
        vm: Vm,
        zone: &str,
        seed: u64,
        warm: bool,
    ) -> Result<ClusterNode> {
        let service = catalogue
            .services
            .get(&pool.service)
            .ok_or_else(|| eyre!("service {} is not in the catalogue", pool.service))?;
        let timer = Timer::real();
        let model = UpstreamModel::new(vm.0, service, pool, &timer, &self.observer, seed, !warm);
        let upstream_server = serve_upstream(loopback_addr(), model.clone()).await?;
        let endpoint = quic::bind(loopback_addr(), &self.authority.issue()?)?;
        let peer_addr =
            endpoint.local_addr().wrap_err("could not read the local address for peers")?;
        let ports = Ports {
            link: quic::port(endpoint.clone()),
            platform: platform_port::port(&self.platform_url)?,
            upstream: upstream::port(&format!("http://{}", upstream_server.addr))?,
        };
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let options = Options {
            vm,
            zone: zone.to_owned(),
            service: pool.service.clone(),
            seed,
            tickets: TICKET_CAPACITY,
            peers: Vec::new(),
            wall_ms: Some(unix_time.as_millis() as u64),
            baseline: None,
        };
        let node = Node::new(options, ports, timer);
        let mut tasks = node.start();
        tasks.push(tokio::spawn(quic::serve(endpoint.clone(), node.clone())));
        let caller_server = server::serve_callers(loopback_addr(), node.clone()).await?;
        let operator_server = server::serve_operators(loopback_addr(), node.clone()).await?;
        let listed = ListedVm {
            vm,
            addr: peer_addr,
            zone: zone.to_owned(),
            service: pool.service.clone(),
            leaving: false,
        };
        let document =
            serde_json::to_string(&listed).wrap_err("could not encode the VM document")?;
        self.platform.publish(&format!("vm/{}", vm.0), Some(document));
        Ok(ClusterNode {
            node,
            model,
            caller_addr: caller_server.addr,
            operator_addr: operator_server.addr,
            peer_addr,
            upstream_addr: upstream_server.addr,
            endpoint,
            servers: vec![upstream_server, caller_server, operator_server],
            tasks,
        })
    }

    /// Waits until every node is ready and has the latest revision.
    pub async fn wait_ready(&self) -> Result<()> {
        let timer = Timer::real();
        for _ in 0..READY_CHECKS {
            let latest = self.platform.revision();
            let ready =
                |node: &ClusterNode| node.node.ready() && node.node.status().revision == latest;
            if self.nodes.iter().all(ready) {
                return Ok(());
            }
            timer.sleep(READY_INTERVAL).await;
        }
        Err(eyre!("could not get all nodes ready in time"))
    }

    /// Stops all nodes and their servers without draining.
    pub fn stop(self) {
        for node in self.nodes {
            for task in node.tasks {
                task.abort();
            }
            for server in node.servers {
                server.handle.stop_forcible();
            }
            node.endpoint.close(0_u8.into(), b"stopped");
        }
    }
}

const READY_CHECKS: usize = 600;
const READY_INTERVAL: u64 = 50_000;
