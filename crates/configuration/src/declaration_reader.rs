//! Conversion of the TOML files into one set of declarations.

use crate::prelude::*;
use toml::de::DeTable;

/// Parses files of declarations and reports every error to a [`FindingLog`].
///
/// An invalid field gets a placeholder value, so that the remaining fields are checked as well.
pub(crate) struct DeclarationReader;

impl DeclarationReader {
    /// Maximum number of parts of one service.
    const MAX_PARTS: u64 = 4_096;
    /// Maximum number of slots of one server.
    const MAX_SLOTS: u64 = 10_000;
    /// Maximum number of connections of one server.
    const MAX_CONNECTIONS: u64 = 65_535;
    /// Maximum deadline of a request class, in milliseconds.
    const MAX_DEADLINE_MS: u64 = 600_000;
    /// Maximum body size of a request or response, in bytes.
    const MAX_BODY_BYTES: u64 = 4 << 20;

    /// Reads all files of `log` into one set.
    pub(crate) fn read(log: &mut FindingLog) -> DeclarationSet {
        let mut set = DeclarationSet::default();
        for (file, source) in log.files().iter().enumerate() {
            let (table, errors) = DeTable::parse_recoverable(&source.text);
            for error in &errors {
                let range = error.span().unwrap_or_default();
                let span = FieldSpan {
                    file,
                    start: range.start,
                    end: range.end,
                };
                let value = log.excerpt(span);
                let expected = format!("valid TOML ({})", error.message());
                log.report(span, RuleFinding::new("syntax", value, &expected));
            }
            let span = FieldSpan {
                file,
                ..FieldSpan::default()
            };
            Self::read_file(
                log,
                TableReader::new(table.get_ref(), "", span),
                errors.is_empty(),
                &mut set,
            );
        }
        set
    }

    fn read_file(
        log: &mut FindingLog,
        mut file: TableReader,
        is_valid_toml: bool,
        set: &mut DeclarationSet,
    ) {
        for (name, table) in file.named_tables(log, "place") {
            if is_first_declaration(log, &table, is_valid_toml) {
                set.data_centres.insert(name, Self::data_centre(log, table));
            }
        }
        for (name, table) in file.named_tables(log, "service") {
            if is_first_declaration(log, &table, is_valid_toml) {
                let declaration = Self::service(log, table);
                set.services.insert(ServiceName::new(&name), declaration);
            }
        }
        for (name, table) in file.named_tables(log, "preset") {
            if is_first_declaration(log, &table, is_valid_toml) {
                set.presets.insert(name, Self::preset(log, table));
            }
        }
        file.report_unknown_fields(log);
    }

    fn data_centre(log: &mut FindingLog, mut table: TableReader) -> DataCentreDeclaration {
        let region = table.string(log, "region").unwrap_or_default();
        table.report_unknown_fields(log);
        DataCentreDeclaration { region }
    }

    fn service(log: &mut FindingLog, mut table: TableReader) -> ServiceDeclaration {
        let kind = table.parsed_string(log, "kind", "exclusive or shared", ServiceKind::from_text);
        let parts = table.optional_integer(log, "parts", 1..=Self::MAX_PARTS);
        let classes = table.tables(log, "class");
        let servers = table.tables(log, "server");
        table.report_unknown_fields(log);
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
        let lowest_priority = u64::from(RequestClass::LOWEST_PRIORITY);
        let name = table.string(log, "name");
        let methods = table.strings(log, "methods");
        let path = table.optional_string(log, "path");
        let repeatable = table.flag(log, "repeatable");
        let priority = table.optional_integer(log, "priority", 0..=lowest_priority);
        let deadline = table.optional_integer(log, "deadline_ms", 1..=Self::MAX_DEADLINE_MS);
        let body = table.optional_integer(log, "max_body_bytes", 0..=Self::MAX_BODY_BYTES);
        let answer = table.optional_integer(log, "max_answer_bytes", 0..=Self::MAX_BODY_BYTES);
        table.report_unknown_fields(log);
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
        let placeholder: SocketAddr = ([0, 0, 0, 0], 0).into();
        let name = table.string(log, "name").unwrap_or_default();
        let expected = "an IP address and a port, such as 10.0.0.1:8080";
        let address = table.parsed_string(log, "address", expected, |text| text.parse().ok());
        let data_centre = table.string(log, "data_centre");
        let slots = table.integer(log, "slots", 1..=Self::MAX_SLOTS);
        let connections = table.integer(log, "connections", 1..=Self::MAX_CONNECTIONS);
        let checks_fences = table.flag(log, "checks_fences");
        table.report_unknown_fields(log);
        ServerDeclaration {
            name: ServerName::new(&name),
            address: address.unwrap_or(placeholder),
            data_centre: data_centre.unwrap_or_default(),
            slots: slots.unwrap_or(1) as u32,
            connections: connections.unwrap_or(Self::MAX_CONNECTIONS) as u32,
            checks_fences,
        }
    }

    fn preset(log: &mut FindingLog, mut table: TableReader) -> PresetDeclaration {
        let drained_servers = table.strings(log, "drained_servers");
        let refused_classes = table.strings(log, "refused_classes");
        let slot_percent = table.optional_integer(log, "slot_percent", 1..=100);
        table.report_unknown_fields(log);
        PresetDeclaration {
            drained_servers: drained_servers
                .iter()
                .map(|name| ServerName::new(name))
                .collect(),
            refused_classes,
            slot_percent: slot_percent.map(|percent| percent as u32),
        }
    }
}

/// Returns true if `table` is the first declaration under its path, and reports a duplicate.
///
/// In a file with invalid syntax, the recovering parser may return a table twice; such a duplicate
/// is not reported.
fn is_first_declaration(log: &mut FindingLog, table: &TableReader, is_valid_toml: bool) -> bool {
    let Some(first) = log.first_location(table.path()) else {
        log.record_span(table.path(), table.span());
        return true;
    };
    if is_valid_toml {
        let expected = format!("one declaration of each name; the first is at {first}");
        let name = table.path().rsplit('.').next().unwrap_or_default();
        let rule = RuleFinding::new(table.path(), name, &expected);
        log.report(table.span(), rule);
    }
    false
}
