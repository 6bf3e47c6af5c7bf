//! Operator requests, over HTTP and through the commands of the real binary.

use std::process::{Command, Output};

use serde_json::{Value, json};
use tide::http::{Method, Request};

use super::instance::Instance;
use super::send;

/// Precondition headers of a request that creates a class.
pub(crate) const CREATE_HEADERS: &[(&str, &str)] = &[("if-none-match", "*")];

/// Runs a command of the binary and waits for it to exit.
pub(crate) async fn run(args: &[&str], env: &[(&str, &str)]) -> Output {
    let mut command = Command::new(option_env!("CARGO_BIN_EXE_hyssopwalk").unwrap_or_default());
    command.args(args).envs(env.iter().copied());
    let output = async_std::task::spawn_blocking(move || command.output());
    output.await.expect("the binary starts")
}

/// Issues a token for an operator with the `token` command, signed with the first of `keys`.
pub(crate) async fn token(operator: &str, lifetime: &str, keys: &str) -> String {
    let keys = [("HYSSOPWALK_OPERATOR_KEYS", keys)];
    let output = run(&["token", "--operator", operator, "--for", lifetime], &keys).await;
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).unwrap().trim().to_owned()
}

/// Returns valid class targets.
pub(crate) fn targets() -> Value {
    json!({
        "index": "pattern-finder", "latency": "170ms", "coverage": "100%",
        "extra_load": "5%", "repeatable": true,
    })
}

/// A client of one instance's operator API.
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
        serde_json::from_value(value).expect("the expected response type")
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
