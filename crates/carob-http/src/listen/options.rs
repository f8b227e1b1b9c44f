//! Limits and timeouts of a listener.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

carob_base::value! {
    /// Certificate and key for TLS.
    pub struct Tls {
        /// PEM file with the certificate chain, the instance's own certificate first.
        pub cert: PathBuf,
        /// PEM file with the private key.
        pub key: PathBuf,
    }

    /// Limits and timeouts of a listener.
    pub struct Options {
        /// Address to listen on.
        pub address: SocketAddr,
        /// Maximum number of open connections; more are refused. 4096 by default.
        pub max_connections: usize,
        /// Maximum number of requests in progress on workers; more are refused. 1024 by default.
        pub max_requests: usize,
        /// Maximum size of a request head, in bytes. 16 KiB by default.
        pub head_limit: usize,
        /// Maximum size of a request body, in bytes. 4 MiB by default.
        pub body_limit: usize,
        /// Maximum time from the first byte of a head to its last. 10 s by default.
        pub head_timeout: Duration,
        /// Maximum time from the end of the head to the end of the body. 30 s by default.
        pub body_timeout: Duration,
        /// Time without a request after which a connection is closed. 60 s by default.
        pub idle_timeout: Duration,
        /// Maximum size of the part of a response that is buffered for the caller, in bytes. 256 KiB by
        /// default.
        pub send_bytes: usize,
        /// Maximum number of buffered chunks of a response. 256 by default.
        pub send_chunks: usize,
        /// Maximum time for which a caller may read nothing while data is waiting for it. 30 s by default.
        pub send_timeout: Duration,
        /// Size of each connection's send buffer in the operating system, in bytes. 64 KiB by default.
        pub socket_buffer: u32,
        /// Certificate and key for TLS; `None` for plain HTTP.
        pub tls: Option<Tls>,
    }
}

impl Options {
    /// Creates the default options for `address`.
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            max_connections: 4096,
            max_requests: 1024,
            head_limit: 16 * 1024,
            body_limit: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_mins(1),
            send_bytes: 256 * 1024,
            send_chunks: 256,
            send_timeout: Duration::from_secs(30),
            socket_buffer: 64 * 1024,
            tls: None,
        }
    }

    /// Sets the certificate and key for TLS.
    #[must_use]
    pub fn with_tls(mut self, tls: Tls) -> Self {
        self.tls = Some(tls);
        self
    }
}
