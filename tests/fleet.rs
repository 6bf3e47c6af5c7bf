//! Runs several instances, each as a separate process, on one platform.

mod instance_processes;
#[path = "soak/proxy.rs"]
#[allow(dead_code, reason = "only some of the faults are used")]
mod proxy;
mod standin;

use std::time::{Duration, Instant};

use async_std::task::sleep;
use hyssopwalk::AddressesWire;
use instance_processes::{
    INSTANCE_NAMES, Instance, StartOptions, fleet, get_json, wait_for_members,
};
use proxy::{LinkFault, Proxy};
use rustix::process::Signal;
use standin::platform::Platform;
use standin::{guild, query, until};

#[async_std::test]
async fn six_instances_agree_on_the_live_members() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let instances = fleet(&platform).await;

    let mut leaders = 0;
    for instance in &instances {
        let members = instance.members().await.unwrap();
        assert_eq!(members.cells.len(), 3, "{members:?}");
        leaders += usize::from(members.role == "leading");
        let answer: AddressesWire = get_json(
            instance.addr,
            "/v1/addresses?caller=x&failure_domain=suva-a",
        )
        .await
        .unwrap();
        let local = answer.addresses.iter();
        let local = local.filter(|address| address.failure_domain == "suva-a");
        assert_eq!(
            (answer.addresses.len(), local.count()),
            (3, 2),
            "{answer:?}"
        );
    }
    assert_eq!(leaders, 3);
}

#[async_std::test]
async fn a_configuration_reaches_followers_through_their_leader() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let instances = fleet(&platform).await;
    let classes = platform.value("config/classes").unwrap();
    let version = platform.set("config/classes", classes);
    wait_for_config(&instances, version).await;
}

/// A configuration has to be in force everywhere within this time.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);

/// Guards against followers that keep an old configuration because their leader is cut off.
#[async_std::test]
async fn a_configuration_reaches_followers_of_a_leader_that_is_cut_off() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let link = Proxy::start(platform.addr).await;
    let options = StartOptions {
        heartbeat: "1s",
        ..StartOptions::default()
    };
    let leader = options.start(link.addr).await;
    until("the instance to lead", || has_role(&leader, "leading")).await;
    let options = StartOptions {
        name: "two",
        ..options
    };
    let follower = options.start(platform.addr).await;
    until("the other to follow", || has_role(&follower, "following")).await;
    // By then the watches end that the follower began before it had a leader.
    sleep(Duration::from_secs(2)).await;
    link.set_fault(LinkFault::Blackhole);
    let classes = platform.value("config/classes").unwrap();
    let version = platform.set("config/classes", classes);
    let began = Instant::now();
    wait_for_config(&[follower], version).await;
    let took = began.elapsed();
    assert!(took <= IN_FORCE_WITHIN, "in force after {took:?}");
}

async fn has_role(instance: &Instance, role: &str) -> bool {
    let members = instance.members().await;
    members.is_some_and(|members| members.role == role)
}

#[async_std::test]
async fn a_planned_stop_exits_with_zero_and_leaves_the_membership() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let mut instances = fleet(&platform).await;
    for at in [0, 1] {
        let leaving = instances.remove(0);
        leaving.signal(Signal::TERM);
        assert_eq!(leaving.exited().await.code(), Some(0));
        wait_for_members(&instances, &INSTANCE_NAMES[at + 1..]).await;
    }
}

#[async_std::test]
async fn a_second_interrupt_exits_at_once_with_another_code() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let options = StartOptions {
        keep: "600s",
        ..StartOptions::default()
    };
    let instance = options.start(platform.addr).await;
    until("the instance to be ready", || instance.ready()).await;
    instance.signal(Signal::INT);
    until("the instance to leave", || async {
        let members = instance.members().await;
        members.is_some_and(|members| members.readiness == "leaving")
    })
    .await;
    instance.signal(Signal::INT);
    assert_eq!(instance.exited().await.code(), Some(4));
}

#[async_std::test]
async fn an_instance_with_another_key_is_not_a_peer_and_still_serves() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let instances = fleet(&platform).await;
    let options = StartOptions {
        name: "stranger",
        key: "another-key-of-16-bytes",
        ..StartOptions::default()
    };
    let outsider = options.start(platform.addr).await;
    until("the instance with the other key to be ready", || {
        outsider.ready()
    })
    .await;
    let (status, _) = query(outsider.addr, "courier-board", "{}").await.unwrap();
    assert_eq!(status, 200);
    for instance in &instances {
        assert_eq!(instance.live_members().await, INSTANCE_NAMES);
    }
}

