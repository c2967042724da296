//! Validation rules for a single service.

use crate::prelude::*;

/// Validates one service and adds the findings to [`SetRules`].
pub(crate) struct ServiceRules<'r, 'a> {
    rules: &'r mut SetRules<'a>,
    field: String,
    service: &'a ServiceDeclaration,
}

impl<'r, 'a> ServiceRules<'r, 'a> {
    /// Reports each rule that `service` violates.
    pub(crate) fn check(
        rules: &'r mut SetRules<'a>,
        name: &ServiceName,
        service: &'a ServiceDeclaration,
    ) {
        let field = format!("service.{name}");
        rules.check_name(&field, name.as_str());
        let mut rules = Self {
            rules,
            field,
            service,
        };
        rules.check_counts();
        for (index, class) in service.classes.iter().enumerate() {
            rules.check_class(index, class);
        }
        for (index, server) in service.servers.iter().enumerate() {
            rules.check_server(index, server);
        }
    }

    fn check_counts(&mut self) {
        if self.service.classes.is_empty() {
            let field = format!("{}.class", self.field);
            self.rules.report(&field, "", "at least one class");
        }
        if self.service.servers.is_empty() {
            let field = format!("{}.server", self.field);
            self.rules.report(&field, "", "at least one server");
        } else if self.service.parts as usize > self.service.servers.len() {
            let expected = format!(
                "at most one part for each of {} servers",
                self.service.servers.len()
            );
            let field = format!("{}.parts", self.field);
            self.rules
                .report(&field, &self.service.parts.to_string(), &expected);
        }
    }

    fn check_class(&mut self, index: usize, class: &RequestClass) {
        let field = format!("{}.class[{index}]", self.field);
        let name = format!("{field}.name");
        self.rules.check_name(&name, &class.name);
        let earlier = &self.service.classes[..index];
        if earlier.iter().any(|other| other.name == class.name) {
            self.rules
                .report(&name, &class.name, "a name that is unique in its service");
        }
        if class.methods.is_empty() {
            self.rules.report(
                &format!("{field}.methods"),
                "",
                "at least one method, such as GET",
            );
        }
        for (position, method) in class.methods.iter().enumerate() {
            self.check_method(
                &format!("{field}.methods[{position}]"),
                class,
                method,
                earlier,
            );
        }
        if class.path.as_deref().is_some_and(|path| {
            path.is_empty() || path.contains('/') || path.chars().any(char::is_whitespace)
        }) {
            let path = class.path.as_deref().unwrap_or_default();
            self.rules.report(
                &format!("{field}.path"),
                path,
                "a single path segment without / and whitespace",
            );
        }
        if self.service.kind == ServiceKind::Shared && !class.repeatable {
            let expected = "true, because any server of a shared service may process a request";
            self.rules
                .report(&format!("{field}.repeatable"), "false", expected);
        }
    }

    fn check_method(
        &mut self,
        field: &str,
        class: &RequestClass,
        method: &str,
        earlier: &[RequestClass],
    ) {
        if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
            self.rules
                .report(field, method, "an HTTP method in capitals, such as GET");
            return;
        }
        let shadows = |other: &&RequestClass| {
            other.methods.iter().any(|name| name == method)
                && (other.path.is_none() || other.path == class.path)
        };
        if let Some(other) = earlier.iter().find(shadows) {
            let expected = format!(
                "a method and path that the earlier class {} does not match",
                other.name
            );
            self.rules.report(field, method, &expected);
        }
    }

    fn check_server(&mut self, index: usize, server: &ServerDeclaration) {
        let field = format!("{}.server[{index}]", self.field);
        self.rules
            .check_name(&format!("{field}.name"), server.name.as_str());
        if server.address.port() == 0 || server.address.ip().is_unspecified() {
            let address = server.address.to_string();
            let expected = "a specific IP address with a port above 0";
            self.rules
                .report(&format!("{field}.address"), &address, expected);
        }
        if !self
            .rules
            .set()
            .data_centres
            .contains_key(&server.data_centre)
        {
            let data_centres = self.rules.set().data_centres.keys();
            let names = data_centres
                .map(String::as_str)
                .collect::<Vec<_>>()
                .join(", ");
            let expected = format!("a declared data centre: {names}");
            self.rules.report(
                &format!("{field}.data_centre"),
                &server.data_centre,
                &expected,
            );
        }
        if server.connections < server.slots {
            let expected = format!("at least as many as slots, {}", server.slots);
            let connections = server.connections.to_string();
            self.rules
                .report(&format!("{field}.connections"), &connections, &expected);
        }
    }
}
