//! Cases of the review that are no days of the bench: `harness CASE FOLDER`.

mod lost_orders;
mod pipelining;
mod small_socket;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: harness CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match case.as_str() {
        "stop-behind-pipelined" => pipelining::stop(folder, has_trouble),
        "leave-behind-pipelined" => pipelining::leave(folder, has_trouble),
        "unanswered-orders" => lost_orders::unanswered(folder, has_trouble),
        other => {
            eprintln!("unknown case {other}");
            ExitCode::from(2)
        }
    }
}
