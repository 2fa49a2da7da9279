//! Borrowing: a planner whose forwarders are short requests loans of the other planners.

use std::collections::BTreeMap;

use granitelb_balancer::time::{Span, Time};

use super::{MAX_QUEUED_MESSAGES, PlannerComponent};
use crate::leases::holdings::PendingRequest;
use crate::leases::ledger::{BorrowingDemand, Loan};
use crate::leases::{
    Demand, LeaseError, LeaseMessage, MAX_DEMANDS_PER_MESSAGE, PlannerIncarnation, ResourceAmount,
};
use crate::member::{Member, PlannerId, Sender};

/// The number of requests for loans that are remembered: one or a few for each other planner and interval.
const MAX_PENDING_LOAN_REQUESTS: usize = 1024;

/// A planner's pending requests for loans.
#[derive(Clone, Debug, Default)]
pub(super) struct LoanRequests {
    last_request_id: u64,
    pending: BTreeMap<u64, PendingRequest>,
}

impl LoanRequests {
    /// Records a request to this lender, and returns its number.
    fn add(&mut self, now: Time, lender: PlannerId) -> u64 {
        self.last_request_id += 1;
        self.pending.insert(self.last_request_id, PendingRequest { planner: lender, sent_at: now });
        self.last_request_id
    }

    /// Removes a request that is answered, and the lender's earlier ones: they are given up with the next request, so
    /// their grants must not be taken up after this. Returns when the request was sent, if it is known.
    fn answer(&mut self, lender: PlannerId, request_id: u64) -> Option<Time> {
        let request = self.pending.get(&request_id).filter(|request| request.planner == lender)?;
        let sent_at = request.sent_at;
        self.pending
            .retain(|id, other| other.planner != lender || other.sent_at >= sent_at && *id != request_id);
        Some(sent_at)
    }

    fn forget_oldest(&mut self) {
        while self.pending.len() > MAX_PENDING_LOAN_REQUESTS {
            self.pending.pop_first();
        }
    }

    /// The requests that may still be answered.
    pub(super) fn pending(&self) -> &BTreeMap<u64, PendingRequest> {
        &self.pending
    }

    /// The number of requests that may still be answered.
    pub(super) fn len(&self) -> usize {
        self.pending.len()
    }
}

impl PlannerComponent {
    /// Takes up a loan from another planner.
    pub(super) fn on_loan(
        &mut self,
        from: Sender,
        request_id: u64,
        granted: &[ResourceAmount],
        duration: Span,
    ) -> Result<(), LeaseError> {
        let Member::Planner(planner) = from.member else { return Err(LeaseError::UnexpectedMessage) };
        let Some(sent_at) = self.loan_requests.answer(planner, request_id) else {
            return Err(LeaseError::UnsolicitedGrant);
        };
        let lender = PlannerIncarnation { planner, incarnation: from.incarnation };
        let expires_at = sent_at + duration;
        for ResourceAmount { resource, amount } in granted.iter().take(MAX_DEMANDS_PER_MESSAGE) {
            if let Some(ledger) = self.ledgers.get_mut(resource) {
                ledger.add_loan(lender, Loan { request_id, amount: *amount, expires_at });
            }
        }
        Ok(())
    }

    /// Requests of each other planner what forwarders are short of here, and releases what they are not.
    pub(super) fn request_loans(&mut self, now: Time) {
        let idle_after = self.settings.grantor_duration(self.settings.max_duration);
        self.ledgers.retain(|_, ledger| {
            ledger.expire(now);
            ledger.remove_idle_claims(now, idle_after)
        });
        let lenders: Vec<_> = self.alive_planners.iter().filter(|id| **id != self.me).copied().collect();
        for lender in lenders {
            let demands = self.loan_demands(now, lender);
            for chunk in demands.chunks(MAX_DEMANDS_PER_MESSAGE) {
                let request_id = self.loan_requests.add(now, lender);
                if self.outbox.len() < MAX_QUEUED_MESSAGES {
                    let request = LeaseMessage::Request { request_id, demands: chunk.to_vec() };
                    self.outbox.push_back((Member::Planner(lender), request));
                }
            }
        }
        self.loan_requests.forget_oldest();
    }

    fn loan_demands(&mut self, now: Time, lender: PlannerId) -> Vec<Demand> {
        let demand_window = self.settings.lease_duration;
        let lease_grantor_duration = self.settings.grantor_duration(self.settings.lease_duration);
        let mut demands = Vec::new();
        for (resource, ledger) in &mut self.ledgers {
            let wanted = ledger.borrowing_demand(now, demand_window, lender);
            let request_in_use = ledger.settle_loans(now, lender, lease_grantor_duration);
            if wanted.is_none() && request_in_use == 0 {
                continue;
            }
            let nothing = BorrowingDemand { amount: 0, requesters: 1, already_held: 0 };
            let BorrowingDemand { amount, requesters, already_held } = wanted.unwrap_or(nothing);
            demands.push(Demand { resource: *resource, amount, request_in_use, requesters, already_held });
        }
        demands
    }
}
