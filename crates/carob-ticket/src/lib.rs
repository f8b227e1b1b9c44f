//! Change tickets: their format, their total order and their application.
