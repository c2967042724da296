//! What was sent, answered and run, and the broken rules.

use crate::http::Message;
use std::{
    collections::HashMap,
    fs::File,
    io::{BufWriter, Write},
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    start: Instant,
    state: Mutex<State>,
}

struct State {
    file: BufWriter<File>,
    /// Number of violations by kind; the first ten of each are written in full.
    violations: HashMap<&'static str, usize>,
    runs: HashMap<String, usize>,
    statuses: HashMap<u16, usize>,
    /// Answers since the count began, and the successes among them.
    counted: (usize, usize),
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = BufWriter::new(File::create(path).expect("record"));
        let state = State {
            file,
            violations: HashMap::new(),
            runs: HashMap::new(),
            statuses: HashMap::new(),
            counted: (0, 0),
        };
        Self {
            start: Instant::now(),
            state: Mutex::new(state),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut state = self.state.lock().unwrap();
        let _ = writeln!(state.file, "{at:9.3} {text}");
    }

    pub fn run(&self, attempt: &str, server: &str, request: &Message) {
        self.line(&format!("run {attempt} at {server}: {}", request.start));
        let mut state = self.state.lock().unwrap();
        *state.runs.entry(attempt.into()).or_default() += 1;
    }

    pub fn answered(&self, attempt: &str, status: u16, by: &str) {
        self.line(&format!("answer to {attempt} from {by}: {status}"));
        let mut state = self.state.lock().unwrap();
        *state.statuses.entry(status).or_default() += 1;
        state.counted.0 += 1;
        state.counted.1 += usize::from((200..300).contains(&status));
    }

    pub fn begin_count(&self) {
        self.state.lock().unwrap().counted = (0, 0);
    }

    /// Share of the requests since the count began that were served.
    pub fn served_share(&self) -> f64 {
        let (answers, successes) = self.state.lock().unwrap().counted;
        successes as f64 / answers.max(1) as f64
    }

    pub fn violation(&self, kind: &'static str, text: &str) {
        let count = {
            let mut state = self.state.lock().unwrap();
            let count = state.violations.entry(kind).or_default();
            *count += 1;
            *count
        };
        if count <= 10 {
            self.line(&format!("BROKEN {text}"));
            println!("BROKEN {text}");
        }
    }

    /// Writes the summary; returns the number of violations.
    pub fn finish(&self) -> usize {
        let state = self.state.lock().unwrap();
        let mut statuses: Vec<_> = state.statuses.iter().collect();
        statuses.sort();
        let total = state.violations.values().sum();
        let summary = format!(
            "answers by status {statuses:?}; runs {}; violations {:?}",
            state.runs.len(),
            state.violations
        );
        drop(state);
        self.line(&summary);
        println!("{summary}");
        let _ = self.state.lock().unwrap().file.flush();
        total
    }
}
