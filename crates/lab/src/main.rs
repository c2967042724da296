//! Command-line tool for the demo and the measured scenarios.

fn main() -> std::process::ExitCode {
    geraniummast_lab::run()
}
