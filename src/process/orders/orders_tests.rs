//! Claims of two instances on one platform with injected faults.

use std::sync::Arc;

use async_std::future::timeout;
use rstest::rstest;

use super::id::RETENTION_SECS;
use super::token_bucket::TokenBucket;
use super::{Claim, OrderKey, Orders};
use crate::error::{ErrorKind, Refusal};
use crate::process::Clock;
use crate::process::platform::fake::{FakePlatform, Faults};
use crate::request::QueryRequest;
use crate::types::{Fingerprint, PerSecond, Span, Timestamp, UnixSeconds};

const BODY: Fingerprint = Fingerprint(1);
const LONG: Span = Span::from_secs(20);
const SHORT: Span = Span::from_millis(50);

struct Fleet {
    platform: Arc<FakePlatform>,
    instances: [Arc<Orders>; 2],
}

impl Fleet {
    fn new() -> Self {
        let platform = Arc::new(FakePlatform::default());
        let instances = [(); 2].map(|()| Orders::new(platform.clone(), Clock::new()));
        Self {
            platform,
            instances,
        }
    }

    async fn claim(&self, at: usize, key: OrderKey, within: Span) -> Result<Claim, Refusal> {
        let orders = &self.instances[at];
        let deadline = orders.clock.now() + within;
        orders.claim(key, BODY, deadline).await
    }

    /// Retries until an earlier claim is released; panics if it is not released in time.
    async fn claim_after_release(&self, at: usize, key: OrderKey) -> Claim {
        let released = async {
            loop {
                if let Ok(claim) = self.claim(at, key, LONG).await {
                    return claim;
                }
            }
        };
        timeout(LONG.as_duration(), released)
            .await
            .expect("the claim is released")
    }
}

fn request(key: Option<&str>) -> QueryRequest {
    QueryRequest {
        caller: "suva".parse().unwrap(),
        class: "order-desk".parse().unwrap(),
        body: Arc::from(&b"album"[..]),
        timeout: None,
        key: key.map(|key| key.parse().unwrap()),
    }
}

fn key_sent(at: UnixSeconds) -> OrderKey {
    OrderKey::of(&request(Some(&format!("{at}:job-1")))).unwrap()
}

fn key() -> OrderKey {
    key_sent(Clock::new().wall())
}

fn kind(claim: Result<Claim, Refusal>) -> Option<ErrorKind> {
    claim.err().map(|refusal| refusal.kind)
}

struct Fault {
    change: fn(&mut Faults),
}

#[rstest]
#[case::none(Fault { change: |_| {} })]
#[case::reply_lost(Fault { change: |faults| faults.lose_replies = 1 })]
#[case::replies_lost(Fault { change: |faults| faults.lose_replies = 3 })]
#[case::write_lost(Fault { change: |faults| faults.lose_writes = 1 })]
#[case::shed(Fault { change: |faults| faults.busy = 2 })]
#[async_std::test]
async fn a_claim_survives_platform_faults_and_is_granted_once(#[case] fault: Fault) {
    let fleet = Fleet::new();
    fleet.platform.faults(fault.change);
    let key = key();
    let mut claim = fleet.claim(0, key, LONG).await.unwrap();
    claim.begin();
    for at in [0, 1] {
        let repeated = fleet.claim(at, key, LONG).await;
        assert_eq!(kind(repeated), Some(ErrorKind::Duplicate));
    }
}

#[async_std::test]
async fn a_claim_written_between_our_read_and_write_is_not_overwritten() {
    let fleet = Fleet::new();
    let key = key();
    let conflicting = serde_json::json!({
        "claims": [[key.id.to_string(), "0000000000000001", BODY.to_string(), false]],
    });
    fleet
        .platform
        .inject_conflicting_write(key.page().key().as_str(), conflicting);
    let refused = fleet.claim(0, key, LONG).await;
    assert_eq!(kind(refused), Some(ErrorKind::Duplicate));
}

#[async_std::test]
async fn only_one_of_many_concurrent_attempts_gets_the_claim() {
    let fleet = Fleet::new();
    let key = key();
    let attempts = (0..20).map(|at| fleet.claim(at % 2, key, LONG));
    let claims = futures::future::join_all(attempts).await;
    let kinds: Vec<_> = claims.into_iter().map(kind).collect();
    let held = kinds.iter().filter(|kind| kind.is_none()).count();
    assert_eq!(held, 1, "{kinds:?}");
}

#[async_std::test]
async fn an_outage_refuses_the_order_and_leaves_no_claim() {
    let fleet = Fleet::new();
    let key = key();
    fleet.platform.faults(|faults| faults.down = true);
    let refused = fleet.claim(0, key, SHORT).await;
    assert_eq!(kind(refused), Some(ErrorKind::PlatformDown));
    fleet.platform.faults(|faults| faults.down = false);
    assert_eq!(kind(fleet.claim(1, key, LONG).await), None);
}

