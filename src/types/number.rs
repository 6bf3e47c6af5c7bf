//! The macro that defines the newtypes over integers.

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $what:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = $crate::types::ParseError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse()
                    .map(Self)
                    .map_err(|_| {
                        $crate::types::ParseError::new($what, text, "it is not a whole number in range")
                    })
            }
        }
    };
}

pub(super) use number;
