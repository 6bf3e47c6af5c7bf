//! Runs the real binary as a child process.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use super::guild;
use super::net::serving_addr;
use super::platform::Platform;

/// Signing keys for operator tokens, newest first.
pub(crate) const OPERATOR_KEYS: &str =
    "k2:0123456789abcdef0123456789abcdef,k1:fedcba9876543210fedcba9876543210";

/// A running instance process; killed on drop.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) addr: SocketAddr,
    child: Child,
}

impl Instance {
    /// Starts an instance without peers in the Guild's first failure domain.
    pub(crate) async fn start(name: &str, platform: &Platform) -> Self {
        Self::start_with(name, platform, &[]).await
    }

    /// Starts an instance with additional environment variables.
    pub(crate) async fn start_with(name: &str, platform: &Platform, env: &[(&str, &str)]) -> Self {
        let binary = option_env!("CARGO_BIN_EXE_hyssopwalk").unwrap_or_default();
        let mut child = Command::new(binary)
            .args(["serve", "--region", "central", "--name", name])
            .args(["--failure-domain", guild::FAILURE_DOMAINS[0]])
            .args(["--listen", "127.0.0.1:0"])
            .args(["--platform", &platform.addr.to_string()])
            .env("HYSSOPWALK_OPERATOR_KEYS", OPERATOR_KEYS)
            .envs(env.iter().copied())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let addr = serving_addr(&mut child).await.expect("the binary serves");
        Self { addr, child }
    }

    /// Suspends the process, to simulate a paused machine.
    pub(crate) fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process after [`pause`](Self::pause).
    pub(crate) fn resume(&self) {
        self.signal(Signal::CONT);
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        kill_process(pid.expect("a process id"), signal).expect("the process exists");
    }

    /// Kills the process immediately, to simulate a crash.
    pub(crate) fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
