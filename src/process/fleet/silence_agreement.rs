//! Detects silent replicas: collects the reports of this instance and of its followers, and
//! avoids the replicas that enough instances report.

use super::{Node, SilenceReport, SilentReplica};
use crate::types::Timestamp;

impl Node {
    /// Adds what this instance observed itself to the reports, and avoids the replicas on
    /// which enough instances agree by now.
    pub(super) fn detect_silent_replicas(&self) {
        let now = self.clock.now();
        let me = &self.settings.me.member.name;
        let observed_here = self.engine.tables.upstreams.lock().take_silent();
        let silent = {
            let mut silence = self.silence.lock();
            for (upstream, at) in observed_here {
                silence.report(upstream, me.clone(), at);
            }
            silence.take_newly_agreed(now)
        };
        self.avoid_silent(now, &silent);
    }

    /// Adds the reports of a follower.
    pub(super) fn add_silence_reports(&self, reports: Vec<SilenceReport>) {
        if reports.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut silence = self.silence.lock();
        for report in reports {
            silence.report(report.upstream, report.by, now - report.age);
        }
        drop(silence);
        self.detect_silent_replicas();
    }

    /// Avoids the replicas that enough other instances agree are silent.
    pub(super) fn accept_agreed_silence(&self, mut silent: Vec<SilentReplica>) {
        let now = self.clock.now();
        {
            let mut silence = self.silence.lock();
            silent.retain(|silent_replica| {
                silence.accept_agreement(silent_replica.upstream.clone(), now - silent_replica.age)
            });
        }
        self.avoid_silent(now, &silent);
    }

    fn avoid_silent(&self, now: Timestamp, silent: &[SilentReplica]) {
        if silent.is_empty() {
            return;
        }
        {
            let mut upstreams = self.engine.tables.upstreams.lock();
            for silent_replica in silent {
                let since = now - silent_replica.age;
                upstreams.avoid_silent(&silent_replica.upstream, since, silent_replica.until(now));
            }
        }
        for silent_replica in silent {
            if let Some(suppressed) = self.engine.may_log() {
                tracing::info!(upstream = %silent_replica.upstream, age = %silent_replica.age, left_out = suppressed, "instances agree that a replica is silent");
            }
        }
        self.notify_waiters();
    }
}
