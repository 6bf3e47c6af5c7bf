//! The permit of an admitted query, released however the query ends.

use super::Instance;
use super::admission::{AdmissionRequest, QueryEnd, Ticket};
use crate::error::Refusal;
use crate::request::{Answer, QueryRequest};
use crate::types::ByteCount;

/// An admitted query. Dropping it releases its permit.
#[derive(Debug)]
pub(super) struct AdmittedQuery<'a> {
    instance: &'a Instance,
    ticket: Option<Ticket>,
}

impl Instance {
    /// Admits a query, or refuses it before any work is done for it.
    ///
    /// # Errors
    /// [`UnknownClass`](crate::error::ErrorKind::UnknownClass) and
    /// [`Overloaded`](crate::error::ErrorKind::Overloaded); in both cases the query did not run.
    pub(super) fn admit(&self, request: &QueryRequest) -> Result<AdmittedQuery<'_>, Refusal> {
        let class = self.engine.tables.directory().class(&request.class)?;
        let admission_request = AdmissionRequest {
            class: &class,
            caller: &request.caller,
            bytes: ByteCount(request.body.len() as u64),
        };
        let now = self.clock.now();
        let ticket = self
            .engine
            .tables
            .admission
            .lock()
            .admit(now, admission_request)?;
        Ok(AdmittedQuery {
            instance: self,
            ticket: Some(ticket),
        })
    }
}

impl AdmittedQuery<'_> {
    /// Releases the permit and reports how the query ended.
    pub(super) fn close(mut self, outcome: &Result<Answer, Refusal>) {
        self.end(QueryEnd::from(outcome));
    }

    fn end(&mut self, end: QueryEnd) {
        if let Some(ticket) = self.ticket.take() {
            let now = self.instance.clock.now();
            self.instance
                .engine
                .tables
                .admission
                .lock()
                .end(now, ticket, end);
        }
    }
}

impl Drop for AdmittedQuery<'_> {
    fn drop(&mut self) {
        self.end(QueryEnd::Other);
    }
}
