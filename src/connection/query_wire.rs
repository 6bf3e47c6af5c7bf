//! Answers and refusals as JSON.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::Refusal;
use crate::request::{Answer, Part};
use crate::types::Coverage;

/// An answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct AnswerWire {
    /// The id of the request.
    pub query: String,
    /// The snapshot that every part is from.
    pub snapshot: u64,
    /// Whether the coverage meets the class's target.
    pub meets_target: bool,
    /// The keys that the parts cover.
    pub coverage: CoverageWire,
    /// One part for each shard that replied.
    pub parts: Vec<PartWire>,
    /// How many legs were sent.
    pub legs: u32,
    /// How long it took inside the instance, in microseconds.
    pub took_us: u64,
}

/// A coverage.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CoverageWire {
    /// The covered part of the key space, such as `97.5%`.
    pub ratio: String,
    /// The covered ranges, in order.
    pub ranges: Vec<String>,
}

/// One shard's part.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PartWire {
    /// The keys that the part is about.
    pub range: String,
    /// The upstream's reply: its JSON, or its text when it is none.
    pub body: Value,
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RefusalWire {
    /// The kind's stable name.
    pub kind: String,
    /// `not run` or `may have run`.
    pub ran: String,
    /// Whether the same request can succeed when it is sent again.
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
            again: row.again,
            detail: refusal.detail.clone(),
        }
    }
}
