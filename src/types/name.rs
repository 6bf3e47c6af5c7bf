//! Names that operators and callers choose, restricted to characters that are
//! safe in paths, headers and logs.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use super::ParseError;

const NAME_CHARS: usize = 128;

fn check(what: &'static str, text: &str) -> Result<Arc<str>, ParseError> {
    if text.is_empty() {
        return Err(ParseError::new(what, text, "it is empty"));
    }
    if text.len() > NAME_CHARS {
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
            /// The name as text.
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
                check($what, text).map(Self)
            }
        }
    };
}

name! {
    /// An instance of hyssopwalk.
    InstanceName, "an instance name"
}
name! {
    /// One replica's server, which runs the legs of queries.
    UpstreamName, "an upstream name"
}
name! {
    /// A class of work with its own targets.
    ClassName, "a class name"
}
name! {
    /// A sharded index that classes query.
    IndexName, "an index name"
}
name! {
    /// Whoever sent a request.
    CallerName, "a caller name"
}
name! {
    /// Whoever changes the configuration.
    OperatorName, "an operator name"
}
name! {
    /// A group of machines that can be lost together.
    FailureDomain, "a failure domain"
}
name! {
    /// A group of failure domains joined by short links.
    Region, "a region"
}
name! {
    /// A group of replicas that answer alike, such as one shard of an index.
    ServiceName, "a service name"
}
name! {
    /// A rule that sends requests of one host and path to services.
    RouteName, "a route name"
}
name! {
    /// The caller's key that names one request across its repetitions.
    IdempotencyKey, "an idempotency key"
}
