//! An authority: certificates and lists of the revoked.

use rcgen::{BasicConstraints, CertificateParams, DnType, IsCa, Issuer, KeyPair, KeyUsagePurpose};

pub(super) struct Authority {
    pub(super) pem: String,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    pub(super) fn new() -> Authority {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.distinguished_name.push(DnType::CommonName, "crews");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let pem = params.self_signed(&key).expect("a certificate").pem();
        Authority {
            pem,
            issuer: Issuer::new(params, key),
        }
    }

    /// A certificate and its key, PEM.
    pub(super) fn issue(&self, name: &str, serial: u64) -> (String, String) {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(vec![name.to_owned()]).expect("parameters");
        params.serial_number = Some(serial.into());
        let made = params.signed_by(&key, &self.issuer).expect("a certificate");
        (made.pem(), key.serialize_pem())
    }

    pub(super) fn list(&self, number: u64, serials: &[u64]) -> String {
        let revoked = serials.iter().map(|serial| rcgen::RevokedCertParams {
            serial_number: (*serial).into(),
            revocation_time: rcgen::date_time_ymd(2026, 1, 1),
            reason_code: None,
            invalidity_date: None,
        });
        let params = rcgen::CertificateRevocationListParams {
            this_update: rcgen::date_time_ymd(2026, 1, 1),
            next_update: rcgen::date_time_ymd(2036, 1, 1),
            crl_number: number.into(),
            issuing_distribution_point: None,
            revoked_certs: revoked.collect(),
            key_identifier_method: rcgen::KeyIdMethod::Sha256,
        };
        params
            .signed_by(&self.issuer)
            .expect("a list")
            .pem()
            .expect("PEM")
    }
}
