//! What operators do, over HTTP on the real binary.

mod standin;

use std::time::Instant;

use futures::join;
use hyssopwalk::{AcceptedWire, AuditWire, ClassListWire, StatusWire};
use serde_json::{Value, json};
use standin::instance::{Instance, OPERATOR_KEYS};
use standin::operator::{CREATE, Operator, targets, token};
use standin::platform::Platform;
use standin::until;
use tide::http::Method;

struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: fn() -> Vec<u8>,
    status: u16,
    /// A part of the kind and the detail of the refusal.
    says: &'static str,
}

fn changed(field: &str, value: Value) -> Vec<u8> {
    let mut targets = targets();
    targets[field] = value;
    targets.to_string().into_bytes()
}

const GOOD: fn() -> Vec<u8> = || targets().to_string().into_bytes();
const NOTHING: fn() -> Vec<u8> = Vec::new;

#[async_std::test]
async fn requests_that_cannot_be_served_are_refused_by_kind() {
    let platform = Platform::start().await;
    let instance = Instance::start("one", &platform).await;
    let operator = Operator {
        instance: &instance,
        token: token("ana", "60s", OPERATOR_KEYS).await,
    };
    let put = |name, headers, body, status, says| Case {
        name,
        method: Method::Put,
        path: "classes/counter",
        headers,
        body,
        status,
        says,
    };
    let cases = [
        put(
            "unknown field",
            CREATE,
            || changed("weight", json!(3)),
            422,
            "`weight`",
        ),
        put(
            "address",
            CREATE,
            || changed("addr", json!("127.0.0.1:1")),
            422,
            "`addr`",
        ),
        put(
            "missing field",
            CREATE,
            || b"{\"index\":\"i\"}".to_vec(),
            422,
            "`latency`",
        ),
        put(
            "wrong type",
            CREATE,
            || changed("repeatable", json!("yes")),
            422,
            "bad-target",
        ),
        put(
            "no time",
            CREATE,
            || changed("latency", json!("soon")),
            422,
            "field latency",
        ),
        put(
            "zero time",
            CREATE,
            || changed("latency", json!("0ms")),
            422,
            "field latency",
        ),
        put(
            "an hour and more",
            CREATE,
            || changed("latency", json!("3601s")),
            422,
            "field latency",
        ),
        put(
            "no coverage",
            CREATE,
            || changed("coverage", json!("0%")),
            422,
            "field coverage",
        ),
        put(
            "above all",
            CREATE,
            || changed("extra_load", json!("101%")),
            422,
            "field extra_load",
        ),
        put(
            "not an index",
            CREATE,
            || changed("index", json!("a b")),
            422,
            "field index",
        ),
        put(
            "part of an order",
            CREATE,
            || {
                let mut targets = targets();
                targets["repeatable"] = json!(false);
                targets["coverage"] = json!("99%");
                targets.to_string().into_bytes()
            },
            422,
            "field coverage",
        ),
        put("no JSON", CREATE, || b"{".to_vec(), 400, "bad-request"),
        put("nothing", CREATE, NOTHING, 400, "bad-request"),
        put(
            "an array",
            CREATE,
            || br#"["i","170ms","100%","5%",true]"#.to_vec(),
            400,
            "not a JSON object",
        ),
        put(
            "deeply nested",
            CREATE,
            || format!("{{\"index\":{}", "[".repeat(50_000)).into_bytes(),
            422,
            "expected a string",
        ),
        put(
            "too large",
            CREATE,
            || vec![b' '; (64 << 10) + 1],
            413,
            "too-large",
        ),
        put("nothing seen", &[], GOOD, 400, "if-match"),
        put(
            "both seen",
            &[("if-match", "1"), ("if-none-match", "*")],
            GOOD,
            400,
            "if-match",
        ),
        put(
            "no number seen",
            &[("if-match", "x")],
            GOOD,
            400,
            "change number",
        ),
        put(
            "seen and not there",
            &[("if-match", "1")],
            GOOD,
            404,
            "no class counter",
        ),
        put(
            "no change id",
            &[("if-none-match", "*"), ("hw-change", "zz")],
            GOOD,
            400,
            "change id",
        ),
        Case {
            name: "no such class",
            method: Method::Get,
            path: "classes/none",
            headers: &[],
            body: NOTHING,
            status: 404,
            says: "no class none",
        },
        Case {
            name: "no name",
            method: Method::Get,
            path: "classes/a%20b",
            headers: &[],
            body: NOTHING,
            status: 400,
            says: "a class name",
        },
        Case {
            name: "removed, not there",
            method: Method::Delete,
            path: "classes/none",
            headers: &[("if-match", "3")],
            body: NOTHING,
            status: 404,
            says: "no class none",
        },
        Case {
            name: "audit of what",
            method: Method::Get,
            path: "audit?what=1",
            headers: &[],
            body: NOTHING,
            status: 400,
            says: "what",
        },
    ];
    for case in cases {
        let (status, refusal) = operator
            .call(case.method, case.path, case.headers, &(case.body)())
            .await;
        assert_eq!(status, case.status, "{}: {refusal}", case.name);
        assert!(
            refusal.to_string().contains(case.says),
            "{}: {refusal}",
            case.name
        );
        assert_eq!(refusal["ran"], "not run", "{}", case.name);
    }
    assert_eq!(platform.value("config/classes"), None);
}

