//! What the cases 6 to 10 of the review share: gateways as processes of their own, an engine, and the record of a case.

pub mod gateway;
pub mod platform;
pub mod record;
