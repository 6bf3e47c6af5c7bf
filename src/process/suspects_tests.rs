//! Marks of requests: what makes a request a suspect or poison, and what clears it.

use rstest::rstest;

use super::{
    Audience, CHECK_PERIOD, INCIDENT_TTL, MAX_SUSPECTS, MarkReport, SharedMark, Suspects,
    TRIAL_TURN,
};
use crate::types::{Fingerprint, Span, Timestamp, UpstreamName};

const REQUEST: Fingerprint = Fingerprint(7);

fn upstream(name: &str) -> UpstreamName {
    name.parse().unwrap()
}

fn at(millis: u64) -> Timestamp {
    Timestamp(0) + Span::from_millis(millis)
}

enum Event {
    /// A leg that was sent at `sent_ms` is lost at `now_ms`.
    Lost {
        sent_ms: u64,
        now_ms: u64,
    },
    Replied {
        now_ms: u64,
    },
}

struct Case {
    events: &'static [Event],
    checked_at: Timestamp,
    suspect: bool,
    poison: bool,
}

#[rstest]
#[case::nothing(Case { events: &[], checked_at: at(9), suspect: false, poison: false })]
#[case::one_loss(Case {
    events: &[Event::Lost { sent_ms: 1, now_ms: 5 }],
    checked_at: at(9), suspect: true, poison: false,
})]
#[case::many_losses_of_one_fan_out(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Lost { sent_ms: 1, now_ms: 6 },
        Event::Lost { sent_ms: 2, now_ms: 7 },
    ],
    checked_at: at(9), suspect: true, poison: false,
})]
#[case::lost_again_when_sent_again(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Lost { sent_ms: 6, now_ms: 8 },
    ],
    checked_at: at(9), suspect: true, poison: true,
})]
#[case::sent_again_at_once(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Lost { sent_ms: 5, now_ms: 8 },
    ],
    checked_at: at(9), suspect: true, poison: true,
})]
#[case::a_reply_between(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Replied { now_ms: 6 },
        Event::Lost { sent_ms: 7, now_ms: 8 },
    ],
    checked_at: at(9), suspect: true, poison: false,
})]
#[case::a_reply_clears_poison(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Lost { sent_ms: 6, now_ms: 8 },
        Event::Replied { now_ms: 9 },
    ],
    checked_at: at(9), suspect: false, poison: false,
})]
#[case::long_ago(Case {
    events: &[
        Event::Lost { sent_ms: 1, now_ms: 5 },
        Event::Lost { sent_ms: 6, now_ms: 8 },
    ],
    checked_at: at(8) + INCIDENT_TTL, suspect: false, poison: false,
})]
fn losses_and_replies_decide_suspect_and_poison(#[case] case: Case) {
    let mut suspects = Suspects::default();
    for event in case.events {
        match *event {
            Event::Lost { sent_ms, now_ms } => {
                suspects.crashed(at(now_ms), REQUEST, at(sent_ms), &upstream("a"));
            }
            Event::Replied { now_ms } => suspects.replied(at(now_ms), REQUEST),
        }
    }
    let state = (
        suspects.is_suspect(case.checked_at, REQUEST),
        suspects.is_poison(case.checked_at, REQUEST),
    );
    assert_eq!(state, (case.suspect, case.poison));
}

/// What happens to a request and its upstreams at one instance.
enum Step {
    /// A leg of the request to this upstream, sent at `sent_ms`, is lost at `now_ms`.
    Lost {
        upstream: &'static str,
        sent_ms: u64,
        now_ms: u64,
    },
    /// The upstream replies to a leg of any request that was sent at `sent_ms`.
    Survived {
        upstream: &'static str,
        sent_ms: u64,
    },
}

struct Evidence {
    steps: &'static [Step],
    suspect: bool,
    poison: bool,
}

const LOST_BY_TWO: [Step; 2] = [
    Step::Lost {
        upstream: "a",
        sent_ms: 1,
        now_ms: 5,
    },
    Step::Lost {
        upstream: "b",
        sent_ms: 6,
        now_ms: 9,
    },
];

