//! Tests of the texts in which a store answers with unreadable values.

use crate::{foreign_entry, prelude::*};

// Guards against runs beside unreadable entries whose entries can be read.
#[test]
fn texts_in_the_places_of_marks_cannot_be_read_as_one_value() {
    for number in 0..5 {
        let answer = format!(r#"{{"before":1,"spec":"unreadable text {number} 77","after":[2]}}"#);
        let filled = foreign_entry::fill_in(&answer);
        assert!(
            filled.starts_with(r#"{"before":1,"spec":"#) && filled.ends_with(r#","after":[2]}"#)
        );
        assert!(filled.contains("77"));
        assert!(
            serde_json::from_str::<serde_json::Value>(&filled).is_err(),
            "{number}"
        );
    }
    assert_eq!(foreign_entry::fill_in("no marks"), "no marks");
}

#[test]
fn entries_are_drawn_alike_from_the_same_seed() {
    let draw = |seed| ForeignEntry::draw(&mut StdRng::seed_from_u64(seed));
    assert_eq!(draw(3), draw(3));
    assert_ne!(draw(3), draw(4));
}
