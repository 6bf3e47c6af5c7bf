//! A replica of a service, which answers every request after its work and registers in the store.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{Conn, Message};
use crate::record::Record;

/// A request for a path with this word crashes the replica that begins to run it.
const CRASHING: &str = "crash";

/// What a replica sends when a request crashes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrashHabit {
    /// Its connections end at once.
    #[default]
    EndsConnections,
    /// It has sent a part of its answer when its connections end.
    BreaksOffAnswer,
    /// Nothing: its connections stay open and silent until it is back.
    Silent,
}

/// One request that arrived at a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub request: String,
    pub instance: SocketAddr,
}

#[derive(Clone, Debug)]
pub struct Replica {
    /// The id of the current start.
    id: Arc<Mutex<String>>,
    pub service: String,
    pub addr: SocketAddr,
    pub zone: String,
    born: Arc<AtomicU64>,
    work: Duration,
    crash_habit: CrashHabit,
    record: Record,
    pub arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// The number of pings so far.
    sequence: Arc<AtomicU64>,
    /// Whether no process listens.
    down: Arc<AtomicBool>,
    /// The number of ends so far.
    ends: Arc<AtomicU64>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Replica {
    pub fn start(record: &Record, id: &str, service: &str, zone: &str, work_ms: u64) -> Self {
        Self::start_with(record, id, service, zone, work_ms, CrashHabit::default())
    }

    pub fn start_with(
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        work_ms: u64,
        crash_habit: CrashHabit,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let replica = Self {
            id: Arc::new(Mutex::new(id.to_owned())),
            service: service.to_owned(),
            addr: listener.local_addr().expect("an address"),
            zone: zone.to_owned(),
            born: Arc::new(AtomicU64::new(crate::unix_millis())),
            work: Duration::from_millis(work_ms),
            crash_habit,
            record: record.clone(),
            arrivals: Arc::default(),
            sequence: Arc::default(),
            down: Arc::default(),
            ends: Arc::default(),
            streams: Arc::default(),
        };
        let accepting = replica.clone();
        thread::spawn(move || accepting.accept(listener));
        replica
    }

    pub fn id(&self) -> String {
        self.id.lock().expect("the id").clone()
    }

    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    fn is_silent_when_down(&self) -> bool {
        self.crash_habit == CrashHabit::Silent
    }

    /// Ends the process: its connections end, and it takes no more.
    pub fn end(&self) {
        self.down.store(true, Ordering::SeqCst);
        self.ends.fetch_add(1, Ordering::SeqCst);
        if self.is_silent_when_down() {
            return;
        }
        for stream in self.streams.lock().expect("the streams").drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
    }

    /// Starts a new process at the same address.
    pub fn start_again(&self, id: &str) {
        *self.id.lock().expect("the id") = id.to_owned();
        self.born.store(crate::unix_millis(), Ordering::SeqCst);
        self.down.store(false, Ordering::SeqCst);
    }

    fn accept(&self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            if self.is_down() && !self.is_silent_when_down() {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.addr).ok();
            }
            if let Some(listener) = &listener {
                listener.set_nonblocking(true).ok();
                if let Ok((stream, _)) = listener.accept() {
                    stream.set_nonblocking(false).ok();
                    let mut streams = self.streams.lock().expect("the streams");
                    streams.extend(stream.try_clone());
                    drop(streams);
                    let serving = self.clone();
                    thread::spawn(move || serving.serve(Conn::new(stream)));
                    continue;
                }
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Its entry in the store.
    pub fn entry(&self, state: &str, cold_remaining_ms: u64) -> String {
        let Self {
            service,
            addr,
            zone,
            born,
            ..
        } = self;
        let born = born.load(Ordering::SeqCst);
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"v1","slots":4,"state":"{state}","cold_remaining_ms":{cold_remaining_ms},"sequence":{sequence},"born":{born}}}"#
        )
    }

    fn stay_silent_while_down(&self, _conn: &Conn) {
        while self.is_down() && self.is_silent_when_down() {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn serve(&self, mut conn: Conn) {
        self.stay_silent_while_down(&conn);
        let ends = self.ends.load(Ordering::SeqCst);
        while let Ok(Some(req)) = conn.read() {
            if self.ends.load(Ordering::SeqCst) != ends {
                self.stay_silent_while_down(&conn);
                return;
            }
            if !self.respond(&mut conn, &req, ends) {
                return;
            }
        }
    }

    fn respond(&self, conn: &mut Conn, req: &Message, ends: u64) -> bool {
        let own = self.id();
        let (_, target) = req.target();
        if target == "/health" {
            let fields = [("Instance-Id", own.as_str())];
            return conn.write("HTTP/1.1 200 OK", &fields, b"").is_ok();
        }
        let id = req.field("Request-Id").unwrap_or("-").to_owned();
        if req
            .field("Expect-Instance")
            .is_some_and(|other| other != own)
        {
            let fields = [("Instance-Id", own.as_str()), ("Not-Executed", "1")];
            return conn.write("HTTP/1.1 421 .", &fields, b"").is_ok();
        }
        let Ok(instance) = conn.stream.peer_addr() else {
            return false;
        };
        let at_ms = self.record.now_ms();
        self.arrivals.lock().expect("the arrivals").push(Arrival {
            at_ms,
            request: id.clone(),
            instance,
        });
        self.record
            .line(&format!("run {} {own} {id}", self.service));
        if target.contains(CRASHING) {
            self.record
                .line(&format!("crash {} {own} {id}", self.service));
            if self.crash_habit == CrashHabit::BreaksOffAnswer {
                self.begin_answer(conn, &own, &id);
            }
            self.end();
            self.stay_silent_while_down(conn);
            return false;
        }
        thread::sleep(self.work);
        if self.ends.load(Ordering::SeqCst) != ends {
            self.stay_silent_while_down(conn);
            return false;
        }
        let stamp = format!("{own}.{id}");
        let fields = [("Request-Id", id.as_str()), ("Answer-Stamp", &stamp)];
        let body = format!("{id} by {}", self.service);
        conn.write("HTTP/1.1 200 OK", &fields, body.as_bytes())
            .is_ok()
    }

    /// Sends the head of an answer and a part of its body.
    fn begin_answer(&self, conn: &mut Conn, own: &str, id: &str) {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nAnswer-Stamp: {own}.{id}\r\nContent-Length: 100\r\n\r\n"
        );
        let part = [head.as_bytes(), b"the first bytes"].concat();
        conn.stream.write_all(&part).ok();
        thread::sleep(Duration::from_millis(5));
    }
}
