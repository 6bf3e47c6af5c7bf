//! The fake of the library's unit tests, given the names that it finds beside it there.

use hyssopwalk::{
    Change, Changes, Expected, ListedInstance, Listing, Object, ObjectKey, ObjectVersion, Platform,
    PlatformError, Revision, Span,
};

#[path = "../../src/process/platform/fake.rs"]
mod fake;

pub(crate) use fake::{Calls, FakePlatform, Faults, Rates};
