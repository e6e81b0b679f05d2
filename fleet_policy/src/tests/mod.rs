//! Tests of several modules together, with access to what is private.

mod model;
