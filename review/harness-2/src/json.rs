//! The little JSON and base64 that the stand-ins need.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Table(fields) => fields.get(name).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Value::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(list) => list,
            _ => &[],
        }
    }
}

/// Parses a JSON text; none if it is not valid.
pub fn parse(text: &str) -> Option<Value> {
    let mut parser = Parser {
        bytes: text.as_bytes(),
        at: 0,
    };
    let value = parser.value()?;
    parser.space();
    (parser.at == parser.bytes.len()).then_some(value)
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.at).copied()
    }

    fn space(&mut self) {
        while self.peek().is_some_and(|b| b.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let is_here = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        is_here.then_some(value)
    }

    fn value(&mut self) -> Option<Value> {
        self.space();
        match self.peek()? {
            b'n' => self.word("null", Value::Null),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'"' => Some(Value::Text(self.string()?)),
            b'[' => self.list(),
            b'{' => self.table(),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.at;
        while self
            .peek()
            .is_some_and(|b| b.is_ascii_alphanumeric() || b"+-.".contains(&b))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Value::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let byte = self.peek()?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = self.peek()?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b'r' => bytes.push(b'\r'),
                        b't' => bytes.push(b'\t'),
                        b'u' => {
                            let hex = self.bytes.get(self.at..self.at + 4)?;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok()?;
                            self.at += 4;
                            let mut buffer = [0; 4];
                            let text = char::from_u32(code)?.encode_utf8(&mut buffer);
                            bytes.extend_from_slice(text.as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.at += 1;
        let mut list = Vec::new();
        loop {
            self.space();
            match self.peek()? {
                b']' => {
                    self.at += 1;
                    return Some(Value::List(list));
                }
                b',' => self.at += 1,
                _ => list.push(self.value()?),
            }
        }
    }

    fn table(&mut self) -> Option<Value> {
        self.at += 1;
        let mut fields = BTreeMap::new();
        loop {
            self.space();
            match self.peek()? {
                b'}' => {
                    self.at += 1;
                    return Some(Value::Table(fields));
                }
                b',' => self.at += 1,
                _ => {
                    let name = self.string()?;
                    self.space();
                    self.at += 1;
                    fields.insert(name, self.value()?);
                }
            }
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64.
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = (0..3).fold(0_u32, |n, i| {
            n << 8 | u32::from(*chunk.get(i).unwrap_or(&0))
        });
        for place in 0..4 {
            let index = (number >> (18 - 6 * place) & 63) as usize;
            let is_filled = place <= chunk.len();
            text.push(if is_filled {
                char::from(ALPHABET[index])
            } else {
                '='
            });
        }
    }
    text
}

/// Decodes base64.
pub fn decode(text: &str) -> Vec<u8> {
    let digits = text
        .bytes()
        .filter_map(|b| ALPHABET.iter().position(|a| *a == b));
    let mut bytes = Vec::new();
    let (mut number, mut bits) = (0_u32, 0);
    for digit in digits {
        number = number << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((number >> bits & 255) as u8);
        }
    }
    bytes
}
