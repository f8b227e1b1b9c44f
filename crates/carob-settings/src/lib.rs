//! The settings file of an instance.
