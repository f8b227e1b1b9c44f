//! TLS for connections from callers.

use std::{
    fs,
    io::{Read as _, Write as _},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::Arc,
};

use carob_http::{
    Headers,
    listen::{Error, Listener, Options, Tls},
};
use rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned, pki_types::ServerName};

const HOST: &str = "entry.example";

/// Writes a new self-signed certificate and its key. Returns their paths and the certificate.
fn identity(dir: &Path, name: &str) -> (Tls, rustls::pki_types::CertificateDer<'static>) {
    let generated = rcgen::generate_simple_self_signed([HOST.to_owned()]).expect("a certificate");
    let tls = Tls {
        cert: dir.join(format!("{name}.pem")),
        key: dir.join(format!("{name}.key")),
    };
    fs::write(&tls.cert, generated.cert.pem()).expect("writable");
    fs::write(&tls.key, generated.signing_key.serialize_pem()).expect("writable");
    (tls, generated.cert.der().clone())
}

fn bind(tls: Tls) -> Result<Listener, Error> {
    let options = Options::new(SocketAddr::from(([127, 0, 0, 1], 0))).with_tls(tls);
    Listener::bind(options, |exchange| {
        exchange.respond(200, &Headers::new(), "secret");
    })
}

#[test]
fn caller_is_served_over_tls() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let (tls, cert) = identity(dir.path(), "a");
    let listener = bind(tls).expect("a valid identity");
    let mut roots = RootCertStore::empty();
    roots.add(cert).expect("a valid certificate");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("the provider has them")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let name = ServerName::try_from(HOST).expect("a valid name");
    let client = ClientConnection::new(Arc::new(config), name).expect("a valid configuration");
    let socket = TcpStream::connect(listener.local_addr()).expect("the listener accepts");
    let mut stream = StreamOwned::new(client, socket);
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .expect("the listener reads");
    let mut text = String::new();
    stream
        .read_to_string(&mut text)
        .expect("the listener answers and closes");
    assert!(
        text.starts_with("HTTP/1.1 200 OK\r\n") && text.ends_with("secret"),
        "{text}"
    );
    assert_eq!(listener.close(std::time::Duration::from_secs(20)), 0);
}

#[test]
fn key_of_another_certificate_is_refused() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let (mut tls, _) = identity(dir.path(), "a");
    let (other, _) = identity(dir.path(), "b");
    tls.key = other.key;
    assert!(matches!(bind(tls), Err(Error::Tls(_))));
}
