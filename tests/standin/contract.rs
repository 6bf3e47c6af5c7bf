//! Steps of the platform contract tests, run against the HTTP client or the in-memory fake.

use hyssopwalk::{
    CallRates, Expected, ObjectKey, ObjectStore, ObjectVersion, PerSecond, Platform, PlatformError,
    Revision, Span,
};
use serde_json::{Value, json};

use super::platform::{FakePlatform, Faults, Platform as HttpPlatform};

/// Client rate limits that no test reaches.
pub(crate) const FREELY: CallRates = CallRates {
    reads: PerSecond(1e6),
    writes: PerSecond(1e6),
};
/// How long a watch step waits for changes.
const WATCH_WAIT: Span = Span::from_millis(30);

/// The platform implementation under test, and access to its state for fault injection.
pub(crate) enum Subject {
    Fake(Box<FakePlatform>),
    Http(HttpPlatform, Box<ObjectStore>),
}

impl Subject {
    /// Returns both implementations; the HTTP one gets its own server.
    pub(crate) async fn both() -> [Self; 2] {
        let server = HttpPlatform::start().await;
        let client = ObjectStore::new(server.addr, FREELY);
        [
            Self::Fake(Box::default()),
            Self::Http(server, Box::new(client)),
        ]
    }

    pub(crate) fn api(&self) -> &dyn Platform {
        match self {
            Self::Fake(fake) => &**fake,
            Self::Http(_, client) => &**client,
        }
    }

    pub(crate) fn state(&self) -> &FakePlatform {
        match self {
            Self::Fake(fake) => fake,
            Self::Http(server, _) => server.state(),
        }
    }

    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Fake(_) => "fake",
            Self::Http(..) => "http",
        }
    }
}

/// The version that a write expects.
#[derive(Clone, Copy)]
pub(crate) enum At {
    /// The object must not exist.
    Absent,
    /// The current version, as a listing returns it.
    Newest,
    /// The first version that this run wrote.
    Older,
}

/// One step of a test case.
pub(crate) enum Step {
    Put(&'static str, i32, At),
    PutBytes(&'static str, fn() -> Vec<u8>),
    Delete(&'static str, At),
    Get(&'static str),
    List(&'static str),
    /// Lists the keys changed under a prefix since the case started.
    Watch(&'static str),
    /// Changes the injected faults.
    Fault(fn(&mut Faults)),
    /// Compacts the change log.
    Compact,
    /// Makes another writer set the object just before the next write.
    Rival(&'static str, i32),
}

/// The result of a step, in terms that both implementations share.
#[derive(Debug, PartialEq)]
pub(crate) enum Seen {
    Done,
    Nothing,
    Value(Value),
    Keys(Vec<String>),
    Conflict,
    Compacted,
    TooLarge,
    Rejected,
    Busy,
    /// The call failed; a write may or may not have taken effect.
    Unknown,
    /// The call failed because of an outage; a client may report it as `Unknown`.
    Outage,
}

/// Classifies an error.
pub(crate) fn seen(error: &PlatformError) -> Seen {
    match error {
        PlatformError::Conflict => Seen::Conflict,
        PlatformError::Compacted => Seen::Compacted,
        PlatformError::TooLarge => Seen::TooLarge,
        PlatformError::Busy => Seen::Busy,
        PlatformError::Rejected(_) => Seen::Rejected,
        PlatformError::Unreachable(_) => Seen::Outage,
        PlatformError::Unsettled(_) | PlatformError::Protocol(_) => Seen::Unknown,
    }
}

/// One run of a test case.
pub(crate) struct Run<'a> {
    pub(crate) subject: &'a Subject,
    /// The revision when the case started.
    pub(crate) begun: Revision,
    /// Every version written so far, oldest first.
    pub(crate) versions: Vec<(&'static str, ObjectVersion)>,
}

impl Run<'_> {
    async fn version(&self, key: &'static str, at: At) -> Option<ObjectVersion> {
        match at {
            At::Absent => None,
            At::Newest => {
                let listing = self.subject.api().list(key).await.ok()?;
                listing.objects.first().map(|object| object.version)
            }
            At::Older => {
                let mut written = self.versions.iter().filter(|(of, _)| *of == key);
                written.next().map(|(_, version)| *version)
            }
        }
    }

    pub(crate) async fn step(&mut self, step: &Step) -> Result<Seen, PlatformError> {
        let api = self.subject.api();
        let key = |key: &str| ObjectKey::new(key);
        Ok(match step {
            Step::Put(name, value, at) => {
                let expected = self.version(name, *at).await;
                let expected = expected.map_or(Expected::Absent, Expected::Version);
                let value = json!({ "n": value }).to_string().into_bytes();
                let version = api.put(&key(name), value, expected).await?;
                self.versions.push((*name, version));
                Seen::Done
            }
            Step::PutBytes(name, bytes) => {
                api.put(&key(name), bytes(), Expected::Absent).await?;
                Seen::Done
            }
            Step::Delete(name, at) => {
                let version = self.version(name, *at).await.unwrap_or_default();
                api.delete(&key(name), version).await?;
                Seen::Done
            }
            Step::Get(name) => match api.get(&key(name)).await? {
                Some(object) => Seen::Value(value(&object.value)),
                None => Seen::Nothing,
            },
            Step::List(prefix) => {
                let listing = api.list(prefix).await?;
                let keys = listing.objects.iter();
                Seen::Keys(keys.map(|object| object.key.to_string()).collect())
            }
            Step::Watch(prefix) => {
                let changes = api.watch(prefix, self.begun, WATCH_WAIT).await?.changes;
                let keys = changes.iter().map(|change| match &change.object {
                    Some(_) => change.key.to_string(),
                    None => format!("-{}", change.key),
                });
                Seen::Keys(keys.collect())
            }
            Step::Fault(change) => {
                self.subject.state().faults(change);
                Seen::Done
            }
            Step::Compact => {
                self.subject.state().compact();
                Seen::Done
            }
            Step::Rival(name, value) => {
                self.subject
                    .state()
                    .inject_conflicting_write(name, json!({ "n": value }));
                Seen::Done
            }
        })
    }
}

pub(crate) fn value(bytes: &[u8]) -> Value {
    serde_json::from_slice(bytes).expect("a JSON value")
}

pub(crate) fn number(n: i32) -> Seen {
    Seen::Value(json!({ "n": n }))
}

pub(crate) fn keys(keys: &[&str]) -> Seen {
    Seen::Keys(keys.iter().map(|key| (*key).to_owned()).collect())
}
