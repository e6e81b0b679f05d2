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
pub const CERTIFICATE_BOUND: usize = 16 * 1024;
pub const LIST_BOUND: usize = 4 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CertificateFault {
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
pub enum ListFault {
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
    pub print: Rc<str>,
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
    pub fn read(der: &[u8]) -> Result<Certificate, CertificateFault> {
        if der.len() > CERTIFICATE_BOUND {
            return Err(CertificateFault::Malformed);
        }
        let (_, read) = X509Certificate::from_der(der).map_err(|_| CertificateFault::Malformed)?;
        let common = read
            .subject()
            .iter_common_name()
            .filter_map(|name| name.as_str().ok());
        let mut names: Vec<String> = common.map(str::to_owned).collect();
        for extension in read.extensions() {
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
            print: hexadecimal(&Sha256::digest(der)).into(),
            issuer: read.issuer().as_raw().into(),
            serial: read.raw_serial().to_vec(),
            names,
            from: time(read.validity().not_before.timestamp()),
            until: time(read.validity().not_after.timestamp()),
        })
    }

    /// Its serial number, hexadecimal, as operators read it.
    pub fn serial(&self) -> String {
        hexadecimal(&self.serial)
    }
}

struct List {
    number: u64,
    serials: BTreeSet<Vec<u8>>,
    next: Option<Micros>,
}

/// The revocation lists in use, by issuer: as many as authorities are trusted, each bounded by [`LIST_BOUND`].
#[derive(Default)]
pub struct Lists {
    by_issuer: HashMap<Rc<[u8]>, List>,
}

impl Lists {
    /// Takes a list signed by `authority` (a certificate, DER); tells how many it revokes. A list with a smaller
    /// number than the one in use never replaces it.
    pub fn told_of(&mut self, list: &[u8], authority: &[u8]) -> Result<usize, ListFault> {
        if list.len() > LIST_BOUND {
            return Err(ListFault::Malformed);
        }
        let (_, list) =
            CertificateRevocationList::from_der(list).map_err(|_| ListFault::Malformed)?;
        let (_, authority) =
            X509Certificate::from_der(authority).map_err(|_| ListFault::Malformed)?;
        if list.issuer().as_raw() != authority.subject().as_raw()
            || list.verify_signature(authority.public_key()).is_err()
        {
            return Err(ListFault::Signature);
        }
        let number = list.crl_number().map_or(0, |number| {
            let low: Vec<u64> = number.to_u64_digits();
            low.first().copied().unwrap_or(0)
        });
        let issuer: Rc<[u8]> = list.issuer().as_raw().into();
        if self
            .by_issuer
            .get(&issuer)
            .is_some_and(|known| known.number > number)
        {
            return Err(ListFault::Older);
        }
        let serials: BTreeSet<Vec<u8>> = list
            .iter_revoked_certificates()
            .map(|one| one.raw_serial().to_vec())
            .collect();
        let next = list
            .next_update()
            .and_then(|at| u64::try_from(at.timestamp()).ok())
            .map(seconds);
        let count = serials.len();
        self.by_issuer.insert(
            issuer,
            List {
                number,
                serials,
                next,
            },
        );
        Ok(count)
    }

    /// Whether any list is past the time when its issuer promised the next.
    pub fn overdue(&self, now: Micros) -> bool {
        self.by_issuer
            .values()
            .any(|list| list.next.is_some_and(|next| next <= now))
    }

    /// Looks at a certificate that was verified as it was shown.
    pub fn judge(
        &self,
        of: &Certificate,
        now: Micros,
        skew: Micros,
    ) -> Result<(), CertificateFault> {
        let listed = self
            .by_issuer
            .get(&of.issuer)
            .is_some_and(|list| list.serials.contains(&of.serial));
        match () {
            () if of.from > now + skew => Err(CertificateFault::NotYet),
            () if of.until + skew <= now => Err(CertificateFault::Expired),
            () if listed => Err(CertificateFault::Revoked),
            () => Ok(()),
        }
    }
}
