//! The limits of a listener.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

carob_base::value! {
    /// Certificate and key for TLS.
    pub struct Tls {
        /// PEM file with the certificate chain, the instance's own certificate first.
        pub cert: PathBuf,
        /// PEM file with the private key.
        pub key: PathBuf,
    }

    /// The limits of a listener.
    pub struct Options {
        /// Address to listen on.
        pub address: SocketAddr,
        /// Most open connections; more are refused. 4096 by default.
        pub max_connections: usize,
        /// Most requests in progress on workers; more are refused. 1024 by default.
        pub max_requests: usize,
        /// Largest request head, in bytes. 16 KiB by default.
        pub head_limit: usize,
        /// Largest request body, in bytes. 4 MiB by default.
        pub body_limit: usize,
        /// Time from the first byte of a head to its last. 10 s by default.
        pub head_timeout: Duration,
        /// Time from the end of the head to the end of the body. 30 s by default.
        pub body_timeout: Duration,
        /// Time without a request after which a connection is closed. 60 s by default.
        pub idle_timeout: Duration,
        /// Most bytes of a response that wait for the caller. 256 KiB by default.
        pub send_bytes: usize,
        /// Most pieces of a response that wait for the caller. 256 by default.
        pub send_chunks: usize,
        /// Time for which a caller may take nothing of what waits for it. 30 s by default.
        pub send_timeout: Duration,
        /// Size of the system's send buffer of each connection, in bytes. 64 KiB by default.
        pub socket_buffer: u32,
        /// TLS; plain HTTP without.
        pub tls: Option<Tls>,
    }
}

impl Options {
    /// The defaults, for `address`.
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

    /// Serves TLS.
    #[must_use]
    pub fn with_tls(mut self, tls: Tls) -> Self {
        self.tls = Some(tls);
        self
    }
}
