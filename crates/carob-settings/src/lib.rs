//! The settings file of an instance.
//!
//! [`Settings::load`] reads an INI file, checks every value and reports all errors together, each with its
//! file, line, key and what was expected. Every key is declared once, with its check, its default and its
//! description; [`reference()`] renders the declarations as the operators' reference page.
//!
//! * [`Settings`]: the settings, by section.
//! * [`Secret`]: a key that `Debug` does not print.

mod keys;
mod load;
mod reference;
mod secret;
mod settings;
mod value;

pub use carob_ini::{Error, Errors};
pub use reference::reference;
pub use secret::Secret;
pub use settings::{Admin, AnswerIds, Instance, InstanceList, Log, Peers, Settings, Store, Upstreams};
