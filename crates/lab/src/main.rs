//! Stand-ins, demo and measurements.

fn main() -> std::process::ExitCode {
    geraniummast_lab::run()
}
