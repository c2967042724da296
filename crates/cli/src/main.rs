//! The operators' command line.

fn main() -> std::process::ExitCode {
    geraniummast_cli::run()
}
