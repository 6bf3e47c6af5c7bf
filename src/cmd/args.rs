//! The types of the command line and the environment.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;

use crate::platform::PlatformArgs;
use crate::types::{
    ByteCount, CallerName, ChangeNumber, ClassName, FailureDomain, IdempotencyKey, InstanceName,
    OperatorKey, OperatorName, PeerKey, PerSecond, Region, Span,
};

/// A query tier over many shards.
#[derive(Clone, Debug)]
#[derive(Parser)]
#[command(version, about)]
pub struct Cmd {
    #[command(subcommand)]
    command: Sub,
}

#[derive(Clone, Debug)]
#[derive(Subcommand)]
enum Sub {
    /// Run an instance.
    Serve(ServeArgs),
    /// Run an instance on the users' platform, by its settings file.
    Platform(PlatformArgs),
    /// Load running instances open-loop and report what callers saw.
    Load(LoadArgs),
    /// Send one query and print its answer with the coverage.
    Query(QueryArgs),
    /// Show which addresses a caller should use.
    Addresses(AddressesArgs),
    /// List, show, apply or remove classes of work.
    #[command(subcommand)]
    Class(ClassSub),
    /// Show every instance, and the configuration in force there.
    Status(StatusArgs),
    /// Show who changed which class, and what became of it.
    Audit(AuditArgs),
    /// Sign a token for an operator.
    Token(TokenArgs),
    /// Print completions for a shell.
    Completions(CompletionsArgs),
}

#[derive(Clone, Debug)]
#[derive(Subcommand)]
enum ClassSub {
    /// List all classes.
    List(ClassListArgs),
    /// Show one class.
    Show(ClassShowArgs),
    /// Create a class, or change the targets that are given.
    Apply(ClassApplyArgs),
    /// Remove a class.
    Remove(ClassRemoveArgs),
}

/// The settings of an instance.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct ServeArgs {
    /// The instance's name, unique among all instances.
    #[arg(long, env = "HYSSOPWALK_NAME")]
    pub(crate) name: InstanceName,
    /// Where callers and operators connect.
    #[arg(long, env = "HYSSOPWALK_LISTEN", default_value = "127.0.0.1:7400")]
    pub(crate) listen: SocketAddr,
    /// Where other instances connect; a free port of the address in --listen when
    /// absent.
    #[arg(long, env = "HYSSOPWALK_PEER_LISTEN")]
    pub(crate) peer_listen: Option<SocketAddr>,
    /// The keys that instances prove to each other that they have, separated by
    /// commas; without one the instance speaks with no other.
    #[arg(
        long,
        env = "HYSSOPWALK_PEER_KEYS",
        value_delimiter = ',',
        hide_env_values = true
    )]
    pub(crate) peer_keys: Vec<PeerKey>,
    /// The keys that tokens of operators are signed with, each as name:secret with a
    /// secret of 32 bytes or more, separated by commas; without one no operator is let in.
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
    /// Where other instances connect that are asked while the platform is away,
    /// separated by commas.
    #[arg(long, env = "HYSSOPWALK_SEEDS", value_delimiter = ',')]
    pub(crate) seeds: Vec<SocketAddr>,
    /// The time between two heartbeats.
    #[arg(long, env = "HYSSOPWALK_HEARTBEAT", default_value = "1s")]
    pub(crate) heartbeat: Span,
    /// How long callers may keep the addresses they were given.
    #[arg(long, env = "HYSSOPWALK_ADDRESS_KEEP", default_value = "10s")]
    pub(crate) address_keep: Span,
    /// How long a planned stop waits for requests that still run.
    #[arg(long, env = "HYSSOPWALK_DRAIN", default_value = "10s")]
    pub(crate) drain: Span,
    /// Where the platform's object API answers.
    #[arg(long, env = "HYSSOPWALK_PLATFORM")]
    pub(crate) platform: SocketAddr,
    /// How many reads and watches a second the instance makes to the platform at most.
    #[arg(long, env = "HYSSOPWALK_PLATFORM_READS", default_value = "200/s")]
    pub(crate) platform_reads: PerSecond,
    /// How many writes a second the instance makes to the platform at most.
    #[arg(long, env = "HYSSOPWALK_PLATFORM_WRITES", default_value = "40/s")]
    pub(crate) platform_writes: PerSecond,
    /// The failure domain the instance stands in.
    #[arg(long, env = "HYSSOPWALK_FAILURE_DOMAIN")]
    pub(crate) failure_domain: FailureDomain,
    /// The region of that failure domain.
    #[arg(long, env = "HYSSOPWALK_REGION")]
    pub(crate) region: Region,
    /// How many threads carry input and output: fewer cost less processor time, more cut the
    /// tail of latency; one for each core when not given.
    #[arg(long, env = "HYSSOPWALK_IO_THREADS", default_value_t = cores())]
    pub(crate) io_threads: usize,
    /// How many workers decide.
    #[arg(long, env = "HYSSOPWALK_WORKERS", default_value_t = 4)]
    pub(crate) workers: usize,
    /// The largest request body, in bytes.
    #[arg(long, env = "HYSSOPWALK_MOST_BODY", default_value = "1048576")]
    pub(crate) most_body: ByteCount,
}

/// What to load instances with.
#[derive(Clone, Debug)]
#[derive(Args)]
pub struct LoadArgs {
    /// An instance's address; give several to spread callers over them.
    #[arg(long, required = true)]
    pub(crate) instance: Vec<SocketAddr>,
    /// The class of every request.
    #[arg(long)]
    pub(crate) class: ClassName,
    /// The body of every request.
    #[arg(long, default_value = "{}")]
    pub(crate) body: String,
    /// Arrivals a second, all callers together.
    #[arg(long, default_value = "100/s")]
    pub(crate) rate: PerSecond,
    /// How long requests arrive.
    #[arg(long = "for", default_value = "10s")]
    pub(crate) duration: Span,
    /// Connections, each carrying one request at a time.
    #[arg(long, default_value_t = 64)]
    pub(crate) callers: usize,
    /// Answers that take longer count as late.
    #[arg(long, default_value = "170ms")]
    pub(crate) target: Span,
    /// The seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
    /// Send each request with an idempotency key of its own.
    #[arg(long)]
    pub(crate) orders: bool,
    /// Print the report as JSON.
    #[arg(long)]
    pub(crate) json: bool,
    /// Write a plot of latency over quantiles to this file, as SVG.
    #[arg(long)]
    pub(crate) plot: Option<PathBuf>,
}

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

impl Cmd {
    /// Runs the subcommand and says how it went.
    #[must_use]
    pub fn run(self) -> ExitCode {
        let ran = match self.command {
            Sub::Serve(args) => args.run(),
            Sub::Platform(args) => args.run(),
            Sub::Load(args) => args.run(),
            Sub::Query(args) => args.run(),
            Sub::Addresses(args) => args.run(),
            Sub::Class(ClassSub::List(args)) => args.run(),
            Sub::Class(ClassSub::Show(args)) => args.run(),
            Sub::Class(ClassSub::Apply(args)) => args.run(),
            Sub::Class(ClassSub::Remove(args)) => args.run(),
            Sub::Status(args) => args.run(),
            Sub::Audit(args) => args.run(),
            Sub::Token(args) => args.run(),
            Sub::Completions(args) => Ok(args.run()),
        };
        match ran {
            Ok(code) => code,
            Err(error) => {
                eprintln!("hyssopwalk: {error:#}");
                ExitCode::FAILURE
            }
        }
    }
}

fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}
