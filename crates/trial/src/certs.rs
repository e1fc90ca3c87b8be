//! Issues the certificates of trials: one authority and one certificate per node.

use bbv_node::quic::{Identity, SERVER_NAME};
use eyre::{Result, WrapErr};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};

/// Certificate authority of a fleet.
pub struct Authority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

impl Authority {
    /// Creates an authority with a new key.
    pub fn new() -> Result<Self> {
        let mut params = CertificateParams::new(Vec::new())
            .wrap_err("could not create the parameters of the authority")?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().wrap_err("could not generate a key")?;
        let issuer = CertifiedIssuer::self_signed(params, key);
        Ok(Authority {
            issuer: issuer.wrap_err("could not sign the certificate of the authority")?,
        })
    }

    /// Issues a key and certificate for one node.
    pub fn issue(&self) -> Result<Identity> {
        let key = KeyPair::generate().wrap_err("could not generate a key")?;
        let params = CertificateParams::new(vec![SERVER_NAME.to_owned()])
            .wrap_err("could not create the parameters of the node certificate")?;
        let cert =
            params.signed_by(&key, &self.issuer).wrap_err("could not sign the node certificate")?;
        Ok(Identity { ca: self.issuer.pem(), cert: cert.pem(), key: key.serialize_pem() })
    }
}
