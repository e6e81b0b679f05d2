//! What routers say to each other: serde records (postcard) in the body of an HTTP/1.1 request, bounded as all requests.

use serde::{Deserialize, Serialize};
use ternpick_consensus::FleetId;
use ternpick_policy::{Member, Said};

/// The path that fleets speak on, and the form of what is said there.
pub const PATH: &str = "/_fleet/1";
/// The longest parcel that is sent; a request's body may be a little longer.
pub const PARCEL_BYTES: usize = 60 * 1024;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Parcel {
    pub fleet: FleetId,
    pub from: Member,
    pub to: Member,
    pub said: Vec<Said>,
}

impl Parcel {
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads what has come for `me`; what is wrong with it, in words.
    pub fn parse(bytes: &[u8], fleet: FleetId, me: &Member) -> Result<Parcel, String> {
        let parcel: Parcel = postcard::from_bytes(bytes).map_err(|_| "it cannot be read".to_owned())?;
        if parcel.fleet != fleet {
            return Err(format!("it is of fleet {}, this one is {fleet}", parcel.fleet));
        }
        if parcel.to != *me {
            return Err(format!("it is for {}, this is {me}", parcel.to));
        }
        Ok(parcel)
    }
}
