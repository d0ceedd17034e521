//! The further attempts of one root request, which are moved and never copied.

use serde::Serialize;

/// The further attempts that one call and all calls below it may still make.
///
/// It is not `Clone`: a part that goes down the chain is taken out here, and one that is lost on the
/// way is lost. So the sum over the chain never grows.
#[derive(Debug, Eq, PartialEq, Serialize)]
pub struct Budget(u8);

/// What a nested call or an attempt took along. Dropping it loses it.
#[derive(Debug, Eq, PartialEq)]
#[must_use = "a part that is not given back is lost"]
pub struct Quota(u8);

impl Quota {
    /// Returns the number that goes into `Offer.retries`.
    pub const fn size(&self) -> u8 {
        self.0
    }
}

impl Budget {
    /// Makes the budget of a root request from its route, or of a nested call from its offer.
    pub const fn new(retries: u8) -> Self {
        Self(retries)
    }

    /// Returns the further attempts that are left here, and so the unspent part to report upwards.
    pub const fn remaining(&self) -> u8 {
        self.0
    }

    /// Takes one further attempt, if there is one.
    pub fn spend(&mut self) -> bool {
        let has_any = self.0 > 0;
        self.0 = self.0.saturating_sub(1);
        has_any
    }

    /// Takes out the larger half for one attempt or one nested call.
    ///
    /// The larger half goes down, because a repeat near the failure repeats the least work. The
    /// rest serves siblings, and this call where the part is lost.
    pub fn split(&mut self) -> Quota {
        let part = self.0.div_ceil(2);
        self.0 -= part;
        Quota(part)
    }

    /// Takes back what the receiver of a part reports as unspent, at most the part itself.
    #[expect(clippy::needless_pass_by_value, reason = "a part is given back only once")]
    pub fn reclaim(&mut self, part: Quota, unspent: u8) {
        self.0 = self.0.saturating_add(unspent.min(part.0));
    }
}
