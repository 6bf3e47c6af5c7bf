//! Tests that a rolling upgrade of all instances under load loses no request.

mod instance_processes;
mod standin;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use hyssopwalk::AddressesWire;
use instance_processes::{INSTANCE_NAMES, StartOptions, fleet, get_json, wait_for_members};
use parking_lot::Mutex;
use rustix::process::Signal;
use standin::platform::Platform;
use standin::{guild, query};

const QUERY_INTERVAL: Duration = Duration::from_millis(10);

/// The outcomes of the queries of all callers.
#[derive(Debug, Default)]
struct Outcomes {
    answers: AtomicU64,
    failures: Mutex<Vec<String>>,
    /// Set when the callers should stop.
    stop: AtomicBool,
}

/// A caller that uses each list of addresses for as long as it may keep it.
struct Caller {
    name: String,
    addresses: Vec<SocketAddr>,
    /// When the caller has to request new addresses.
    renew_at: Instant,
}

impl Caller {
    async fn run(mut self, outcomes: Arc<Outcomes>) {
        while !outcomes.stop.load(Ordering::Relaxed) {
            match self.query_once().await {
                Ok(()) => {
                    outcomes.answers.fetch_add(1, Ordering::Relaxed);
                }
                Err(failure) => outcomes.failures.lock().push(failure),
            }
            async_std::task::sleep(QUERY_INTERVAL).await;
        }
    }

    async fn query_once(&mut self) -> Result<(), String> {
        if Instant::now() >= self.renew_at {
            self.renew_addresses().await?;
        }
        let answered = query(self.addresses[0], "courier-board", "{}").await;
        match answered {
            Ok((200, _)) => Ok(()),
            Ok((status, refusal)) => Err(format!("status {status}: {refusal}")),
            Err(error) => Err(format!("query to {}: {error}", self.addresses[0])),
        }
    }

    /// Requests new addresses. The time to keep them counts from before the request was sent.
    async fn renew_addresses(&mut self) -> Result<(), String> {
        let requested_at = Instant::now();
        let path = format!("/v1/addresses?caller={}&failure_domain=suva-a", self.name);
        let answer = get_json::<AddressesWire>(self.addresses[0], &path).await;
        let answer = answer.map_err(|error| format!("addresses: {error}"))?;
        let parsed = answer.addresses.iter().map(|address| address.addr.parse());
        self.addresses = parsed
            .collect::<Result<_, _>>()
            .map_err(|_| "a bad address".to_owned())?;
        self.renew_at = requested_at + Duration::from_millis(answer.keep_ms);
        Ok(())
    }
}

#[async_std::test]
async fn a_rolling_upgrade_loses_no_request() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let mut instances = fleet(&platform).await;
    let outcomes = Arc::new(Outcomes::default());
    let mut callers = Vec::new();
    for (number, instance) in instances.iter().enumerate() {
        let caller = Caller {
            name: format!("caller-{number}"),
            addresses: vec![instance.addr],
            renew_at: Instant::now(),
        };
        callers.push(async_std::task::spawn(caller.run(Arc::clone(&outcomes))));
    }
    for at in 0..INSTANCE_NAMES.len() {
        let old = instances.remove(0);
        let (name, addr) = (old.name.clone(), old.addr);
        old.signal(Signal::TERM);
        assert_eq!(old.exited().await.code(), Some(0), "{name}");
        let options = StartOptions {
            name: &name,
            failure_domain: guild::FAILURE_DOMAINS[at / 2],
            ..StartOptions::default()
        };
        instances.push(options.start_at(addr, platform.addr).await);
        wait_for_members(&instances, &INSTANCE_NAMES).await;
    }
    outcomes.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await;
    }
    let answers = outcomes.answers.load(Ordering::Relaxed);
    println!("{answers} answers");
    assert_eq!(*outcomes.failures.lock(), Vec::<String>::new());
    assert!(answers > 0);
}
