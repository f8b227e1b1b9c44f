//! Small stand-ins for the store, the instance list, a model engine and a plain service.