/// Guards against requests that are refused because upstreams in trouble closed connections
/// (docs/incidents/page-refused-after-lost-connections.md).
#[rstest]
#[case::none_is_known_to_live(Evidence { steps: &[], suspect: true, poison: true })]
#[case::one_lives(Evidence {
    steps: &[Step::Survived { upstream: "a", sent_ms: 6 }], suspect: true, poison: false,
})]
#[case::both_live(Evidence {
    steps: &[
        Step::Survived { upstream: "a", sent_ms: 6 },
        Step::Survived { upstream: "b", sent_ms: 10 },
    ],
    suspect: false, poison: false,
})]
#[case::replies_to_legs_from_before_the_loss(Evidence {
    steps: &[
        Step::Survived { upstream: "a", sent_ms: 5 },
        Step::Survived { upstream: "b", sent_ms: 8 },
    ],
    suspect: true, poison: true,
})]
#[case::another_one_lives(Evidence {
    steps: &[Step::Survived { upstream: "c", sent_ms: 20 }], suspect: true, poison: true,
})]
#[case::one_lived_and_was_lost_again(Evidence {
    steps: &[
        Step::Survived { upstream: "a", sent_ms: 10 },
        Step::Lost { upstream: "a", sent_ms: 11, now_ms: 12 },
    ],
    suspect: true, poison: true,
})]
#[case::one_of_a_fan_out_lives(Evidence {
    steps: &[
        Step::Lost { upstream: "c", sent_ms: 6, now_ms: 9 },
        Step::Survived { upstream: "c", sent_ms: 10 },
    ],
    suspect: true, poison: true,
})]
fn losses_do_not_count_once_their_upstreams_reply(#[case] case: Evidence) {
    let mut suspects = Suspects::default();
    for step in LOST_BY_TWO.iter().chain(case.steps) {
        match *step {
            Step::Lost {
                upstream: name,
                sent_ms,
                now_ms,
            } => suspects.crashed(at(now_ms), REQUEST, at(sent_ms), &upstream(name)),
            Step::Survived {
                upstream: name,
                sent_ms,
            } => suspects.survived(at(sent_ms), &upstream(name)),
        }
    }
    let state = (
        suspects.is_suspect(at(20), REQUEST),
        suspects.is_poison(at(20), REQUEST),
    );
    assert_eq!(state, (case.suspect, case.poison));
}

/// Guards against health checks that are sent for every lost connection.
#[test]
fn only_upstreams_of_poison_requests_that_have_not_replied_are_checked() {
    let mut suspects = Suspects::default();
    suspects.crashed(at(5), REQUEST, at(1), &upstream("a"));
    assert!(suspects.upstreams_to_check(at(6)).is_empty());
    suspects.crashed(at(9), REQUEST, at(6), &upstream("b"));
    suspects.crashed(at(9), REQUEST, at(6), &upstream("c"));
    suspects.survived(at(10), &upstream("c"));
    let names = |suspects: &Suspects, now| -> Vec<String> {
        let upstreams = suspects.upstreams_to_check(now);
        upstreams.iter().map(ToString::to_string).collect()
    };
    assert_eq!(names(&suspects, at(20)), ["a", "b"]);
    assert!(names(&suspects, at(9) + CHECK_PERIOD).is_empty());
    suspects.survived(at(12), &upstream("a"));
    assert!(names(&suspects, at(20)).is_empty(), "one incident is left");
}

/// Guards against a request that is refused for as long as its incidents count, since no reply can
/// clear what is never sent.
#[test]
fn a_poison_request_is_tried_again_ever_more_rarely() {
    let mut suspects = Suspects::default();
    let mut now = at(0);
    let mut trials = Vec::new();
    for second in 0..600 {
        let quarantine = suspects.quarantine(now, REQUEST);
        let is_open = quarantine.is_none_or(|quarantine| quarantine.turn(now).is_some());
        let is_sent = is_open && (quarantine.is_none() || suspects.begin_trial(now, REQUEST));
        if is_sent {
            trials.push(second);
            let lost_at = now + Span::from_millis(5);
            suspects.crashed(lost_at, REQUEST, now, &upstream(&format!("r{second}")));
        }
        now = now + Span::from_secs(1);
    }
    assert_eq!(trials, vec![0, 1, 12, 133, 254, 375, 496]);
}

/// Guards against requests that arrive during a trial and crash upstreams as well.
#[test]
fn a_trial_is_not_begun_twice_at_a_time() {
    let mut suspects = Suspects::default();
    suspects.crashed(at(5), REQUEST, at(1), &upstream("a"));
    suspects.crashed(at(9), REQUEST, at(6), &upstream("b"));
    let open = suspects.quarantine(at(9), REQUEST).unwrap().trials_from;
    assert!(suspects.begin_trial(open, REQUEST));
    assert!(!suspects.begin_trial(open + Span::from_millis(20), REQUEST));
    assert!(
        suspects.begin_trial(open + TRIAL_TURN, REQUEST),
        "no outcome came"
    );
}

fn reports(from: &mut Suspects, now: Timestamp) -> Vec<MarkReport> {
    let addressed = from.take_reports(now).into_iter();
    addressed.map(|addressed| addressed.report).collect()
}

/// Passes on what changed, to an instance whose clock shows `to_now` when it arrives.
fn report(from: &mut Suspects, now: Timestamp, to: &mut Suspects, to_now: Timestamp) {
    to.merge_reports(to_now, reports(from, now));
}

