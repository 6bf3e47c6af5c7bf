//! Runs the commands for operators and callers of the real binary.

mod standin;

use async_std::io::{ReadExt, WriteExt};
use serde_json::Value;
use standin::instance::{Instance, OPERATOR_KEYS};
use standin::operator::{run, token};
use standin::platform::Platform;
use standin::{guild, until};

struct CommandCase {
    args: &'static [&'static str],
    /// The expected exit code.
    code: i32,
    /// Texts that the human-readable output contains.
    prints: &'static [&'static str],
}

#[async_std::test]
async fn commands_print_tables_and_exit_with_their_codes() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let instance = Instance::start("one", &platform).await;
    let index = guild::SIZES[3].name;
    let cases = [
        CommandCase {
            args: &[
                "class",
                "apply",
                "board",
                "--index",
                "courier-board",
                "--latency",
                "170ms",
            ],
            code: 1,
            prints: &["without --coverage"],
        },
        CommandCase {
            args: &[
                "class",
                "apply",
                "board",
                "--index",
                "courier-board",
                "--latency",
                "170ms",
                "--coverage",
                "100%",
                "--extra-load",
                "5%",
                "--repeatable",
                "true",
            ],
            code: 0,
            prints: &["change 1 of class board is accepted"],
        },
        CommandCase {
            args: &["class", "list"],
            code: 0,
            prints: &["REPEATABLE", "board", "courier-board"],
        },
        CommandCase {
            args: &["class", "apply", "board", "--latency", "90ms"],
            code: 0,
            prints: &["change 2"],
        },
        CommandCase {
            args: &["class", "show", "board"],
            code: 0,
            prints: &["90ms", "5%"],
        },
        CommandCase {
            args: &["class", "show", "none"],
            code: 3,
            prints: &["not-found (not run)"],
        },
        CommandCase {
            args: &[
                "class",
                "apply",
                "board",
                "--latency",
                "80ms",
                "--seen",
                "1",
            ],
            code: 5,
            prints: &["conflict (not run)", "set by change 2"],
        },
        CommandCase {
            args: &["class", "apply", "board", "--latency", "0s"],
            code: 3,
            prints: &["bad-target (not run)", "field latency"],
        },
        CommandCase {
            args: &["query", "board", "{}"],
            code: 0,
            prints: &["KEYS", "coverage 100%"],
        },
        CommandCase {
            args: &["query", "none", "{}"],
            code: 3,
            prints: &["unknown-class (not run)"],
        },
        CommandCase {
            args: &["addresses"],
            code: 0,
            prints: &["ADDRESS", "one", "kept for"],
        },
        CommandCase {
            args: &["status"],
            code: 0,
            prints: &["CONFIGURATION", "one", "ready"],
        },
        CommandCase {
            args: &["status", "--upstreams"],
            code: 0,
            prints: &["LEGS IN FLIGHT", "courier-board-0"],
        },
        CommandCase {
            args: &["class", "remove", "board"],
            code: 0,
            prints: &["change 3"],
        },
        CommandCase {
            args: &["class", "remove", "board"],
            code: 3,
            prints: &["not-found (not run)"],
        },
        CommandCase {
            args: &["audit"],
            code: 0,
            prints: &[
                "OUTCOME",
                "ana",
                "accepted as change 3",
                "bad-target",
                "none",
            ],
        },
        CommandCase {
            args: &["audit", "--limit", "1"],
            code: 0,
            prints: &["accepted as change 3", "--before 3"],
        },
        CommandCase {
            args: &["audit", "--token", "x"],
            code: 3,
            prints: &["unauthenticated (not run)"],
        },
        CommandCase {
            args: &["status", "--instance", "127.0.0.1:1"],
            code: 1,
            prints: &["could not reach"],
        },
        CommandCase {
            args: &["class", "apply"],
            code: 2,
            prints: &["Usage"],
        },
        CommandCase {
            args: &["completions", "bash"],
            code: 0,
            prints: &["_hyssopwalk"],
        },
        CommandCase {
            args: &["--help"],
            code: 0,
            prints: &["serve", "class", "status", "audit", "query"],
        },
    ];
    assert_eq!(index, "courier-board");
    let addr = instance.addr.to_string();
    let token = token("ana", "600s", OPERATOR_KEYS).await;
    let env = [
        ("HYSSOPWALK_INSTANCES", addr.as_str()),
        ("HYSSOPWALK_TOKEN", token.as_str()),
    ];
    until("a ready instance", || async {
        run(&["query", index], &env).await.status.success()
    })
    .await;
    for case in cases {
        let output = run(case.args, &env).await;
        let printed = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{:?}: {printed}",
            case.args
        );
        for text in case.prints {
            assert!(printed.contains(text), "{:?}: {printed}", case.args);
        }
        assert!(
            !printed.contains(&token),
            "{:?} prints the token",
            case.args
        );
    }
    for args in [
        &["class", "list", "--json"][..],
        &["audit", "--json"],
        &["status", "--json"],
        &["addresses", "--json"],
    ] {
        let output = run(args, &env).await;
        let printed: Value = serde_json::from_slice(&output.stdout).expect("one line of JSON");
        assert!(printed.is_object(), "{args:?}: {printed}");
    }
}

