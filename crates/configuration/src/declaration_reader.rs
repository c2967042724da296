//! Reading of all files into one set.

use crate::prelude::*;
use toml::de::DeTable;

/// Reads files of declarations.
pub(crate) struct DeclarationReader;

impl DeclarationReader {
    /// Most parts of one service.
    const MAX_PARTS: u64 = 4_096;
    /// Most slots of one server.
    const MAX_SLOTS: u64 = 10_000;
    /// Most connections of one server.
    const MAX_CONNECTIONS: u64 = 65_535;
    /// Longest deadline of a class, in milliseconds.
    const MAX_DEADLINE_MS: u64 = 600_000;
    /// Largest body of a request or an answer, in bytes.
    const MAX_BODY_BYTES: u64 = 4 << 20;

    /// Reads every file of the log.
    pub(crate) fn read(log: &mut FindingLog) -> DeclarationSet {
        let mut set = DeclarationSet::default();
        for (file, source) in log.files().iter().enumerate() {
            let (table, errors) = DeTable::parse_recoverable(&source.text);
            for error in &errors {
                let span = error.span().unwrap_or_default();
                let place = FieldPlace {
                    file,
                    start: span.start,
                    end: span.end,
                };
                let value = log.excerpt(place);
                let expected = format!("TOML: {}", error.message());
                log.report(place, RuleFinding::new("syntax", value, &expected));
            }
            let place = FieldPlace {
                file,
                ..FieldPlace::default()
            };
            Self::read_file(
                log,
                TableReader::new(table.get_ref(), "", place),
                errors.is_empty(),
                &mut set,
            );
        }
        set
    }

    fn read_file(
        log: &mut FindingLog,
        mut file: TableReader,
        whole: bool,
        set: &mut DeclarationSet,
    ) {
        for (name, table) in file.named_tables(log, "place") {
            if is_new(log, &table, whole) {
                set.data_centres.insert(name, Self::data_centre(log, table));
            }
        }
        for (name, table) in file.named_tables(log, "service") {
            if is_new(log, &table, whole) {
                let declaration = Self::service(log, table);
                set.services.insert(ServiceName::new(&name), declaration);
            }
        }
        for (name, table) in file.named_tables(log, "preset") {
            if is_new(log, &table, whole) {
                set.presets.insert(name, Self::preset(log, table));
            }
        }
        file.finish(log);
    }

    fn data_centre(log: &mut FindingLog, mut table: TableReader) -> DataCentreDeclaration {
        let region = table.text(log, "region").unwrap_or_default();
        table.finish(log);
        DataCentreDeclaration { region }
    }

    fn service(log: &mut FindingLog, mut table: TableReader) -> ServiceDeclaration {
        let kind = table.parsed(log, "kind", "exclusive or shared", ServiceKind::from_text);
        let parts = table.optional_number(log, "parts", 1..=Self::MAX_PARTS);
        let classes = table.tables(log, "class");
        let servers = table.tables(log, "server");
        table.finish(log);
        ServiceDeclaration {
            kind: kind.unwrap_or(ServiceKind::Exclusive),
            parts: parts.unwrap_or(1) as u32,
            classes: classes
                .into_iter()
                .map(|table| Self::class(log, table))
                .collect(),
            servers: servers
                .into_iter()
                .map(|table| Self::server(log, table))
                .collect(),
        }
    }

    fn class(log: &mut FindingLog, mut table: TableReader) -> RequestClass {
        let lowest = u64::from(RequestClass::LOWEST_PRIORITY);
        let name = table.text(log, "name");
        let methods = table.texts(log, "methods");
        let path = table.optional_text(log, "path");
        let repeatable = table.flag(log, "repeatable");
        let priority = table.optional_number(log, "priority", 0..=lowest);
        let deadline = table.optional_number(log, "deadline_ms", 1..=Self::MAX_DEADLINE_MS);
        let body = table.optional_number(log, "max_body_bytes", 0..=Self::MAX_BODY_BYTES);
        let answer = table.optional_number(log, "max_answer_bytes", 0..=Self::MAX_BODY_BYTES);
        table.finish(log);
        RequestClass {
            name: name.unwrap_or_default(),
            methods,
            path,
            repeatable,
            priority: priority.map_or(RequestClass::default_priority(), |level| level as u8),
            deadline_ms: deadline.unwrap_or(RequestClass::default_deadline_ms()),
            max_body_bytes: body.unwrap_or(RequestClass::default_bytes()),
            max_answer_bytes: answer.unwrap_or(RequestClass::default_bytes()),
        }
    }

    fn server(log: &mut FindingLog, mut table: TableReader) -> ServerDeclaration {
        let unknown: SocketAddr = ([0, 0, 0, 0], 0).into();
        let name = table.text(log, "name").unwrap_or_default();
        let expected = "an IP address and a port, as 10.0.0.1:8080";
        let address = table.parsed(log, "address", expected, |text| text.parse().ok());
        let data_centre = table.text(log, "data_centre");
        let slots = table.number(log, "slots", 1..=Self::MAX_SLOTS);
        let connections = table.number(log, "connections", 1..=Self::MAX_CONNECTIONS);
        let checks_fences = table.flag(log, "checks_fences");
        table.finish(log);
        ServerDeclaration {
            name: ServerName::new(&name),
            address: address.unwrap_or(unknown),
            data_centre: data_centre.unwrap_or_default(),
            slots: slots.unwrap_or(1) as u32,
            connections: connections.unwrap_or(Self::MAX_CONNECTIONS) as u32,
            checks_fences,
        }
    }

    fn preset(log: &mut FindingLog, mut table: TableReader) -> PresetDeclaration {
        let drained = table.texts(log, "drained_servers");
        let refused_classes = table.texts(log, "refused_classes");
        let slot_percent = table.optional_number(log, "slot_percent", 1..=100);
        table.finish(log);
        PresetDeclaration {
            drained_servers: drained.iter().map(|name| ServerName::new(name)).collect(),
            refused_classes,
            slot_percent: slot_percent.map(|percent| percent as u32),
        }
    }
}

/// Whether the object is declared for the first time; a second declaration is reported.
///
/// A file with broken syntax may show a table twice, so nothing is concluded from it.
fn is_new(log: &mut FindingLog, table: &TableReader, whole: bool) -> bool {
    let Some(first) = log.first_place(table.path()) else {
        log.note(table.path(), table.place());
        return true;
    };
    if whole {
        let expected = format!("one declaration of each name; the first is at {first}");
        let name = table.path().rsplit('.').next().unwrap_or_default();
        let rule = RuleFinding::new(table.path(), name, &expected);
        log.report(table.place(), rule);
    }
    false
}
