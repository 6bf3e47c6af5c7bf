//! The platform's object API in memory: versions, conditional writes, watches, a list
//! of instances, counts of calls, and the faults that tests ask for.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::{Value, json};
use tide::{Request, Response};

/// The faults that are in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    /// Every call fails with status 500.
    pub(crate) down: bool,
    /// Every call takes this much longer.
    pub(crate) slow: Duration,
    /// This many writes take effect but lose their reply.
    pub(crate) lose_replies: u32,
}

/// How often each kind of call was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Calls {
    pub(crate) reads: u64,
    pub(crate) writes: u64,
    pub(crate) watches: u64,
}

#[derive(Debug, Default)]
struct Store {
    revision: u64,
    compacted: u64,
    objects: BTreeMap<String, (u64, Value)>,
    history: Vec<(u64, String)>,
    instances: Vec<Value>,
    faults: Faults,
    calls: Calls,
}

/// A running platform.
#[derive(Clone, Debug)]
pub(crate) struct Platform {
    pub(crate) addr: SocketAddr,
    store: Arc<Mutex<Store>>,
}

type Cx = Arc<Mutex<Store>>;

impl Platform {
    /// Starts a platform with nothing in it.
    pub(crate) async fn start() -> Self {
        let store = Cx::default();
        let mut app = tide::with_state(Arc::clone(&store));
        app.at("/v1/instances")
            .get(|req: Request<Cx>| async move { call(req, instances).await });
        app.at("/v1/objects")
            .get(|req: Request<Cx>| async move { call(req, list).await });
        app.at("/v1/objects/*key")
            .get(|req: Request<Cx>| async move { call(req, get).await })
            .put(put)
            .delete(delete);
        app.at("/v1/watch").get(watch);
        let (listener, addr) = super::listen().await;
        async_std::task::spawn(app.listen(listener));

        Self { addr, store }
    }

    /// Writes an object whatever it was before.
    pub(crate) fn set(&self, key: &str, value: Value) -> u64 {
        self.store.lock().write(key, Some(value))
    }

    /// An object's value.
    pub(crate) fn value(&self, key: &str) -> Option<Value> {
        self.store
            .lock()
            .objects
            .get(key)
            .map(|(_, value)| value.clone())
    }

    /// Sets the list of instances.
    pub(crate) fn list_instances(&self, instances: Vec<Value>) {
        self.store.lock().instances = instances;
    }

    /// Changes the faults in force.
    pub(crate) fn faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.store.lock().faults);
    }

    /// Forgets all changes so far, which ends older watches.
    pub(crate) fn compact(&self) {
        let mut store = self.store.lock();
        store.compacted = store.revision;
        store.history.clear();
    }

    /// The calls so far.
    pub(crate) fn calls(&self) -> Calls {
        self.store.lock().calls
    }
}

impl Store {
    fn write(&mut self, key: &str, value: Option<Value>) -> u64 {
        self.revision += 1;
        self.history.push((self.revision, key.to_owned()));
        match value {
            Some(value) => self.objects.insert(key.to_owned(), (self.revision, value)),
            None => self.objects.remove(key),
        };
        self.revision
    }

    fn object(&self, key: &str) -> Value {
        match self.objects.get(key) {
            Some((version, value)) => json!({ "key": key, "version": version, "value": value }),
            None => Value::Null,
        }
    }

    fn changes(&self, prefix: &str, from: u64) -> Vec<Value> {
        let mut keys: Vec<&String> = Vec::new();
        for (revision, key) in &self.history {
            if *revision > from && key.starts_with(prefix) && !keys.contains(&key) {
                keys.push(key);
            }
        }
        keys.iter()
            .map(|key| json!({ "key": key, "object": self.object(key) }))
            .collect()
    }
}

async fn enter(req: &Request<Cx>, count: fn(&mut Calls)) -> Result<(), Response> {
    let faults = {
        let mut store = req.state().lock();
        count(&mut store.calls);
        store.faults
    };
    async_std::task::sleep(faults.slow).await;
    if faults.down {
        Err(Response::new(500))
    } else {
        Ok(())
    }
}

async fn call(req: Request<Cx>, handle: fn(&Store, &Request<Cx>) -> Value) -> tide::Result {
    if let Err(res) = enter(&req, |calls| calls.reads += 1).await {
        return Ok(res);
    }
    let handled = handle(&req.state().lock(), &req);
    Ok(if handled.is_null() {
        Response::new(404)
    } else {
        reply(handled)
    })
}

fn reply(value: Value) -> Response {
    Response::builder(200).body(value).build()
}

fn parameter(req: &Request<Cx>, name: &str) -> String {
    let found = req.url().query_pairs().find(|(key, _)| key == name);
    found
        .map(|(_, value)| value.into_owned())
        .unwrap_or_default()
}

fn instances(store: &Store, _: &Request<Cx>) -> Value {
    json!({ "instances": store.instances })
}

fn list(store: &Store, req: &Request<Cx>) -> Value {
    let prefix = parameter(req, "prefix");
    let keys = store.objects.keys().filter(|key| key.starts_with(&prefix));
    let objects: Vec<Value> = keys.map(|key| store.object(key)).collect();
    json!({ "revision": store.revision, "objects": objects })
}

fn get(store: &Store, req: &Request<Cx>) -> Value {
    store.object(req.param("key").unwrap_or_default())
}

async fn put(mut req: Request<Cx>) -> tide::Result {
    const MOST_BYTES: usize = 1 << 20;
    let body = req.body_bytes().await?;
    if body.len() > MOST_BYTES {
        return Ok(Response::new(413));
    }
    let Ok(value) = serde_json::from_slice::<Value>(&body) else {
        return Ok(Response::new(400));
    };
    write(req, Some(value)).await
}

async fn delete(req: Request<Cx>) -> tide::Result {
    write(req, None).await
}

async fn write(req: Request<Cx>, value: Option<Value>) -> tide::Result {
    if let Err(res) = enter(&req, |calls| calls.writes += 1).await {
        return Ok(res);
    }
    let key = req.param("key").unwrap_or_default();
    let mut store = req.state().lock();
    let version = store
        .objects
        .get(key)
        .map(|(version, _)| version.to_string());
    let expected = req
        .header("If-Match")
        .map(|values| values.last().to_string());
    if expected != version {
        return Ok(Response::new(412));
    }
    let version = store.write(key, value);
    if store.faults.lose_replies > 0 {
        store.faults.lose_replies -= 1;
        return Ok(Response::new(500));
    }
    Ok(reply(json!({ "version": version })))
}

async fn watch(req: Request<Cx>) -> tide::Result {
    const STEP: Duration = Duration::from_millis(5);
    let number = |name| parameter(&req, name).parse().unwrap_or(0);
    let (from, wait): (u64, u64) = (number("from"), number("wait_ms"));
    let prefix = parameter(&req, "prefix");
    if let Err(res) = enter(&req, |calls| calls.watches += 1).await {
        return Ok(res);
    }
    let end = Instant::now() + Duration::from_millis(wait);
    loop {
        {
            let store = req.state().lock();
            if store.faults.down {
                return Ok(Response::new(500));
            }
            if from < store.compacted {
                return Ok(Response::new(410));
            }
            let changes = store.changes(&prefix, from);
            if !changes.is_empty() || Instant::now() >= end {
                return Ok(reply(
                    json!({ "revision": store.revision, "changes": changes }),
                ));
            }
        }
        async_std::task::sleep(STEP).await;
    }
}
