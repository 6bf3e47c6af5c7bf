//! The subset of the simulated systems that the unit tests of upstream connections use.

#![allow(dead_code, reason = "these tests use only some of the helpers")]

mod leg;
pub(crate) mod net;
pub(crate) mod upstream;
