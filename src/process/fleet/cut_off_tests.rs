//! Instances whose parent is cut off, while they are not.
//!
//! Guards against callers that are served by an old configuration for as long as the parent of
//! their instance is cut off; see `docs/incidents/follower-of-a-cut-off-instance.md`.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use async_std::io::{ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{block_on, sleep, spawn};
use futures::future::join_all;
use rstest::rstest;

use super::slow_link_tests::{SMALL, set_config, start_in_domain, wait_for_version, write};
use super::{Node, Parent};
use crate::connection::accept_peers;
use crate::process::platform::fake::FakePlatform;

/// The instances of each domain, by name. There are so many that asking one silent instance after
/// the other takes longer than a configuration may.
const DOMAINS: [(&str, &[&str]); 4] = [
    ("a", &["a-1", "a-2", "a-3", "a-4"]),
    ("b", &["b-1", "b-2"]),
    ("c", &["c-1", "c-2", "c-3", "c-4"]),
    ("d", &["d-1"]),
];

const SETTLED_WITHIN: Duration = Duration::from_secs(30);

/// From whom instances are cut off, besides the store.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Cut {
    /// From the instances of other domains.
    OtherDomains,
    /// The same, and their requests reach nobody in their own domain either.
    AllRequests,
}

struct Case {
    cut: Cut,
    cut_off: &'static [&'static str],
    /// Instances that are not cut off, but that the store refuses.
    refused: &'static [&'static str],
    /// Some of the instances, and the ones that they follow before the cut.
    follows: &'static [(&'static str, &'static str)],
}

#[rstest]
#[case::the_first_of_a_domain(Case {
    cut: Cut::OtherDomains, cut_off: &["b-1"], refused: &[],
    follows: &[("b-2", "b-1"), ("c-1", "a-1")],
})]
#[case::a_first_that_cannot_ask_its_followers(Case {
    cut: Cut::AllRequests, cut_off: &["b-1"], refused: &[],
    follows: &[("b-2", "b-1"), ("c-1", "a-1")],
})]
#[case::a_first_whose_follower_does_not_reach_the_store(Case {
    cut: Cut::OtherDomains, cut_off: &["b-1"], refused: &["b-2"],
    follows: &[("b-2", "b-1"), ("c-1", "a-1")],
})]
#[case::the_reader(Case {
    cut: Cut::OtherDomains, cut_off: &["a-1"], refused: &[],
    follows: &[("a-2", "a-1"), ("b-1", "a-1")],
})]
#[case::all_but_one(Case {
    cut: Cut::OtherDomains,
    cut_off: &["a-1", "a-2", "a-3", "a-4", "b-1", "b-2", "c-1", "c-2", "c-3", "c-4"],
    refused: &[],
    follows: &[("b-2", "b-1"), ("d-1", "a-1")],
})]
fn an_instance_that_is_not_cut_off_has_the_configuration(#[case] case: Case) {
    block_on(async {
        let is_cut = Arc::new(AtomicBool::new(false));
        let store = Arc::new(FakePlatform::default());
        let failing_store = Arc::new(FakePlatform::default());
        for store in [&store, &failing_store] {
            set_config(store, write(0, 1, SMALL));
        }
        let mut nodes: Vec<Arc<Node>> = Vec::new();
        let all = DOMAINS
            .iter()
            .flat_map(|(domain, names)| names.iter().map(move |one| (*domain, *one)));
        let all: Vec<(&str, &str)> = all.collect();
        let is_cut_off = |name: &str| case.cut_off.contains(&name);
        for (domain, name) in &all {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let target = listener.local_addr().unwrap();
            let openers = all.iter().map(|(other_domain, other)| {
                let is_between_domains = other_domain != domain;
                let is_apart = match (is_cut_off(name), is_cut_off(other)) {
                    (_, true) => is_between_domains || case.cut == Cut::AllRequests,
                    (true, false) => is_between_domains,
                    (false, false) => false,
                };
                (*other, is_apart)
            });
            let place = u8::try_from(nodes.len() + 2).unwrap();
            let addr = link(place, target, openers.collect(), Arc::clone(&is_cut)).await;
            let seeds = nodes.iter().map(|node| node.settings.me.member.peer_addr);
            let own_store = if is_cut_off(name) || case.refused.contains(name) {
                &failing_store
            } else {
                &store
            };
            let node = start_in_domain(name, domain, addr, seeds.collect(), Arc::clone(own_store));
            spawn(accept_peers(Arc::clone(&node), listener));
            wait_for_version(&node, 1).await;
            nodes.push(node);
        }
        for (name, followed) in case.follows {
            wait_until_it_follows(&nodes, name, followed).await;
        }
        is_cut.store(true, Ordering::Relaxed);
        failing_store.faults(|faults| faults.down = true);
        sleep(Duration::from_millis(50)).await;
        set_config(&store, write(0, 2, SMALL));
        let in_touch = nodes.iter().filter(|node| !is_cut_off(&name_of(node)));
        join_all(in_touch.map(|node| wait_for_version(node, 2))).await;
    });
}

fn name_of(node: &Node) -> String {
    node.settings.me.member.name.to_string()
}

async fn wait_until_it_follows(nodes: &[Arc<Node>], name: &str, followed: &str) {
    let node = |name| nodes.iter().find(|node| name_of(node) == name).unwrap();
    let wanted = Parent::Instance(node(followed).settings.me.member.peer_addr);
    let node = node(name);
    let began = Instant::now();
    while node.fleet.lock().parent(node.clock.now()) != wanted {
        assert!(
            began.elapsed() < SETTLED_WITHIN,
            "{name} does not follow {followed}"
        );
        sleep(Duration::from_millis(10)).await;
    }
}

/// The names of those that open connections, and whether they are cut off from the one that accepts
/// them.
type Openers = Vec<(&'static str, bool)>;

/// Relays connections to `target`. While instances are cut off, nothing passes on connections of
/// those that are cut off from it.
async fn link(
    place: u8,
    target: SocketAddr,
    openers: Openers,
    is_cut: Arc<AtomicBool>,
) -> SocketAddr {
    // Instances serve others in the order of their addresses.
    let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 0, place));
    let listener = TcpListener::bind((ip, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            let flags = [Arc::clone(&is_cut), Arc::default()];
            spawn(relay(
                client.clone(),
                server.clone(),
                flags.clone(),
                openers.clone(),
            ));
            spawn(relay(server, client, flags, Vec::new()));
        }
    });
    addr
}

async fn relay(
    mut from: TcpStream,
    mut to: TcpStream,
    [is_cut, is_apart]: [Arc<AtomicBool>; 2],
    mut openers: Openers,
) {
    let mut chunk = vec![0; 4 << 10];
    while let Ok(count @ 1..) = from.read(&mut chunk).await {
        let bytes = &chunk[..count];
        // The first name on a connection is that of the instance that opened it.
        let holds = |name: &str| {
            bytes
                .windows(name.len())
                .any(|part| part == name.as_bytes())
        };
        if let Some((_, opener_is_apart)) = openers.iter().find(|(name, _)| holds(name)) {
            is_apart.store(*opener_is_apart, Ordering::Relaxed);
            openers.clear();
        }
        let drops = is_apart.load(Ordering::Relaxed) && is_cut.load(Ordering::Relaxed);
        if !drops && to.write_all(bytes).await.is_err() {
            return;
        }
    }
}