/// Guards against a poison request that is unknown to all instances but one
/// (docs/incidents/request-crashes-replicas-at-each-instance.md).
#[test]
fn an_incident_is_reported_to_other_instances_and_clears_there_by_a_reply() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    let later = |millis: u64| at(millis) + Span::from_secs(1_000);
    one.crashed(at(5), REQUEST, at(1), &upstream("a"));
    report(&mut one, at(1_100), &mut two, later(1_110));
    assert!(two.is_suspect(later(1_110), REQUEST) && !two.is_poison(later(1_110), REQUEST));
    two.crashed(later(2_000), REQUEST, later(1_990), &upstream("b"));
    report(&mut two, later(2_100), &mut one, at(2_110));
    report(&mut one, at(2_110), &mut two, later(2_120));
    assert!(one.is_poison(at(2_120), REQUEST) && two.is_poison(later(2_120), REQUEST));
    let incidents = |suspects: &Suspects, now| suspects.counted(now, REQUEST).1;
    assert_eq!(
        (incidents(&one, at(2_120)), incidents(&two, later(2_120))),
        (2, 2)
    );

    one.replied(at(13_000), REQUEST);
    report(&mut one, at(13_100), &mut two, later(13_110));
    assert!(!one.is_suspect(at(13_110), REQUEST) && !two.is_suspect(later(13_110), REQUEST));
    // An instance that has not heard of the reply still says that the request is poison.
    one.mark_poison(at(13_200), REQUEST);
    assert!(!one.is_suspect(at(13_200), REQUEST));
}

/// Guards against two incidents of one instance that are taken for one elsewhere.
#[test]
fn an_instance_that_hears_of_both_incidents_at_once_counts_both() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    one.crashed(at(5), REQUEST, at(1), &upstream("a"));
    one.crashed(at(9), REQUEST, at(6), &upstream("b"));
    report(&mut one, at(1_100), &mut two, at(1_110));
    assert!(two.is_poison(at(1_110), REQUEST));
}

/// Guards against a request that becomes poison because it was in flight at two instances when
/// upstreams of both went.
#[test]
fn incidents_of_two_instances_at_the_same_time_are_one() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    one.crashed(at(5), REQUEST, at(1), &upstream("a"));
    two.crashed(at(30), REQUEST, at(2), &upstream("b"));
    let from_one = reports(&mut one, at(1_100));
    assert!(!from_one.is_empty());
    report(&mut two, at(1_100), &mut one, at(1_110));
    two.merge_reports(at(1_110), from_one);
    assert!(!one.is_poison(at(1_120), REQUEST) && !two.is_poison(at(1_120), REQUEST));
}

/// Guards against an instance that believes a report which its own upstreams disprove.
#[test]
fn an_upstream_that_lives_excuses_an_incident_that_another_instance_reported() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    one.crashed(at(5), REQUEST, at(1), &upstream("a"));
    report(&mut one, at(1_100), &mut two, at(1_110));
    assert!(two.is_suspect(at(1_110), REQUEST));
    two.survived(at(1_120), &upstream("a"));
    assert!(!two.is_suspect(at(1_130), REQUEST));
    // What is reported again is not believed again.
    one.mark_unshared(REQUEST);
    report(&mut one, at(1_400), &mut two, at(1_410));
    assert!(!two.is_suspect(at(1_410), REQUEST));
}

/// Guards against instances that refuse a request because of a verdict that they cannot check, and
/// that its own instance has withdrawn.
#[test]
fn a_verdict_is_passed_on_with_what_it_rests_on() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    one.crashed(at(5), REQUEST, at(1), &upstream("a"));
    one.crashed(at(9), REQUEST, at(6), &upstream("b"));
    assert!(
        one.poison_requests(at(10)).is_empty(),
        "it is not reported yet"
    );
    one.survived(at(20), &upstream("a"));
    one.survived(at(20), &upstream("b"));
    two.mark_poison(at(30), REQUEST);
    assert!(two.is_poison(at(40), REQUEST));
    report(&mut one, at(100), &mut two, at(110));
    two.survived(at(120), &upstream("a"));
    two.survived(at(120), &upstream("b"));
    assert!(!two.is_suspect(at(130), REQUEST));
}

/// Guards against an instance that missed a report and refuses the request until its trial.
#[test]
fn an_instance_that_only_knows_the_verdict_is_told_what_it_rests_on() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    one.crashed(at(5), REQUEST, at(1), &upstream("a"));
    one.crashed(at(9), REQUEST, at(6), &upstream("b"));
    one.take_reports(at(100));
    one.survived(at(200), &upstream("a"));
    two.mark_poison(at(300), REQUEST);
    assert!(two.is_poison(at(6_000), REQUEST));
    one.mark_poison(at(6_000), REQUEST);
    report(&mut one, at(6_100), &mut two, at(6_110));
    two.survived(at(6_200), &upstream("a"));
    assert!(!two.is_poison(at(6_300), REQUEST));
}

