//! The project's program, started as on the platform.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};

use crate::record::Record;

#[derive(Debug)]
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

/// The addresses of one instance, chosen before any of them starts.
#[derive(Clone, Debug)]
pub struct Ports {
    pub zone: String,
    pub region: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub directory: SocketAddr,
    pub internal: u16,
}

impl Ports {
    /// Chooses free ports for one instance in each zone.
    pub fn choose(zones: &[(&str, &str)]) -> Vec<Self> {
        let mut held = Vec::new();
        let mut free = || {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            let addr = listener.local_addr().expect("an address");
            held.push(listener);
            addr
        };
        let ports = zones.iter().map(|(zone, region)| Self {
            zone: (*zone).to_owned(),
            region: (*region).to_owned(),
            front: free(),
            ready: free(),
            control: free(),
            directory: free(),
            internal: free().port(),
        });
        ports.collect()
    }
}

/// Figures of the settings that a case may choose, as the pages give them for an installation.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    pub memory_mb: u64,
}

impl Default for Figures {
    fn default() -> Self {
        Self { memory_mb: 260 }
    }
}

impl Instance {
    pub fn start(
        record: &Record,
        program: &Path,
        folder: &Path,
        number: usize,
        all: &[Ports],
        store: SocketAddr,
        figures: Figures,
    ) -> Self {
        let own = &all[number];
        let name = format!("front-{}-{}", own.zone, number + 1);
        let seeds: Vec<String> = all
            .iter()
            .map(|one| format!("\"{}\"", one.control))
            .collect();
        let zones = all
            .iter()
            .map(|one| format!("\"{}\":\"{}\"", one.zone, one.region));
        let mut zones: Vec<String> = zones.collect();
        zones.dedup();
        let Ports {
            zone,
            region,
            front,
            ready,
            control,
            directory,
            internal,
        } = own;
        let memory_mb = figures.memory_mb;
        let text = format!(
            r#"{{"node_name":"{name}","role":"instance","machine_class":"front","serves":["front","control","directory"],"ip":"127.0.0.1","zone":"{zone}","region":"{region}","zones":{{{}}},"listen":{{"front":"{front}","ready":"{ready}","control":"{control}","directory":"{directory}"}},"internal_ports":[{internal},{internal}],"seeds":[{}],"bootstrap":true,"in_fault_budget":false,"limits":{{"cpu_share":0.25,"cores":1,"memory_mb":{memory_mb},"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},"data_dir":null,"discovery":"platform","entry":"directory","heartbeat_ms":1200,"contracts":["base","drain","config","cost","retry","recover","scatter","platform"],"fault_tolerance":{{"machines":1,"zones":0,"regions":0}},"bounds":{{"seed_lag_s":3,"addr_reuse_s":2,"stable_window_ms":5000,"ack_ms":6000,"catch_up_s":4,"drain_ms":3000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":3000,"revert_slack_ms":250,"outer_ms":15000,"retry_budget_ratio":0.2,"budget_window_s":10,"retry_slack":54,"recovery_s":12,"ttl_max_s":5}},"platform":{{"address":"{store}","form":"objects","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,"min_ttl_ms":1000}}}}"#,
            zones.join(","),
            seeds.join(","),
        );
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(program, &settings, &log);
        record.line(&format!("instance {name} front {front} pid {}", child.id()));
        Self {
            name,
            front: *front,
            ready: *ready,
            child,
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log);
    let log = log.expect("the log can be written");
    Command::new(program)
        .arg("platform")
        .env("HYSSOPWALK_CONFIG", settings)
        .stdout(log.try_clone().expect("the log"))
        .stderr(log)
        .stdin(Stdio::null())
        .spawn()
        .expect("the program starts")
}
