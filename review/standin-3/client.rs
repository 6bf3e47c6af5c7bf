//! A client of one instance, which sends one request after the other on a kept connection.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::http::{Conn, Message};
use crate::record::Record;

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    pub at_ms: u64,
    /// None if the connection ended without an answer.
    pub answer: Option<Message>,
}

/// What a client sends.
#[derive(Clone, Debug)]
pub struct Plan {
    pub host: String,
    pub method: &'static str,
    pub path: String,
    pub body: Vec<u8>,
    pub deadline_ms: u64,
    pub pause_ms: u64,
}

pub struct Clients {
    stop: Arc<AtomicBool>,
    pub sent: Arc<Mutex<Vec<Sent>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    pub fn new() -> Self {
        Self {
            stop: Arc::default(),
            sent: Arc::default(),
            threads: Vec::new(),
        }
    }

    /// Starts a client of an instance.
    pub fn start(&mut self, record: &Record, instance: &str, front: SocketAddr, plan: Plan) {
        let (record, instance) = (record.clone(), instance.to_owned());
        let (stop, sent) = (Arc::clone(&self.stop), Arc::clone(&self.sent));
        let number = self.threads.len();
        self.threads.push(thread::spawn(move || {
            let mut conn = None;
            for count in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let id = format!("{number:02}-{count:05}");
                let at_ms = record.now_ms();
                record.line(&format!(
                    "sent {instance} {id} {} {}",
                    plan.method, plan.path
                ));
                let answer = exchange(&mut conn, front, &plan, &id);
                let answer = match answer {
                    Ok(answer) => {
                        let status = answer.status();
                        let text = String::from_utf8_lossy(&answer.body).into_owned();
                        record.line(&format!("answered {instance} {id} {status} {text}"));
                        if answer
                            .field("connection")
                            .is_some_and(|value| value == "close")
                        {
                            conn = None;
                        }
                        Some(answer)
                    }
                    Err(error) => {
                        record.line(&format!("answered {instance} {id} nothing: {error}"));
                        conn = None;
                        None
                    }
                };
                sent.lock()
                    .expect("the list")
                    .push(Sent { id, at_ms, answer });
                thread::sleep(Duration::from_millis(plan.pause_ms));
            }
        }));
    }

    pub fn stop(mut self) -> Vec<Sent> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            thread.join().ok();
        }
        let sent = self.sent.lock().expect("the list");
        sent.clone()
    }
}

pub fn exchange(
    conn: &mut Option<Conn>,
    front: SocketAddr,
    plan: &Plan,
    id: &str,
) -> io::Result<Message> {
    let open = match conn.take() {
        Some(open) => open,
        None => Conn::new(TcpStream::connect_timeout(&front, Duration::from_secs(1))?),
    };
    let open = conn.insert(open);
    let limit = Duration::from_millis(plan.deadline_ms + 1_000);
    open.stream.set_read_timeout(Some(limit))?;
    let deadline = plan.deadline_ms.to_string();
    let fields = [
        ("Host", plan.host.as_str()),
        ("Request-Id", id),
        ("Deadline-Ms", &deadline),
    ];
    let start = format!("{} {} HTTP/1.1", plan.method, plan.path);
    open.write(&start, &fields, &plan.body)?;
    open.read()?
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
