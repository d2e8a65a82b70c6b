//! Compares two documents.
//!
//! Entries of lists are matched by their names, so their order does not matter. Fields that the gateway
//! does not read are compared too. API keys are never shown.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use serde_json::{Map, Value};

use super::DocumentError;

/// Field with the version of the document, which differs between any two documents.
const VERSION_FIELD: &str = "version";

/// Field with the API keys of a team.
pub(super) const KEYS_FIELD: &str = "api_keys";

/// Fields that name the entries of a list.
const NAME_FIELDS: [&str; 2] = ["name", "service"];

/// A difference between two documents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// Path of the field, with the names of entries, such as `routes[chat].timeout_ms`.
    pub path: String,
    /// How the field differs.
    pub change: Change,
}

/// How a field differs between two documents. Values are shown only of fields that hold one value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Only the new document has the field.
    Added(Option<String>),
    /// Only the old document has the field.
    Removed(Option<String>),
    /// Both have the field, with different values.
    Changed(Option<String>, Option<String>),
    /// Both have the API keys of a team, and some differ.
    Keys {
        /// Number of keys that only the new document has.
        added: usize,
        /// Number of keys that only the old document has.
        removed: usize,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = &self.path;
        match &self.change {
            Change::Added(None) => write!(f, "+ {path}"),
            Change::Added(Some(value)) => write!(f, "+ {path}: {value}"),
            Change::Removed(None) => write!(f, "- {path}"),
            Change::Removed(Some(value)) => write!(f, "- {path}: {value}"),
            Change::Changed(Some(old), Some(new)) => write!(f, "~ {path}: {old} -> {new}"),
            Change::Changed(..) => write!(f, "~ {path}"),
            Change::Keys { added, removed } => {
                write!(f, "~ {path}: {added} added, {removed} removed")
            }
        }
    }
}

/// Returns the differences between two documents other than their version. Fails if one of them is not
/// JSON.
pub fn compare(old: &str, new: &str) -> Result<Vec<Difference>, DocumentError> {
    let mut old: Value = serde_json::from_str(old)?;
    let mut new: Value = serde_json::from_str(new)?;
    for document in [&mut old, &mut new] {
        if let Some(fields) = document.as_object_mut() {
            fields.remove(VERSION_FIELD);
        }
    }
    let mut differences = Vec::new();
    compare_values(String::new(), &old, &new, &mut differences);
    Ok(differences)
}

fn compare_values(path: String, old: &Value, new: &Value, found: &mut Vec<Difference>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => compare_fields(&path, old, new, found),
        (Value::Array(old_items), Value::Array(new_items)) => {
            match (by_name(old_items), by_name(new_items)) {
                (Some(old), Some(new)) => compare_entries(&path, &old, &new, found),
                _ if old == new => {}
                _ => found.push(Difference { path, change: Change::Changed(None, None) }),
            }
        }
        _ if is_same_scalar(old, new) => {}
        _ => {
            let change = Change::Changed(show(old), show(new));
            found.push(Difference { path, change });
        }
    }
}

/// Returns whether two values that are not both lists or objects are the same; 5 and 5.0 are.
fn is_same_scalar(old: &Value, new: &Value) -> bool {
    match (old.as_f64(), new.as_f64()) {
        (Some(old), Some(new)) => old == new,
        _ => old == new,
    }
}

fn compare_fields(
    path: &str,
    old: &Map<String, Value>,
    new: &Map<String, Value>,
    found: &mut Vec<Difference>,
) {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        if name == KEYS_FIELD {
            compare_keys(path, old.get(name), new.get(name), found);
        } else {
            compare_optional(path, old.get(name), new.get(name), found);
        }
    }
}

fn compare_entries(
    path: &str,
    old: &BTreeMap<&str, &Value>,
    new: &BTreeMap<&str, &Value>,
    found: &mut Vec<Difference>,
) {
    let names: BTreeSet<&str> = old.keys().chain(new.keys()).copied().collect();
    for name in names {
        let (old, new) = (old.get(name).copied(), new.get(name).copied());
        compare_optional(format!("{path}[{name}]"), old, new, found);
    }
}

fn compare_optional(
    path: String,
    old: Option<&Value>,
    new: Option<&Value>,
    found: &mut Vec<Difference>,
) {
    let change = match (old, new) {
        (Some(old), Some(new)) => return compare_values(path, old, new, found),
        (Some(old), None) => Change::Removed(show(old)),
        (None, Some(new)) => Change::Added(show(new)),
        (None, None) => return,
    };
    found.push(Difference { path, change });
}

fn compare_keys(
    path: String,
    old: Option<&Value>,
    new: Option<&Value>,
    found: &mut Vec<Difference>,
) {
    let keys = |value: Option<&Value>| -> BTreeSet<String> {
        let items = value.and_then(Value::as_array).into_iter().flatten();
        items.filter_map(Value::as_str).map(str::to_owned).collect()
    };
    let (old, new) = (keys(old), keys(new));
    let (added, removed) = (new.difference(&old).count(), old.difference(&new).count());
    if added + removed > 0 {
        found.push(Difference { path, change: Change::Keys { added, removed } });
    }
}

/// Returns the entries of a list by their names; `None` if they have none, or two have the same.
fn by_name(items: &[Value]) -> Option<BTreeMap<&str, &Value>> {
    let mut entries = BTreeMap::new();
    for item in items {
        let name = NAME_FIELDS.iter().find_map(|field| item.get(field)?.as_str());
        if entries.insert(name?, item).is_some() {
            return None;
        }
    }
    Some(entries)
}

/// Returns a value that is no list or object as text.
fn show(value: &Value) -> Option<String> {
    (!value.is_array() && !value.is_object()).then(|| value.to_string())
}
