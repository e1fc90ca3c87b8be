//! Carries messages between nodes over QUIC with mutual TLS, one stream per message.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bbv_wire::frame::MAX_FRAME_LEN;
use bbv_wire::{
    ReplyEnvelope, RequestEnvelope, decode_reply, decode_request, encode_reply, encode_request,
};
use eyre::{Result, WrapErr, eyre};
use parking_lot::Mutex;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{
    ClientConfig, Connection, Endpoint, RecvStream, SendStream, ServerConfig, TransportConfig,
};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use tokio::sync::OnceCell;

use crate::node::Node;
use crate::ports::{Link, LinkError};

/// DNS name in the certificate of every node.
pub const SERVER_NAME: &str = "bbv-node";

const ALPN: &[u8] = b"bbv1";
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_STREAMS: u32 = 4_096;

/// Certificates and private key of a node, in PEM.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Certificates of the fleet's certificate authority.
    pub ca: String,
    /// Certificate chain of the node.
    pub cert: String,
    /// Private key of the node.
    pub key: String,
}

struct ParsedIdentity {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

fn parse_identity(identity: &Identity) -> Result<ParsedIdentity> {
    let certs = |pem: &str, what: &str| {
        let certs: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem.as_bytes()).collect();
        certs.map_err(|e| eyre!("could not read {what}: {e}"))
    };
    let mut roots = RootCertStore::empty();
    for cert in certs(&identity.ca, "the CA certificate")? {
        roots.add(cert).wrap_err("could not use the CA certificate")?;
    }
    let chain = certs(&identity.cert, "the node's certificate")?;
    let key = PrivateKeyDer::from_pem_slice(identity.key.as_bytes())
        .map_err(|e| eyre!("could not read the node's key: {e}"))?;
    Ok(ParsedIdentity { roots: Arc::new(roots), chain, key })
}

fn transport_config() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(IDLE_TIMEOUT.try_into().expect("the idle timeout fits")));
    transport.max_concurrent_bidi_streams(MAX_STREAMS.into());
    transport.max_concurrent_uni_streams(0_u8.into());
    Arc::new(transport)
}

fn server_config(parsed: &ParsedIdentity) -> Result<ServerConfig> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(parsed.roots.clone(), provider.clone())
            .build()
            .wrap_err("could not use the CA certificate")?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .wrap_err("could not configure TLS")?
        .with_client_cert_verifier(verifier)
        .with_single_cert(parsed.chain.clone(), parsed.key.clone_key())
        .wrap_err("could not use the node's certificate")?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicServerConfig::try_from(tls).wrap_err("could not configure QUIC")?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(transport_config());
    Ok(config)
}

fn client_config(parsed: &ParsedIdentity) -> Result<ClientConfig> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .wrap_err("could not configure TLS")?
        .with_root_certificates(parsed.roots.clone())
        .with_client_auth_cert(parsed.chain.clone(), parsed.key.clone_key())
        .wrap_err("could not use the node's certificate")?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicClientConfig::try_from(tls).wrap_err("could not configure QUIC")?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(transport_config());
    Ok(config)
}

/// Binds a QUIC endpoint that accepts connections and opens them.
pub fn bind(addr: SocketAddr, identity: &Identity) -> Result<Endpoint> {
    let parsed = parse_identity(identity)?;
    let mut endpoint = Endpoint::server(server_config(&parsed)?, addr)
        .wrap_err_with(|| format!("could not listen on {addr}"))?;
    endpoint.set_default_client_config(client_config(&parsed)?);
    Ok(endpoint)
}

/// Connection that at most one task opens at a time.
type ConnectionCell = Arc<OnceCell<Connection>>;

/// Opens connections to peers and keeps them by address.
struct Dialer {
    endpoint: Endpoint,
    connections: Mutex<HashMap<SocketAddr, ConnectionCell>>,
}

impl Dialer {
    async fn connection(&self, addr: SocketAddr) -> Result<Connection, LinkError> {
        let cell = {
            let mut connections = self.connections.lock();
            let cell = connections.entry(addr).or_default();
            let closed = cell.get().is_some_and(|connection| connection.close_reason().is_some());
            if closed {
                *cell = ConnectionCell::default();
            }
            Arc::clone(cell)
        };
        let connection = cell.get_or_try_init(|| self.connect(addr)).await?;
        Ok(connection.clone())
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, LinkError> {
        let unsent = |reason: String| LinkError::Unsent(format!("{addr}: {reason}"));
        let connecting =
            self.endpoint.connect(addr, SERVER_NAME).map_err(|e| unsent(e.to_string()))?;
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        connected
            .map_err(|_| unsent("timeout".to_owned()))?
            .map_err(|error| unsent(error.to_string()))
    }

    async fn request(
        &self,
        addr: SocketAddr,
        envelope: RequestEnvelope,
    ) -> Result<ReplyEnvelope, LinkError> {
        let frame = encode_request(&envelope).map_err(|e| LinkError::Unsent(e.to_string()))?;
        let connection = self.connection(addr).await?;
        let (mut send, mut recv) =
            connection.open_bi().await.map_err(|e| LinkError::Unsent(e.to_string()))?;
        let lost = |reason: String| LinkError::Lost(format!("{addr}: {reason}"));
        send.write_chunk(frame).await.map_err(|e| lost(e.to_string()))?;
        send.finish().map_err(|e| lost(e.to_string()))?;
        let bytes = recv.read_to_end(MAX_FRAME_LEN).await.map_err(|e| lost(e.to_string()))?;
        decode_reply(bytes.into()).map_err(|error| lost(error.to_string()))
    }
}

/// Creates the port that sends requests to peers.
pub fn port(endpoint: Endpoint) -> Link {
    let dialer = Arc::new(Dialer { endpoint, connections: Mutex::default() });
    Box::new(move |addr, envelope| {
        let dialer = Arc::clone(&dialer);
        Box::pin(async move { dialer.request(addr, envelope).await })
    })
}

/// Serves requests of peers until the endpoint is closed.
pub async fn serve(endpoint: Endpoint, node: Arc<Node>) {
    while let Some(incoming) = endpoint.accept().await {
        let node = Arc::clone(&node);
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => serve_connection(connection, node).await,
                Err(error) => {
                    node.metrics().untrusted.inc();
                    log::warn!("event=peer-refused error={:?}", error.to_string());
                }
            }
        });
    }
}

async fn serve_connection(connection: Connection, node: Arc<Node>) {
    while let Ok((send, recv)) = connection.accept_bi().await {
        let node = Arc::clone(&node);
        tokio::spawn(serve_stream(node, send, recv));
    }
}

async fn serve_stream(node: Arc<Node>, mut send: SendStream, mut recv: RecvStream) {
    let Ok(bytes) = recv.read_to_end(MAX_FRAME_LEN).await else {
        node.metrics().malformed.inc();
        return;
    };
    let envelope = match decode_request(bytes.into()) {
        Ok(envelope) => envelope,
        Err(error) => {
            node.metrics().malformed.inc();
            log::warn!("event=malformed error={:?}", error.to_string());
            return;
        }
    };
    let reply = tokio::select! {
        biased;
        reply = node.serve(envelope) => reply,
        // The sender has cancelled the request; dropping its future cancels the work.
        _ = send.stopped() => return,
    };
    let Ok(frame) = encode_reply(&reply) else { return };
    if send.write_chunk(frame).await.is_ok() {
        let _ = send.finish();
    }
}
