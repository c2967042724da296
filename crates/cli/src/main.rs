//! Command line for operators.

fn main() -> std::process::ExitCode {
    geraniummast_cli::run()
}
