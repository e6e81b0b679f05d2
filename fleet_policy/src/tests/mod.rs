//! Tests of several modules together that need access to private items.

mod model;
