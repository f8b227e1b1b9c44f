//! Small `Copy` keys into arenas.
//!
//! A key is valid only in the arena that issued it, within one process. Messages between processes identify
//! objects by [`Name`](crate::Name).

slotmap::new_key_type! {
    /// A client account.
    pub struct AccountKey;
    /// An instance of the system.
    pub struct InstanceKey;
    /// A request in progress.
    pub struct RequestKey;
    /// A service.
    pub struct ServiceKey;
    /// An upstream.
    pub struct UpstreamKey;
}
