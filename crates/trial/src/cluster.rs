//! Real nodes on loopback with stand-ins beside them, in one process.

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

/// One node of a cluster and what stands beside it.
pub struct Member {
    /// Node.
    pub node: Arc<Node>,
    /// Upstream beside it.
    pub model: Arc<UpstreamModel>,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
    /// Address of the upstream stand-in.
    pub upstream: SocketAddr,
    endpoint: Endpoint,
    servers: Vec<RunningServer>,
    tasks: Vec<JoinHandle<()>>,
}

/// Real nodes on loopback.
pub struct Cluster {
    /// Platform stand-in.
    pub platform: Arc<Platform>,
    /// Observer behind the upstreams.
    pub observer: Arc<Observer>,
    /// Nodes in order of VM.
    pub members: Vec<Member>,
    /// Authority of the nodes' certificates.
    pub authority: Authority,
    /// Base URL of the platform stand-in.
    pub platform_url: String,
    _platform: RunningServer,
}

const READ_CAP: u64 = 2_000;
const TICKETS: usize = 20_000;

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

impl Cluster {
    /// Starts a node and an upstream for every endpoint of `pools`, on the catalogue's
    /// zones in turn.
    pub async fn start(
        catalogue: &Catalogue,
        pools: &[Pool],
        seed: u64,
        warm: bool,
    ) -> Result<Self> {
        let timer = Timer::real();
        let platform = Arc::new(Platform::new(timer.clone(), READ_CAP));
        let served = serve_platform(any_port(), platform.clone()).await?;
        for (key, value) in catalogue.documents() {
            platform.publish(&key, Some(value));
        }
        let mut cluster = Cluster {
            platform_url: format!("http://{}", served.addr),
            platform,
            observer: Arc::default(),
            members: Vec::new(),
            authority: Authority::new()?,
            _platform: served,
        };
        let zones: Vec<&String> = catalogue.zones.iter().collect();
        let mut vm = 0;
        for pool in pools {
            for _ in 0..pool.endpoints {
                let zone = zones.get(vm as usize % zones.len().max(1));
                let zone = zone.ok_or_else(|| eyre!("the catalogue has no zone"))?;
                let seed = seed.wrapping_mul(1_000_003).wrapping_add(u64::from(vm));
                let member = cluster.member(catalogue, pool, Vm(vm), zone, seed, warm).await?;
                cluster.members.push(member);
                vm += 1;
            }
        }
        Ok(cluster)
    }

    async fn member(
        &self,
        catalogue: &Catalogue,
        pool: &Pool,
        vm: Vm,
        zone: &str,
        seed: u64,
        warm: bool,
    ) -> Result<Member> {
        let service = catalogue
            .services
            .get(&pool.service)
            .ok_or_else(|| eyre!("service {} is not in the catalogue", pool.service))?;
        let timer = Timer::real();
        let model = UpstreamModel::new(vm.0, service, pool, &timer, &self.observer, seed, !warm);
        let behind = serve_upstream(any_port(), model.clone()).await?;
        let endpoint = quic::bind(any_port(), &self.authority.issue()?)?;
        let peer = endpoint.local_addr().wrap_err("could not read the peer address")?;
        let ports = Ports {
            link: quic::port(endpoint.clone()),
            platform: platform_port::port(&self.platform_url)?,
            upstream: upstream::port(&format!("http://{}", behind.addr))?,
        };
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let options = Options {
            vm,
            zone: zone.to_owned(),
            service: pool.service.clone(),
            seed,
            tickets: TICKETS,
            peers: Vec::new(),
            wall_ms: Some(wall.as_millis() as u64),
            baseline: None,
        };
        let node = Node::new(options, ports, timer);
        let mut tasks = node.start();
        tasks.push(tokio::spawn(quic::serve(endpoint.clone(), node.clone())));
        let callers = server::serve_callers(any_port(), node.clone()).await?;
        let operators = server::serve_operators(any_port(), node.clone()).await?;
        let listed = ListedVm {
            vm,
            addr: peer,
            zone: zone.to_owned(),
            service: pool.service.clone(),
            leaving: false,
        };
        let text = serde_json::to_string(&listed).wrap_err("could not encode the list")?;
        self.platform.publish(&format!("vm/{}", vm.0), Some(text));
        Ok(Member {
            node,
            model,
            callers: callers.addr,
            operators: operators.addr,
            peer,
            upstream: behind.addr,
            endpoint,
            servers: vec![behind, callers, operators],
            tasks,
        })
    }

    /// Waits until every node serves and knows the latest revision.
    pub async fn ready(&self) -> Result<()> {
        let timer = Timer::real();
        for _ in 0..READY_TRIES {
            let latest = self.platform.revision();
            let ready =
                |member: &Member| member.node.ready() && member.node.status().revision == latest;
            if self.members.iter().all(ready) {
                return Ok(());
            }
            timer.sleep(READY_EVERY).await;
        }
        Err(eyre!("could not bring all nodes into service"))
    }

    /// Stops everything at once.
    pub fn stop(self) {
        for member in self.members {
            for task in member.tasks {
                task.abort();
            }
            for server in member.servers {
                server.handle.stop_forcible();
            }
            member.endpoint.close(0_u8.into(), b"stopped");
        }
    }
}

const READY_TRIES: usize = 600;
const READY_EVERY: u64 = 50_000;
