//! TLS for connections from callers.

use std::sync::Arc;

use rustls::{
    ServerConfig,
    crypto::ring,
    pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject as _},
};
use tokio_rustls::TlsAcceptor;

use super::{Error, options::Tls};

/// Reads the PEM files. Fails if the key does not belong to the certificate.
pub(super) fn acceptor(tls: &Tls) -> Result<TlsAcceptor, Error> {
    let to_error = |error: &dyn std::fmt::Display| Error::Tls(error.to_string());
    let certs = CertificateDer::pem_file_iter(&tls.cert)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| Error::Tls(format!("{}: {error}", tls.cert.display())))?;
    let key = PrivateKeyDer::from_pem_file(&tls.key)
        .map_err(|error| Error::Tls(format!("{}: {error}", tls.key.display())))?;
    let mut config = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .map_err(|error| to_error(&error))?
        .with_no_client_auth()
        .with_single_cert(certs, key)
        .map_err(|error| to_error(&error))?;
    config.alpn_protocols = vec![b"http/1.1".to_vec()];
    Ok(TlsAcceptor::from(Arc::new(config)))
}
