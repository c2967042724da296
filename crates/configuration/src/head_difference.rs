//! Differences between two heads, object by object.

use crate::prelude::*;
use serde_json::Value;

/// One object that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HeadDifference {
    /// Kind and name of the object.
    pub object: String,
    /// How it differs.
    pub kind: DifferenceKind,
    /// Fields that differ, for a changed object.
    pub fields: Vec<FieldChange>,
}

/// How an object differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum DifferenceKind {
    /// Only in the newer head.
    Added,
    /// In both with different fields.
    Changed,
    /// Only in the older head.
    Removed,
}

/// One field that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FieldChange {
    /// Path of the field within its object.
    pub field: String,
    /// Older value.
    pub from: Value,
    /// Newer value.
    pub to: Value,
}

/// Objects by kind and name.
pub(crate) type ObjectMap = IndexMap<String, Value>;

impl HeadDifference {
    /// All differences from `old` to `new`.
    pub(crate) fn between(old: &ObjectMap, new: &ObjectMap) -> Vec<Self> {
        let mut differences = Vec::new();
        for (object, value) in new {
            match old.get(object) {
                None => differences.push(Self::whole(object, DifferenceKind::Added)),
                Some(before) if before == value => {}
                Some(before) => {
                    let mut fields = Vec::new();
                    compare("", before, value, &mut fields);
                    differences.push(Self {
                        object: object.clone(),
                        kind: DifferenceKind::Changed,
                        fields,
                    });
                }
            }
        }
        let gone = old.keys().filter(|object| !new.contains_key(*object));
        differences.extend(gone.map(|object| Self::whole(object, DifferenceKind::Removed)));
        differences
    }

    fn whole(object: &str, kind: DifferenceKind) -> Self {
        Self {
            object: object.into(),
            kind,
            fields: Vec::new(),
        }
    }
}

impl Display for HeadDifference {
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

fn compare(path: &str, from: &Value, to: &Value, changes: &mut Vec<FieldChange>) {
    match (from, to) {
        (Value::Object(old), Value::Object(new)) => {
            let fresh = new.keys().filter(|key| !old.contains_key(*key));
            for key in old.keys().chain(fresh) {
                let inner = match path {
                    "" => key.clone(),
                    path => format!("{path}.{key}"),
                };
                let field = |map: &serde_json::Map<String, Value>| {
                    map.get(key).cloned().unwrap_or(Value::Null)
                };
                compare(&inner, &field(old), &field(new), changes);
            }
        }
        (Value::Array(old), Value::Array(new)) if old.len() == new.len() => {
            for (index, (old, new)) in old.iter().zip(new).enumerate() {
                compare(&format!("{path}[{index}]"), old, new, changes);
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
