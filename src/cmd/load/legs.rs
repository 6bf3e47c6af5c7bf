//! How many legs each upstream was sent, from the instances' metrics.

use std::net::SocketAddr;

use anyhow::Result;
use async_std::net::TcpStream;
use indexmap::IndexMap;
use tide::http::{Request, Url};

const METRIC: &str = "hyssopwalk_legs_total{";
const LABEL: &str = "upstream=\"";

/// The legs sent to each upstream by all instances asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Legs {
    pub(super) by_upstream: IndexMap<String, u64>,
}

impl Legs {
    pub(super) async fn read(instances: &[SocketAddr]) -> Result<Self> {
        let mut legs = Self::default();
        for addr in instances {
            legs.add(&fetch(*addr).await?);
        }
        Ok(legs)
    }

    /// Adds the lines of one instance's metrics.
    pub(super) fn add(&mut self, text: &str) {
        for line in text.lines().filter(|line| line.starts_with(METRIC)) {
            if let Some((upstream, legs)) = read_line(line) {
                *self.by_upstream.entry(upstream.to_owned()).or_default() += legs;
            }
        }
    }

    /// What was sent after `before`, the upstream with most legs first.
    pub(super) fn since(&self, before: &Self) -> Self {
        let mut by_upstream = self.by_upstream.clone();
        for (upstream, legs) in &mut by_upstream {
            *legs -= before
                .by_upstream
                .get(upstream)
                .copied()
                .unwrap_or_default()
                .min(*legs);
        }
        by_upstream.retain(|_, legs| *legs > 0);
        by_upstream.sort_by(|_, one, _, two| two.cmp(one));
        Self { by_upstream }
    }
}

fn read_line(line: &str) -> Option<(&str, u64)> {
    let (_, labels) = line.split_once(LABEL)?;
    let (upstream, _) = labels.split_once('"')?;
    let (_, legs) = line.rsplit_once(' ')?;
    Some((upstream, legs.parse().ok()?))
}

async fn fetch(addr: SocketAddr) -> Result<String> {
    let req = Request::get(Url::parse(&format!("http://{addr}/metrics"))?);
    let stream = TcpStream::connect(addr).await?;
    let mut res = async_h1::connect(stream, req)
        .await
        .map_err(anyhow::Error::msg)?;
    res.body_string().await.map_err(anyhow::Error::msg)
}
