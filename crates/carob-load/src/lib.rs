//! Load generation and experiments with reports and plots.
