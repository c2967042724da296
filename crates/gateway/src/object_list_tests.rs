//! Lists of the store that are longer than one page.

use crate::{prelude::*, test_http, test_node};
use http::{HeaderMap, Method};
use std::{
    io::{BufRead, BufReader, Write},
    net::TcpStream,
};

const KIND: ObjectKind = ObjectKind::Servers;
/// Objects on one page of the store.
const PAGE_LENGTH: usize = 3;
/// Levels of nesting of a value that cannot be read.
const DEEP_LEVELS: usize = 5_000;
/// Place of a specification in a page, which the page's text is given later.
const PLACE: &str = "place of a value";

/// Names of objects, in their order, each with the text of its specification.
type StoredTexts = Vec<(String, String)>;

/// Starts a store that returns these objects page by page.
fn start_store(stored: StoredTexts) -> SocketAddr {
    let stored = Arc::new(stored);
    test_http::accept_each(move |stream| {
        let stored = stored.clone();
        std::thread::spawn(move || serve(stream, &stored));
    })
}

fn serve(mut stream: TcpStream, stored: &StoredTexts) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut line = String::new();
    while reader.read_line(&mut line).unwrap() > 0 {
        test_http::read_head(&mut reader).unwrap();
        let target = line.split(' ').nth(1).unwrap().parse().unwrap();
        let operation = StoreOperation::read(&Method::GET, &target, &[]);
        let Some(StoreOperation::List(_, after)) = operation else {
            panic!("not a list: {target}");
        };
        let body = page_text(stored, after.as_deref().unwrap_or_default());
        let answer = test_http::answer(200, &HeaderMap::new(), &body);
        stream.write_all(answer.as_bytes()).unwrap();
        line.clear();
    }
}

/// Page that begins after a name.
fn page_text(stored: &StoredTexts, after: &str) -> String {
    let later = stored.iter().filter(|(name, _)| name.as_str() > after);
    let later: Vec<_> = later.collect();
    let shown = &later[..later.len().min(PAGE_LENGTH)];
    let object = |(name, _): &&(String, String)| PlatformObject {
        name: name.clone(),
        revision: 7.into(),
        spec: PLACE.into(),
        status: serde_json::Value::Null,
    };
    let page = ObjectPage {
        objects: shown.iter().map(object).collect(),
        next: (later.len() > shown.len()).then(String::new),
        revision: 9.into(),
    };
    let place = format!("\"{PLACE}\"");
    let fill = |text: String, (_, spec): &&(String, String)| text.replacen(&place, spec, 1);
    shown.iter().fold(page.to_value().to_string(), fill)
}

fn list(stored: StoredTexts) -> Vec<String> {
    let node = test_node::build_with_store(start_store(stored));
    let page = node.workers.block_on(node.store.list(KIND)).unwrap();
    assert_eq!(page.next, None);
    page.objects.into_iter().map(|object| object.name).collect()
}

fn sound(number: usize) -> (String, String) {
    (format!("i-{number:02}"), "{}".into())
}

// Guards against an instance that knows only a part of the servers, or none, since the name of another
// writer's entry at the end of a page is not escaped.
#[test]
fn names_at_the_end_of_a_page_neither_end_the_list_nor_begin_it_again() {
    for name in [
        "i-02&x=1", "i-02+", "i-02#", "i-02%", "i-02%26", "i-02 x", "i-02?",
    ] {
        let stored = vec![
            sound(1),
            sound(2),
            (name.into(), "{}".into()),
            sound(3),
            sound(4),
        ];
        let names: Vec<String> = stored.iter().map(|(name, _)| name.clone()).collect();
        assert_eq!(list(stored), names);
    }
}

// Guards against a list that ends with a page of objects which cannot be read, or begins that page again.
#[test]
fn pages_of_unreadable_values_do_not_end_the_list() {
    let deep = ["[".repeat(DEEP_LEVELS), "]".repeat(DEEP_LEVELS)].concat();
    let unreadable = |number| (format!("i-{number:02}"), deep.clone());
    let mut stored = vec![sound(1)];
    stored.extend((2..=7).map(unreadable));
    stored.push(sound(8));
    let names: Vec<String> = stored.iter().map(|(name, _)| name.clone()).collect();
    assert_eq!(list(stored), names);
}

// Guards against a list that goes on for ever, since the store does not advance.
#[test]
fn list_of_a_store_that_repeats_a_page_fails() {
    let object = PlatformObject {
        name: "i-01".into(),
        revision: 7.into(),
        spec: serde_json::Value::Null,
        status: serde_json::Value::Null,
    };
    let page = ObjectPage {
        objects: vec![object],
        next: Some(String::new()),
        revision: 9.into(),
    };
    let answer = (200, page.to_value());
    let node = test_node::build_with_store(crate::test_store::start(vec![answer; 3]));
    let listed = node.workers.block_on(node.store.list(KIND));
    assert!(
        matches!(&listed, Err(StoreCallError::Unavailable(cause)) if cause.contains("page")),
        "{listed:?}"
    );
}