struct Stranger {
    name: &'static str,
    token: String,
}

#[async_std::test]
async fn only_operators_with_a_valid_token_are_let_in() {
    let platform = Platform::start().await;
    let instance = Instance::start("one", &platform).await;
    let good = token("ana", "60s", OPERATOR_KEYS).await;
    let other_keys = format!("k1:{}", "x".repeat(32));
    let strangers = [
        Stranger {
            name: "no token",
            token: String::new(),
        },
        Stranger {
            name: "no form",
            token: "letmein".to_owned(),
        },
        Stranger {
            name: "at its end",
            token: token("ana", "0s", OPERATOR_KEYS).await,
        },
        Stranger {
            name: "other key",
            token: token("ana", "60s", &other_keys).await,
        },
        Stranger {
            name: "other name",
            token: good.replacen("ana", "eva", 1),
        },
    ];
    let calls = [
        (Method::Get, "classes"),
        (Method::Get, "classes/a"),
        (Method::Put, "classes/a"),
        (Method::Delete, "classes/a"),
        (Method::Get, "status"),
        (Method::Get, "audit"),
    ];
    for stranger in strangers {
        let operator = Operator {
            instance: &instance,
            token: stranger.token,
        };
        for (method, path) in calls {
            let (status, refusal) = operator.call(method, path, CREATE, &GOOD()).await;
            assert_eq!(status, 401, "{} {path}", stranger.name);
            assert_eq!(refusal["kind"], "unauthenticated", "{}", stranger.name);
        }
    }
    assert_eq!(platform.value("config/classes"), None);
    let rotated = OPERATOR_KEYS.split(',').next_back().unwrap();
    for keys in [OPERATOR_KEYS, rotated] {
        let operator = Operator {
            instance: &instance,
            token: token("ana", "60s", keys).await,
        };
        operator.get::<ClassListWire>("classes").await;
    }
}

#[async_std::test]
async fn of_two_operators_that_race_one_is_told_of_a_conflict() {
    let platform = Platform::start().await;
    let (one, two) = join!(
        Instance::start("one", &platform),
        Instance::start("two", &platform)
    );
    let ana = Operator {
        instance: &one,
        token: token("ana", "60s", OPERATOR_KEYS).await,
    };
    let eva = Operator {
        instance: &two,
        token: token("eva", "60s", OPERATOR_KEYS).await,
    };
    for round in 0..10 {
        let class = format!("class-{round}");
        let targets = targets();
        let (first, second) = join!(
            ana.put(&class, CREATE, &targets),
            eva.put(&class, CREATE, &targets)
        );
        let mut statuses = [first.0, second.0];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409], "{first:?} {second:?}");
    }
    let audit: AuditWire = ana.get("audit").await;
    assert_eq!(audit.accepted.len(), 10);
    let list: ClassListWire = eva.get("classes").await;
    for operator in [&ana, &eva] {
        until("the newest classes to be in force", || async {
            operator.get::<StatusWire>("status").await.config == list.config
        })
        .await;
    }
}

