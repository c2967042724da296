//! Entry point of the daemon `geraniummastd`.

fn main() -> std::process::ExitCode {
    geraniummast_daemon::run()
}
