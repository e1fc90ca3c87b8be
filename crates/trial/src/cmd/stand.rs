//! `bbv-trial stand` serves stand-ins of the platform and of upstreams, and writes settings and
//! certificates for real nodes that use them.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use bbv_core::catalogue::Catalogue;
use bbv_core::fleet::ListedVm;
use bbv_core::id::Vm;
use bbv_node::timer::Timer;
use bbv_trial::certs::Authority;
use bbv_trial::http::{serve_platform, serve_upstream};
use bbv_trial::model::UpstreamModel;
use bbv_trial::observer::Observer;
use bbv_trial::plan::Pool;
use bbv_trial::platform::Platform;
use eyre::{Result, WrapErr, eyre};
use getopts::{Matches, Options};

const PLATFORM_READ_LIMIT: u64 = 2_000;
const PORTS_PER_VM: u16 = 4;

/// Runs the subcommand.
pub fn run(args: &[String]) -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "catalogue", "catalogue file", "FILE");
    options.optopt("", "folder", "folder for settings and certificates", "DIR");
    options.optopt("", "nodes", "upstreams per service", "N");
    options.optopt("", "port", "first port", "N");
    options.optopt("", "median-us", "median service time in microseconds", "N");
    match super::PROGRAM.parse(&options, args) {
        Ok(matches) => super::PROGRAM.report(start(&matches)),
        Err(code) => code,
    }
}

/// Folder of the settings and addresses on loopback.
struct Layout {
    folder: String,
    first_port: u16,
    platform: SocketAddr,
}

impl Layout {
    fn port(&self, vm: u32, offset: u16) -> SocketAddr {
        let port = self.first_port + 1 + vm as u16 * PORTS_PER_VM + offset;
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    /// Writes the settings and certificates of one node.
    fn write_settings(&self, authority: &Authority, listed: &ListedVm) -> Result<()> {
        let ListedVm { vm, addr, zone, service, .. } = listed;
        let folder = Path::new(&self.folder);
        let identity = authority.issue()?;
        let file = |kind: &str| folder.join(format!("{vm}.{kind}.pem")).display().to_string();
        for (kind, text) in [("ca", &identity.ca), ("cert", &identity.cert), ("key", &identity.key)]
        {
            fs::write(file(kind), text)
                .wrap_err_with(|| format!("could not write {}", file(kind)))?;
        }
        let (callers, operators) = (self.port(vm.0, 1), self.port(vm.0, 2));
        let (upstream, platform) = (self.port(vm.0, 3), self.platform);
        let settings = format!(
            "vm: {}\nzone: {zone}\nservice: {service}\ncallers: {callers}\n\
             operators: {operators}\npeer: {addr}\nupstream: http://{upstream}\n\
             platform: http://{platform}\ntls:\n  ca: {}\n  cert: {}\n  key: {}\n",
            vm.0,
            file("ca"),
            file("cert"),
            file("key")
        );
        let path = folder.join(format!("{vm}.yaml"));
        fs::write(&path, settings).wrap_err_with(|| format!("could not write {}", path.display()))
    }
}

fn start(matches: &Matches) -> Result<()> {
    let required = |name: &str| {
        matches.opt_str(name).ok_or_else(|| eyre!("could not start: --{name} is missing"))
    };
    let (path, folder) = (required("catalogue")?, required("folder")?);
    let text = fs::read_to_string(&path).wrap_err_with(|| format!("could not read {path}"))?;
    let catalogue = Catalogue::parse(&text)
        .map_err(|errors| eyre!("could not parse catalogue {path}: {errors}"))?;
    let first_port = bbv_cli::number(matches, "port", 18_000)? as u16;
    let nodes = bbv_cli::number(matches, "nodes", 2)? as u32;
    let median = bbv_cli::number(matches, "median-us", 1_000)?;
    fs::create_dir_all(&folder).wrap_err_with(|| format!("could not create {folder}"))?;
    let platform = SocketAddr::from(([127, 0, 0, 1], first_port));
    let layout = Layout { folder, first_port, platform };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(serve(layout, catalogue, nodes, median))
}

async fn serve(layout: Layout, catalogue: Catalogue, nodes: u32, median: u64) -> Result<()> {
    let timer = Timer::real();
    let platform = Arc::new(Platform::new(timer.clone(), PLATFORM_READ_LIMIT));
    let observer = Arc::new(Observer::default());
    let authority = Authority::new()?;
    for (key, value) in catalogue.documents() {
        platform.publish(&key, Some(value));
    }
    let mut servers = vec![serve_platform(layout.platform, platform.clone()).await?];
    let zones: Vec<&String> = catalogue.zones.iter().collect();
    let mut vm_count = 0;
    for service in catalogue.services.values() {
        for index in 0..nodes {
            let vm = Vm(vm_count);
            vm_count += 1;
            let zone = zones[index as usize % zones.len()].clone();
            let (addr, name) = (layout.port(vm.0, 0), service.name.clone());
            let listed = ListedVm { vm, addr, zone, service: name.clone(), leaving: false };
            let pool = Pool { service: name, endpoints: nodes, median, sigma: 0.3 };
            let seed = u64::from(vm.0) + 1;
            let model = UpstreamModel::new(vm.0, service, &pool, &timer, &observer, seed, false);
            servers.push(serve_upstream(layout.port(vm.0, 3), model).await?);
            layout.write_settings(&authority, &listed)?;
            platform.publish(&format!("vm/{}", vm.0), Some(serde_json::to_string(&listed)?));
        }
    }
    println!("platform on {}, settings of {vm_count} nodes in {}", layout.platform, layout.folder);
    tokio::signal::ctrl_c().await.wrap_err("could not wait for a signal")?;
    servers.iter().for_each(|server| server.handle.stop_forcible());
    Ok(())
}
