//! The commands of operators and callers, on the real binary.

mod standin;

use serde_json::Value;
use standin::instance::{Instance, OPERATOR_KEYS};
use standin::operator::{run, token};
use standin::platform::Platform;
use standin::{guild, until};

struct Row {
    args: &'static [&'static str],
    code: i32,
    /// Parts of what is printed for people.
    prints: &'static [&'static str],
}

#[async_std::test]
async fn commands_print_tables_and_end_with_their_codes() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let instance = Instance::start("one", &platform).await;
    let index = guild::SIZES[3].name;
    let rows = [
        Row {
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
        Row {
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
        Row {
            args: &["class", "list"],
            code: 0,
            prints: &["REPEATABLE", "board", "courier-board"],
        },
        Row {
            args: &["class", "apply", "board", "--latency", "90ms"],
            code: 0,
            prints: &["change 2"],
        },
        Row {
            args: &["class", "show", "board"],
            code: 0,
            prints: &["90ms", "5%"],
        },
        Row {
            args: &["class", "show", "none"],
            code: 3,
            prints: &["not-found (not run)"],
        },
        Row {
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
        Row {
            args: &["class", "apply", "board", "--latency", "0s"],
            code: 3,
            prints: &["bad-target (not run)", "field latency"],
        },
        Row {
            args: &["query", "board", "{}"],
            code: 0,
            prints: &["KEYS", "coverage 100%"],
        },
        Row {
            args: &["query", "none", "{}"],
            code: 3,
            prints: &["unknown-class (not run)"],
        },
        Row {
            args: &["addresses"],
            code: 0,
            prints: &["ADDRESS", "one", "kept for"],
        },
        Row {
            args: &["status"],
            code: 0,
            prints: &["CONFIGURATION", "one", "ready"],
        },
        Row {
            args: &["status", "--upstreams"],
            code: 0,
            prints: &["LEGS UNDER WAY", "courier-board-0"],
        },
        Row {
            args: &["class", "remove", "board"],
            code: 0,
            prints: &["change 3"],
        },
        Row {
            args: &["class", "remove", "board"],
            code: 3,
            prints: &["not-found (not run)"],
        },
        Row {
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
        Row {
            args: &["audit", "--limit", "1"],
            code: 0,
            prints: &["accepted as change 3", "--before 3"],
        },
        Row {
            args: &["audit", "--token", "x"],
            code: 3,
            prints: &["unauthenticated (not run)"],
        },
        Row {
            args: &["status", "--instance", "127.0.0.1:1"],
            code: 1,
            prints: &["could not reach"],
        },
        Row {
            args: &["class", "apply"],
            code: 2,
            prints: &["Usage"],
        },
        Row {
            args: &["completions", "bash"],
            code: 0,
            prints: &["_hyssopwalk"],
        },
        Row {
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
    for row in rows {
        let ran = run(row.args, &env).await;
        let printed = String::from_utf8([ran.stdout, ran.stderr].concat()).unwrap();
        assert_eq!(
            ran.status.code(),
            Some(row.code),
            "{:?}: {printed}",
            row.args
        );
        for part in row.prints {
            assert!(printed.contains(part), "{:?}: {printed}", row.args);
        }
        assert!(!printed.contains(&token), "{:?} shows the token", row.args);
    }
    for args in [
        &["class", "list", "--json"][..],
        &["audit", "--json"],
        &["status", "--json"],
        &["addresses", "--json"],
    ] {
        let ran = run(args, &env).await;
        let printed: Value = serde_json::from_slice(&ran.stdout).expect("one line of JSON");
        assert!(printed.is_object(), "{args:?}: {printed}");
    }
}

#[async_std::test]
async fn an_answer_below_its_target_and_a_lost_reply_have_codes_of_their_own() {
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
        upstream.behave(|behaviour| behaviour.mode = standin::upstream::Mode::Shed);
    }
    let ran = run(&["query", "pattern-finder"], &env).await;
    assert_eq!(ran.status.code(), Some(6), "{ran:?}");

    let (listener, silent) = standin::listen().await;
    let held = async_std::task::spawn(async move { listener.accept().await });
    let silent = silent.to_string();
    let ran = run(
        &[
            "query",
            "pattern-finder",
            "--instance",
            &silent,
            "--timeout",
            "300ms",
        ],
        &env,
    )
    .await;
    assert_eq!(ran.status.code(), Some(4), "{ran:?}");
    drop(held);
}

struct Keys {
    name: &'static str,
    env: &'static str,
    file: Option<&'static str>,
    code: i32,
    says: &'static str,
}

#[async_std::test]
async fn keys_come_from_the_environment_or_a_file_and_are_not_shown() {
    const SECRET: &str = "0123456789abcdef0123456789abcdef";
    let good = "k9:0123456789abcdef0123456789abcdef";
    let rows = [
        Keys {
            name: "none",
            env: "",
            file: None,
            code: 1,
            says: "without --operator-keys",
        },
        Keys {
            name: "environment",
            env: good,
            file: None,
            code: 0,
            says: "~k9~",
        },
        Keys {
            name: "file",
            env: "",
            file: Some("\nk8:0123456789abcdef0123456789abcdef\n"),
            code: 0,
            says: "~k8~",
        },
        Keys {
            name: "both",
            env: good,
            file: Some("k8:0123456789abcdef0123456789abcdef"),
            code: 0,
            says: "~k9~",
        },
        Keys {
            name: "short",
            env: "k1:0123456789abcdef",
            file: None,
            code: 2,
            says: "32 bytes",
        },
        Keys {
            name: "bad line",
            env: "",
            file: Some("0123456789abcdef0123456789abcdef"),
            code: 1,
            says: "could not use key 1",
        },
    ];
    for row in rows {
        let path =
            std::env::temp_dir().join(format!("hyssopwalk-{}-{}", std::process::id(), row.name));
        let path_text = path.to_string_lossy().into_owned();
        let mut env = Vec::new();
        if !row.env.is_empty() {
            env.push(("HYSSOPWALK_OPERATOR_KEYS", row.env));
        }
        if let Some(text) = row.file {
            std::fs::write(&path, text).unwrap();
            env.push(("HYSSOPWALK_OPERATOR_KEYS_FILE", path_text.as_str()));
        }
        let ran = run(&["token", "--operator", "ana"], &env).await;
        std::fs::remove_file(&path).ok();
        let printed = String::from_utf8([ran.stdout, ran.stderr].concat()).unwrap();
        assert_eq!(ran.status.code(), Some(row.code), "{}: {printed}", row.name);
        assert!(printed.contains(row.says), "{}: {printed}", row.name);
        assert!(!printed.contains(SECRET), "{} shows the key", row.name);
    }
}
