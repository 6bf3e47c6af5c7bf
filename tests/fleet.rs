//! Several instances as processes of their own, on one platform.

mod standin;

use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use async_std::net::TcpStream;
use hyssopwalk::{AddressesWire, MembersWire};
use rustix::process::{Pid, Signal, kill_process};
use standin::platform::Platform;
use standin::{free_addr, guild, query, send, until};
use tide::http::Request;

const KEY: &str = "0123456789abcdef";

/// One process, stopped when dropped.
struct Instance {
    name: String,
    addr: SocketAddr,
    child: Child,
}

/// What an instance is started with.
#[derive(Clone, Copy, Debug)]
struct Start<'a> {
    name: &'a str,
    failure_domain: &'a str,
    key: &'a str,
    keep: &'a str,
    seeds: &'a str,
}

impl Default for Start<'_> {
    fn default() -> Self {
        Self {
            name: "one",
            failure_domain: guild::FAILURE_DOMAINS[0],
            key: KEY,
            keep: "300ms",
            seeds: "",
        }
    }
}

impl Start<'_> {
    /// Starts it on a free port; on another one when a process took that port first.
    async fn run(self, platform: SocketAddr) -> Instance {
        loop {
            let mut instance = self.run_at(free_addr().await, platform);
            if instance.listens().await {
                return instance;
            }
        }
    }

    fn run_at(self, addr: SocketAddr, platform: SocketAddr) -> Instance {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hyssopwalk"));
        command
            .args(["serve", "--region", "central", "--heartbeat", "100ms"])
            .args(["--name", self.name])
            .args(["--failure-domain", self.failure_domain])
            .args(["--listen", &addr.to_string()])
            .args(["--platform", &platform.to_string()])
            .args(["--address-keep", self.keep])
            .env("HYSSOPWALK_PEER_KEYS", self.key)
            .stderr(Stdio::null());
        if !self.seeds.is_empty() {
            command.args(["--seeds", self.seeds]);
        }
        Instance {
            name: self.name.to_owned(),
            addr,
            child: command.spawn().expect("the binary starts"),
        }
    }
}

impl Instance {
    /// Waits until it listens; false when it ended instead.
    async fn listens(&mut self) -> bool {
        while TcpStream::connect(self.addr).await.is_err() {
            if self.child.try_wait().expect("it was started").is_some() {
                return false;
            }
            async_std::task::sleep(Duration::from_millis(5)).await;
        }
        true
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("a process id"), signal).expect("the process is there");
    }

    /// Waits in a thread of its own, so that others go on.
    async fn exited(mut self) -> ExitStatus {
        async_std::task::spawn_blocking(move || self.child.wait().expect("it was started")).await
    }

    async fn members(&self) -> Option<MembersWire> {
        get(self.addr, "/v1/members").await.ok()
    }

    async fn ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.addr);
        let sent = send(Request::get(url.as_str())).await;
        sent.is_ok_and(|res| res.status() == 200)
    }

    /// The names of the live instances that it knows of, in order.
    async fn live(&self) -> Vec<String> {
        let Some(members) = self.members().await else {
            return Vec::new();
        };
        let cells = members.cells.into_iter();
        let live = cells
            .flat_map(|cell| cell.members)
            .filter(|member| member.state == "live");
        let mut names: Vec<String> = live.map(|member| member.name).collect();
        names.sort();
        names
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

async fn get<T: serde::de::DeserializeOwned>(addr: SocketAddr, path: &str) -> std::io::Result<T> {
    let url = format!("http://{addr}{path}");
    let mut res = send(Request::get(url.as_str())).await?;
    res.body_json()
        .await
        .map_err(|error| std::io::Error::other(error.to_string()))
}

const NAMES: [&str; 6] = ["a0", "a1", "b0", "b1", "c0", "c1"];

/// Starts six instances, two in each failure domain, and waits until each knows all.
async fn fleet(platform: &Platform) -> Vec<Instance> {
    let mut instances = Vec::new();
    for (at, name) in NAMES.iter().enumerate() {
        let start = Start {
            name,
            failure_domain: guild::FAILURE_DOMAINS[at / 2],
            ..Start::default()
        };
        instances.push(start.run(platform.addr).await);
    }
    all_know(&instances, &NAMES).await;
    instances
}

async fn all_know(instances: &[Instance], names: &[&str]) {
    for instance in instances {
        until(&format!("{} to know {names:?}", instance.name), || async {
            instance.ready().await && instance.live().await == names
        })
        .await;
    }
}

#[async_std::test]
async fn six_instances_agree_on_who_is_alive() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let instances = fleet(&platform).await;

    let mut leaders = 0;
    for instance in &instances {
        let members = instance.members().await.unwrap();
        assert_eq!(members.cells.len(), 3, "{members:?}");
        leaders += usize::from(members.role == "leading");
        let answer: AddressesWire = get(
            instance.addr,
            "/v1/addresses?caller=x&failure_domain=suva-a",
        )
        .await
        .unwrap();
        let near = answer.addresses.iter();
        let near = near.filter(|address| address.failure_domain == "suva-a");
        assert_eq!((answer.addresses.len(), near.count()), (3, 2), "{answer:?}");
    }
    assert_eq!(leaders, 3);
}