#[async_std::test]
async fn an_instance_that_starts_in_an_outage_gets_the_configuration_from_peers() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let instances = fleet(&platform).await;
    let config = instances[0].members().await.unwrap().config;
    let mut seeds = Vec::new();
    for cell in instances[0].members().await.unwrap().cells {
        seeds.extend(cell.members.into_iter().map(|member| member.peer_addr));
    }
    platform.list_instances(Vec::new());
    platform.faults(|faults| faults.down = true);
    let seeds = seeds.join(",");
    let options = StartOptions {
        name: "new",
        seeds: &seeds,
        ..StartOptions::default()
    };
    let new = options.start(platform.addr).await;
    until("the new instance to be ready", || new.ready()).await;
    assert_eq!(new.members().await.unwrap().config, config);
    let (status, _) = query(new.addr, "courier-board", "{}").await.unwrap();
    assert_eq!(status, 200);
}

async fn leader_index(instances: &[Instance], cell: &str) -> usize {
    for (at, instance) in instances.iter().enumerate() {
        let members = instance.members().await.unwrap();
        if members.role == "leading" && members.cell.as_deref() == Some(cell) {
            return at;
        }
    }
    panic!("{cell} has no leader");
}

async fn wait_for_config(instances: &[Instance], version: u64) {
    for instance in instances {
        until("the configuration to be in force", || async {
            let members = instance.members().await;
            members.is_some_and(|members| members.config == version)
        })
        .await;
    }
}

#[async_std::test]
async fn a_paused_leader_is_replaced_and_follows_when_it_resumes() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let mut instances = fleet(&platform).await;
    let paused = instances.remove(leader_index(&instances, "suva-a/0").await);
    let before = paused.members().await.unwrap();
    paused.signal(Signal::STOP);
    let classes = platform.value("config/classes").unwrap();
    let version = platform.set("config/classes", classes);
    wait_for_config(&instances, version).await;
    until("another leader to be elected", || async {
        let summary = platform.value("cells/suva-a/0").unwrap();
        summary["epoch"].as_u64() > before.epoch
    })
    .await;

    paused.signal(Signal::CONT);
    until("the old leader to follow", || async {
        let members = paused.members().await.unwrap();
        members.role == "following" && members.epoch > before.epoch && members.config == version
    })
    .await;
    let resumed = [paused];
    wait_for_members(&instances, &INSTANCE_NAMES).await;
    wait_for_members(&resumed, &INSTANCE_NAMES).await;
}

#[async_std::test]
async fn addresses_omit_a_lost_failure_domain() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let mut instances = fleet(&platform).await;
    instances.drain(..2);
    wait_for_members(&instances, &INSTANCE_NAMES[2..]).await;
    for instance in &instances {
        let path = "/v1/addresses?caller=x&failure_domain=suva-a&region=central";
        let answer: AddressesWire = get_json(instance.addr, path).await.unwrap();
        assert_eq!(answer.addresses.len(), 3);
        for address in answer.addresses {
            assert_ne!(address.failure_domain, "suva-a");
        }
    }
}

#[async_std::test]
async fn an_outage_with_a_lost_leader_changes_nothing_until_it_ends() {
    let platform = Platform::start().await;
    let _indexes = guild::start(&platform, &guild::SIZES[3..]).await;
    let mut instances = fleet(&platform).await;
    let config = instances[0].members().await.unwrap().config;
    platform.faults(|faults| faults.down = true);
    drop(instances.remove(leader_index(&instances, "suva-a/0").await));
    for instance in &instances {
        until("the lease of its leader to expire", || async {
            let members = instance.members().await.unwrap();
            members.role == "orphan"
        })
        .await;
        assert!(instance.ready().await);
        let (status, _) = query(instance.addr, "courier-board", "{}").await.unwrap();
        assert_eq!(status, 200);
        assert_eq!(instance.members().await.unwrap().config, config);
    }
    platform.faults(|faults| faults.down = false);
    let classes = platform.value("config/classes").unwrap();
    let version = platform.set("config/classes", classes);
    wait_for_config(&instances, version).await;
    let names: Vec<&str> = instances
        .iter()
        .map(|instance| instance.name.as_str())
        .collect();
    wait_for_members(&instances, &names).await;
}
