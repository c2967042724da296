//! Entries of another writer in service discovery, which name no server to use.
//!
//! A simulated store holds JSON values. In the place of one that no reader accepts it holds a mark, and
//! the text of its answers contains the unreadable text instead.

use crate::prelude::*;
use serde_json::{Value, json};

/// Entry of another writer, which it writes again and again.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ForeignEntry {
    name: String,
    content: EntryContent,
}

#[derive(Clone, Debug, PartialEq)]
enum EntryContent {
    /// Unreadable text of this number.
    Unreadable(usize),
    /// The entry of a server, given by its number, as of a later start and with a value of another type
    /// in one of its fields, given by its number too.
    Mistyped { server: usize, field: usize },
}

impl ForeignEntry {
    /// Time between two writes.
    const INTERVAL: Duration = Duration::from_millis(500);
    /// Names lie among those of the servers, so that some of them end a page.
    const NAME_STARTS: [&str; 3] = [soak_routes::KEYED_SERVICE, soak_routes::PLAIN_SERVICE, "a"];
    const NAME_ENDS: [&str; 8] = ["&watch=0", "+1", "#1", "%", "%2F1", " 1", "?1=2", "/1"];
    /// Largest number of entries in one run.
    const MAX_ENTRIES: usize = 16;

    /// Draws the entries of a run.
    pub(crate) fn draw(rng: &mut StdRng) -> Vec<Self> {
        let count = rng.random_range(4..=Self::MAX_ENTRIES);
        let draw_entry = |_| {
            let start = Self::NAME_STARTS[rng.random_range(0..Self::NAME_STARTS.len())];
            let end = Self::NAME_ENDS[rng.random_range(0..Self::NAME_ENDS.len())];
            let number = rng.random_range(0..10);
            let content = match rng.random_bool(0.7) {
                true => EntryContent::Unreadable(rng.random_range(0..UNREADABLE_TEXTS)),
                false => EntryContent::Mistyped {
                    server: rng.random_range(0..1_000),
                    field: rng.random_range(0..1_000),
                },
            };
            let name = format!("{start}-{number}{end}");
            Self { name, content }
        };
        (0..count).map(draw_entry).collect()
    }

    /// Writes entries again and again for some time, and leaves them in the store.
    pub(crate) async fn write_repeatedly(
        entries: &[Self],
        world: &SoakWorld,
        duration: Duration,
    ) -> eyre::Result<()> {
        let until = SteadyClock.now().after(duration);
        let mut count = 0;
        while SteadyClock.now() < until {
            for entry in entries {
                let (spec, status) = entry.values(world, count)?;
                world
                    .store
                    .put(ObjectKind::Servers, &entry.name, spec, status);
            }
            count += 1;
            Timer::after(Self::INTERVAL).await;
        }
        Ok(())
    }

    /// Specification and status, which differ from one write to the next.
    fn values(&self, world: &SoakWorld, count: u64) -> eyre::Result<(Value, Value)> {
        match self.content {
            EntryContent::Unreadable(text) => Ok((mark(text, count), Value::Null)),
            EntryContent::Mistyped { server, field } => {
                let entry = world.main_server(server).next_entry(&self.name)?;
                let (mut spec, mut status) = ServerBody::write(&entry);
                let fields = [field_pointers(&spec, ""), field_pointers(&status, "")];
                let number = field % (fields[0].len() + fields[1].len());
                let (body, pointer) = match fields[0].get(number) {
                    Some(pointer) => (&mut spec, pointer),
                    None => (&mut status, &fields[1][number - fields[0].len()]),
                };
                if let Some(value) = body.pointer_mut(pointer) {
                    *value = json!([count]);
                }
                Ok((spec, status))
            }
        }
    }
}

/// Pointers to the fields of an object and of those in it.
fn field_pointers(value: &Value, pointer: &str) -> Vec<String> {
    match value.as_object() {
        None => vec![pointer.into()],
        Some(members) => {
            let members = members.iter();
            let pointers = members.map(|(name, value)| {
                let pointer = format!("{pointer}/{name}");
                field_pointers(value, &pointer)
            });
            pointers.flatten().collect()
        }
    }
}

/// Number of unreadable texts.
const UNREADABLE_TEXTS: usize = 5;
/// Beginning of the JSON text of a mark.
const MARK_START: &str = "\"unreadable text ";

/// Value that stands for an unreadable text.
fn mark(text: usize, count: u64) -> Value {
    format!("unreadable text {text} {count}").into()
}

fn unreadable_text(number: usize, count: &str) -> String {
    /// Levels of nesting; with them, a value is within the size that a store takes.
    const LEVELS: usize = 10_000;
    match number {
        0 => format!(r#"{{"address":"\ud8ff\u0000","sequence":{count}}}"#),
        1 => [&"[".repeat(LEVELS), count, &"]".repeat(LEVELS)].concat(),
        2 => [&r#"{"a":"#.repeat(LEVELS), count, &"}".repeat(LEVELS)].concat(),
        3 => format!(r#"{{"born":{count}{}}}"#, "9".repeat(400)),
        _ => format!(r#"{{"address":"]}}\"],","capacity":-1e999,"sequence":{count}}}"#),
    }
}

/// Puts the unreadable texts into the text of an answer, in the places of their marks.
pub(crate) fn fill_in(answer: &str) -> String {
    let mut pieces = answer.split(MARK_START);
    let mut filled: String = pieces.next().unwrap_or_default().into();
    for piece in pieces {
        let (mark, rest) = piece.split_once('"').unwrap_or((piece, ""));
        let (number, count) = mark.split_once(' ').unwrap_or((mark, "0"));
        filled.push_str(&unreadable_text(number.parse().unwrap_or_default(), count));
        filled.push_str(rest);
    }
    filled
}
