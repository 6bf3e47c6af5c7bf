//! Arguments of the subcommands for operators and callers.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use clap_complete::Shell;

use crate::types::{
    CallerName, ChangeNumber, ClassName, FailureDomain, IdempotencyKey, OperatorKey, OperatorName,
    Region, Span,
};

/// Arguments of every command that sends requests to running instances.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct ClientArgs {
    /// The instances to contact, separated by commas; the first that can be reached is used.
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
    /// Print the output as JSON.
    #[arg(long)]
    pub(crate) json: bool,
}

/// Arguments of every command that authenticates as an operator.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct OperatorArgs {
    #[command(flatten)]
    pub(crate) ask: ClientArgs,
    /// The operator's token, created by `hyssopwalk token`.
    #[arg(long, env = "HYSSOPWALK_TOKEN", hide_env_values = true)]
    pub(crate) token: Option<String>,
    /// A file that contains the operator's token.
    #[arg(long, env = "HYSSOPWALK_TOKEN_FILE")]
    pub(crate) token_file: Option<PathBuf>,
}

/// Arguments of `hyssopwalk class list`.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct ClassListArgs {
    #[command(flatten)]
    pub(crate) operator: OperatorArgs,
}

/// Arguments of `hyssopwalk class show`.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct ClassShowArgs {
    /// The name of the class.
    pub(crate) name: ClassName,
    #[command(flatten)]
    pub(crate) operator: OperatorArgs,
}

/// Arguments of `hyssopwalk class apply`; targets that are not given stay unchanged.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct ClassApplyArgs {
    /// The name of the class.
    pub(crate) name: ClassName,
    /// The index that the class queries.
    #[arg(long)]
    pub(crate) index: Option<String>,
    /// The target for the 99th percentile of answer latency, such as 170ms.
    #[arg(long)]
    pub(crate) latency: Option<String>,
    /// The minimum coverage of a complete answer, such as 99.5%.
    #[arg(long)]
    pub(crate) coverage: Option<String>,
    /// The maximum share of extra legs, those beyond one per shard, such as 5%.
    #[arg(long)]
    pub(crate) extra_load: Option<String>,
    /// Whether a request may run more than once; false for orders.
    #[arg(long)]
    pub(crate) repeatable: Option<bool>,
    /// The expected number of the change that last set the class; a different number is
    /// refused as a conflict. By default the current number.
    #[arg(long)]
    pub(crate) seen: Option<ChangeNumber>,
    #[command(flatten)]
    pub(crate) operator: OperatorArgs,
}

/// Arguments of `hyssopwalk class remove`.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct ClassRemoveArgs {
    /// The name of the class.
    pub(crate) name: ClassName,
    /// The expected number of the change that last set the class; a different number is
    /// refused as a conflict. By default the current number.
    #[arg(long)]
    pub(crate) seen: Option<ChangeNumber>,
    #[command(flatten)]
    pub(crate) operator: OperatorArgs,
}

/// Arguments of `hyssopwalk status`.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct StatusArgs {
    /// Show the upstreams instead, with the legs of all instances summed.
    #[arg(long)]
    pub(crate) upstreams: bool,
    #[command(flatten)]
    pub(crate) operator: OperatorArgs,
}

/// Arguments of `hyssopwalk audit`.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct AuditArgs {
    /// Show only this class's accepted changes; refused changes are not filtered.
    #[arg(long)]
    pub(crate) class: Option<ClassName>,
    /// Show only accepted changes older than the one with this number.
    #[arg(long)]
    pub(crate) before: Option<ChangeNumber>,
    /// The maximum number of accepted changes to show, at most 1000.
    #[arg(long, default_value_t = 50)]
    pub(crate) limit: usize,
    #[command(flatten)]
    pub(crate) operator: OperatorArgs,
}

/// Arguments of `hyssopwalk addresses`.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct AddressesArgs {
    /// The name of the caller.
    #[arg(long, default_value = "operator")]
    pub(crate) caller: CallerName,
    /// The failure domain in which the caller runs.
    #[arg(long)]
    pub(crate) failure_domain: Option<FailureDomain>,
    /// The region in which the caller runs.
    #[arg(long)]
    pub(crate) region: Option<Region>,
    #[command(flatten)]
    pub(crate) ask: ClientArgs,
}

/// Arguments of `hyssopwalk query`.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct QueryArgs {
    /// The class of the query.
    pub(crate) class: ClassName,
    /// The body of the query.
    #[arg(default_value = "{}")]
    pub(crate) body: String,
    /// The name of the caller.
    #[arg(long, default_value = "operator")]
    pub(crate) caller: CallerName,
    /// The timeout of the query, if shorter than that of the class.
    #[arg(long)]
    pub(crate) within: Option<Span>,
    /// The idempotency key, required for orders.
    #[arg(long)]
    pub(crate) key: Option<IdempotencyKey>,
    #[command(flatten)]
    pub(crate) ask: ClientArgs,
}

/// Arguments of `hyssopwalk token`.
#[derive(Clone, Debug)]
#[derive(Args)]
pub(crate) struct TokenArgs {
    /// The name of the operator.
    #[arg(long)]
    pub(crate) operator: OperatorName,
    /// How long the token is valid.
    #[arg(long = "for", default_value = "86400s")]
    pub(crate) duration: Span,
    /// The operator keys of the instances, separated by commas; the first one signs the token.
    #[arg(
        long,
        env = "HYSSOPWALK_OPERATOR_KEYS",
        value_delimiter = ',',
        hide_env_values = true
    )]
    pub(crate) operator_keys: Vec<OperatorKey>,
    /// A file with additional operator keys, one per line.
    #[arg(long, env = "HYSSOPWALK_OPERATOR_KEYS_FILE")]
    pub(crate) operator_keys_file: Option<PathBuf>,
}

/// Arguments of `hyssopwalk completions`.
#[derive(Clone, Copy, Debug)]
#[derive(Args)]
pub(crate) struct CompletionsArgs {
    /// The shell to generate completions for.
    pub(crate) shell: Shell,
}
