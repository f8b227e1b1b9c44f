//! Detection and refusal of requests that crash upstreams.
