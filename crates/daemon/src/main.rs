//! The daemon: one entry instance.

fn main() -> std::process::ExitCode {
    geraniummast_daemon::run()
}
