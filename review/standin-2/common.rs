//! Stand-ins of the platform's store, of replicas and of callers, and the processes under test.
//! Only the standard library is used; every address is a loopback address.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HOST: &str = "review.example";

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            began: Instant::now(),
        })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {}", text.as_ref());
    }

    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
}

/// One HTTP/1.1 message: its first line, its fields and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let named = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_str())
    }

    /// The target of a request, or the status of a response.
    pub fn second_word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or_default()
    }
}

/// Reads one message; `None` if the connection ends or times out before it is complete.
pub fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Message> {
    let mut piece = [0; 8192];
    let head_end = loop {
        if let Some(at) = buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut piece) {
            Ok(count) if count > 0 => buf.extend_from_slice(&piece[..count]),
            _ => return None,
        }
    };
    let head = String::from_utf8_lossy(&buf[..head_end]).into_owned();
    buf.drain(..head_end + 4);
    let mut lines = head.split("\r\n");
    let mut message = Message {
        start: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let length = message.field("content-length").and_then(|text| text.parse().ok());
    let length: usize = length.unwrap_or_default();
    while buf.len() < length {
        match stream.read(&mut piece) {
            Ok(count) if count > 0 => buf.extend_from_slice(&piece[..count]),
            _ => return None,
        }
    }
    message.body = buf.drain(..length).collect();
    Some(message)
}

