//! A small JSON reader and writer.

#[derive(Clone, Debug, PartialEq)]
pub enum J {
    Null,
    Bool(bool),
    Num(String),
    Str(String),
    Arr(Vec<J>),
    Obj(Vec<(String, J)>),
}

impl J {
    pub fn get(&self, key: &str) -> Option<&J> {
        match self {
            J::Obj(fields) => fields.iter().find(|(k, _)| k == key).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, key: &str) -> Option<&str> {
        match self.get(key) {
            Some(J::Str(text)) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, key: &str) -> Option<u64> {
        match self.get(key) {
            Some(J::Num(text)) => text.parse().ok(),
            _ => None,
        }
    }

    pub fn dump(&self) -> String {
        match self {
            J::Null => "null".into(),
            J::Bool(value) => value.to_string(),
            J::Num(text) => text.clone(),
            J::Str(text) => quote(text),
            J::Arr(items) => {
                let items: Vec<String> = items.iter().map(J::dump).collect();
                format!("[{}]", items.join(","))
            }
            J::Obj(fields) => {
                let fields: Vec<String> = fields
                    .iter()
                    .map(|(k, v)| format!("{}:{}", quote(k), v.dump()))
                    .collect();
                format!("{{{}}}", fields.join(","))
            }
        }
    }
}

fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

pub fn parse(text: &str) -> Option<J> {
    let bytes = text.as_bytes();
    let mut at = 0;
    let value = value(bytes, &mut at)?;
    Some(value)
}

fn space(b: &[u8], at: &mut usize) {
    while *at < b.len() && b[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<J> {
    space(b, at);
    match *b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                space(b, at);
                match *b.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(J::Obj(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = string(b, at)?;
                        space(b, at);
                        if *b.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, value(b, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                space(b, at);
                match *b.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(J::Arr(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(value(b, at)?),
                }
            }
        }
        b'"' => Some(J::Str(string(b, at)?)),
        b't' => word(b, at, "true", J::Bool(true)),
        b'f' => word(b, at, "false", J::Bool(false)),
        b'n' => word(b, at, "null", J::Null),
        _ => {
            let from = *at;
            while *at < b.len() && (b[*at].is_ascii_alphanumeric() || b"+-.".contains(&b[*at])) {
                *at += 1;
            }
            (*at > from).then(|| J::Num(String::from_utf8_lossy(&b[from..*at]).into_owned()))
        }
    }
}

fn word(b: &[u8], at: &mut usize, text: &str, value: J) -> Option<J> {
    if b[*at..].starts_with(text.as_bytes()) {
        *at += text.len();
        return Some(value);
    }
    None
}

fn string(b: &[u8], at: &mut usize) -> Option<String> {
    if *b.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match *b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                *at += 1;
                match *b.get(*at)? {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(b.get(*at + 1..*at + 5)?).ok()?;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                        out.extend_from_slice(c.to_string().as_bytes());
                        *at += 4;
                    }
                    c => out.push(c),
                }
                *at += 1;
            }
            c => {
                out.push(c);
                *at += 1;
            }
        }
    }
}
