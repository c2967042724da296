//! The operators' command line.

fn main() -> std::process::ExitCode {
    eprintln!("geraniummast: no verb is built yet");
    std::process::ExitCode::from(2)
}
