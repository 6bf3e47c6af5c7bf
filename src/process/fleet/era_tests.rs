//! Instances whose store comes back from an older copy have the newest configuration, on every way
//! by which it reaches them.
//!
//! Guards against a configuration that is ignored because its revision is below one from before; see
//! `docs/incidents/store-back-from-a-copy.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task::{block_on, sleep, spawn};
use rstest::rstest;
use serde_json::json;

use super::Node;
use super::slow_link_tests::{SMALL, set_config, start_node, wait_for_version, write};
use crate::connection::accept_peers;
use crate::process::platform::fake::FakePlatform;
use crate::types::{ByteCount, Era};

/// Sent in chunks.
const LARGE: ByteCount = ByteCount(100_000);
/// Longer than a watch waits.
const SETTLED: Duration = Duration::from_millis(1_200);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The operator writes this version.
    Write(u64),
    /// Something else is written so many times.
    WriteOthers(usize),
    CopyStore,
    /// The store goes away for at least so many milliseconds.
    Leave(u64),
    /// The store has what the copy has from now on.
    Restore,
    /// The store is no longer away.
    Return,
    /// Everything that was written has arrived, and watches wait again.
    Settle,
}
use Step::{CopyStore, Leave, Restore, Return, Settle, Write, WriteOthers};

struct Case {
    size: ByteCount,
    steps: &'static [Step],
    /// The version in force in the end at an instance that reads the store, at one that follows it,
    /// and at one that starts then and reaches only the others.
    wanted: u64,
}

const CHANGED_LATER: &[Step] = &[
    Write(7),
    CopyStore,
    WriteOthers(20),
    Write(9),
    Settle,
    Restore,
    Write(9),
    Settle,
    Write(11),
];
const COPY_ONLY: &[Step] = &[Write(7), CopyStore, Write(9), Settle, Restore, Settle];

#[rstest]
#[case::changed_later(Case { size: SMALL, steps: CHANGED_LATER, wanted: 11 })]
#[case::a_large_one(Case { size: LARGE, steps: CHANGED_LATER, wanted: 11 })]
#[case::only_the_copy(Case { size: SMALL, steps: COPY_ONLY, wanted: 9 })]
#[case::a_large_one_of_which_the_copy_has_an_older_one(Case {
    size: LARGE, steps: COPY_ONLY, wanted: 9,
})]
#[case::away_for_some_time(Case {
    size: SMALL,
    steps: &[Write(7), CopyStore, WriteOthers(20), Write(9), Settle, Leave(1_500),Restore,Return, Write(11)],
    wanted: 11,
})]
#[case::the_watch_goes_on_at_a_revision_that_exists_again(Case {
    size: SMALL,
    steps: &[
        Write(7), CopyStore, Write(9), Settle, Leave(300), Restore, Write(11), WriteOthers(5), Return,
    ],
    wanted: 11,
})]
#[case::two_drills_within_a_moment(Case {
    size: SMALL,
    steps: &[
        Write(7), CopyStore, WriteOthers(20), Write(9), Settle, Restore, Write(9), Restore, Write(11),
    ],
    wanted: 11,
})]
fn the_newest_configuration_is_in_force_after_a_drill(#[case] case: Case) {
    block_on(async {
        let store = Arc::new(FakePlatform::default());
        store.begin_eras();
        set_config(&store, write(0, 1, case.size));
        let (reader, reader_addr) = start_serving("reader", 2, Vec::new(), &store).await;
        wait_for_version(&reader, 1).await;
        let away = Arc::new(FakePlatform::default());
        away.faults(|faults| faults.down = true);
        let (follower, follower_addr) =
            start_serving("follower", 3, vec![reader_addr], &away).await;
        wait_for_version(&follower, 1).await;
        let mut copy = store.copy();
        let mut restored = 0;
        for step in case.steps {
            match *step {
                Write(version) => set_config(&store, write(0, version, case.size)),
                WriteOthers(count) => (0..count).for_each(|number| {
                    store.set("notes/a", &json!(number));
                }),
                CopyStore => copy = store.copy(),
                Leave(away_ms) => {
                    store.faults(|faults| faults.down = true);
                    sleep(Duration::from_millis(away_ms)).await;
                }
                Restore => {
                    store.restore(copy.clone());
                    restored += 1;
                }
                Return => store.faults(|faults| faults.down = false),
                Settle => sleep(SETTLED).await,
            }
        }
        wait_for_version(&reader, case.wanted).await;
        wait_for_version(&follower, case.wanted).await;
        let seeds = vec![reader_addr, follower_addr];
        let (newcomer, _) = start_serving("newcomer", 4, seeds, &away).await;
        wait_for_version(&newcomer, case.wanted).await;
        for node in [&reader, &follower, &newcomer] {
            assert_eq!(node.object_cache.lock().era(), Era(1 + restored));
        }
    });
}

/// Instances serve others in the order of their addresses, so `place` says which one reads the store.
async fn start_serving(
    name: &str,
    place: u8,
    seeds: Vec<SocketAddr>,
    store: &Arc<FakePlatform>,
) -> (Arc<Node>, SocketAddr) {
    let ip = SocketAddr::from(([127, 0, 3, place], 0));
    let listener = TcpListener::bind(ip).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let node = start_node(name, addr, seeds, Arc::clone(store));
    spawn(accept_peers(Arc::clone(&node), listener));
    (node, addr)
}
