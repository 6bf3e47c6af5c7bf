//! One process, the signals that it gets, and the requests that it is asked to answer.

use std::fs::File;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use rand::Rng;
use rustix::process::{Pid, Signal, kill_process};

use super::http;

pub(crate) const HOST: &str = "many.example";
pub(crate) const CALLER_PORT: u16 = 8_101;
const RESTART_DELAY: Duration = Duration::from_millis(300);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

pub(crate) struct Instance {
    name: String,
    ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// When it was last disturbed.
    pub(crate) calm_since: Instant,
    start_at: Option<Instant>,
    resume_at: Option<Instant>,
    kill_at: Option<Instant>,
}

impl Instance {
    pub(crate) fn new(name: String, ip: IpAddr, settings: PathBuf, start_at: Instant) -> Self {
        Self {
            log: settings.with_extension("log"),
            name,
            ip,
            settings,
            child: None,
            calm_since: start_at,
            start_at: Some(start_at),
            resume_at: None,
            kill_at: None,
        }
    }

    /// Asks the process to stop, and kills it at the end of the grace period.
    pub(crate) fn stop(&mut self, kill_at: Instant) {
        self.signal(Signal::TERM);
        self.kill_at = Some(kill_at);
    }

    pub(crate) fn pause(&mut self, resume_at: Instant) {
        self.signal(Signal::STOP);
        self.resume_at = Some(resume_at);
    }

    fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let child = Command::new(env!("CARGO_BIN_EXE_hyssopwalk"))
            .args(["platform", "--settings"])
            .arg(&self.settings)
            .stdout(log.map_or_else(|_| Stdio::null(), Stdio::from))
            .spawn();
        self.child = Some(child.expect("the binary starts"));
    }

    /// Ends what is over, and starts the process again after it has ended.
    pub(crate) fn tick(&mut self, now: Instant) {
        if self.child.is_none() || self.resume_at.is_some() || self.kill_at.is_some() {
            self.calm_since = now;
        }
        if self.resume_at.is_some_and(|at| at <= now) {
            self.signal(Signal::CONT);
            self.resume_at = None;
        }
        let exited = self
            .child
            .as_mut()
            .map(|child| child.try_wait().is_ok_and(|status| status.is_some()));
        if exited == Some(true) || self.kill_at.is_some_and(|at| at <= now) {
            self.kill(now + RESTART_DELAY);
        }
        if self.start_at.is_some_and(|at| at <= now) {
            self.start_at = None;
            self.start();
        }
    }

    fn signal(&self, signal: Signal) {
        let id = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok());
        if let Some(pid) = id.and_then(Pid::from_raw) {
            // A process that has ended by itself is noticed at the next tick.
            kill_process(pid, signal).ok();
        }
    }

    pub(crate) fn kill(&mut self, start_at: Instant) {
        if let Some(mut child) = self.child.take() {
            child.kill().ok();
            child.wait().ok();
            self.start_at = Some(start_at);
        }
        self.resume_at = None;
        self.kill_at = None;
        self.calm_since = Instant::now();
    }

    /// Whether the route of a version is served, or refused for another reason than being unknown.
    pub(crate) async fn check(&self, version: u64) -> Result<(), String> {
        let name = &self.name;
        match timeout(ANSWER_TIMEOUT, request(self.ip, version)).await {
            Ok(Ok(404)) => Err(format!("{name} refuses the route of version {version}")),
            Ok(Ok(_)) => Ok(()),
            Ok(Err(error)) => Err(format!("{name} does not answer: {error}")),
            Err(_) => Err(format!("{name} does not answer in time")),
        }
    }
}

/// Returns the status of an answer for the route of a version.
async fn request(ip: IpAddr, version: u64) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect(SocketAddr::new(ip, CALLER_PORT)).await?;
    let id: u64 = rand::rng().random();
    let text = format!(
        "GET /v{version}/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id:016x}\r\nDeadline-Ms: 1000\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await?;
    let res = http::read(&mut stream, &mut Vec::new()).await?;
    res.map(|res| res.status())
        .ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
}
