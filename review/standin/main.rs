//! Runs the scripts of the review: `review-standin CASE RECORD`. It exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run.

mod common;
mod lapse;
mod late_copy;
mod stuck_log;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = args.as_slice() else {
        eprintln!("usage: review-standin CASE RECORD");
        std::process::exit(2);
    };
    let record = common::Record::create(record);
    if !std::path::Path::new("target/release/hyssopwalk").exists() {
        record.say("target/release/hyssopwalk is not built");
        std::process::exit(2);
    }
    // A panic means that the case could not run.
    let run = std::panic::catch_unwind(|| match case.as_str() {
        "lapse" => lapse::run(&record),
        "late-copy" => late_copy::run(&record),
        "stuck-log" => stuck_log::run(&record),
        _ => 2,
    });
    std::process::exit(run.unwrap_or(2));
}
