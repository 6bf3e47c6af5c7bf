//! The stand-ins that unit tests of links need.

#![allow(dead_code, reason = "the tests of links use a part of the stand-ins")]

mod leg;
pub(crate) mod net;
pub(crate) mod upstream;
