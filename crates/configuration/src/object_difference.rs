//! Differences between two configurations, object by object.

use crate::prelude::*;
use serde_json::Value;

/// Difference of one object between two configurations.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ObjectDifference {
    /// Kind and name of the object, such as `preset peak`.
    pub object: String,
    /// Whether the object was added, changed or removed.
    pub kind: DifferenceKind,
    /// Changed fields; empty for an added or removed object.
    pub fields: Vec<FieldChange>,
}

/// Kind of difference of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DifferenceKind {
    /// The object exists only in the newer configuration.
    Added,
    /// The object exists in both configurations with different fields.
    Changed,
    /// The object exists only in the older configuration.
    Removed,
}

/// Old and new value of one changed field.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FieldChange {
    /// Path of the field within its object; empty if the object is a plain value.
    pub field: String,
    /// Old value; null if the field is new.
    pub from: Value,
    /// New value; null if the field was removed.
    pub to: Value,
}

/// Configuration objects as JSON, by kind and name.
pub(crate) type ObjectMap = IndexMap<String, Value>;

impl ObjectDifference {
    /// Compares `old` with `new` and lists every object that differs.
    pub(crate) fn between(old: &ObjectMap, new: &ObjectMap) -> Vec<Self> {
        let mut differences = Vec::new();
        for (object, value) in new {
            match old.get(object) {
                None => differences.push(Self::without_fields(object, DifferenceKind::Added)),
                Some(old_value) if old_value == value => {}
                Some(old_value) => {
                    let mut fields = Vec::new();
                    collect_changes("", old_value, value, &mut fields);
                    differences.push(Self {
                        object: object.clone(),
                        kind: DifferenceKind::Changed,
                        fields,
                    });
                }
            }
        }
        let removed = old.keys().filter(|object| !new.contains_key(*object));
        differences
            .extend(removed.map(|object| Self::without_fields(object, DifferenceKind::Removed)));
        differences
    }

    fn without_fields(object: &str, kind: DifferenceKind) -> Self {
        Self {
            object: object.into(),
            kind,
            fields: Vec::new(),
        }
    }
}

impl Display for ObjectDifference {
    fn fmt(&self, f: &mut Formatter) -> fmt::Result {
        let verb = match self.kind {
            DifferenceKind::Added => "added",
            DifferenceKind::Changed => "changed",
            DifferenceKind::Removed => "removed",
        };
        write!(f, "{verb} {}", self.object)?;
        for (index, change) in self.fields.iter().enumerate() {
            f.write_str(if index == 0 { ": " } else { ", " })?;
            match change.field.as_str() {
                "" => write!(f, "{} -> {}", change.from, change.to)?,
                field => write!(f, "{field} {} -> {}", change.from, change.to)?,
            }
        }
        Ok(())
    }
}

/// Appends a change to `changes` for each field below `path` that differs.
fn collect_changes(path: &str, from: &Value, to: &Value, changes: &mut Vec<FieldChange>) {
    match (from, to) {
        (Value::Object(old), Value::Object(new)) => {
            let added = new.keys().filter(|key| !old.contains_key(*key));
            for key in old.keys().chain(added) {
                let inner_path = match path {
                    "" => key.clone(),
                    path => format!("{path}.{key}"),
                };
                let field = |map: &serde_json::Map<String, Value>| {
                    map.get(key).cloned().unwrap_or(Value::Null)
                };
                collect_changes(&inner_path, &field(old), &field(new), changes);
            }
        }
        (Value::Array(old), Value::Array(new)) if old.len() == new.len() => {
            for (index, (old, new)) in old.iter().zip(new).enumerate() {
                collect_changes(&format!("{path}[{index}]"), old, new, changes);
            }
        }
        (from, to) if from == to => {}
        (from, to) => changes.push(FieldChange {
            field: path.into(),
            from: from.clone(),
            to: to.clone(),
        }),
    }
}
