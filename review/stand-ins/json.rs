//! A small reader of JSON.

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; `None` if it is no JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            chars: text.chars().collect(),
            at: 0,
        };
        parser.value()
    }

    /// Returns a field of a table.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.iter().find(|(n, _)| n == name).map(|(_, v)| v),
            _ => None,
        }
    }

    /// Returns the entries of a list, none for other values.
    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(all) => all,
            _ => &[],
        }
    }

    /// Returns a text, empty for other values.
    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a whole number, 0 for other values.
    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

/// Returns a text in quotes.
pub fn quote(text: &str) -> String {
    let escaped = text.replace('\\', "\\\\").replace('"', "\\\"");
    format!("\"{}\"", escaped.replace('\n', "\\n"))
}

struct Parser {
    chars: Vec<char>,
    at: usize,
}

impl Parser {
    fn peek(&mut self) -> Option<char> {
        while self.chars.get(self.at).is_some_and(|c| c.is_whitespace()) {
            self.at += 1;
        }
        self.chars.get(self.at).copied()
    }

    fn take(&mut self, wanted: char) -> Option<()> {
        (self.peek()? == wanted).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.at += word.len();
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            '{' => self.table(),
            '[' => self.list(),
            '"' => self.text().map(Json::Text),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while let Some(c) = self.chars.get(self.at)
            && (c.is_ascii_digit() || "+-.eE".contains(*c))
        {
            self.at += 1;
        }
        let text: String = self.chars[start..self.at].iter().collect();
        text.parse().ok().map(Json::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.take('"')?;
        let mut text = String::new();
        loop {
            let c = *self.chars.get(self.at)?;
            self.at += 1;
            match c {
                '"' => return Some(text),
                '\\' => {
                    let escaped = *self.chars.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'r' => text.push('\r'),
                        'u' => {
                            let digits = self.chars.get(self.at..self.at + 4)?;
                            let digits: String = digits.iter().collect();
                            self.at += 4;
                            text.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take('[')?;
        let mut all = Vec::new();
        if self.peek()? == ']' {
            self.at += 1;
            return Some(Json::List(all));
        }
        loop {
            all.push(self.value()?);
            match self.peek()? {
                ',' => self.at += 1,
                _ => {
                    self.take(']')?;
                    return Some(Json::List(all));
                }
            }
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.take('{')?;
        let mut fields = Vec::new();
        if self.peek()? == '}' {
            self.at += 1;
            return Some(Json::Table(fields));
        }
        loop {
            self.peek()?;
            let name = self.text()?;
            self.take(':')?;
            fields.push((name, self.value()?));
            match self.peek()? {
                ',' => self.at += 1,
                _ => {
                    self.take('}')?;
                    return Some(Json::Table(fields));
                }
            }
        }
    }
}
