//! Request routing and admission for nodes that discover their targets from a platform.
//!
//! The platform publishes a configuration and one entry per target, and is read-only for nodes. A
//! platform adapter converts what it reads into [`fact::Fact`]s; this module holds all decisions
//! based on them and does no I/O. See docs/design/platform.md.

pub mod announcement;
mod bucket;
pub mod cold;
pub mod demand;
pub mod evacuation;
pub mod fact;
pub mod fleet;
pub mod gate;
pub mod knee;
pub mod lag;
pub mod lease;
pub mod lineage;
pub mod linger;
pub mod node;
pub mod outage;
pub mod pace;
pub mod position;
pub mod quota;
pub mod read_schedule;
pub mod resend;
pub mod scarcity;
pub mod standing;
pub mod table;
pub mod throttle;
pub mod transfer;
