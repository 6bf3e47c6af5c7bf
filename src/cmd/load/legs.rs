//! Counts the legs sent to each upstream, read from the metrics of the instances.

use std::net::SocketAddr;

use anyhow::Result;
use async_std::net::TcpStream;
use indexmap::IndexMap;
use tide::http::{Request, Url};

const LEGS_METRIC: &str = "hyssopwalk_legs_total{";
const UPSTREAM_LABEL: &str = "upstream=\"";

/// The number of legs sent to each upstream, summed over the instances.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct LegCounts {
    pub(super) by_upstream: IndexMap<String, u64>,
}

impl LegCounts {
    pub(super) async fn read(instances: &[SocketAddr]) -> Result<Self> {
        let mut legs = Self::default();
        for addr in instances {
            legs.add(&fetch(*addr).await?);
        }
        Ok(legs)
    }

    /// Adds the counts in one instance's metrics.
    pub(super) fn add(&mut self, text: &str) {
        for line in text.lines().filter(|line| line.starts_with(LEGS_METRIC)) {
            if let Some((upstream, legs)) = parse_line(line) {
                *self.by_upstream.entry(upstream.to_owned()).or_default() += legs;
            }
        }
    }

    /// Returns the legs sent since `before` was read, in descending order of legs.
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

fn parse_line(line: &str) -> Option<(&str, u64)> {
    let (_, labels) = line.split_once(UPSTREAM_LABEL)?;
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
