//! A stand-in for the platform's store: objects by kind and name, listings and watches.

use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::io::WriteExt;
use async_std::net::{SocketAddr, TcpListener, TcpStream};
use async_std::task::{sleep, spawn};
use indexmap::IndexMap;
use parking_lot::Mutex;
use serde_json::{Value, json};

use super::http::{self, Message};

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Mood {
    #[default]
    Well,
    /// Takes calls and never answers.
    Silent,
    /// Refuses every call.
    Busy,
    /// Cuts every connection.
    Cuts,
    /// Answers after a while.
    Slow,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: IndexMap<(String, String), (u64, Value)>,
    /// Changes as revision, kind, object and whether it was deleted.
    changes: Vec<(u64, String, Value, bool)>,
    /// Watches from before this revision are refused.
    forgotten: u64,
    mood: Mood,
}

/// The store; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store(Arc<Mutex<State>>);

impl Store {
    pub(crate) async fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let serving = store.clone();
        spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn(serving.clone().serve(stream));
            }
        });
        (store, addr)
    }

    pub(crate) fn set_mood(&self, mood: Mood) {
        self.0.lock().mood = mood;
    }

    /// Drops the history, so that watches have to list anew.
    pub(crate) fn forget(&self) {
        let mut state = self.0.lock();
        state.forgotten = state.revision;
        state.changes.clear();
    }

    pub(crate) fn put(&self, kind: &str, name: &str, spec: &Value) {
        let mut state = self.0.lock();
        state.revision += 1;
        let revision = state.revision;
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, (revision, spec.clone()));
        let object = object(name, revision, spec);
        state
            .changes
            .push((revision, kind.to_owned(), object, false));
    }

    pub(crate) fn delete(&self, kind: &str, name: &str) {
        let mut state = self.0.lock();
        let key = (kind.to_owned(), name.to_owned());
        if let Some((last, spec)) = state.objects.shift_remove(&key) {
            state.revision += 1;
            let revision = state.revision;
            let object = object(name, last, &spec);
            state
                .changes
                .push((revision, kind.to_owned(), object, true));
        }
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut buf = Vec::new();
        while let Ok(Some(req)) = http::read(&mut stream, &mut buf).await {
            let mood = self.0.lock().mood;
            let answer = match mood {
                Mood::Cuts => return,
                Mood::Silent => {
                    sleep(Duration::from_secs(5)).await;
                    return;
                }
                Mood::Busy => http::response(503, &[], b"{}"),
                Mood::Slow => {
                    sleep(Duration::from_millis(300)).await;
                    self.answer(&req).await
                }
                Mood::Well => self.answer(&req).await,
            };
            if stream.write_all(&answer).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, req: &Message) -> Vec<u8> {
        let target = req.line.split(' ').nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let kind = path.trim_start_matches("/api/objects/");
        let param = |name: &str| {
            let mut params = query.split('&').filter_map(|param| param.split_once('='));
            let found = params.find(|(known, _)| *known == name)?;
            found.1.parse::<u64>().ok()
        };
        let (status, body) = match param("watch") {
            Some(from) => self.watch(kind, from, param("wait_ms").unwrap_or(0)).await,
            None => (200, self.list(kind)),
        };
        http::response(status, &[], body.to_string().as_bytes())
    }

    fn list(&self, kind: &str) -> Value {
        let state = self.0.lock();
        let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
        let items: Vec<Value> = of_kind
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect();
        json!({"items": items, "more": false, "current_rev": state.revision})
    }

    async fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> (u16, Value) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            {
                let state = self.0.lock();
                if from < state.forgotten {
                    return (410, json!({"error": "gone"}));
                }
                let news = state.changes.iter();
                let events: Vec<Value> = news
                    .filter(|(at, known, ..)| *at > from && known == kind)
                    .map(|(_, _, object, deleted)| json!({"object": object, "deleted": deleted}))
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    return (
                        200,
                        json!({"events": events, "current_rev": state.revision}),
                    );
                }
            }
            sleep(Duration::from_millis(10)).await;
        }
    }
}

fn object(name: &str, revision: u64, spec: &Value) -> Value {
    json!({"meta": {"name": name, "revision": revision}, "spec": spec, "status": null})
}
