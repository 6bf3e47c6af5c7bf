//! The real binary as a process of its own.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};

use super::platform::Platform;
use super::{free_addr, guild};

/// One process, stopped when dropped.
#[derive(Debug)]
pub(crate) struct Instance {
    pub(crate) addr: SocketAddr,
    child: Child,
}

impl Instance {
    /// Starts an instance of that name in the Guild's first failure domain.
    pub(crate) async fn start(name: &str, platform: &Platform) -> Self {
        let addr = free_addr().await;
        let binary = option_env!("CARGO_BIN_EXE_hyssopwalk").unwrap_or_default();
        let child = Command::new(binary)
            .args(["serve", "--region", "central", "--name", name])
            .args(["--failure-domain", guild::FAILURE_DOMAINS[0]])
            .args(["--listen", &addr.to_string()])
            .args(["--platform", &platform.addr.to_string()])
            .stderr(Stdio::null())
            .spawn()
            .expect("the binary starts");
        Self { addr, child }
    }

    /// Ends it at once, as a crash would.
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
