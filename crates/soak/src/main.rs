//! Command-line entry point of the fault-injection soak test.

fn main() -> std::process::ExitCode {
    geraniummast_soak::run()
}
