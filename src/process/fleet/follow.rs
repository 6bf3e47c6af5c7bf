//! Follows another instance for news of the platform, and answers those that follow this
//! one.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::future::timeout;
use async_std::task::sleep;
use futures::future::join_all;
use indexmap::IndexMap;
use rand::seq::IndexedRandom;

use super::{Follow, News, Node, Parent, Reason};
use crate::process::{Ask, Told};
use crate::types::{Incarnation, Position, Span};

/// How long an answer waits for something to tell.
const NEWS_WAIT: Span = Span::from_millis(400);
/// An instance that did not answer in this time is silent.
const ANSWER_WITHIN: Span = Span::from_millis(900);
/// Regions are some tens of milliseconds apart, and proving a key takes three round trips.
const JOIN_WITHIN: Span = Span::from_millis(300);
const LOOK: Span = Span::from_millis(100);
/// How often one of those that are taken for gone is asked whether it is there.
const LOOK_EVERY: Span = Span::from_secs(2);
/// How often all seeds are asked, while nobody else is known at all.
const JOIN_EVERY: Span = Span::from_millis(150);
/// News that the store stated longer ago are old: a watch ends within a second.
const OLD_AFTER: Span = Span::from_millis(1_400);
/// The last in order waits so much longer, so that not all go to the store at once.
const OLD_SPREAD: Span = Span::from_millis(1_000);
/// A message holds about so much.
const MOST_NEWS_BYTES: usize = 1 << 20;

/// How far another process's news are known here.
#[derive(Clone, Copy, Debug, Default)]
struct Seen {
    of: Incarnation,
    objects: Position,
    members: Position,
    /// Up to where this instance told it of others.
    told: Position,
}

impl Seen {
    /// The same, now that the process of that incarnation answered: one that started
    /// meanwhile knows nothing of what was told to its predecessor.
    fn by(self, of: Incarnation) -> Self {
        let told = if of == self.of {
            self.told
        } else {
            Position::default()
        };
        Self { of, told, ..self }
    }
}

/// Follows whoever is to be followed, until the process ends.
pub(super) async fn run(node: Arc<Node>) {
    // Kept for each instance, since one that is followed again tells only what is new.
    let mut seen: IndexMap<SocketAddr, Seen> = IndexMap::new();
    let mut followed = None;
    loop {
        let now = node.clock.now();
        node.fleet.lock().pass(now);
        node.drop_lapsed();
        node.count_instances();
        node.judge_silence();
        let parent = node.fleet.lock().parent(node.clock.now());
        let Parent::Instance(addr) = parent else {
            followed = None;
            sleep(LOOK.as_duration()).await;
            continue;
        };
        if followed != Some(addr) {
            tracing::info!(%addr, "follows another instance");
            followed = Some(addr);
        }
        let known = seen.get(&addr).copied().unwrap_or_default();
        match ask(&node, addr, Reason::Follows, known, ANSWER_WITHIN).await {
            Some(after) => {
                seen.insert(addr, after);
            }
            None => sleep(LOOK.as_duration()).await,
        }
    }
}

/// Looks for others that this instance does not know to be there, until the process ends.
pub(super) async fn look_around(node: Arc<Node>) {
    loop {
        let now = node.clock.now();
        let seeds = node.seeds();
        let lost = node.fleet.lock().lost(now, &seeds);
        let alone = node.fleet.lock().present().count() <= 1;
        if alone {
            // All at once: one that is dark must not delay what the others would tell.
            join_all(lost.iter().map(|addr| meet(&node, *addr))).await;
            sleep(JOIN_EVERY.as_duration()).await;
            continue;
        }
        let drawn = lost.choose(&mut rand::rng()).copied();
        if let Some(addr) = drawn {
            meet(&node, addr).await;
        }
        sleep(LOOK_EVERY.as_duration()).await;
    }
}

async fn meet(node: &Arc<Node>, addr: SocketAddr) {
    let begun = node.book.lock().is_begun();
    let reason = if begun { Reason::Looks } else { Reason::Joins };
    ask(node, addr, reason, Seen::default(), JOIN_WITHIN).await;
}

async fn ask(
    node: &Arc<Node>,
    addr: SocketAddr,
    reason: Reason,
    seen: Seen,
    within: Span,
) -> Option<Seen> {
    let (follow, told) = question(node, reason, seen);
    let ask = Ask::Follow(Box::new(follow));
    match node.peers.ask(addr, &ask, within).await {
        Ok(Told::News(news)) => Some(take(node, addr, Seen { told, ..seen }, *news)),
        Ok(_) => None,
        Err(error) => {
            tracing::info!(%addr, %error, "an instance does not answer");
            let now = node.clock.now();
            node.fleet.lock().lose(now, addr);
            node.wake_waiting();
            None
        }
    }
}

