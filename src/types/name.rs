//! Names chosen by operators and callers, restricted to characters that are safe in
//! paths, headers and logs.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use super::ParseError;

const MAX_NAME_BYTES: usize = 128;

fn validate(what: &'static str, text: &str) -> Result<Arc<str>, ParseError> {
    if text.is_empty() {
        return Err(ParseError::new(what, text, "it is empty"));
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(ParseError::new(what, text, "it is longer than 128 bytes"));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if !text.chars().all(allowed) {
        return Err(ParseError::new(
            what,
            text,
            "only letters, digits, '-', '_', '.' and ':' are allowed",
        ));
    }
    Ok(Arc::from(text))
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                validate($what, text).map(Self)
            }
        }
    };
}

name! {
    /// The name of an instance of hyssopwalk.
    InstanceName, "an instance name"
}
name! {
    /// The name of an upstream: the server of one replica, which executes the legs of queries.
    UpstreamName, "an upstream name"
}
name! {
    /// The name of a class: a kind of request with its own targets.
    ClassName, "a class name"
}
name! {
    /// The name of a sharded index that classes query.
    IndexName, "an index name"
}
name! {
    /// The name of the caller that sent a request.
    CallerName, "a caller name"
}
name! {
    /// The name of an operator, who may change the configuration.
    OperatorName, "an operator name"
}
name! {
    /// The name of a failure domain: a group of machines that can fail together.
    FailureDomain, "a failure domain"
}
name! {
    /// The name of a region: a group of failure domains connected by short links.
    Region, "a region"
}
name! {
    /// The name of a service: a group of interchangeable replicas, such as one shard of an index.
    ServiceName, "a service name"
}
name! {
    /// The name of a route: a rule that maps the requests for one host and path to services.
    RouteName, "a route name"
}
name! {
    /// A key chosen by the caller that identifies a request across its retries.
    IdempotencyKey, "an idempotency key"
}
