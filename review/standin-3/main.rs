//! Stand-ins of the platform's store, of replicas and of clients, and the cases of the third review.
//!
//! `review-3 CASE FOLDER PROGRAM` plays a case against PROGRAM and writes `record.txt` into FOLDER.
//! It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod client;
mod config;
mod drill;
mod http;
mod instance;
mod poison;
mod record;
mod replica;
mod store;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::instance::{Figures, Instance, Ports};
use crate::record::Record;

/// How often the instances are started until all of them are ready.
const ATTEMPTS: usize = 3;
const READY_WITHIN_S: u64 = 4;

/// What every case is given.
pub struct Case {
    pub record: Record,
    pub program: PathBuf,
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

/// How a case ended.
pub enum Verdict {
    Broken(String),
    Held(String),
    CouldNotRun(String),
}

pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(since.expect("after 1970").as_millis()).expect("before 2500")
}

pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

impl Case {
    /// Starts one instance in each zone and waits until all of them are ready.
    pub fn start_instances(
        &self,
        zones: &[(&str, &str)],
        store: SocketAddr,
        figures: Figures,
    ) -> Option<Vec<Instance>> {
        // A port that was free may be taken by the time an instance listens on it.
        for _ in 0..ATTEMPTS {
            let ports = Ports::choose(zones);
            let start = |number| {
                let (record, program, folder) = (&self.record, &self.program, &self.folder);
                Instance::start(record, program, folder, number, &ports, store, figures)
            };
            let instances: Vec<Instance> = (0..ports.len()).map(start).collect();
            for _ in 0..READY_WITHIN_S * 10 {
                if instances.iter().all(|instance| is_ready(instance.ready)) {
                    return Some(instances);
                }
                pause(100);
            }
        }
        None
    }
}

pub fn is_ready(addr: SocketAddr) -> bool {
    let plan = client::Plan {
        host: addr.to_string(),
        method: "GET",
        path: "/api/readiness".to_owned(),
        body: Vec::new(),
        deadline_ms: 500,
        pause_ms: 0,
    };
    let answer = client::exchange(&mut None, addr, &plan, "ready");
    answer.is_ok_and(|answer| answer.status() == 200)
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, name, folder, program] = args.as_slice() else {
        eprintln!("usage: review-3 CASE FOLDER PROGRAM");
        return ExitCode::from(2);
    };
    let scratch = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("a temporary folder");
    let case = Case {
        record: Record::create(&format!("{folder}/record.txt")),
        program: Path::new(program).to_owned(),
        folder: scratch.clone(),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let verdict = match name.as_str() {
        "drain" => drill::play(&case),
        "config" => config::play(&case),
        "same-id" => poison::play(&case, poison::Crash::SameId),
        "mid-answer" => poison::play(&case, poison::Crash::MidAnswer),
        "silent" => poison::play(&case, poison::Crash::Silent),
        _ => Verdict::CouldNotRun(format!("there is no case {name}")),
    };
    if std::env::var("KEEP").is_err() {
        std::fs::remove_dir_all(&scratch).ok();
    }
    let (code, text) = match verdict {
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    case.record.say(&text);
    ExitCode::from(code)
}
