//! Compiles the fake of the library's unit tests into integration tests.
//!
//! The fake imports these names from its parent module.

use hyssopwalk::{
    Change, Changes, Era, Expected, ListedInstance, Listing, Object, ObjectKey, ObjectVersion,
    Platform, PlatformError, Revision, Span,
};

#[path = "../../src/process/platform/fake.rs"]
mod fake;

#[allow(unused_imports, reason = "each test uses only some of them")]
pub(crate) use fake::{Calls, FakePlatform, Faults, Rates, StoreCopy};
