//! Difference between two JSON values.
//!
//! A patch is as long as what differs. Elements of arrays are found again wherever they are, so that
//! one that is added or removed does not change those behind it.

use crate::prelude::*;
use indexmap::IndexSet;
use serde_json::{Map, Value};

/// What turns one value into another.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ValuePatch {
    /// The other value takes the place of the first.
    Replace(Value),
    /// Fields of an object that differ.
    Object(ObjectPatch),
    /// Elements of an array, in the order of the other one.
    Array(Vec<ArrayStep>),
}

/// Differences between two objects.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct ObjectPatch {
    /// Fields that are new or differ.
    pub(crate) changed: IndexMap<String, ValuePatch>,
    /// Fields that the other object lacks.
    pub(crate) removed: Vec<String>,
}

/// Next elements of an array that is built from another one.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ArrayStep {
    /// Elements of the first array.
    Keep {
        /// Position of the first of them.
        from: usize,
        /// Number of them.
        count: usize,
    },
    /// Element of the first array with differences.
    Change {
        /// Position of the element.
        from: usize,
        /// Its differences.
        patch: ValuePatch,
    },
    /// Elements that the first array lacks.
    Insert(Vec<Value>),
}

impl ValuePatch {
    /// Finds the differences; `None` if there are none.
    pub(crate) fn between(base: &Value, target: &Value) -> Option<Self> {
        if base == target {
            return None;
        }
        Some(match (base, target) {
            (Value::Object(base), Value::Object(target)) => {
                Self::Object(ObjectPatch::between(base, target))
            }
            (Value::Array(base), Value::Array(target)) => Self::Array(array_steps(base, target)),
            _ => Self::Replace(target.clone()),
        })
    }

    /// Builds the other value; `None` if the patch does not fit the base.
    pub(crate) fn apply(&self, base: &Value) -> Option<Value> {
        match (self, base) {
            (Self::Replace(value), _) => Some(value.clone()),
            (Self::Object(patch), Value::Object(base)) => patch.apply(base).map(Value::Object),
            (Self::Array(steps), Value::Array(base)) => {
                let mut elements = Vec::new();
                for step in steps {
                    step.apply(base, &mut elements)?;
                }
                Some(Value::Array(elements))
            }
            _ => None,
        }
    }
}

impl ObjectPatch {
    fn between(base: &Map<String, Value>, target: &Map<String, Value>) -> Self {
        let mut patch = Self::default();
        for (name, value) in target {
            let difference = match base.get(name) {
                Some(known) => ValuePatch::between(known, value),
                None => Some(ValuePatch::Replace(value.clone())),
            };
            let difference = difference.map(|difference| (name.clone(), difference));
            patch.changed.extend(difference);
        }
        let removed = base.keys().filter(|name| !target.contains_key(*name));
        patch.removed.extend(removed.cloned());
        patch
    }

    fn apply(&self, base: &Map<String, Value>) -> Option<Map<String, Value>> {
        let mut fields = Map::new();
        for (name, value) in base {
            let value = match self.changed.get(name) {
                Some(patch) => patch.apply(value)?,
                None if self.removed.contains(name) => continue,
                None => value.clone(),
            };
            fields.insert(name.clone(), value);
        }
        for (name, patch) in &self.changed {
            if let (false, ValuePatch::Replace(value)) = (base.contains_key(name), patch) {
                fields.insert(name.clone(), value.clone());
            }
        }
        Some(fields)
    }
}

impl ArrayStep {
    fn apply(&self, base: &[Value], elements: &mut Vec<Value>) -> Option<()> {
        match self {
            Self::Keep { from, count } => {
                let kept = base.get(*from..from.checked_add(*count)?)?;
                elements.extend_from_slice(kept);
            }
            Self::Change { from, patch } => elements.push(patch.apply(base.get(*from)?)?),
            Self::Insert(values) => elements.extend_from_slice(values),
        }
        Some(())
    }
}

/// Adds an element of the base to the last step, or as a step of its own.
fn keep(steps: &mut Vec<ArrayStep>, position: usize) {
    match steps.last_mut() {
        Some(ArrayStep::Keep { from, count }) if *from + *count == position => *count += 1,
        _ => steps.push(ArrayStep::Keep {
            from: position,
            count: 1,
        }),
    }
}

fn insert(steps: &mut Vec<ArrayStep>, value: &Value) {
    match steps.last_mut() {
        Some(ArrayStep::Insert(values)) => values.push(value.clone()),
        _ => steps.push(ArrayStep::Insert(vec![value.clone()])),
    }
}

fn array_steps(base: &[Value], target: &[Value]) -> Vec<ArrayStep> {
    let first = base.iter().zip(target).take_while(|(a, b)| a == b).count();
    let (base_rest, target_rest) = (&base[first..], &target[first..]);
    let pairs = base_rest.iter().rev().zip(target_rest.iter().rev());
    let last = pairs.take_while(|(a, b)| a == b).count();
    let base_middle = &base_rest[..base_rest.len() - last];
    let target_middle = &target_rest[..target_rest.len() - last];
    let mut steps = Vec::new();
    (0..first).for_each(|position| keep(&mut steps, position));
    add_middle(&mut steps, base_middle, target_middle, first);
    (base.len() - last..base.len()).for_each(|position| keep(&mut steps, position));
    steps
}

/// Adds the steps for elements that stand between the equal ends of both arrays. `offset` is the
/// position of the first of them.
fn add_middle(steps: &mut Vec<ArrayStep>, base: &[Value], target: &[Value], offset: usize) {
    let wanted: IndexSet<&Value> = target.iter().collect();
    let mut positions: IndexMap<&Value, usize> = IndexMap::with_capacity(base.len());
    for (position, value) in base.iter().enumerate() {
        positions.entry(value).or_insert(position);
    }
    // Position behind the last element of the base that was used.
    let mut next = 0;
    for value in target {
        if base.get(next) == Some(value) {
            keep(steps, offset + next);
            next += 1;
            continue;
        }
        if let Some(position) = positions.get(value) {
            keep(steps, offset + position);
            next = position + 1;
            continue;
        }
        match base.get(next).filter(|known| !wanted.contains(known)) {
            Some(known) => {
                if let Some(patch) = ValuePatch::between(known, value) {
                    let from = offset + next;
                    steps.push(ArrayStep::Change { from, patch });
                }
                next += 1;
            }
            None => insert(steps, value),
        }
    }
}
