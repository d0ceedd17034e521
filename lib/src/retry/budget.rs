//! The retry budget of one root request, which is moved along the call chain and never copied.

use serde::Serialize;

/// The number of retries that one call and all its nested calls may still make.
///
/// It is not `Clone`: a quota passed down the chain is subtracted here, and a quota that is lost in
/// transit is not restored. The sum over the chain therefore never grows.
#[derive(Debug, Eq, PartialEq, Serialize)]
pub struct Budget(u8);

/// The share of a budget handed to a nested call or an attempt. Dropping it forfeits its retries.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a quota that is not reclaimed is lost"]
pub struct Quota(u8);

impl Quota {
    /// Returns the number of retries, to be sent as `Offer.retries`.
    pub const fn size(&self) -> u8 {
        self.0
    }
}

impl Budget {
    /// Creates a budget: of a root request from its route, or of a nested call from its offer.
    pub const fn new(retries: u8) -> Self {
        Self(retries)
    }

    /// Returns the number of retries left, which is also the unspent amount to report upstream.
    pub const fn remaining(&self) -> u8 {
        self.0
    }

    /// Takes one retry, if any is left. Returns whether one was taken.
    pub fn spend(&mut self) -> bool {
        let has_any = self.0 > 0;
        self.0 = self.0.saturating_sub(1);
        has_any
    }

    /// Takes out the larger half for one attempt or one nested call.
    ///
    /// The larger half goes downstream because a retry close to the failure repeats the least work.
    /// The rest is left for sibling calls, and for this call if the quota is lost.
    pub fn split(&mut self) -> Quota {
        let quota = self.0.div_ceil(2);
        self.0 -= quota;
        Quota(quota)
    }

    /// Takes back the retries that the receiver of a quota reports as unspent, at most its size.
    #[expect(clippy::needless_pass_by_value, reason = "a quota is reclaimed only once")]
    pub fn reclaim(&mut self, quota: Quota, unspent: u8) {
        self.0 = self.0.saturating_add(unspent.min(quota.0));
    }
}