/// Returns an address that was free a moment ago. Its port is below those that the system gives to
/// outgoing connections, so that none of them takes it before the process under test does.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    loop {
        let offset = u64::from(std::process::id()) * 97 + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 20_000 + u16::try_from(offset % 12_000).unwrap_or_default();
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// The platform's store, as far as the processes under test use it: they only read.
pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// By kind and name: the revision and the content.
    objects: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind and event.
    log: Vec<(u64, String, String)>,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the store's port");
        let store = Arc::new(Self {
            addr: listener.local_addr().expect("an address"),
            state: Mutex::new(StoreState { revision: 100, ..StoreState::default() }),
            changed: Condvar::new(),
        });
        let accepting = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let event = format!(r#"{{"object":{},"deleted":false}}"#, object(name, revision, spec));
        state.log.push((revision, kind.to_owned(), event));
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, (revision, spec.to_owned()));
        self.changed.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        let Some((_, spec)) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        let event = format!(r#"{{"object":{},"deleted":true}}"#, object(name, revision, &spec));
        state.log.push((revision, kind.to_owned(), event));
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Some(req) = read_message(&mut stream, &mut buf) {
            let target = req.second_word().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let kind = path.strip_prefix("/api/objects/").unwrap_or_default();
            let param = |name: &str| {
                let mut params = query.split('&').filter_map(|param| param.split_once('='));
                params.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok())
            };
            let body = match (kind.contains('/'), param("watch")) {
                (true, _) => None,
                (false, None) => Some(self.list(kind)),
                (false, Some(from)) => Some(self.watch(kind, from, param("wait_ms").unwrap_or(0))),
            };
            let (status, body) = match body {
                Some(body) if req.start.starts_with("GET ") => ("200 OK", body),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
        let items: Vec<String> = of_kind
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect();
        let revision = state.revision;
        format!(r#"{{"items":[{}],"more":false,"current_rev":{revision}}}"#, items.join(","))
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            let is_new = |(revision, known, _): &&(u64, String, String)| *revision > from && known == kind;
            let events: Vec<&str> = state.log.iter().filter(is_new).map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                return format!(r#"{{"events":[{}],"current_rev":{revision}}}"#, events.join(","));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"meta":{{"name":"{name}","revision":{revision},"created_revision":{revision},"finalizers":[],"marked_for_deletion":false}},"spec":{spec},"status":null}}"#
    )
}

/// What a replica does with a request that it has begun to run.
pub enum Deed {
    /// Answers after this time.
    Answer(Duration),
    /// Ends at once, without an answer to anybody.
    Crash,
    /// Closes the connection without an answer, and goes on.
    Reset,
}

/// Decides by the number of the replica and the request.
pub type Decide = Arc<dyn Fn(u64, &Message) -> Deed + Send + Sync>;

/// One request that a replica began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub replica: String,
    pub request: String,
    pub target: String,
    pub crashed: bool,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// One boot of a replica.
pub struct Replica {
    pub id: String,
    number: u64,
    pub service: String,
    pub addr: SocketAddr,
    zone: String,
    born: u64,
    alive: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

/// What all replicas share.
#[derive(Clone)]
pub struct World {
    pub store: Arc<Store>,
    pub record: Record,
    pub runs: Runs,
    pub decide: Decide,
    /// How long a replica that crashed stays away.
    pub down: Duration,
    /// The replicas that run, by id.
    pub alive: Arc<Mutex<BTreeMap<String, String>>>,
    next_id: Arc<AtomicU64>,
}

/// An entry is removed after three ping intervals of silence.
const ENTRY_TTL: Duration = Duration::from_millis(3 * HEARTBEAT_MS);
pub const HEARTBEAT_MS: u64 = 1_200;

impl World {
    pub fn new(store: Arc<Store>, record: Record, down: Duration, decide: Decide) -> Self {
        Self {
            store,
            record,
            runs: Runs::default(),
            decide,
            down,
            alive: Arc::default(),
            next_id: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Starts a replica, which is started anew with another id after each crash.
    pub fn start_replica(&self, service: &str, zone: &str) -> Arc<Replica> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a replica's port");
        listener.set_nonblocking(true).expect("a listener that does not block");
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        let replica = Arc::new(Replica {
            id: format!("i-{number:08x}"),
            number,
            service: service.to_owned(),
            addr: listener.local_addr().expect("an address"),
            zone: zone.to_owned(),
            born: unix_millis(),
            alive: AtomicBool::new(true),
            open: Mutex::default(),
        });
        self.alive.lock().unwrap().insert(replica.id.clone(), service.to_owned());
        self.record.line(format!("replica {} of {service} starts at {}", replica.id, replica.addr));
        // Pings that change nothing but their sequence leave the entry as it is.
        self.store.put("servers", &replica.id, &replica.entry("ready"));
        let started = Arc::clone(&replica);
        let world = self.clone();
        thread::spawn(move || world.accept(&replica, listener));
        started
    }

    /// Has a replica report that it leaves; it goes on serving.
    pub fn drain(&self, replica: &Replica) {
        self.store.put("servers", &replica.id, &replica.entry("draining"));
        self.record.line(format!("the store has accepted that {} is draining", replica.id));
    }

    fn accept(&self, replica: &Arc<Replica>, listener: TcpListener) {
        while replica.alive.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).ok();
                    stream.set_nodelay(true).ok();
                    if let Ok(clone) = stream.try_clone() {
                        replica.open.lock().unwrap().push(clone);
                    }
                    let (world, replica) = (self.clone(), Arc::clone(replica));
                    thread::spawn(move || world.serve(&replica, stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
        drop(listener);
        let world = self.clone();
        let (id, service, zone) = (replica.id.clone(), replica.service.clone(), replica.zone.clone());
        thread::spawn(move || {
            thread::sleep(world.down);
            world.start_replica(&service, &zone);
            thread::sleep(ENTRY_TTL.saturating_sub(world.down));
            world.store.delete("servers", &id);
        });
    }

    fn serve(&self, replica: &Arc<Replica>, mut stream: TcpStream) {
        let mut buf = Vec::new();
        while let Some(req) = read_message(&mut stream, &mut buf) {
            if !replica.alive.load(Ordering::SeqCst) {
                return;
            }
            let expected = req.field("expect-instance");
            if expected.is_some_and(|expected| expected != replica.id) {
                let misdirected = "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: ";
                let text = format!("{misdirected}{}\r\nContent-Length: 0\r\n\r\n", replica.id);
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let request = req.field("request-id").unwrap_or_default().to_owned();
            let deed = (self.decide)(replica.number, &req);
            let crashed = matches!(deed, Deed::Crash);
            self.runs.lock().unwrap().push(Run {
                at: self.record.now(),
                replica: replica.id.clone(),
                request: request.clone(),
                target: req.second_word().to_owned(),
                crashed,
            });
            let end = match deed {
                Deed::Answer(_) => "",
                Deed::Crash => " and crashes",
                Deed::Reset => " and closes its connection",
            };
            self.record.line(format!("replica {} of {} runs {request}{end}", replica.id, replica.service));
            match deed {
                Deed::Answer(work) => thread::sleep(work),
                Deed::Reset => {
                    stream.shutdown(Shutdown::Both).ok();
                    return;
                }
                Deed::Crash => {
                    replica.alive.store(false, Ordering::SeqCst);
                    self.alive.lock().unwrap().remove(&replica.id);
                    for open in replica.open.lock().unwrap().drain(..) {
                        open.shutdown(Shutdown::Both).ok();
                    }
                    return;
                }
            }
            let record = format!("{:<16.16}", format!("{}-{request}", replica.service));
            let head = format!(
                "HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nAnswer-Stamp: {}.{request}\r\nKeep-Alive: timeout=20\r\nContent-Length: 16\r\n\r\n",
                replica.id
            );
            if stream.write_all((head + &record).as_bytes()).is_err() {
                return;
            }
        }
    }
}

impl Replica {
    fn entry(&self, state: &str) -> String {
        format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":2,"state":"{state}","cold_remaining_ms":0,"sequence":1,"born":{}}}"#,
            self.service, self.addr, self.zone, self.born
        )
    }
}

/// A process under test.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Child,
}

/// Starts instances with the command of the deploy file, `zones` naming the zone of each.
pub fn start_instances(dir: &PathBuf, store: SocketAddr, zones: &[&str]) -> Vec<Instance> {
    let addrs: Vec<Vec<SocketAddr>> = zones.iter().map(|_| (0..5).map(|_| free_addr()).collect()).collect();
    let mut seed_of_zone: BTreeMap<&str, SocketAddr> = BTreeMap::new();
    for (zone, addrs) in zones.iter().zip(&addrs) {
        seed_of_zone.entry(zone).or_insert(addrs[2]);
    }
    let seeds: Vec<String> = seed_of_zone.values().map(|seed| format!("\"{seed}\"")).collect();
    let mut instances = Vec::new();
    for (at, (zone, addrs)) in zones.iter().zip(&addrs).enumerate() {
        let name = format!("front-{zone}-{}", at + 1);
        let text = format!(
            r#"{{"node_name":"{name}","role":"instance","machine_class":"front","serves":["front","control","directory"],"ip":"127.0.0.1","zone":"{zone}","region":"region-of-{zone}","listen":{{"front":"{}","ready":"{}","control":"{}","directory":"{}"}},"internal_ports":[{port},{port}],"seeds":[{}],"bootstrap":true,"limits":{{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0}},"data_dir":null,"heartbeat_ms":{HEARTBEAT_MS},"fault_tolerance":{{"machines":1,"zones":0,"regions":0}},"bounds":{{"seed_lag_s":3,"addr_reuse_s":2,"stable_window_ms":5000,"ack_ms":6000,"catch_up_s":4,"drain_ms":3000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":3000,"revert_slack_ms":250,"outer_ms":15000,"retry_budget_ratio":0.2,"budget_window_s":10,"retry_slack":54,"recovery_s":12,"ttl_max_s":5}},"platform":{{"address":"{store}","form":"objects","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576}}}}"#,
            addrs[0], addrs[1], addrs[2], addrs[3], seeds.join(","), port = addrs[4].port()
        );
        let settings = dir.join(format!("{name}.json"));
        std::fs::write(&settings, text).expect("the settings are written");
        let log = File::create(dir.join(format!("{name}.log"))).expect("the log");
        let child = spawn(&settings, log);
        instances.push(Instance { name, front: addrs[0], ready: addrs[1], settings, child });
    }
    instances
}

fn spawn(settings: &PathBuf, log: File) -> Child {
    Command::new("target/release/hyssopwalk")
        .arg("platform")
        .env("HYSSOPWALK_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(Stdio::from(log))
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts")
}

impl Instance {
    /// Sends SIGKILL and waits for the end of the process.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self, dir: &PathBuf) {
        let log = File::create(dir.join(format!("{}-again.log", self.name))).expect("the log");
        self.child = spawn(&self.settings, log);
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        Command::new("kill").args([&format!("-{name}"), &pid]).status().ok();
    }

    pub fn is_ready(&self) -> bool {
        let response = exchange(self.ready, "GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n", Duration::from_secs(1));
        response.is_some_and(|response| response.status() == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends a request on a new connection and returns its complete response.
pub fn exchange(addr: SocketAddr, request: &str, limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(limit)).ok();
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut stream, &mut Vec::new())
}

/// A caller's request.
pub fn request(path: &str, id: &str, deadline_ms: u64) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\r\n")
}

/// Waits until a condition holds; returns whether it did in time.
pub fn until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let began = Instant::now();
    while began.elapsed() < limit {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Creates a temporary folder of this process.
pub fn temp_dir() -> PathBuf {
    let dir = std::env::temp_dir().join(format!("hyssopwalk-review-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    dir
}

/// Whether the disruption is left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// A configuration in which each route leads to the service `desk`.
pub fn config(version: u64, routes: &[(&str, &str)]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, prefix)| {
            format!(
                r#"{{"name":"{name}","host":"{HOST}","path_prefix":"{prefix}","route_type":"safe","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":2}}"#
            )
        })
        .collect();
    let limits = r#"{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}"#;
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"desk","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}}],"limits":{limits}}}"#,
        routes.join(",")
    )
}
