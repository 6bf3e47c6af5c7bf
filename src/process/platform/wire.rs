//! The bodies of the platform's object API.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Change, Changes, ListedInstance, Listing, Object, ObjectKey, PlatformError};
use crate::types::{ObjectVersion, Revision};

#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct ObjectWire {
    pub(super) key: String,
    pub(super) version: u64,
    pub(super) value: Value,
}

#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct ListingWire {
    pub(super) revision: u64,
    pub(super) objects: Vec<ObjectWire>,
}

#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct ChangeWire {
    pub(super) key: String,
    pub(super) object: Option<ObjectWire>,
}

#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct ChangesWire {
    pub(super) revision: u64,
    pub(super) changes: Vec<ChangeWire>,
}

#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct WrittenWire {
    pub(super) version: u64,
}

#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct InstancesWire {
    pub(super) instances: Vec<InstanceWire>,
}

#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct InstanceWire {
    name: String,
    addr: String,
    peer_addr: String,
    failure_domain: String,
    region: String,
    #[serde(default)]
    leaving: bool,
}

impl TryFrom<InstanceWire> for ListedInstance {
    type Error = PlatformError;

    fn try_from(wire: InstanceWire) -> Result<Self, PlatformError> {
        Ok(Self {
            name: field(&wire.name)?,
            addr: field(&wire.addr)?,
            peer_addr: field(&wire.peer_addr)?,
            failure_domain: field(&wire.failure_domain)?,
            region: field(&wire.region)?,
            leaving: wire.leaving,
        })
    }
}

fn field<T>(text: &str) -> Result<T, PlatformError>
where
    T: std::str::FromStr<Err: std::fmt::Display>,
{
    text.parse()
        .map_err(|error: T::Err| PlatformError::Protocol(error.to_string()))
}

impl TryFrom<ObjectWire> for Object {
    type Error = PlatformError;

    fn try_from(wire: ObjectWire) -> Result<Self, PlatformError> {
        let value = serde_json::to_vec(&wire.value)
            .map_err(|error| PlatformError::Protocol(error.to_string()))?;
        Ok(Self {
            key: ObjectKey::new(wire.key),
            version: ObjectVersion(wire.version),
            value,
        })
    }
}

impl TryFrom<ListingWire> for Listing {
    type Error = PlatformError;

    fn try_from(wire: ListingWire) -> Result<Self, PlatformError> {
        let objects = wire
            .objects
            .into_iter()
            .map(Object::try_from)
            .collect::<Result<_, _>>()?;
        Ok(Self {
            revision: Revision(wire.revision),
            objects,
        })
    }
}

impl TryFrom<ChangeWire> for Change {
    type Error = PlatformError;

    fn try_from(wire: ChangeWire) -> Result<Self, PlatformError> {
        let object = wire.object.map(Object::try_from).transpose()?;
        Ok(Self {
            key: ObjectKey::new(wire.key),
            object,
        })
    }
}

impl TryFrom<ChangesWire> for Changes {
    type Error = PlatformError;

    fn try_from(wire: ChangesWire) -> Result<Self, PlatformError> {
        let changes = wire
            .changes
            .into_iter()
            .map(Change::try_from)
            .collect::<Result<_, _>>()?;
        Ok(Self {
            revision: Revision(wire.revision),
            changes,
        })
    }
}
