//! Client certificates after the handshake (RFC 5280). TLS verifies their chain during the handshake. What can change
//! while a connection is open is checked here with each request: the validity period and the lists of revoked
//! certificates.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use sha2::{Digest, Sha256};
use ternpick::types::Micros;
use x509_parser::extensions::{GeneralName, ParsedExtension};
use x509_parser::prelude::{FromDer, X509Certificate};
use x509_parser::revocation_list::CertificateRevocationList;

use crate::keys::seconds;
use crate::validity::{accepted_until, is_early};

/// The maximum size of a certificate.
pub const MAX_CERTIFICATE_BYTES: usize = 16 * 1024;
/// The maximum size of a list of revoked certificates.
pub const MAX_REVOCATION_LIST_BYTES: usize = 4 << 20;

/// Why a certificate is refused. The texts are sent to clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CertificateError {
    #[error("the certificate can't be read")]
    Malformed,
    #[error("the certificate is not valid yet")]
    NotYet,
    #[error("the certificate has expired")]
    Expired,
    #[error("the certificate is revoked")]
    Revoked,
    #[error("the certificate names nobody who is known here")]
    Unnamed,
}

/// Why a list of revoked certificates is not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RevocationListError {
    #[error("the revocation list or its authority's certificate is malformed, or the list is longer than {MAX_REVOCATION_LIST_BYTES} bytes")]
    Malformed,
    #[error("the revocation list is not signed by the trusted issuer")]
    Signature,
    #[error("the revocation list is older than the one in use")]
    Older,
}

/// The parts of a client certificate that are kept with its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Certificate {
    /// The SHA-256 of the DER encoding, in hexadecimal.
    pub fingerprint: Rc<str>,
    issuer: Rc<[u8]>,
    serial: Vec<u8>,
    /// The common names and the alternative names (DNS, URI, email).
    pub names: Vec<String>,
    pub from: Micros,
    pub until: Micros,
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl Certificate {
    /// Reads a certificate in DER.
    pub fn parse(der: &[u8]) -> Result<Certificate, CertificateError> {
        if der.len() > MAX_CERTIFICATE_BYTES {
            return Err(CertificateError::Malformed);
        }
        let (_, parsed) =
            X509Certificate::from_der(der).map_err(|_| CertificateError::Malformed)?;
        let common = parsed
            .subject()
            .iter_common_name()
            .filter_map(|name| name.as_str().ok());
        let mut names: Vec<String> = common.map(str::to_owned).collect();
        for extension in parsed.extensions() {
            if let ParsedExtension::SubjectAlternativeName(other) = extension.parsed_extension() {
                names.extend(other.general_names.iter().filter_map(|name| match name {
                    GeneralName::DNSName(name)
                    | GeneralName::URI(name)
                    | GeneralName::RFC822Name(name) => Some((*name).to_owned()),
                    _ => None,
                }));
            }
        }
        let time = |at: i64| u64::try_from(at).map(seconds).unwrap_or(Micros(0));
        Ok(Certificate {
            fingerprint: hexadecimal(&Sha256::digest(der)).into(),
            issuer: parsed.issuer().as_raw().into(),
            serial: parsed.raw_serial().to_vec(),
            names,
            from: time(parsed.validity().not_before.timestamp()),
            until: time(parsed.validity().not_after.timestamp()),
        })
    }

    /// Returns the serial number in hexadecimal, for operators.
    pub fn serial(&self) -> String {
        hexadecimal(&self.serial)
    }
}

/// The list of revoked certificates of one issuer.
struct RevocationList {
    number: u64,
    serials: BTreeSet<Vec<u8>>,
    next_update: Option<Micros>,
}

/// The revocation lists in use, by issuer. There is at most one for each trusted authority, each no longer than
/// [`MAX_REVOCATION_LIST_BYTES`].
#[derive(Default)]
pub struct RevocationLists {
    by_issuer: HashMap<Rc<[u8]>, RevocationList>,
}

impl RevocationLists {
    /// Applies a list signed by `authority` (a certificate in DER); returns the number of certificates that it revokes.
    /// A list with a smaller number than the one in use never replaces it.
    pub fn update(&mut self, list: &[u8], authority: &[u8]) -> Result<usize, RevocationListError> {
        if list.len() > MAX_REVOCATION_LIST_BYTES {
            return Err(RevocationListError::Malformed);
        }
        let (_, list) = CertificateRevocationList::from_der(list)
            .map_err(|_| RevocationListError::Malformed)?;
        let (_, authority) =
            X509Certificate::from_der(authority).map_err(|_| RevocationListError::Malformed)?;
        if list.issuer().as_raw() != authority.subject().as_raw()
            || list.verify_signature(authority.public_key()).is_err()
        {
            return Err(RevocationListError::Signature);
        }
        let number = list.crl_number().map_or(0, |number| {
            let digits: Vec<u64> = number.to_u64_digits();
            digits.first().copied().unwrap_or(0)
        });
        let issuer: Rc<[u8]> = list.issuer().as_raw().into();
        if self
            .by_issuer
            .get(&issuer)
            .is_some_and(|current| current.number > number)
        {
            return Err(RevocationListError::Older);
        }
        let serials: BTreeSet<Vec<u8>> = list
            .iter_revoked_certificates()
            .map(|revoked| revoked.raw_serial().to_vec())
            .collect();
        let next_update = list
            .next_update()
            .and_then(|at| u64::try_from(at.timestamp()).ok())
            .map(seconds);
        let count = serials.len();
        self.by_issuer.insert(
            issuer,
            RevocationList {
                number,
                serials,
                next_update,
            },
        );
        Ok(count)
    }

    /// Whether any list is past the time of its next update.
    pub fn overdue(&self, now: Micros) -> bool {
        self.by_issuer.values().any(|list| {
            list.next_update
                .is_some_and(|next_update| next_update <= now)
        })
    }

    /// Checks the validity period and revocation of a certificate whose chain was verified in the handshake.
    pub fn check(
        &self,
        certificate: &Certificate,
        now: Micros,
        skew: Micros,
    ) -> Result<(), CertificateError> {
        let listed = self
            .by_issuer
            .get(&certificate.issuer)
            .is_some_and(|list| list.serials.contains(&certificate.serial));
        match () {
            () if is_early(certificate.from, now, skew) => Err(CertificateError::NotYet),
            () if accepted_until(certificate.until, skew) <= now => Err(CertificateError::Expired),
            () if listed => Err(CertificateError::Revoked),
            () => Ok(()),
        }
    }
}
