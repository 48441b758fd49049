//! The platform's store: rows in tables, with a feed and transactions, as PROTOCOL.md tells.

use crate::http::{Message, answer};
use crate::json::{self, Value};
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Debug, Default)]
struct State {
    /// Value in base64 and version, by table and key.
    rows: BTreeMap<(String, String), (String, u64)>,
    /// All changes in their order; no value for a dropped row.
    changes: Vec<(String, String, Option<String>, u64)>,
    version: u64,
}

#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started_at: Instant,
}

impl Store {
    pub fn new() -> Self {
        Self {
            state: Arc::default(),
            started_at: Instant::now(),
        }
    }

    /// Writes rows of a table, or drops them, in one transaction.
    pub fn write(&self, rows: &[(&str, &str, Option<String>)]) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.version += 1;
        for (table, key, value) in rows {
            let value = value.as_ref().map(|text| json::encode(text.as_bytes()));
            state.put(table, key, value);
        }
        changed.notify_all();
    }

    /// Returns the content of a row.
    pub fn read(&self, table: &str, key: &str) -> Option<String> {
        let state = self.state.0.lock().unwrap();
        let row = state.rows.get(&(table.into(), key.into()))?;
        String::from_utf8(json::decode(&row.0)).ok()
    }

    /// Answers a call.
    pub fn handle(&self, request: &Message) -> Vec<u8> {
        let path = request.target().split('?').next().unwrap_or("");
        match path {
            "/-/rows-get" => self.get(request),
            "/-/rows-feed" => self.feed(request),
            "/-/rows-tx" => self.transact(request),
            _ => answer(404, &[], "{}"),
        }
    }

    fn body(&self, state: &State, rows: &[String], has_more: bool) -> Vec<u8> {
        let now = self.started_at.elapsed().as_millis();
        let (rows, version) = (rows.join(","), state.version);
        let body = format!(
            r#"{{"rows":[{rows}],"hasMore":{has_more},"rowVersion":{version},"nowMs":{now}}}"#
        );
        answer(200, &[("Content-Type", "application/json")], &body)
    }

    fn get(&self, request: &Message) -> Vec<u8> {
        let table = request.query("tableName");
        let state = self.state.0.lock().unwrap();
        let of_table = state.rows.iter().filter(|((known, _), _)| known == table);
        let rows: Vec<String> = of_table
            .map(|((table, key), (value, version))| row(table, key, Some(value), *version))
            .collect();
        self.body(&state, &rows, false)
    }

    fn feed(&self, request: &Message) -> Vec<u8> {
        let table = request.query("tableName");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("waitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let new = state.changes.iter().filter(|c| c.0 == table && c.3 > after);
            let rows: Vec<String> = new.map(|c| row(&c.0, &c.1, c.2.as_deref(), c.3)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.body(&state, &rows, false);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Message) -> Vec<u8> {
        let text = String::from_utf8_lossy(&request.body);
        let Some(call) = json::parse(&text) else {
            return answer(400, &[], "{}");
        };
        let place = |row: &Value| {
            (
                row.get("tableName").text().to_owned(),
                row.get("key").text().to_owned(),
            )
        };
        let (writes, removed) = (call.get("writes").list(), call.get("remove").list());
        let is_foreign = |row: &Value| ["op", "servers"].contains(&row.get("tableName").text());
        if writes.iter().chain(removed).any(is_foreign) {
            return answer(403, &[], "{}");
        }
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let version = |state: &State, row: &Value| state.rows.get(&place(row)).map_or(0, |r| r.1);
        let expected = call.get("expectedRev").list();
        let differs = |row: &Value| version(&state, row) != row.get("rowVersion").number() as u64;
        if expected.iter().any(differs) {
            return answer(412, &[], r#"{"rows":[]}"#);
        }
        state.version += 1;
        for row in writes {
            let (table, key) = place(row);
            state.put(&table, &key, Some(row.get("value").text().to_owned()));
        }
        for row in removed {
            let (table, key) = place(row);
            state.put(&table, &key, None);
        }
        changed.notify_all();
        answer(200, &[], &format!(r#"{{"rowVersion":{}}}"#, state.version))
    }
}

impl State {
    fn put(&mut self, table: &str, key: &str, value: Option<String>) {
        let place = (table.to_owned(), key.to_owned());
        self.changes.push((
            place.0.clone(),
            place.1.clone(),
            value.clone(),
            self.version,
        ));
        match value {
            Some(value) => self.rows.insert(place, (value, self.version)),
            None => self.rows.remove(&place),
        };
    }
}

fn row(table: &str, key: &str, value: Option<&str>, version: u64) -> String {
    let content = match value {
        Some(value) => format!(r#""value":"{value}""#),
        None => r#""tombstone":true"#.to_owned(),
    };
    format!(r#"{{"tableName":"{table}","part":"","key":"{key}",{content},"rowVersion":{version}}}"#)
}
