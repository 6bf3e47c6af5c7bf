//! The platform's store: objects by kind and name, listings, watches, and the drill in which it
//! comes back from an older copy.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Message};

#[derive(Clone, Debug)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

#[derive(Clone, Debug)]
struct Event {
    revision: u64,
    kind: String,
    name: String,
    /// None if the object was deleted.
    object: Option<Object>,
}

/// What a copy of the store holds.
#[derive(Clone, Debug, Default)]
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

#[derive(Debug)]
struct State {
    copy: Copy,
    era: u64,
    away: bool,
}

#[derive(Clone, Debug)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = State {
            copy: Copy {
                revision: 100,
                ..Copy::default()
            },
            era: 1,
            away: false,
        };
        let store = Self {
            addr: listener.local_addr().expect("an address"),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.serve(Conn::new(stream)));
            }
        });
        store
    }

    /// Writes an object as the operator or a replica does. Returns its revision, which is the ack.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        assert!(!state.away, "nobody writes while the store is away");
        let copy = &mut state.copy;
        let key = (kind.to_owned(), name.to_owned());
        let known = copy.objects.get(&key);
        let is_same = |known: &&Object| without_sequence(&known.spec) == without_sequence(spec);
        if let Some(known) = known.filter(is_same) {
            return known.revision;
        }
        copy.revision += 1;
        let object = Object {
            revision: copy.revision,
            created: known.map_or(copy.revision, |known| known.created),
            spec: spec.to_owned(),
        };
        copy.objects.insert(key, object.clone());
        copy.events.push(Event {
            revision: copy.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object: Some(object),
        });
        changed.notify_all();
        copy.revision
    }

    pub fn remove(&self, kind: &str, name: &str) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        let copy = &mut state.copy;
        if copy
            .objects
            .remove(&(kind.to_owned(), name.to_owned()))
            .is_some()
        {
            copy.revision += 1;
            copy.events.push(Event {
                revision: copy.revision,
                kind: kind.to_owned(),
                name: name.to_owned(),
                object: None,
            });
            changed.notify_all();
        }
        copy.revision
    }

    pub fn revision(&self) -> u64 {
        self.state.0.lock().expect("the state").copy.revision
    }

    pub fn copy(&self) -> Copy {
        self.state.0.lock().expect("the state").copy.clone()
    }

    /// The store goes away: calls and waiting watches are cut off.
    pub fn go_away(&self) {
        let (state, changed) = &*self.state;
        state.lock().expect("the state").away = true;
        changed.notify_all();
    }

    /// The store comes back from a copy.
    pub fn come_back_from(&self, copy: Copy) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        state.copy = copy;
        state.era += 1;
        state.away = false;
        changed.notify_all();
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(req)) = conn.read() {
            let Some((status, body)) = self.answer(&req) else {
                return;
            };
            let era = self.state.0.lock().expect("the state").era.to_string();
            let fields = [("Content-Type", "application/json"), ("Store-Era", &era)];
            let start = format!("HTTP/1.1 {status} .");
            if conn.write(&start, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Returns none if the store is away.
    fn answer(&self, req: &Message) -> Option<(u16, String)> {
        thread::sleep(Duration::from_millis(4));
        let (method, target) = req.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the state");
        if state.away {
            return None;
        }
        let path = path.strip_prefix("/api/objects/")?;
        if method != "GET" {
            return Some((503, "{}".to_owned()));
        }
        if let Some((kind, name)) = path.split_once('/') {
            let key = (kind.to_owned(), name.to_owned());
            let object = state.copy.objects.get(&key);
            return Some(object.map_or((404, "{}".to_owned()), |object| {
                (200, object_json(name, object))
            }));
        }
        let kind = path;
        let Some(from) = parameter("watch") else {
            let after = parameter("after").unwrap_or_default();
            let items = state.copy.objects.iter();
            let items = items.filter(|((of, name), _)| of == kind && *name > after);
            let items: Vec<String> = items
                .map(|((_, name), object)| object_json(name, object))
                .collect();
            let (items, rev) = (items.join(","), state.copy.revision);
            let body = format!(r#"{{"items":[{items}],"more":false,"current_rev":{rev}}}"#);
            return Some((200, body));
        };
        let from: u64 = from.parse().unwrap_or(0);
        let wait = parameter("wait_ms").and_then(|wait| wait.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let era = state.era;
        loop {
            if state.away || state.era != era {
                return None;
            }
            if from > state.copy.revision {
                return Some((410, "{}".to_owned()));
            }
            let events = state.copy.events.iter();
            let events = events.filter(|event| event.kind == kind && event.revision > from);
            let events: Vec<String> = events.map(event_json).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, rev) = (events.join(","), state.copy.revision);
                let body = format!(r#"{{"events":[{events}],"current_rev":{rev}}}"#);
                return Some((200, body));
            }
            state = changed.wait_timeout(state, left).expect("the state").0;
        }
    }
}

/// Returns an entry without the number of its ping: a ping that changes nothing else is no change.
fn without_sequence(spec: &str) -> String {
    let Some(at) = spec.find(r#""sequence":"#) else {
        return spec.to_owned();
    };
    let rest = spec[at..]
        .find([',', '}'])
        .map_or("", |end| &spec[at + end..]);
    format!("{}{rest}", &spec[..at])
}

fn object_json(name: &str, object: &Object) -> String {
    let Object {
        revision,
        created,
        spec,
    } = object;
    format!(
        r#"{{"meta":{{"name":"{name}","revision":{revision},"created_revision":{created},"finalizers":[],"marked_for_deletion":false}},"spec":{spec},"status":null}}"#
    )
}

fn event_json(event: &Event) -> String {
    let deleted = event.object.is_none();
    let gone = Object {
        revision: event.revision,
        created: event.revision,
        spec: "null".to_owned(),
    };
    let object = object_json(&event.name, event.object.as_ref().unwrap_or(&gone));
    format!(r#"{{"object":{object},"deleted":{deleted}}}"#)
}