fn question(node: &Node, reason: Reason, seen: Seen) -> (Follow, Position) {
    let now = node.clock.now();
    let poison = node.engine.tables.suspects.lock().condemned(now);
    let silent = node.silence.lock().reports(now);
    let fleet = node.fleet.lock();
    let (learned, told) = fleet.since(seen.told);
    let follow = Follow {
        from: fleet.me().clone(),
        reason,
        of: seen.of,
        objects: seen.objects,
        members: seen.members,
        learned,
        poison,
        silent,
    };
    (follow, told)
}

fn take(node: &Node, addr: SocketAddr, seen: Seen, news: News) -> Seen {
    let now = node.clock.now();
    let me = &node.settings.me.member.name;
    let is_loop = news.via.contains(me);
    let mut learned = false;
    {
        let mut fleet = node.fleet.lock();
        fleet.learn(now, news.from);
        for presence in news.members {
            learned |= fleet.learn(now, presence);
        }
        let is_old = news.age.is_none_or(|age| age > old_after(&fleet));
        if is_old || is_loop {
            fleet.shun(now, addr);
        }
    }
    if learned {
        node.wake_waiting();
    }
    condemn(node, &news.poison);
    node.agree_on_silence(news.silent);
    node.adopt(news.objects);
    if let Some(age) = news.age
        && !is_loop
    {
        node.confirm(age);
    }
    *node.via.lock() = news.via;
    Seen {
        objects: news.objects_to,
        members: news.members_to,
        ..seen.by(news.of)
    }
}

/// How old news have to be for this instance to look elsewhere: the longer, the later it
/// stands in the order of all.
fn old_after(fleet: &super::Fleet) -> Span {
    let mine = fleet.me().member.peer_addr;
    let before = |presence: &&super::Presence| presence.member.peer_addr < mine;
    let rank = fleet.present().filter(before).count() as u64;
    let all = fleet.present().count().max(1) as u64;
    Span(OLD_AFTER.0 + OLD_SPREAD.0 * rank / all)
}

fn condemn(node: &Node, poison: &[crate::types::Fingerprint]) {
    let now = node.clock.now();
    let mut suspects = node.engine.tables.suspects.lock();
    for request in poison {
        suspects.condemn(now, *request);
    }
}

impl Node {
    /// Tells a follower what it lacks, as soon as there is something.
    pub(crate) async fn tell(&self, follow: Follow) -> News {
        let now = self.clock.now();
        let me = self.settings.me.member.incarnation;
        let learned = {
            let mut fleet = self.fleet.lock();
            let before = fleet.end();
            match follow.reason {
                Reason::Follows => fleet.hear(now, follow.from),
                Reason::Joins | Reason::Looks => fleet.meet(now, follow.from),
            }
            for presence in follow.learned {
                fleet.learn(now, presence);
            }
            fleet.end() != before
        };
        if learned {
            self.wake_waiting();
        }
        condemn(self, &follow.poison);
        self.hear_of_silence(follow.silent);
        let (objects, members) = match follow.reason {
            _ if follow.of == me => (follow.objects, follow.members),
            Reason::Looks => (self.book.lock().end(), Position(0)),
            Reason::Follows | Reason::Joins => (Position(0), Position(0)),
        };
        let waiting = self.learned();
        let knows_all = self.book.lock().end() == objects && self.fleet.lock().end() == members;
        if knows_all {
            timeout(NEWS_WAIT.as_duration(), waiting.recv()).await.ok();
        }
        self.news(me, objects, members)
    }

    fn news(&self, of: Incarnation, objects: Position, members: Position) -> News {
        let now = self.clock.now();
        let (from, (members, members_to)) = {
            let fleet = self.fleet.lock();
            (fleet.me().clone(), fleet.since(members))
        };
        let poison = self.engine.tables.suspects.lock().condemned(now);
        let silent = self.silence.lock().found(now);
        let (age, (objects, objects_to)) = {
            let book = self.book.lock();
            (book.age(now), book.since(objects, MOST_NEWS_BYTES))
        };
        let mut via = vec![from.member.name.clone()];
        via.extend(self.via.lock().iter().cloned());
        News {
            from,
            of,
            age,
            via,
            objects,
            objects_to,
            members,
            members_to,
            poison,
            silent,
        }
    }
}

#[cfg(test)]
#[path = "follow_tests.rs"]
mod follow_tests;