#[async_std::test]
async fn an_answer_below_its_target_and_a_lost_reply_have_their_own_exit_codes() {
    let platform = Platform::start().await;
    let indexes = guild::start(&platform, &guild::SIZES[..1]).await;
    let instance = Instance::start("one", &platform).await;
    let addr = instance.addr.to_string();
    let env = [("HYSSOPWALK_INSTANCES", addr.as_str())];
    until("a ready instance", || async {
        run(&["query", "pattern-finder"], &env)
            .await
            .status
            .success()
    })
    .await;
    for upstream in &indexes[0].upstreams[..2] {
        upstream.update_behaviour(|behaviour| behaviour.mode = standin::upstream::Mode::Shed);
    }
    let output = run(&["query", "pattern-finder"], &env).await;
    assert_eq!(output.status.code(), Some(6), "{output:?}");

    let (listener, silent_addr) = standin::listen().await;
    let accepting = async_std::task::spawn(async move { listener.accept().await });
    let silent_addr = silent_addr.to_string();
    let output = run(
        &[
            "query",
            "pattern-finder",
            "--instance",
            &silent_addr,
            "--timeout",
            "300ms",
        ],
        &env,
    )
    .await;
    assert_eq!(output.status.code(), Some(4), "{output:?}");
    drop(accepting);
}

/// Guards against a reply that is no HTTP and is taken for a refusal of the instance.
#[async_std::test]
async fn a_reply_with_an_invalid_status_counts_as_lost() {
    for status in ["000", "099", "600", "999"] {
        let (listener, addr) = standin::listen().await;
        let reply = format!("HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}");
        let accepting = async_std::task::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.read(&mut [0; 1024]).await.unwrap();
            stream.write_all(reply.as_bytes()).await.unwrap();
        });
        let addr = addr.to_string();
        let output = run(&["query", "pattern-finder", "--instance", &addr], &[]).await;
        assert_eq!(output.status.code(), Some(4), "{status}: {output:?}");
        accepting.await;
    }
}

struct KeysCase {
    name: &'static str,
    env: &'static str,
    file: Option<&'static str>,
    /// The expected exit code.
    code: i32,
    /// Text that the output contains.
    prints: &'static str,
}

#[async_std::test]
async fn keys_come_from_the_environment_or_a_file_and_are_not_shown() {
    const SECRET: &str = "0123456789abcdef0123456789abcdef";
    let valid_key = "k9:0123456789abcdef0123456789abcdef";
    let cases = [
        KeysCase {
            name: "none",
            env: "",
            file: None,
            code: 1,
            prints: "without --operator-keys",
        },
        KeysCase {
            name: "environment",
            env: valid_key,
            file: None,
            code: 0,
            prints: "~k9~",
        },
        KeysCase {
            name: "file",
            env: "",
            file: Some("\nk8:0123456789abcdef0123456789abcdef\n"),
            code: 0,
            prints: "~k8~",
        },
        KeysCase {
            name: "both",
            env: valid_key,
            file: Some("k8:0123456789abcdef0123456789abcdef"),
            code: 0,
            prints: "~k9~",
        },
        KeysCase {
            name: "short",
            env: "k1:0123456789abcdef",
            file: None,
            code: 2,
            prints: "32 bytes",
        },
        KeysCase {
            name: "bad line",
            env: "",
            file: Some("0123456789abcdef0123456789abcdef"),
            code: 1,
            prints: "could not use key 1",
        },
    ];
    for case in cases {
        let path =
            std::env::temp_dir().join(format!("hyssopwalk-{}-{}", std::process::id(), case.name));
        let path_text = path.to_string_lossy().into_owned();
        let mut env = Vec::new();
        if !case.env.is_empty() {
            env.push(("HYSSOPWALK_OPERATOR_KEYS", case.env));
        }
        if let Some(text) = case.file {
            std::fs::write(&path, text).unwrap();
            env.push(("HYSSOPWALK_OPERATOR_KEYS_FILE", path_text.as_str()));
        }
        let output = run(&["token", "--operator", "ana"], &env).await;
        std::fs::remove_file(&path).ok();
        let printed = String::from_utf8([output.stdout, output.stderr].concat()).unwrap();
        assert_eq!(
            output.status.code(),
            Some(case.code),
            "{}: {printed}",
            case.name
        );
        assert!(printed.contains(case.prints), "{}: {printed}", case.name);
        assert!(!printed.contains(SECRET), "{} prints the key", case.name);
    }
}
