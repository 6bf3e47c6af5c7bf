//! How marks of requests reach all instances.

use rstest::rstest;

use super::{RECIPIENTS, recipients};
use crate::process::cells::{Member, MemberState};
use crate::types::Incarnation;

fn member(number: usize) -> Member {
    Member {
        name: format!("front-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
        addr: "127.0.0.1:1".parse().unwrap(),
        peer_addr: "127.0.0.1:2".parse().unwrap(),
        failure_domain: "suva-a".parse().unwrap(),
        region: "central".parse().unwrap(),
        state: MemberState::Live,
    }
}

/// A mark has to be known everywhere within five seconds; a step takes about 0.2 s.
const MAX_STEPS: usize = 25;

struct Fleet {
    instances: usize,
    max_steps: usize,
}

/// Guards against a mark that does not reach an instance, or reaches it late.
#[rstest]
#[case::alone(Fleet { instances: 1, max_steps: 0 })]
#[case::two(Fleet { instances: 2, max_steps: 1 })]
#[case::seven(Fleet { instances: 7, max_steps: 1 })]
#[case::eight(Fleet { instances: 8, max_steps: MAX_STEPS })]
#[case::hundreds(Fleet { instances: 330, max_steps: MAX_STEPS })]
fn a_mark_reaches_all_instances_within_a_few_steps(#[case] fleet: Fleet) {
    let members: Vec<Member> = (0..fleet.instances).map(member).collect();
    let mut reached = vec![&members[0]];
    let mut told = reached.clone();
    let mut steps = 0;
    while reached.len() < fleet.instances && steps <= fleet.max_steps {
        steps += 1;
        let mut next = Vec::new();
        for from in told {
            let chosen = recipients(members.iter().collect(), from);
            assert!(chosen.len() <= RECIPIENTS as usize && !chosen.contains(&from));
            next.extend(chosen.into_iter().filter(|to| !reached.contains(to)));
        }
        next.sort_unstable_by_key(|member| member.name.clone());
        next.dedup();
        reached.extend(&next);
        told = next;
    }
    let all_reached = reached.len() == fleet.instances && steps <= fleet.max_steps;
    assert!(all_reached, "{} in {steps} steps", reached.len());
}
