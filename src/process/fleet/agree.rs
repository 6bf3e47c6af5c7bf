//! Carries out what instances agree on: which replicas are silent.

use super::{Node, SilenceReport, Silent};
use crate::types::Timestamp;

impl Node {
    /// Judges which replicas are silent, by what was found here and heard of followers.
    pub(super) fn judge_silence(&self) {
        let now = self.clock.now();
        let me = &self.settings.me.member.name;
        let mine = self.engine.tables.upstreams.lock().take_silent();
        let silent = {
            let mut silence = self.silence.lock();
            for (upstream, at) in mine {
                silence.report(upstream, me.clone(), at);
            }
            silence.judge(now)
        };
        self.avoid_silent(now, &silent);
    }

    /// Takes what followers found.
    pub(super) fn hear_of_silence(&self, reports: Vec<SilenceReport>) {
        if reports.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut silence = self.silence.lock();
        for report in reports {
            silence.report(report.upstream, report.by, now - report.age);
        }
        drop(silence);
        self.judge_silence();
    }

    /// Takes what enough others agree on.
    pub(super) fn agree_on_silence(&self, mut silent: Vec<Silent>) {
        let now = self.clock.now();
        {
            let mut silence = self.silence.lock();
            silent.retain(|one| silence.agree(one.upstream.clone(), now - one.age));
        }
        self.avoid_silent(now, &silent);
    }

    fn avoid_silent(&self, now: Timestamp, silent: &[Silent]) {
        if silent.is_empty() {
            return;
        }
        {
            let mut upstreams = self.engine.tables.upstreams.lock();
            for one in silent {
                let since = now - one.age;
                upstreams.avoid_silent(&one.upstream, since, one.until(now));
            }
        }
        for one in silent {
            if let Some(left_out) = self.engine.may_log() {
                tracing::info!(upstream = %one.upstream, age = %one.age, left_out, "instances agree that a replica is silent");
            }
        }
        self.wake_waiting();
    }
}
