//! Renders a template of settings as the platform's page on deployment describes it.

use serde_json::Value;

/// Values in which a name is looked up, the innermost last, and the key or index of the entry.
struct Scope<'a> {
    entries: Vec<&'a Value>,
    key: String,
    is_last: bool,
}

impl<'a> Scope<'a> {
    fn find(&self, name: &str) -> Option<&'a Value> {
        if name == "." {
            return self.entries.last().copied();
        }
        let in_entry = |entry: &&'a Value| {
            name.split('.').try_fold(*entry, |value, part| match value {
                Value::Array(items) => items.get(part.parse::<usize>().ok()?),
                _ => value.get(part),
            })
        };
        let found = self.entries.iter().rev().find_map(in_entry);
        found.filter(|value| !value.is_null())
    }

    fn enter(&self, entry: &'a Value, key: String, is_last: bool) -> Self {
        let mut entries = self.entries.clone();
        entries.push(entry);
        Self {
            entries,
            key,
            is_last,
        }
    }
}

/// Renders the template with the fields.
pub fn render(template: &str, fields: &Value) -> String {
    let scope = Scope {
        entries: vec![fields],
        key: String::new(),
        is_last: true,
    };
    let mut text = String::new();
    section(template, &scope, &mut text);
    text
}

fn section(mut rest: &str, scope: &Scope<'_>, text: &mut String) {
    while let Some((before, tail)) = rest.split_once("{{") {
        text.push_str(before);
        let (tag, tail) = tail.split_once("}}").expect("a closed placeholder");
        rest = tail;
        let Some(name) = tag.strip_prefix(['#', '^']) else {
            text.push_str(&placeholder(tag, scope));
            continue;
        };
        let end = format!("{{{{/{name}}}}}");
        let (inner, tail) = tail.split_once(&end).expect("a closed section");
        rest = tail;
        let value = scope
            .find(name)
            .filter(|value| **value != Value::Bool(false));
        match (tag.starts_with('#'), value) {
            (true, Some(value)) => repeat(inner, value, scope, text),
            (false, None) => section(inner, scope, text),
            _ => {}
        }
    }
    text.push_str(rest);
}

/// Renders a section once for each entry of a list or table, or once for another value.
fn repeat(inner: &str, value: &Value, scope: &Scope<'_>, text: &mut String) {
    let entries: Vec<(String, &Value)> = match value {
        Value::Array(items) => items
            .iter()
            .enumerate()
            .map(|(i, v)| (i.to_string(), v))
            .collect(),
        Value::Object(table) => table.iter().map(|(key, v)| (key.clone(), v)).collect(),
        _ => vec![(String::new(), value)],
    };
    let count = entries.len();
    for (index, (key, entry)) in entries.into_iter().enumerate() {
        section(inner, &scope.enter(entry, key, index + 1 == count), text);
    }
}

fn placeholder(tag: &str, scope: &Scope<'_>) -> String {
    match tag {
        "@" => return scope.key.clone(),
        "," => return if scope.is_last { "" } else { "," }.to_owned(),
        _ => {}
    }
    let (name, is_json) = match tag.strip_suffix("|json") {
        Some(name) => (name, true),
        None => (tag, false),
    };
    match scope.find(name) {
        None => String::new(),
        Some(Value::String(string)) if !is_json => string.clone(),
        Some(Value::Array(items)) if !is_json => {
            let items = items.iter().map(ToString::to_string);
            items.collect::<Vec<_>>().join(",")
        }
        Some(value) => value.to_string(),
    }
}
