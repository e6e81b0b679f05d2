//! Until when tokens, certificates and revocations count, although the clocks of machines differ.
//!
//! What accepts a token and what forgets its revocation have to agree, so that both use these functions. `skew` is the
//! permitted difference between two clocks.

use ternpick::types::Micros;

/// The longest skew that the settings permit.
pub const MAX_SKEW: Micros = Micros(5 * 60 * 1_000_000);

/// When a token or certificate that expires at `expires` is accepted no more.
pub(crate) fn accepted_until(expires: Micros, skew: Micros) -> Micros {
    expires + skew
}

/// Whether a token or certificate that counts from `from` is not accepted yet at `now`.
pub(crate) fn is_early(from: Micros, now: Micros, skew: Micros) -> bool {
    from > now + skew
}

/// When a revocation that ends at `until` may be forgotten, where `until` is at least the lifetime of the longest token
/// after the revocation. A token that was issued before, by a clock that is ahead by `skew`, expires by as much later, and
/// is accepted for another `skew`.
pub fn revocation_kept_until(until: Micros, skew: Micros) -> Micros {
    let latest_expiry = until + skew;
    accepted_until(latest_expiry, skew)
}