#[async_std::test]
async fn a_configuration_reaches_followers_through_their_leader() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let instances = fleet(&platform).await;
    let classes = platform.value("config/classes").unwrap();
    let version = platform.set("config/classes", classes);
    for instance in &instances {
        until("the configuration to be in force", || async {
            instance
                .members()
                .await
                .is_some_and(|members| members.config == version)
        })
        .await;
    }
}

#[async_std::test]
async fn a_planned_stop_exits_with_zero_and_leaves_the_members() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let mut instances = fleet(&platform).await;
    for at in [0, 1] {
        let leaving = instances.remove(0);
        leaving.signal(Signal::TERM);
        assert_eq!(leaving.exited().await.code(), Some(0));
        all_know(&instances, &NAMES[at + 1..]).await;
    }
}

#[async_std::test]
async fn a_second_signal_exits_at_once_with_another_code() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let start = Start {
        keep: "600s",
        ..Start::default()
    };
    let instance = start.run(platform.addr).await;
    until("the instance to be ready", || instance.ready()).await;
    instance.signal(Signal::TERM);
    until("the instance to leave", || async {
        let members = instance.members().await;
        members.is_some_and(|members| members.readiness == "leaving")
    })
    .await;
    instance.signal(Signal::TERM);
    assert_eq!(instance.exited().await.code(), Some(4));
}

#[async_std::test]
async fn an_instance_without_the_key_is_no_peer_and_still_serves() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let instances = fleet(&platform).await;
    let start = Start {
        name: "stranger",
        key: "another-key-of-16-bytes",
        ..Start::default()
    };
    let stranger = start.run(platform.addr).await;
    until("the stranger to be ready", || stranger.ready()).await;
    let (status, _) = query(stranger.addr, "courier-board", "{}").await.unwrap();
    assert_eq!(status, 200);
    for instance in &instances {
        assert_eq!(instance.live().await, NAMES);
    }
}

#[async_std::test]
async fn an_instance_that_starts_in_an_outage_learns_from_peers() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let instances = fleet(&platform).await;
    let config = instances[0].members().await.unwrap().config;
    let mut seeds = Vec::new();
    for cell in instances[0].members().await.unwrap().cells {
        seeds.extend(cell.members.into_iter().map(|member| member.peer_addr));
    }
    platform.list_instances(Vec::new());
    platform.faults(|faults| faults.down = true);
    let seeds = seeds.join(",");
    let start = Start {
        name: "new",
        seeds: &seeds,
        ..Start::default()
    };
    let new = start.run(platform.addr).await;
    until("the new instance to be ready", || new.ready()).await;
    assert_eq!(new.members().await.unwrap().config, config);
    let (status, _) = query(new.addr, "courier-board", "{}").await.unwrap();
    assert_eq!(status, 200);
}
