//! Loans from other planners, in the borrower's ledger.

use granitelb_balancer::time::Time;

use super::MAX_SEPARATE_GRANTS;

/// A loan from another planner. Its expiry is measured by the borrower's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Loan {
    /// The number of the request that the loan answers.
    pub request_id: u64,
    /// The lent amount, in the resource's amounts.
    pub amount: u32,
    /// The time until which the loan may be used.
    pub expires_at: Time,
}

/// The loans of one lender that the borrower has not released, from the oldest to the newest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LenderLoans {
    loans: Vec<Loan>,
}

impl LenderLoans {
    /// Adds a loan, unless it is not newer than a known one or there are [`MAX_SEPARATE_GRANTS`] already.
    pub fn add(&mut self, loan: Loan) {
        let is_newest = self.loans.last().is_none_or(|newest| newest.request_id < loan.request_id);
        if is_newest && self.loans.len() < MAX_SEPARATE_GRANTS {
            self.loans.push(loan);
        }
    }

    /// The amount that is lent at least until `at`, by the loans for the requests from `first_request` on.
    pub fn lasting_until(&self, at: Time, first_request: u64) -> u32 {
        self.loans
            .iter()
            .filter(|loan| loan.expires_at >= at && loan.request_id >= first_request)
            .map(|loan| loan.amount)
            .max()
            .unwrap_or(0)
    }

    /// The loan for the newest request.
    pub fn newest(&self) -> Option<&Loan> {
        self.loans.last()
    }

    /// The number of the request for the oldest loan.
    pub fn oldest_request(&self) -> Option<u64> {
        self.loans.first().map(|loan| loan.request_id)
    }

    /// Releases all loans except the newest.
    pub fn keep_newest(&mut self) {
        let first_kept = self.newest().map_or(0, |loan| loan.request_id);
        self.loans.retain(|loan| loan.request_id >= first_kept);
    }

    /// Removes the loans that have expired.
    pub fn expire(&mut self, now: Time) {
        self.loans.retain(|loan| loan.expires_at > now);
    }

    /// Whether there is no loan.
    pub fn is_empty(&self) -> bool {
        self.loans.is_empty()
    }

    /// The number of loans.
    pub fn len(&self) -> usize {
        self.loans.len()
    }
}
