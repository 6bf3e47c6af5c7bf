//! The types of the subcommands that ask running instances.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use clap_complete::Shell;

use crate::types::{
    CallerName, ChangeNumber, ClassName, FailureDomain, IdempotencyKey, OperatorKey, OperatorName,
    Region, Span,
};

/// Whom to ask.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct AskArgs {
    /// Instances to ask, separated by commas; the first that can be reached is asked.
    #[arg(
        long,
        env = "HYSSOPWALK_INSTANCES",
        value_delimiter = ',',
        default_value = "127.0.0.1:7400"
    )]
    pub(crate) instance: Vec<SocketAddr>,
    /// How long to wait for the reply.
    #[arg(long, default_value = "10s")]
    pub(crate) timeout: Span,
    /// Print JSON.
    #[arg(long)]
    pub(crate) json: bool,
}

/// Whom to ask, and as which operator.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct OperatorArgs {
    #[command(flatten)]
    pub(crate) ask: AskArgs,
    /// The operator's token, made by `hyssopwalk token`.
    #[arg(long, env = "HYSSOPWALK_TOKEN", hide_env_values = true)]
    pub(crate) token: Option<String>,
    /// A file with the operator's token.
    #[arg(long, env = "HYSSOPWALK_TOKEN_FILE")]
    pub(crate) token_file: Option<PathBuf>,
}

/// Nothing but whom to ask.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct ClassListArgs {
    #[command(flatten)]
    pub(crate) operator: OperatorArgs,
}

/// Which class to show.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct ClassShowArgs {
    /// The class.
    pub(crate) name: ClassName,
    #[command(flatten)]
    pub(crate) operator: OperatorArgs,
}

/// A class and its targets; what is not given stays as it is.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct ClassApplyArgs {
    /// The class.
    pub(crate) name: ClassName,
    /// The index that it queries.
    #[arg(long)]
    pub(crate) index: Option<String>,
    /// 99 of 100 answers are to come within this time, such as 170ms.
    #[arg(long)]
    pub(crate) latency: Option<String>,
    /// An answer that covers less counts as incomplete, such as 99.5%.
    #[arg(long)]
    pub(crate) coverage: Option<String>,
    /// Legs beyond one for each shard, as a part of all, such as 5%.
    #[arg(long)]
    pub(crate) extra_load: Option<String>,
    /// Whether a request may run more than once; orders may not.
    #[arg(long)]
    pub(crate) repeatable: Option<bool>,
    /// The number of the change that set the class when you looked; the present one when
    /// absent.
    #[arg(long)]
    pub(crate) seen: Option<ChangeNumber>,
    #[command(flatten)]
    pub(crate) operator: OperatorArgs,
}

/// Which class to remove.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct ClassRemoveArgs {
    /// The class.
    pub(crate) name: ClassName,
    /// The number of the change that set the class when you looked; the present one when
    /// absent.
    #[arg(long)]
    pub(crate) seen: Option<ChangeNumber>,
    #[command(flatten)]
    pub(crate) operator: OperatorArgs,
}

/// What to show of instances and upstreams.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct StatusArgs {
    /// Show the upstreams, with the legs of all instances.
    #[arg(long)]
    pub(crate) upstreams: bool,
    #[command(flatten)]
    pub(crate) operator: OperatorArgs,
}

/// Which changes to show.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct AuditArgs {
    /// Only changes of this class, among the accepted ones.
    #[arg(long)]
    pub(crate) class: Option<ClassName>,
    /// Only accepted changes before this one.
    #[arg(long)]
    pub(crate) before: Option<ChangeNumber>,
    /// At most so many accepted changes, and no more than 1000.
    #[arg(long, default_value_t = 50)]
    pub(crate) limit: usize,
    #[command(flatten)]
    pub(crate) operator: OperatorArgs,
}

/// For whom addresses are asked.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct AddressesArgs {
    /// The caller.
    #[arg(long, default_value = "operator")]
    pub(crate) caller: CallerName,
    /// The failure domain that the caller stands in.
    #[arg(long)]
    pub(crate) failure_domain: Option<FailureDomain>,
    /// The region that the caller stands in.
    #[arg(long)]
    pub(crate) region: Option<Region>,
    #[command(flatten)]
    pub(crate) ask: AskArgs,
}

/// One query.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct QueryArgs {
    /// The class.
    pub(crate) class: ClassName,
    /// The body.
    #[arg(default_value = "{}")]
    pub(crate) body: String,
    /// Who asks.
    #[arg(long, default_value = "operator")]
    pub(crate) caller: CallerName,
    /// The time that the query has, when it is less than the class's.
    #[arg(long)]
    pub(crate) within: Option<Span>,
    /// The idempotency key, which an order must have.
    #[arg(long)]
    pub(crate) key: Option<IdempotencyKey>,
    #[command(flatten)]
    pub(crate) ask: AskArgs,
}

/// For whom a token is signed.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct TokenArgs {
    /// The operator.
    #[arg(long)]
    pub(crate) operator: OperatorName,
    /// How long the token is valid.
    #[arg(long = "for", default_value = "86400s")]
    pub(crate) duration: Span,
    /// The keys of the instances; the first one signs.
    #[arg(
        long,
        env = "HYSSOPWALK_OPERATOR_KEYS",
        value_delimiter = ',',
        hide_env_values = true
    )]
    pub(crate) operator_keys: Vec<OperatorKey>,
    /// A file with more such keys, one on each line.
    #[arg(long, env = "HYSSOPWALK_OPERATOR_KEYS_FILE")]
    pub(crate) operator_keys_file: Option<PathBuf>,
}

/// Which shell.
#[derive(Clone, Copy, Debug)]
#[derive(Args)]
pub(crate) struct CompletionsArgs {
    /// The shell.
    pub(crate) shell: Shell,
}