#[async_std::test]
async fn a_change_whose_reply_is_lost_is_accepted_once_and_stays() {
    let platform = Platform::start().await;
    let instance = Instance::start("one", &platform).await;
    let ana = Operator {
        instance: &instance,
        token: token("ana", "60s", OPERATOR_KEYS).await,
    };
    platform.faults(|faults| faults.lose_replies = 1);
    let (status, value) = ana.put("counter", CREATE, &targets()).await;
    assert_eq!(status, 200, "{value}");
    let accepted: AcceptedWire = serde_json::from_value(value).unwrap();
    assert_eq!(accepted.change.number, 1);
    assert_eq!(accepted.change.who, "ana");
    assert_eq!(
        accepted.warnings.len(),
        1,
        "the index is not there: {accepted:?}"
    );
    let status: StatusWire = ana.get("status").await;
    assert_eq!(status.config, accepted.config);
    let audit: AuditWire = ana.get("audit").await;
    assert_eq!(audit.accepted, [accepted.change]);
    assert_eq!((audit.refused, audit.next), (vec![], None));
}

#[async_std::test]
async fn while_the_platform_is_down_nothing_changes_and_what_is_in_force_is_shown() {
    let platform = Platform::start().await;
    let instance = Instance::start("one", &platform).await;
    let ana = Operator {
        instance: &instance,
        token: token("ana", "60s", OPERATOR_KEYS).await,
    };
    ana.put("counter", CREATE, &targets()).await;
    platform.faults(|faults| faults.down = true);
    let (status, refusal) = ana.put("counter", &[("if-match", "1")], &targets()).await;
    assert_eq!(
        (status, refusal["kind"].as_str()),
        (503, Some("platform-down")),
        "{refusal}"
    );
    let list: ClassListWire = ana.get("classes").await;
    assert!(!list.current);
    assert_eq!(list.classes.len(), 1);
    platform.faults(|faults| faults.down = false);
    let list: ClassListWire = ana.get("classes").await;
    assert!(list.current);
    assert_eq!(list.classes[0].change, 1);
    let audit: AuditWire = ana.get("audit").await;
    assert_eq!(audit.refused[0].outcome, "platform-down");
}

/// Prints how long after its acceptance a change is in force at seven instances.
#[async_std::test]
#[ignore = "prints times"]
async fn time_until_a_change_is_in_force() {
    const CHANGES: u64 = 20;
    let platform = Platform::start().await;
    let env = [("HYSSOPWALK_PEER_KEYS", "0123456789abcdef")];
    let names = ["a", "b", "c", "d", "e", "f", "g"];
    let starts = names.map(|name| Instance::start_with(name, &platform, &env));
    let instances = futures::future::join_all(starts).await;
    let token = token("ana", "600s", OPERATOR_KEYS).await;
    let operators: Vec<Operator<'_>> = instances
        .iter()
        .map(|instance| Operator {
            instance,
            token: token.clone(),
        })
        .collect();
    async_std::task::sleep(std::time::Duration::from_secs(15)).await;
    let mut times = Vec::new();
    let mut seen = "*".to_owned();
    let before = platform.calls();
    for _ in 0..CHANGES {
        let header = if seen == "*" {
            "if-none-match"
        } else {
            "if-match"
        };
        let (_, value) = operators[0]
            .put("counter", &[(header, &seen)], &targets())
            .await;
        let accepted: AcceptedWire = serde_json::from_value(value).unwrap();
        let begun = Instant::now();
        seen = accepted.change.number.to_string();
        for operator in &operators {
            until("the change to be in force", || async {
                operator.get::<StatusWire>("status").await.config >= accepted.config
            })
            .await;
        }
        times.push(begun.elapsed());
    }
    times.sort_unstable();
    println!(
        "median {:?}, longest {:?}",
        times[times.len() / 2],
        times[times.len() - 1]
    );
    println!("writes {}", platform.calls().writes - before.writes);
}
