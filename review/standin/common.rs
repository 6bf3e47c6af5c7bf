//! Stand-ins of the platform's store, of replicas and of clients, and the start of the project's
//! program. Only the standard library is used.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The record of a run: what was sent, answered and run.
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        let file = File::create(path).expect("the record can be written");
        Arc::new(Self { start: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} {text}").ok();
    }

    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// One HTTP message; `line` is its first line.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// A connection with the bytes that were read and not yet used.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, buf: Vec::new() }
    }

    pub fn open(addr: SocketAddr, read_timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(read_timeout))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 8192];
        let count = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads one message with a stated length; `None` if the connection ends before it.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break at + 4;
            }
            if self.fill()? == 0 {
                return if self.buf.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message { line: lines.next().unwrap_or("").to_owned(), ..Message::default() };
        for line in lines.filter(|line| !line.is_empty()) {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            message.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
        let len: usize = message.get("content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
        while self.buf.len() < end + len {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.buf[end..end + len].to_vec();
        self.buf.drain(..end + len);
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    [text.as_bytes(), body].concat()
}

/// Accepts connections on a free port of an address, each in a thread.
pub fn listen(ip: &str, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let addr = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    addr
}

pub fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0)).expect("a free port").local_addr().unwrap().port()
}

/// The platform's store, as far as an instance reads it: lists and watches of whole kinds.
#[derive(Default)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Whether calls are received and not answered.
    is_silent: bool,
    objects: BTreeMap<(String, String), (u64, String)>,
    events: Vec<(u64, String, String)>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{revision},\"created_revision\":1,\"finalizers\":[],\"marked_for_deletion\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
}

impl Store {
    pub fn start(ip: &str) -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().revision = 100;
        let served = Arc::clone(&store);
        let addr = listen(ip, move |stream| served.serve(stream));
        (store, addr)
    }

    pub fn set(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.objects.insert((kind.to_owned(), name.to_owned()), (revision, spec.to_owned()));
        let event = format!("{{\"deleted\":false,\"object\":{}}}", object(name, revision, spec));
        state.events.push((revision, kind.to_owned(), event));
        self.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        let removed = state.objects.remove(&(kind.to_owned(), name.to_owned()));
        if let Some((_, spec)) = removed {
            state.revision += 1;
            let revision = state.revision;
            let event = format!("{{\"deleted\":true,\"object\":{}}}", object(name, revision, &spec));
            state.events.push((revision, kind.to_owned(), event));
            self.changed.notify_all();
        }
    }

    pub fn set_silent(&self, is_silent: bool) {
        self.state.lock().unwrap().is_silent = is_silent;
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(req)) = conn.read() {
            let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
            let kind = path.strip_prefix("/api/objects/").unwrap_or("");
            thread::sleep(Duration::from_millis(4));
            let body = match parameter(query, "watch") {
                Some(from) => self.watch(kind, from.parse().unwrap_or(0), query),
                None => self.list(kind),
            };
            let Some(body) = body else {
                // A connection on which a response is lost returns nothing further.
                while let Ok(Some(_)) = conn.read() {}
                return;
            };
            let json = [("Content-Type", "application/json")];
            if conn.write(&response(200, &json, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn list(&self, kind: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        if state.is_silent {
            return None;
        }
        let of_kind = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<String> = of_kind.map(|((_, name), (revision, spec))| object(name, *revision, spec)).collect();
        Some(format!("{{\"items\":[{}],\"more\":false,\"current_rev\":{}}}", items.join(","), state.revision))
    }

    fn watch(&self, kind: &str, from: u64, query: &str) -> Option<String> {
        let wait = parameter(query, "wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            if state.is_silent {
                return None;
            }
            let new = state.events.iter().filter(|(at, of, _)| *at > from && of == kind);
            let events: Vec<&str> = new.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return Some(format!("{{\"events\":[{}],\"current_rev\":{}}}", events.join(","), state.revision));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

/// Slots of a replica and the requests that wait for one.
pub struct Slots {
    state: Mutex<(u32, u32)>,
    freed: Condvar,
    slots: u32,
    queue: u32,
}

impl Slots {
    pub fn new(slots: u32, queue: u32) -> Self {
        Self { state: Mutex::new((0, 0)), freed: Condvar::new(), slots, queue }
    }

    /// Waits for a slot; returns false at once if the queue is full.
    pub fn take(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.0 < self.slots {
            state.0 += 1;
            return true;
        }
        if state.1 >= self.queue {
            return false;
        }
        state.1 += 1;
        while state.0 >= self.slots {
            state = self.freed.wait(state).unwrap();
        }
        state.1 -= 1;
        state.0 += 1;
        true
    }

    pub fn give_back(&self) {
        self.state.lock().unwrap().0 -= 1;
        self.freed.notify_one();
    }
}

/// What every replica ran, by request id, with the replica's id.
#[derive(Default)]
pub struct Runs(pub Mutex<BTreeMap<String, Vec<String>>>);

impl Runs {
    pub fn add(&self, request: &str, replica: &str) {
        self.0.lock().unwrap().entry(request.to_owned()).or_default().push(replica.to_owned());
    }
}

pub fn stamp(replica: &str, request: &str) -> String {
    static SERIAL: AtomicU64 = AtomicU64::new(1);
    format!("{replica}.{request}.{}", SERIAL.fetch_add(1, Ordering::Relaxed))
}

pub fn server_entry(service: &str, addr: SocketAddr, zone: &str, slots: u32) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":4,\"born\":1790000000000}}"
    )
}

/// A configuration with one route to each service, whose prefix is the service's name.
pub fn config(version: u64, route_type: &str, timeout_ms: u64, services: &[String]) -> String {
    let route = |service: &String| {
        format!(
            "{{\"name\":\"r-{service}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{service}/\",\"route_type\":\"{route_type}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":300,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":2}}"
        )
    };
    let entry = |service: &String| {
        format!("{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false}}")
    };
    let routes: Vec<String> = services.iter().map(route).collect();
    let entries: Vec<String> = services.iter().map(entry).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        entries.join(",")
    )
}

pub const HOST: &str = "pupu76.example";
pub const ZONES: [(&str, &str); 3] = [("suva-a", "central"), ("lautoka-a", "western"), ("labasa-a", "northern")];

/// Ports of one machine; all machines of a deployment have the same ones.
#[derive(Clone, Copy)]
pub struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    directory: u16,
    metrics: u16,
}

