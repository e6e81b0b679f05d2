//! Client certificates after the handshake (RFC 5280). Their chain is verified as they are shown; what changes while a
//! connection stands is looked at again here, with each request: their times, and lists of revoked ones.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

use sha2::{Digest, Sha256};
use ternpick::types::Micros;
use x509_parser::extensions::{GeneralName, ParsedExtension};
use x509_parser::prelude::{FromDer, X509Certificate};
use x509_parser::revocation_list::CertificateRevocationList;

use crate::keys::seconds;

/// The longest certificate and the longest revocation list, in bytes.
pub const MAX_CERTIFICATE_BYTES: usize = 16 * 1024;
pub const MAX_REVOCATION_LIST_BYTES: usize = 4 << 20;

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

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RevocationListError {
    #[error("the revocation list can't be read")]
    Malformed,
    #[error("the revocation list is not signed by the issuer that is trusted")]
    Signature,
    #[error("the revocation list is older than the one in use")]
    Older,
}

/// What is kept of a certificate that a client has shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Certificate {
    /// SHA-256 of the whole, hexadecimal.
    pub fingerprint: Rc<str>,
    issuer: Rc<[u8]>,
    serial: Vec<u8>,
    /// Its common name and alternative names (DNS, URI, mail).
    pub names: Vec<String>,
    pub from: Micros,
    pub until: Micros,
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl Certificate {
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

    /// Its serial number, hexadecimal, as operators read it.
    pub fn serial(&self) -> String {
        hexadecimal(&self.serial)
    }
}

struct RevocationList {
    number: u64,
    serials: BTreeSet<Vec<u8>>,
    next_update: Option<Micros>,
}

/// The revocation lists in use, by issuer: as many as authorities are trusted, each bounded by [`MAX_REVOCATION_LIST_BYTES`].
#[derive(Default)]
pub struct RevocationLists {
    by_issuer: HashMap<Rc<[u8]>, RevocationList>,
}

impl RevocationLists {
    /// Takes a list signed by `authority` (a certificate, DER); tells how many it revokes. A list with a smaller
    /// number than the one in use never replaces it.
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

    /// Whether any list is past the time when its issuer promised the next.
    pub fn overdue(&self, now: Micros) -> bool {
        self.by_issuer.values().any(|list| {
            list.next_update
                .is_some_and(|next_update| next_update <= now)
        })
    }

    /// Looks at a certificate that was verified as it was shown.
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
            () if certificate.from > now + skew => Err(CertificateError::NotYet),
            () if certificate.until + skew <= now => Err(CertificateError::Expired),
            () if listed => Err(CertificateError::Revoked),
            () => Ok(()),
        }
    }
}
