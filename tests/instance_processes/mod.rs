//! Starts and controls instances as separate processes, for tests.

#![allow(dead_code, reason = "each test uses only some of the items")]

use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Stdio};

use hyssopwalk::MembersWire;
use rustix::process::{Pid, Signal, kill_process};
use tide::http::Request;

use crate::standin::net::serving_addr;
use crate::standin::platform::Platform;
use crate::standin::{guild, send, until};

pub(crate) const PEER_KEY: &str = "0123456789abcdef";

/// A running instance, killed when dropped.
pub(crate) struct Instance {
    pub(crate) name: String,
    pub(crate) addr: SocketAddr,
    pub(crate) child: Child,
}

/// The settings that an instance is started with.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartOptions<'a> {
    pub(crate) name: &'a str,
    pub(crate) failure_domain: &'a str,
    pub(crate) key: &'a str,
    pub(crate) keep: &'a str,
    pub(crate) seeds: &'a str,
    pub(crate) heartbeat: &'a str,
}

impl Default for StartOptions<'_> {
    fn default() -> Self {
        Self {
            name: "one",
            failure_domain: guild::FAILURE_DOMAINS[0],
            key: PEER_KEY,
            keep: "300ms",
            seeds: "",
            heartbeat: "100ms",
        }
    }
}

impl StartOptions<'_> {
    /// Starts an instance on a free port and waits until it serves.
    pub(crate) async fn start(self, platform: SocketAddr) -> Instance {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        self.start_at(any_port, platform).await
    }

    /// Starts an instance that listens on `addr` and waits until it serves.
    pub(crate) async fn start_at(self, addr: SocketAddr, platform: SocketAddr) -> Instance {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hyssopwalk"));
        command
            .args([
                "serve",
                "--region",
                "central",
                "--heartbeat",
                self.heartbeat,
            ])
            .args(["--name", self.name])
            .args(["--failure-domain", self.failure_domain])
            .args(["--listen", &addr.to_string()])
            .args(["--platform", &platform.to_string()])
            .args(["--address-keep", self.keep])
            .env("HYSSOPWALK_PEER_KEYS", self.key)
            .stderr(Stdio::piped());
        if !self.seeds.is_empty() {
            command.args(["--seeds", self.seeds]);
        }
        let mut child = command.spawn().expect("the binary starts");
        let addr = serving_addr(&mut child).await.expect("the binary serves");
        Instance {
            name: self.name.to_owned(),
            addr,
            child,
        }
    }
}

impl Instance {
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("a process id"), signal).expect("the process exists");
    }

    /// Waits for the process to exit, on a blocking thread so that other tasks continue.
    pub(crate) async fn exited(mut self) -> ExitStatus {
        async_std::task::spawn_blocking(move || self.child.wait().expect("the process was started"))
            .await
    }

    pub(crate) async fn members(&self) -> Option<MembersWire> {
        get_json(self.addr, "/v1/members").await.ok()
    }

    pub(crate) async fn ready(&self) -> bool {
        let url = format!("http://{}/readyz", self.addr);
        let sent = send(Request::get(url.as_str())).await;
        sent.is_ok_and(|res| res.status() == 200)
    }

    /// Returns the sorted names of the members that this instance reports as live.
    pub(crate) async fn live_members(&self) -> Vec<String> {
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

pub(crate) async fn get_json<T: serde::de::DeserializeOwned>(
    addr: SocketAddr,
    path: &str,
) -> std::io::Result<T> {
    let url = format!("http://{addr}{path}");
    let mut res = send(Request::get(url.as_str())).await?;
    res.body_json()
        .await
        .map_err(|error| std::io::Error::other(error.to_string()))
}

pub(crate) const INSTANCE_NAMES: [&str; 6] = ["a0", "a1", "b0", "b1", "c0", "c1"];

/// Starts six instances, two in each failure domain, and waits until each lists all of them as
/// live.
pub(crate) async fn fleet(platform: &Platform) -> Vec<Instance> {
    let mut instances = Vec::new();
    for (at, name) in INSTANCE_NAMES.iter().enumerate() {
        let options = StartOptions {
            name,
            failure_domain: guild::FAILURE_DOMAINS[at / 2],
            ..StartOptions::default()
        };
        instances.push(options.start(platform.addr).await);
    }
    wait_for_members(&instances, &INSTANCE_NAMES).await;
    instances
}

/// Waits until every instance is ready and reports exactly `names` as live members.
pub(crate) async fn wait_for_members(instances: &[Instance], names: &[&str]) {
    for instance in instances {
        until(
            &format!("{} to list {names:?} as live", instance.name),
            || async { instance.ready().await && instance.live_members().await == names },
        )
        .await;
    }
}
