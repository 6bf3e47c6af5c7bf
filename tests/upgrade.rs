//! An upgrade of all instances, one by one, under load, loses no request.

mod fleet_of;
mod standin;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use fleet_of::{NAMES, Start, all_know, fleet, get};
use hyssopwalk::AddressesWire;
use parking_lot::Mutex;
use rustix::process::Signal;
use standin::platform::Platform;
use standin::{guild, query};

const BETWEEN_QUERIES: Duration = Duration::from_millis(10);

/// What the callers saw.
#[derive(Debug, Default)]
struct Seen {
    answers: AtomicU64,
    failures: Mutex<Vec<String>>,
    over: AtomicBool,
}

/// A caller that uses the addresses it was given for as long as it may keep them.
struct Caller {
    name: String,
    addresses: Vec<SocketAddr>,
    until: Instant,
}

impl Caller {
    async fn run(mut self, seen: Arc<Seen>) {
        while !seen.over.load(Ordering::Relaxed) {
            match self.ask_once().await {
                Ok(()) => {
                    seen.answers.fetch_add(1, Ordering::Relaxed);
                }
                Err(failure) => seen.failures.lock().push(failure),
            }
            async_std::task::sleep(BETWEEN_QUERIES).await;
        }
    }

    async fn ask_once(&mut self) -> Result<(), String> {
        if Instant::now() >= self.until {
            self.renew().await?;
        }
        let asked = query(self.addresses[0], "courier-board", "{}").await;
        match asked {
            Ok((200, _)) => Ok(()),
            Ok((status, refusal)) => Err(format!("status {status}: {refusal}")),
            Err(error) => Err(format!("query to {}: {error}", self.addresses[0])),
        }
    }

    /// Asks for addresses; the time to keep them counts from before it asked.
    async fn renew(&mut self) -> Result<(), String> {
        let asked = Instant::now();
        let path = format!("/v1/addresses?caller={}&failure_domain=suva-a", self.name);
        let answer = get::<AddressesWire>(self.addresses[0], &path).await;
        let answer = answer.map_err(|error| format!("addresses: {error}"))?;
        let parsed = answer.addresses.iter().map(|one| one.addr.parse());
        self.addresses = parsed
            .collect::<Result<_, _>>()
            .map_err(|_| "a bad address".to_owned())?;
        self.until = asked + Duration::from_millis(answer.keep_ms);
        Ok(())
    }
}

#[async_std::test]
async fn an_upgrade_one_by_one_loses_no_request() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let mut instances = fleet(&platform).await;
    let seen = Arc::new(Seen::default());
    let mut callers = Vec::new();
    for (number, instance) in instances.iter().enumerate() {
        let caller = Caller {
            name: format!("caller-{number}"),
            addresses: vec![instance.addr],
            until: Instant::now(),
        };
        callers.push(async_std::task::spawn(caller.run(Arc::clone(&seen))));
    }
    for at in 0..NAMES.len() {
        let old = instances.remove(0);
        let (name, addr) = (old.name.clone(), old.addr);
        old.signal(Signal::TERM);
        assert_eq!(old.exited().await.code(), Some(0), "{name}");
        let start = Start {
            name: &name,
            failure_domain: guild::FAILURE_DOMAINS[at / 2],
            ..Start::default()
        };
        instances.push(start.run_at(addr, platform.addr).await);
        all_know(&instances, &NAMES).await;
    }
    seen.over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await;
    }
    let answers = seen.answers.load(Ordering::Relaxed);
    println!("{answers} answers");
    assert_eq!(*seen.failures.lock(), Vec::<String>::new());
    assert!(answers > 0);
}
