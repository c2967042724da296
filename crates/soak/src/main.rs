//! Randomized faults over instances that run as separate processes.

fn main() -> std::process::ExitCode {
    geraniummast_soak::run()
}