#[async_std::test]
async fn a_claim_of_unknown_outcome_is_removed_after_its_deadline() {
    let fleet = Fleet::new();
    let key = key();
    fleet.platform.faults(|faults| faults.lose_writes = 1_000);
    let refused = fleet.claim(0, key, SHORT).await;
    assert_eq!(kind(refused), Some(ErrorKind::PlatformDown));
    fleet.platform.faults(|faults| faults.lose_writes = 0);
    fleet.claim_after_release(1, key).await;
}

enum Ending {
    Dropped,
    DroppedAfterBegin,
    Refused(ErrorKind),
}

struct Close {
    ending: Ending,
    claimed_again: bool,
}

#[rstest]
#[case::never_begun(Close { ending: Ending::Dropped, claimed_again: true })]
#[case::abandoned(Close { ending: Ending::DroppedAfterBegin, claimed_again: false })]
#[case::not_run(Close { ending: Ending::Refused(ErrorKind::NoUpstream), claimed_again: true })]
#[case::may_have_run(Close {
    ending: Ending::Refused(ErrorKind::UpstreamFailed),
    claimed_again: false,
})]
#[async_std::test]
async fn a_claim_is_released_only_when_its_order_did_not_run(#[case] close: Close) {
    let fleet = Fleet::new();
    let key = key();
    let mut claim = fleet.claim(0, key, LONG).await.unwrap();
    match close.ending {
        Ending::Dropped => drop(claim),
        Ending::DroppedAfterBegin => {
            claim.begin();
            drop(claim);
        }
        Ending::Refused(kind) => {
            claim.begin();
            claim.close(&Err(Refusal::new(kind, "")));
        }
    }
    if close.claimed_again {
        fleet.claim_after_release(1, key).await;
    } else {
        // On the first instance, a queued release would be applied before this claim.
        for at in [0, 1] {
            let repeated = fleet.claim(at, key, LONG).await;
            assert_eq!(kind(repeated), Some(ErrorKind::Duplicate));
        }
    }
}

struct Key {
    text: Option<&'static str>,
    refused: ErrorKind,
}

#[rstest]
#[case::missing(Key { text: None, refused: ErrorKind::BadRequest })]
#[case::no_time(Key { text: Some("job-1"), refused: ErrorKind::BadRequest })]
#[case::no_name(Key { text: Some("1796382000:"), refused: ErrorKind::BadRequest })]
#[case::not_a_time(Key { text: Some("now:job-1"), refused: ErrorKind::BadRequest })]
#[case::old(Key { text: Some("1000:job-1"), refused: ErrorKind::StaleKey })]
#[case::ahead(Key { text: Some("99999999999:job-1"), refused: ErrorKind::StaleKey })]
fn a_key_needs_a_name_and_the_time_at_which_its_order_was_first_sent(#[case] case: Key) {
    let checked = OrderKey::of(&request(case.text)).and_then(|key| key.check(Clock::new().wall()));
    assert_eq!(checked.unwrap_err().kind, case.refused);
}

#[async_std::test]
async fn an_instance_with_a_lagging_clock_cannot_claim_a_swept_order() {
    let fleet = Fleet::new();
    let [lagging, sweeper] = &fleet.instances;
    let now = Clock::new().wall();
    sweeper.sweep(now).await.unwrap();
    let key = key_sent(now);
    fleet.claim(0, key, LONG).await.unwrap().begin();
    let page = key.page().key();
    assert!(fleet.platform.value(page.as_str()).is_some());

    let mut later = now;
    for _ in 0..10 {
        later = UnixSeconds(later.0 + RETENTION_SECS);
        sweeper.sweep(later).await.unwrap();
    }
    assert!(fleet.platform.value(page.as_str()).is_none());
    assert!(key.check(lagging.clock.wall()).is_ok(), "the clock lags");
    let repeated = fleet.claim(0, key, LONG).await;
    assert_eq!(kind(repeated), Some(ErrorKind::StaleKey));
}

#[test]
fn the_token_bucket_limits_the_write_rate() {
    const SECONDS: u64 = 100;
    let rate = PerSecond(200.0 / 7.0);
    let mut bucket = TokenBucket::new(Timestamp(0));
    let mut now = Timestamp(0);
    let mut writes = 0.0;
    while now < Timestamp(0) + Span::from_secs(SECONDS) {
        match bucket.take(now, rate) {
            Ok(()) => writes += 1.0,
            Err(wait) => now = now + wait.max(Span(1)),
        }
    }
    let burst = 8.0;
    assert!(writes <= rate.0 * 100.0 + burst + 1.0, "{writes} writes");
}
