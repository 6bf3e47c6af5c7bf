//! An operator, over HTTP and with the commands of the real binary.

use std::process::{Command, Output};

use serde_json::{Value, json};
use tide::http::{Method, Request};

use super::instance::Instance;
use super::send;

/// What a change that creates a class states.
pub(crate) const CREATE: &[(&str, &str)] = &[("if-none-match", "*")];

/// Runs a command of the binary and waits for its end.
pub(crate) async fn run(args: &[&str], env: &[(&str, &str)]) -> Output {
    let mut command = Command::new(option_env!("CARGO_BIN_EXE_hyssopwalk").unwrap_or_default());
    command.args(args).envs(env.iter().copied());
    let ran = async_std::task::spawn_blocking(move || command.output());
    ran.await.expect("the binary starts")
}

/// A token for an operator, signed by the command with the first of these keys.
pub(crate) async fn token(operator: &str, lasting: &str, keys: &str) -> String {
    let keys = [("HYSSOPWALK_OPERATOR_KEYS", keys)];
    let ran = run(&["token", "--operator", operator, "--for", lasting], &keys).await;
    assert!(ran.status.success(), "{ran:?}");
    String::from_utf8(ran.stdout).unwrap().trim().to_owned()
}

/// Targets that are accepted.
pub(crate) fn targets() -> Value {
    json!({
        "index": "pattern-finder", "latency": "170ms", "coverage": "100%",
        "extra_load": "5%", "repeatable": true,
    })
}

/// An operator who asks one instance.
pub(crate) struct Operator<'a> {
    pub(crate) instance: &'a Instance,
    pub(crate) token: String,
}

impl Operator<'_> {
    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> (u16, Value) {
        let url = format!("http://{}/v1/operator/{path}", self.instance.addr);
        let mut req = Request::new(method, url.as_str());
        if !self.token.is_empty() {
            req.insert_header("authorization", format!("Bearer {}", self.token));
        }
        for (name, value) in headers {
            req.insert_header(*name, *value);
        }
        req.set_body(body);
        let mut res = send(req).await.expect("a reply");
        let body = res.body_bytes().await.expect("a body");
        let value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        (res.status().into(), value)
    }

    pub(crate) async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> T {
        let (status, value) = self.call(Method::Get, path, &[], b"").await;
        assert_eq!(status, 200, "{value}");
        serde_json::from_value(value).expect("the form of that answer")
    }

    pub(crate) async fn put(
        &self,
        class: &str,
        headers: &[(&str, &str)],
        targets: &Value,
    ) -> (u16, Value) {
        let path = format!("classes/{class}");
        let body = targets.to_string();
        self.call(Method::Put, &path, headers, body.as_bytes())
            .await
    }
}
