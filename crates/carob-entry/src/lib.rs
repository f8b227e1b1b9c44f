//! An entry instance: its control thread and its traffic threads.
