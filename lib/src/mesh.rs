//! Decisions of a node whose targets are discovered instead of listed in tables.
//!
//! The platform publishes a configuration and an entry for each target, and can only be read. The
//! adapter of a platform turns what it reads into [`fact::Fact`]s; everything that follows from them
//! is decided here. See docs/design/platform.md.

pub mod fact;
pub mod fleet;
pub mod gate;
pub mod lease;
pub mod lineage;
pub mod node;
pub mod quota;
pub mod resend;
pub mod table;
