//! Ends an instance whose soak process has ended, also by a signal that it cannot handle.

use std::{
    io::Write,
    os::unix::process::CommandExt,
    process::{Child, Command, Stdio},
};

/// Process that waits for the end of this one and then kills an instance.
pub(crate) struct InstanceGuard {
    child: Child,
}

impl InstanceGuard {
    /// Kills the process `$0` if the standard input ends without a line.
    const SCRIPT: &'static str = "read -r line || kill -KILL \"$0\"";

    /// Starts to guard the process of an instance.
    pub(crate) fn start(process: u32) -> std::io::Result<Self> {
        let child = Command::new("sh")
            .args(["-c", Self::SCRIPT, &process.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            // Signals to the group of this process do not end the guard.
            .process_group(0)
            .spawn()?;
        Ok(Self { child })
    }

    /// Ends the guard of a process that has ended.
    pub(crate) fn release(mut self) {
        if let Some(mut input) = self.child.stdin.take() {
            let _ = input.write_all(b"ended\n");
        }
        let _ = self.child.wait();
    }
}
