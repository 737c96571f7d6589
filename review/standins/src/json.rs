//! A small JSON reader, enough for the bodies that gateways send.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &[u8]) -> Option<Json> {
        let mut at = 0;
        let value = value(text, &mut at)?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }
}

fn blanks(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Json> {
    blanks(text, at);
    match *text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = BTreeMap::new();
            loop {
                blanks(text, at);
                match *text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = string(text, at)?;
                        blanks(text, at);
                        *at += 1;
                        fields.insert(name, value(text, at)?);
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                blanks(text, at);
                match *text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(text, at)?),
                }
            }
        }
        b'"' => Some(Json::Text(string(text, at)?)),
        _ => {
            let begun = *at;
            while text.get(*at).is_some_and(|b| !b",]} \r\n\t".contains(b)) {
                *at += 1;
            }
            match std::str::from_utf8(&text[begun..*at]).ok()? {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => Some(Json::Number(number.parse().ok()?)),
            }
        }
    }
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    if *text.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *text.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                out.push(match escaped {
                    b'n' => b'\n',
                    b'r' => b'\r',
                    b't' => b'\t',
                    other => other,
                });
            }
            other => out.push(other),
        }
    }
}
