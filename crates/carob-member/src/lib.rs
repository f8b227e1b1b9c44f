//! Membership of instances and the soft state they share.
