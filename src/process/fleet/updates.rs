//! Serves the instances that follow this one.

use async_std::future::timeout;

use super::delegate::UpdateRole;
use super::{FollowReason, FollowRequest, Node, Updates, follow};
use crate::types::{ChunkId, Incarnation, Position, Span};

/// How long a request waits for updates before it gets an empty answer.
const UPDATES_WAIT: Span = Span::from_millis(400);
/// The approximate limit on the objects in one message, and on the chunks of large ones. A
/// message has to cross a slow link that several followers share within the timeout of a
/// request.
const MAX_OBJECT_BYTES: usize = 64 << 10;

impl Node {
    /// Answers a follower with the changes it lacks, as soon as there are any.
    pub(crate) async fn answer_follow(&self, follow: FollowRequest) -> Updates {
        let now = self.clock.now();
        let me = self.settings.me.member.incarnation;
        let role = UpdateRole::of(&follow.from.member.name, &self.via.lock());
        let learned = {
            let mut fleet = self.fleet.lock();
            let before = fleet.last_position();
            match follow.reason {
                FollowReason::Follows => {
                    let name = &follow.from.member.name;
                    fleet.on_followed(now, name, role);
                    fleet.on_follower(now, follow.from);
                }
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
        let chunks = follow.chunks.as_slice();
        if !self.has_updates(objects, members, chunks) {
            timeout(UPDATES_WAIT.as_duration(), changed.recv())
                .await
                .ok();
        }
        let mut updates = self.updates_since(me, objects, members, chunks);
        if !follow.knows_eras {
            updates.era = None;
        }
        self.engine.metrics.members.sent_update(updates.size());
        updates
    }

    fn has_updates(&self, objects: Position, members: Position, chunks: &[ChunkId]) -> bool {
        if self.fleet.lock().last_position() != members {
            return true;
        }
        let object_cache = self.object_cache.lock();
        object_cache.last_position() != objects || object_cache.has_any_chunk(chunks)
    }

    fn updates_since(
        &self,
        of: Incarnation,
        objects: Position,
        members: Position,
        chunks: &[ChunkId],
    ) -> Updates {
        let now = self.clock.now();
        let (from, (members, members_to), has_lost_contact) = {
            let fleet = self.fleet.lock();
            let members = fleet.since(members);
            (fleet.me().clone(), members, fleet.has_lost_contact(now))
        };
        let poison = self.engine.tables.suspects.lock().poison_requests(now);
        let silent = self.silence.lock().agreed(now);
        let (era, age, changes, chunks) = {
            let object_cache = self.object_cache.lock();
            (
                object_cache.era(),
                object_cache.age(now).filter(|_| !has_lost_contact),
                object_cache.since(objects, MAX_OBJECT_BYTES),
                object_cache.requested_chunks(chunks, MAX_OBJECT_BYTES),
            )
        };
        let mut via = vec![from.member.name.clone()];
        via.extend(self.via.lock().iter().cloned());
        Updates {
            from,
            of,
            era: Some(era),
            age,
            via,
            objects: changes.entries,
            large: changes.large,
            chunks,
            objects_to: changes.up_to,
            is_complete: changes.is_complete,
            members,
            members_to,
            poison,
            silent,
        }
    }
}
