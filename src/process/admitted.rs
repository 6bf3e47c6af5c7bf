//! The place of a query that was let in, given back however the query ends.

use super::Instance;
use super::admission::{Entrant, QueryEnd, Ticket};
use crate::error::Refusal;
use crate::request::{Answer, Inquiry};
use crate::types::ByteCount;

/// A query that was let in; dropping it gives its place back.
#[derive(Debug)]
pub(super) struct Admitted<'a> {
    instance: &'a Instance,
    ticket: Option<Ticket>,
}

impl Instance {
    /// Lets a query in, or refuses it before anything is done for it.
    ///
    /// # Errors
    /// [`ErrorKind::UnknownClass`] and [`ErrorKind::Overloaded`]; neither ran.
    pub(super) fn enter(&self, inquiry: &Inquiry) -> Result<Admitted<'_>, Refusal> {
        let class = self.engine.tables.directory().class(&inquiry.class)?;
        let entrant = Entrant {
            class: &class,
            caller: &inquiry.caller,
            bytes: ByteCount(inquiry.body.len() as u64),
        };
        let now = self.clock.now();
        let ticket = self.engine.tables.admission.lock().admit(now, entrant)?;
        Ok(Admitted {
            instance: self,
            ticket: Some(ticket),
        })
    }
}

impl Admitted<'_> {
    /// Gives the place back and says how the query ended.
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

impl Drop for Admitted<'_> {
    fn drop(&mut self) {
        self.end(QueryEnd::Other);
    }
}
