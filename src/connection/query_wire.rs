//! JSON encoding of answers and refusals.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::Refusal;
use crate::request::{Answer, Part};
use crate::types::Coverage;

/// The answer to a query.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AnswerWire {
    /// The id of the query.
    pub query: String,
    /// The snapshot that all parts come from.
    pub snapshot: u64,
    /// Whether the coverage meets the target of the class.
    pub meets_target: bool,
    /// How much of the key space the parts cover.
    pub coverage: CoverageWire,
    /// One part for each shard that replied.
    pub parts: Vec<PartWire>,
    /// The number of legs sent.
    pub legs: u32,
    /// The time spent inside the instance, in microseconds.
    pub took_us: u64,
}

/// The coverage of an answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CoverageWire {
    /// The covered share of the key space, such as `97.5%`.
    pub ratio: String,
    /// The covered key ranges, in order.
    pub ranges: Vec<String>,
}

/// The part that one shard returned.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PartWire {
    /// The key range that the part covers.
    pub range: String,
    /// The upstream's reply as JSON, or as a string if the reply is not valid JSON.
    pub body: Value,
}

/// A refused request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusalWire {
    /// The stable code of the kind of refusal.
    pub kind: String,
    /// Whether the request was executed: `not run` or `may have run`.
    pub ran: String,
    /// Whether a retry of the same request can succeed.
    pub again: bool,
    /// One sentence for a person.
    pub detail: String,
}

impl From<Answer> for AnswerWire {
    fn from(answer: Answer) -> Self {
        Self {
            query: answer.query.to_string(),
            snapshot: answer.snapshot.0,
            meets_target: answer.meets_target,
            coverage: CoverageWire::from(&answer.coverage),
            parts: answer.parts.into_iter().map(PartWire::from).collect(),
            legs: answer.legs,
            took_us: answer.took.0,
        }
    }
}

impl From<&Coverage> for CoverageWire {
    fn from(coverage: &Coverage) -> Self {
        Self {
            ratio: coverage.ratio().to_string(),
            ranges: coverage.ranges().iter().map(ToString::to_string).collect(),
        }
    }
}

impl From<Part> for PartWire {
    fn from(part: Part) -> Self {
        let body = serde_json::from_slice(&part.body)
            .unwrap_or_else(|_| Value::from(String::from_utf8_lossy(&part.body)));
        Self {
            range: part.range.to_string(),
            body,
        }
    }
}

impl From<&Refusal> for RefusalWire {
    fn from(refusal: &Refusal) -> Self {
        let row = refusal.kind.row();
        Self {
            kind: row.code.to_owned(),
            ran: row.ran.to_string(),
            again: row.retryable,
            detail: refusal.detail.clone(),
        }
    }
}
