//! Replay of recorded traces in virtual time against stated outcomes.
