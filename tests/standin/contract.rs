//! One step of the platform's contract, on the client over HTTP or on the fake.

use hyssopwalk::{
    CallRates, Expected, ObjectKey, ObjectStore, ObjectVersion, PerSecond, Platform, PlatformError,
    Revision, Span,
};
use serde_json::{Value, json};

use super::platform::{FakePlatform, Faults, Platform as StandIn};

pub(crate) const FREELY: CallRates = CallRates {
    reads: PerSecond(1e6),
    writes: PerSecond(1e6),
};
const BRIEFLY: Span = Span::from_millis(30);

/// One of the two platforms, with the state that causes its faults.
pub(crate) enum Subject {
    Fake(Box<FakePlatform>),
    Http(StandIn, Box<ObjectStore>),
}

impl Subject {
    pub(crate) async fn both() -> [Self; 2] {
        let standin = StandIn::start().await;
        let client = ObjectStore::new(standin.addr, FREELY);
        [
            Self::Fake(Box::default()),
            Self::Http(standin, Box::new(client)),
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
            Self::Http(standin, _) => standin.state(),
        }
    }

    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Fake(_) => "fake",
            Self::Http(..) => "http",
        }
    }
}

/// Which version a write expects.
#[derive(Clone, Copy)]
pub(crate) enum At {
    Absent,
    Newest,
    Older,
}

pub(crate) enum Step {
    Put(&'static str, i32, At),
    PutBytes(&'static str, fn() -> Vec<u8>),
    Delete(&'static str, At),
    Get(&'static str),
    List(&'static str),
    /// Changes under a prefix since the case began.
    Watch(&'static str),
    Fault(fn(&mut Faults)),
    Compact,
    Rival(&'static str, i32),
}

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
    /// The call failed, and a write of it may or may not have taken effect.
    Unknown,
    /// The call failed, by an outage that a client may or may not see the kind of.
    Outage,
}

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

pub(crate) struct Run<'a> {
    pub(crate) subject: &'a Subject,
    pub(crate) begun: Revision,
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
                let changes = api.watch(prefix, self.begun, BRIEFLY).await?.changes;
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
                    .rival_writes(name, json!({ "n": value }));
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