impl Ports {
    pub fn free() -> Self {
        let ip = "127.0.0.1";
        Self { front: free_port(ip), ready: free_port(ip), control: free_port(ip), directory: free_port(ip), metrics: free_port(ip) }
    }
}

/// A running process of the project's program; killed on drop.
pub struct Node {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
    settings: PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        std::fs::remove_file(&self.settings).ok();
    }
}

impl Node {
    /// Starts machine number `at` of `count` with the command of the deploy file.
    pub fn start(dir: &Path, at: usize, count: usize, ports: Ports, store: SocketAddr, stdout: Stdio) -> Self {
        let ip = |at: usize| format!("127.0.0.{}", at + 1);
        let me = ip(at);
        let (zone, region) = ZONES[at % 3];
        let seeds: Vec<String> = (0..count.min(3)).map(|at| format!("\"{}:{}\"", ip(at), ports.control)).collect();
        let text = format!(
            r#"{{"node_name":"front-{zone}-{at}","role":"instance","machine_class":"front","serves":["front","control","directory"],"ip":"{me}","zone":"{zone}","region":"{region}","zones":{{"suva-a":"central","lautoka-a":"western","labasa-a":"northern"}},"listen":{{"front":"{me}:{}","ready":"{me}:{}","control":"{me}:{}","directory":"{me}:{}"}},"internal_ports":[{},{}],"seeds":[{}],"bootstrap":true,"in_fault_budget":false,"limits":{{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},"data_dir":null,"discovery":"platform","entry":"directory","heartbeat_ms":1200,"contracts":["base","drain","config","cost","retry","recover","scatter","platform"],"fault_tolerance":{{"machines":1,"zones":0,"regions":0}},"bounds":{{"seed_lag_s":3,"addr_reuse_s":2,"stable_window_ms":5000,"ack_ms":6000,"catch_up_s":4,"drain_ms":3000,"grace_s":6,"loss_slack_ms":200,"config_apply_ms":3000,"revert_slack_ms":250,"outer_ms":15000,"retry_budget_ratio":0.2,"budget_window_s":10,"retry_slack":54,"recovery_s":12,"ttl_max_s":5}},"platform":{{"address":"{store}","form":"objects","writes_per_s":400,"reads_per_s":2000,"history_s":20,"value_bytes":1048576,"min_ttl_ms":1000}}}}"#,
            ports.front, ports.ready, ports.control, ports.directory, ports.metrics, ports.metrics, seeds.join(",")
        );
        let settings = dir.join(format!("boot-{at}.json"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let child = Command::new("target/release/hyssopwalk")
            .arg("platform")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HYSSOPWALK_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(Stdio::null())
            .spawn()
            .expect("target/release/hyssopwalk is built");
        let addr = |port: u16| format!("{me}:{port}").parse().unwrap();
        Self { front: addr(ports.front), ready: addr(ports.ready), child, settings }
    }

    /// Whether a readiness check is answered with 200.
    pub fn is_ready(&self) -> bool {
        let asked = Conn::open(self.ready, Duration::from_secs(1)).and_then(|mut conn| {
            conn.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\n\r\n")?;
            conn.read()
        });
        matches!(asked, Ok(Some(message)) if message.status() == 200)
    }
}

/// Waits until all instances are ready; exits with 2 if they are not within 15 s.
pub fn await_ready(nodes: Vec<Node>, record: &Record) -> Vec<Node> {
    let until = Instant::now() + Duration::from_secs(15);
    while !nodes.iter().all(Node::is_ready) {
        if Instant::now() > until {
            record.say("the instances did not become ready");
            drop(nodes);
            std::process::exit(2);
        }
        thread::sleep(Duration::from_millis(100));
    }
    nodes
}

pub fn temp_dir() -> PathBuf {
    let dir = std::env::temp_dir().join(format!("hyssopwalk-review-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    dir
}

/// Whether the disruption is applied.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns a number below `max`.
pub fn random(max: u64) -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let mut state = STATE.load(Ordering::Relaxed);
    if state == 0 {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        state = now.as_nanos() as u64 | 1;
    }
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    STATE.store(state, Ordering::Relaxed);
    state % max
}