/// Guards against a large fleet in which every instance hears of every lost connection.
#[test]
fn only_poison_requests_concern_all_instances() {
    let mut suspects = Suspects::default();
    let audiences = |suspects: &mut Suspects, now| -> Vec<Audience> {
        let addressed = suspects.take_reports(now).into_iter();
        addressed.map(|addressed| addressed.audience).collect()
    };
    suspects.crashed(at(5), REQUEST, at(1), &upstream("a"));
    assert_eq!(audiences(&mut suspects, at(1_100)), [Audience::Collector]);
    suspects.crashed(at(6_000), REQUEST, at(5_990), &upstream("b"));
    assert_eq!(audiences(&mut suspects, at(6_100)), [Audience::All]);
    suspects.replied(at(17_000), REQUEST);
    assert_eq!(
        audiences(&mut suspects, at(17_100)),
        [Audience::All],
        "its reply does too"
    );
}

struct Settling {
    replied: bool,
    survived: bool,
    checked_ms: u64,
    reports: usize,
}

/// Guards against a large fleet in which every instance hears of every lost connection.
#[rstest]
#[case::too_early(Settling { replied: false, survived: false, checked_ms: 900, reports: 0 })]
#[case::unexplained(Settling { replied: false, survived: false, checked_ms: 1_100, reports: 1 })]
#[case::replied(Settling { replied: true, survived: false, checked_ms: 1_100, reports: 0 })]
#[case::survived(Settling { replied: false, survived: true, checked_ms: 1_100, reports: 0 })]
fn only_incidents_that_stay_unexplained_are_reported(#[case] case: Settling) {
    let mut suspects = Suspects::default();
    suspects.crashed(at(5), REQUEST, at(1), &upstream("a"));
    assert!(suspects.take_reports(at(200)).is_empty());
    if case.replied {
        suspects.replied(at(300), REQUEST);
    }
    if case.survived {
        suspects.survived(at(300), &upstream("a"));
    }
    assert_eq!(
        suspects.take_reports(at(case.checked_ms)).len(),
        case.reports
    );
    assert!(suspects.take_reports(at(5_000)).len() <= 1 - case.reports);
}

fn share_marks(from: &mut Suspects, to: &mut Suspects, now: Timestamp) {
    let (marked, _) = from.take_unshared();
    from.adopt(now, &marked);
    to.adopt(now, &marked);
}

#[test]
fn an_incident_elsewhere_counts_once_and_a_second_one_makes_poison() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    one.crashed(at(5), REQUEST, at(1), &upstream("a"));
    share_marks(&mut one, &mut two, at(6));
    assert!(two.is_suspect(at(7), REQUEST) && !two.is_poison(at(7), REQUEST));
    two.crashed(at(9), REQUEST, at(8), &upstream("b"));
    share_marks(&mut two, &mut one, at(10));
    assert!(one.is_poison(at(11), REQUEST) && two.is_poison(at(11), REQUEST));
}

#[test]
fn one_incident_seen_by_two_instances_is_one() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    one.crashed(at(5), REQUEST, at(1), &upstream("a"));
    two.crashed(at(5), REQUEST, at(2), &upstream("b"));
    share_marks(&mut one, &mut two, at(6));
    share_marks(&mut two, &mut one, at(7));
    assert!(!one.is_poison(at(8), REQUEST) && !two.is_poison(at(8), REQUEST));
}

#[test]
fn a_reply_clears_the_request_everywhere() {
    let (mut one, mut two) = (Suspects::default(), Suspects::default());
    one.crashed(at(5), REQUEST, at(1), &upstream("a"));
    share_marks(&mut one, &mut two, at(6));
    two.replied(at(7), REQUEST);
    let (marked, cleared) = two.take_unshared();
    assert_eq!((marked, cleared), (vec![], vec![REQUEST]));
    one.adopt(at(8), &[]);
    assert!(!one.is_suspect(at(9), REQUEST));
}

#[test]
fn the_table_is_bounded_and_keeps_the_latest() {
    let mut suspects = Suspects::default();
    for number in 0..3 * MAX_SUSPECTS as u64 {
        suspects.crashed(
            at(number + 1),
            Fingerprint(number),
            at(number),
            &upstream("a"),
        );
    }
    assert!(suspects.marks.len() <= MAX_SUSPECTS);
    assert!(suspects.unshared.len() <= 2 * MAX_SUSPECTS);
    let last = 3 * MAX_SUSPECTS as u64;
    assert!(suspects.is_suspect(at(last), Fingerprint(last - 1)));
    let marks: Vec<SharedMark> = suspects.take_unshared().0;
    assert!(marks.len() <= MAX_SUSPECTS);
}
