//! Steps of the platform contract tests, run against the HTTP client or the in-memory fake.

use hyssopwalk::{
    CallRates, Expected, ObjectKey, ObjectStore, ObjectVersion, PerSecond, Platform, PlatformError,
    Revision, Span,
};
use serde_json::{Value, json};

use super::platform::{FakePlatform, Faults, Platform as HttpPlatform};

/// Client rate limits that no test reaches.
pub(crate) const UNLIMITED_RATES: CallRates = CallRates {
    reads: PerSecond(1e6),
    writes: PerSecond(1e6),
};
/// How long a watch step waits for changes.
const WATCH_WAIT: Span = Span::from_millis(30);

/// The platform implementation under test, and access to its state for fault injection.
pub(crate) enum PlatformUnderTest {
    Fake(Box<FakePlatform>),
    Http(HttpPlatform, Box<ObjectStore>),
}

impl PlatformUnderTest {
    /// Returns both implementations; the HTTP one gets its own server.
    pub(crate) async fn both() -> [Self; 2] {
        let server = HttpPlatform::start().await;
        let client = ObjectStore::new(server.addr, UNLIMITED_RATES);
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
pub(crate) enum ExpectedVersion {
    /// The object must not exist.
    Absent,
    /// The current version, as a listing returns it.
    Newest,
    /// The first version of the object that this run wrote.
    Older,
}

/// One step of a test case.
pub(crate) enum Step {
    Put(&'static str, i32, ExpectedVersion),
    PutBytes(&'static str, fn() -> Vec<u8>),
    Delete(&'static str, ExpectedVersion),
    Get(&'static str),
    List(&'static str),
    /// Lists the keys changed under a prefix since the case started.
    Watch(&'static str),
    /// Changes the injected faults.
    Fault(fn(&mut Faults)),
    /// Compacts the change log.
    Compact,
    /// Makes another writer set the object just before the next write.
    ConcurrentWrite(&'static str, i32),
}

/// The result of a step, in terms that both implementations share.
#[derive(Debug, PartialEq)]
pub(crate) enum StepResult {
    Done,
    Nothing,
    Value(Value),
    Keys(Vec<String>),
    Conflict,
    Compacted,
    EraChanged,
    TooLarge,
    Rejected,
    Busy,
    /// The call failed; a write may or may not have taken effect.
    Unknown,
    /// The call failed because of an outage; a client may report it as `Unknown`.
    Outage,
}

/// Returns the step result for a failed call.
pub(crate) fn step_result(error: &PlatformError) -> StepResult {
    match error {
        PlatformError::Conflict => StepResult::Conflict,
        PlatformError::Compacted => StepResult::Compacted,
        PlatformError::EraChanged => StepResult::EraChanged,
        PlatformError::TooLarge => StepResult::TooLarge,
        PlatformError::Busy => StepResult::Busy,
        PlatformError::Rejected(_) => StepResult::Rejected,
        PlatformError::Unreachable(_) => StepResult::Outage,
        PlatformError::Unsettled(_) | PlatformError::Protocol(_) => StepResult::Unknown,
    }
}

/// One run of a test case.
pub(crate) struct ContractRun<'a> {
    pub(crate) platform: &'a PlatformUnderTest,
    /// The revision when the case started.
    pub(crate) start_revision: Revision,
    /// Every version written so far, oldest first.
    pub(crate) versions: Vec<(&'static str, ObjectVersion)>,
}

impl ContractRun<'_> {
    async fn version(&self, key: &'static str, at: ExpectedVersion) -> Option<ObjectVersion> {
        match at {
            ExpectedVersion::Absent => None,
            ExpectedVersion::Newest => {
                let listing = self.platform.api().list(key).await.ok()?;
                listing.objects.first().map(|object| object.version)
            }
            ExpectedVersion::Older => {
                let mut written = self.versions.iter().filter(|(of, _)| *of == key);
                written.next().map(|(_, version)| *version)
            }
        }
    }

    pub(crate) async fn step(&mut self, step: &Step) -> Result<StepResult, PlatformError> {
        let api = self.platform.api();
        let key = |key: &str| ObjectKey::new(key);
        Ok(match step {
            Step::Put(name, value, at) => {
                let expected = self.version(name, *at).await;
                let expected = expected.map_or(Expected::Absent, Expected::Version);
                let value = json!({ "n": value }).to_string().into_bytes();
                let version = api.put(&key(name), value, expected).await?;
                self.versions.push((*name, version));
                StepResult::Done
            }
            Step::PutBytes(name, bytes) => {
                api.put(&key(name), bytes(), Expected::Absent).await?;
                StepResult::Done
            }
            Step::Delete(name, at) => {
                let version = self.version(name, *at).await.unwrap_or_default();
                api.delete(&key(name), version).await?;
                StepResult::Done
            }
            Step::Get(name) => match api.get(&key(name)).await? {
                Some(object) => StepResult::Value(value(&object.value)),
                None => StepResult::Nothing,
            },
            Step::List(prefix) => {
                let listing = api.list(prefix).await?;
                let keys = listing.objects.iter();
                StepResult::Keys(keys.map(|object| object.key.to_string()).collect())
            }
            Step::Watch(prefix) => {
                let changes = api
                    .watch(prefix, self.start_revision, WATCH_WAIT)
                    .await?
                    .changes;
                let keys = changes.iter().map(|change| match &change.object {
                    Some(_) => change.key.to_string(),
                    None => format!("-{}", change.key),
                });
                StepResult::Keys(keys.collect())
            }
            Step::Fault(change) => {
                self.platform.state().faults(change);
                StepResult::Done
            }
            Step::Compact => {
                self.platform.state().compact();
                StepResult::Done
            }
            Step::ConcurrentWrite(name, value) => {
                self.platform
                    .state()
                    .inject_conflicting_write(name, json!({ "n": value }));
                StepResult::Done
            }
        })
    }
}

pub(crate) fn value(bytes: &[u8]) -> Value {
    serde_json::from_slice(bytes).expect("a JSON value")
}

pub(crate) fn number(n: i32) -> StepResult {
    StepResult::Value(json!({ "n": n }))
}

pub(crate) fn keys(keys: &[&str]) -> StepResult {
    StepResult::Keys(keys.iter().map(|key| (*key).to_owned()).collect())
}
