//! Stand-ins of clients, servers and the platform for the scripts of this review.

mod clients;
mod forged;
mod http;
mod instances;
mod json;
mod record;
mod restarts;
mod servers;
mod store;
mod unreadable;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, record, folder] = arguments.as_slice() else {
        eprintln!("usage: standins-2 CASE PROGRAM RECORD FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = match case.as_str() {
        "forged" => forged::run(program, record, folder, trouble),
        "restarts" => restarts::run(program, record, folder, trouble),
        "unreadable" => unreadable::run(program, record, folder, trouble),
        _ => None,
    };
    match outcome {
        None => ExitCode::from(2),
        Some(0) => ExitCode::SUCCESS,
        Some(_) => ExitCode::from(1),
    }
}
