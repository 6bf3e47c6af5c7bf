//! Serves the instances that follow this one.

use async_std::future::timeout;

use super::{FollowReason, FollowRequest, Node, Updates, follow};
use crate::types::{Incarnation, Position, Span};

/// How long a request waits for updates before it gets an empty answer.
const UPDATES_WAIT: Span = Span::from_millis(400);
/// The approximate limit on the objects in one message.
const MAX_OBJECT_BYTES: usize = 1 << 20;

impl Node {
    /// Answers a follower with the changes it lacks, as soon as there are any.
    pub(crate) async fn answer_follow(&self, follow: FollowRequest) -> Updates {
        let now = self.clock.now();
        let me = self.settings.me.member.incarnation;
        let learned = {
            let mut fleet = self.fleet.lock();
            let before = fleet.last_position();
            match follow.reason {
                FollowReason::Follows => fleet.on_follower(now, follow.from),
                FollowReason::Joins | FollowReason::Looks => fleet.on_contact(now, follow.from),
            }
            for record in follow.learned {
                fleet.apply_record(now, record);
            }
            fleet.last_position() != before
        };
        if learned {
            self.notify_waiters();
        }
        follow::mark_poison(self, &follow.poison);
        self.add_silence_reports(follow.silent);
        let (objects, members) = match follow.reason {
            _ if follow.of == me => (follow.objects, follow.members),
            FollowReason::Looks => (self.object_cache.lock().last_position(), Position(0)),
            FollowReason::Follows | FollowReason::Joins => (Position(0), Position(0)),
        };
        let changed = self.next_change();
        let is_up_to_date = self.object_cache.lock().last_position() == objects
            && self.fleet.lock().last_position() == members;
        if is_up_to_date {
            timeout(UPDATES_WAIT.as_duration(), changed.recv())
                .await
                .ok();
        }
        self.updates_since(me, objects, members)
    }

    fn updates_since(&self, of: Incarnation, objects: Position, members: Position) -> Updates {
        let now = self.clock.now();
        let (from, (members, members_to)) = {
            let fleet = self.fleet.lock();
            (fleet.me().clone(), fleet.since(members))
        };
        let poison = self.engine.tables.suspects.lock().poison_requests(now);
        let silent = self.silence.lock().agreed(now);
        let (age, (objects, objects_to)) = {
            let object_cache = self.object_cache.lock();
            (
                object_cache.age(now),
                object_cache.since(objects, MAX_OBJECT_BYTES),
            )
        };
        let mut via = vec![from.member.name.clone()];
        via.extend(self.via.lock().iter().cloned());
        Updates {
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
