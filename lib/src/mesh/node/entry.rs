//! The standing of clients' requests at their entry node, and the refusal of those that a scarce
//! pool keeps out.

use {
    super::Node,
    crate::{
        call::{Reason, Refusal},
        id,
        mesh::standing::{self, Kind, Standing},
        time::Instant,
    },
};

impl Node {
    /// Returns the standing of a client's request.
    pub(super) fn standing(
        &self,
        kind: Kind,
        hash_fraction: f64,
        account: Option<&id::Account>,
    ) -> Standing {
        let usage = account.and_then(|account| self.rate_limiter.usage(account));
        let factor = standing::account_factor(usage, self.rate_limiter.mean_usage());
        Standing::of(kind, hash_fraction, factor)
    }

    /// Returns the refusal of a client's request whose standing is not below its share at a pool
    /// that has been scarce since the given time, and counts it.
    ///
    /// The request must not have been charged to its account yet. It still counts as demand of the
    /// account; otherwise an account that is refused often would seem to ask for little.
    pub(super) fn refuse_scarce(
        &mut self,
        now: Instant,
        since: Instant,
        kind: Kind,
        hash_fraction: f64,
        account: Option<&id::Account>,
    ) -> Refusal {
        if let Some(account) = account {
            self.rate_limiter.record_refused(account);
        }
        self.entry_refusals.record(kind);
        let wait = standing::retry_after(now - since, hash_fraction);
        Refusal::not_run(Reason::Overload).after(wait)
    }
}
